"""The VMs that belong to the system, named by the settings or learned at run time."""

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
        me: This VM.
        listed: The VMs that the settings name; this one among them is skipped.

    Attributes:
        peers: The peers by name.
        latest: The list as last told.
    """

    def __init__(self, local_vm: VmId, configured: tuple[Vm, ...]) -> None:
        self.local_vm = local_vm
        self.peers: dict[VmId, Peer] = {
            vm.vm: Peer(vm, NEVER, configured=True)
            for vm in configured
            if vm.vm != local_vm
        }
        self.last_reported: tuple[Vm, ...] | None = None

    def set_configured(self, configured: tuple[Vm, ...], now: float) -> tuple[Vm, ...]:
        """Take what the settings name now; return the VMs that are new here."""
        configured_by_id = {vm.vm: vm for vm in configured if vm.vm != self.local_vm}
        for name, peer in list(self.peers.items()):
            if peer.configured and name not in configured_by_id:
                del self.peers[name]
        added = tuple(vm for vm in configured_by_id.values() if self.add(vm, now))
        for name in configured_by_id:
            self.peers[name].configured = True
        return added

    def add(self, vm: Vm, now: float) -> bool:
        """Add a VM; return whether it is new."""
        if vm.vm in self.peers or vm.vm == self.local_vm:
            return False
        unknown = vm._replace(incarnation=UNKNOWN_INCARNATION)
        self.peers[vm.vm] = Peer(unknown, now, configured=False)
        decisions.log("peer-learned", vm=vm.vm, zone=vm.zone)
        return True

    def prune(self, now: float, settings: MembershipSettings) -> None:
        """Drop learned VMs that left or have been silent for long."""
        for name, peer in list(self.peers.items()):
            if peer.configured or peer.in_view:
                continue
            retention_seconds = settings.silent_retention_seconds
            if peer.left:
                retention_seconds = settings.left_retention_seconds
            if now - max(peer.last_echo, peer.view_changed_at) > retention_seconds:
                del self.peers[name]

    def report_changes(
        self, now: float, settings: MembershipSettings
    ) -> PeersChanged | None:
        """Return the list of peers if it is not what it was."""
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
