"""The VMs that belong to the system, configured or discovered at run time."""

from __future__ import annotations

from kumquatmux_core import decisions
from kumquatmux_core.identity import Vm, VmId
from kumquatmux_membership.events import PeersChanged
from kumquatmux_membership.peer import NEVER, Peer
from kumquatmux_membership.settings import MembershipSettings

UNKNOWN_INCARNATION = 0


class PeerList:
    """All peers of one VM, reachable or not.

    Args:
        local_vm_id: Id of this VM.
        configured: VMs configured in the settings; this VM is skipped if it is one of
            them.

    Attributes:
        peers: The peers by id.
        last_reported: The list as last reported to the caller.
    """

    def __init__(self, local_vm_id: VmId, configured: tuple[Vm, ...]) -> None:
        self.local_vm_id = local_vm_id
        self.peers: dict[VmId, Peer] = {
            vm.vm: Peer(vm, NEVER, configured=True)
            for vm in configured
            if vm.vm != local_vm_id
        }
        self.last_reported: tuple[Vm, ...] | None = None

    def set_configured(self, configured: tuple[Vm, ...], now: float) -> tuple[Vm, ...]:
        """Set the VMs that the settings configure and return those that are new."""
        configured_by_id = {vm.vm: vm for vm in configured if vm.vm != self.local_vm_id}
        for vm_id, peer in list(self.peers.items()):
            if peer.configured and vm_id not in configured_by_id:
                del self.peers[vm_id]
        added = tuple(vm for vm in configured_by_id.values() if self.add(vm, now))
        for vm_id in configured_by_id:
            self.peers[vm_id].configured = True
        return added

    def add(self, vm: Vm, now: float) -> bool:
        """Add a VM unless it is known; return whether it was added."""
        if vm.vm in self.peers or vm.vm == self.local_vm_id:
            return False
        peer_vm = vm._replace(incarnation=UNKNOWN_INCARNATION)
        self.peers[vm.vm] = Peer(peer_vm, now, configured=False)
        decisions.log("peer-learned", vm=vm.vm, zone=vm.zone)
        return True

    def prune(self, now: float, settings: MembershipSettings) -> None:
        """Remove discovered VMs that have left or were silent for too long."""
        for vm_id, peer in list(self.peers.items()):
            if peer.configured or peer.in_view:
                continue
            retention_seconds = settings.silent_retention_seconds
            if peer.left:
                retention_seconds = settings.left_retention_seconds
            if now - max(peer.last_echo, peer.view_changed_at) > retention_seconds:
                del self.peers[vm_id]

    def report_changes(
        self, now: float, settings: MembershipSettings
    ) -> PeersChanged | None:
        """Return the list of peers if it differs from the last reported one."""
        current = tuple(
            sorted(
                peer.vm._replace(incarnation=UNKNOWN_INCARNATION)
                for peer in self.peers.values()
                if not peer.left or now - peer.left_at < settings.left_retention_seconds
            )
        )
        if current == self.last_reported:
            return None
        self.last_reported = current
        return PeersChanged(current)
