"""Ownership of flows: rendezvous hashing ranks the live VMs for each service."""

from __future__ import annotations

from kumquatmux_core import rendezvous
from kumquatmux_core.identity import FlowKey, VmId, ZoneName
from kumquatmux_flows.events import ViewChanged
from kumquatmux_flows.routes import service_key_of
from kumquatmux_flows.table import NO_VM

NO_ZONE = ZoneName("")


class Ranking:
    """Ranks the live VMs for each service key.

    Attributes:
        live_vms: Names of the VMs in the membership view, including this one unless
            it shuts down.
        changed_at: Time in seconds of the last change of the live VMs.
        loss_times: Time in seconds of each recent loss of a VM.
        ranked_vms: Ranked VMs by service key.
        vm_numbers: Small number of each incarnation of a VM.
        incarnations: Incarnation of each VM in the view.
        vm_zones: Availability zone of each VM in the view.
        owner_change_times: Time in seconds of the last change of owner, by service key.
        leaving: Whether this VM shuts down.
    """

    def __init__(self, vm: VmId) -> None:
        self.vm = vm
        self.live_vms: tuple[VmId, ...] = (vm,)
        self.changed_at = float("-inf")
        self.loss_times: list[float] = []
        self.ranked_vms: dict[bytes, list[VmId]] = {}
        self.vm_numbers: dict[tuple[VmId, int], int] = {}
        self.incarnations: dict[VmId, int] = {}
        self.vm_zones: dict[VmId, ZoneName] = {}
        self.owner_change_times: dict[bytes, float] = {}
        self.leaving = False

    def apply_view(self, view: ViewChanged, now: float) -> None:
        """Apply a new membership view."""
        vm_names = tuple(sorted(vm.vm for vm in view.live))
        self.loss_times.extend(now for _ in view.lost_vms)
        self.incarnations = {vm.vm: vm.incarnation for vm in view.live}
        self.vm_zones = {vm.vm: vm.zone for vm in view.live}
        self.set_live_vms(vm_names, now)

    def leave(self, now: float) -> None:
        """Remove this VM from the ranking for its shutdown."""
        self.leaving = True
        self.set_live_vms(self.live_vms, now)

    def set_live_vms(self, vm_names: tuple[VmId, ...], now: float) -> None:
        """Set the live VMs and record which service keys change their owner."""
        if self.leaving:
            vm_names = tuple(name for name in vm_names if name != self.vm)
        if vm_names == self.live_vms:
            return
        previous_ranks = self.ranked_vms
        self.live_vms = vm_names
        self.changed_at = now
        self.ranked_vms = {}
        for service_key, ranked in previous_ranks.items():
            if self.rank(service_key)[:1] != ranked[:1]:
                self.owner_change_times[service_key] = now

    def rank(self, service_key: bytes) -> list[VmId]:
        """Return the ranked VMs for a service key, the owner first."""
        ranked = self.ranked_vms.get(service_key)
        if ranked is None:
            ranked = [
                VmId(name) for name in rendezvous.rank(service_key, self.live_vms)
            ]
            self.ranked_vms[service_key] = ranked
        return ranked

    def owner_of(self, key: FlowKey) -> VmId | None:
        """Return the VM that owns a flow, None if no VM is live."""
        ranked = self.rank(service_key_of(key))
        return ranked[0] if ranked else None

    def owns(self, service_key: bytes) -> bool:
        """Return whether this VM owns the flows of a service key."""
        ranked = self.rank(service_key)
        return bool(ranked) and ranked[0] == self.vm

    def backup(self, service_key: bytes, zone: ZoneName = NO_ZONE) -> VmId | None:
        """Return the VM that holds the backup copies of a service's flows.

        It is the next VM of the ranking, which is also the next owner. If the servers
        are in another availability zone than this VM, it is the first VM of their zone,
        so that a zone that is cut off holds the records of the flows to its servers.

        Args:
            service_key: Service part of the flow keys.
            zone: Availability zone of the flows' servers, empty if unknown.
        """
        other_vms = [name for name in self.rank(service_key) if name != self.vm]
        if zone and self.vm_zones.get(self.vm) != zone:
            for name in other_vms:
                if self.vm_zones.get(name) == zone:
                    return name
        return other_vms[0] if other_vms else None

    def lookup_order(self, service_key: bytes, origin: VmId) -> list[VmId]:
        """Return the VMs that a lookup visits, the likely backup VMs first."""
        ranked = [name for name in self.rank(service_key) if name != origin]
        first_of_zone: dict[ZoneName, VmId] = {}
        for name in ranked:
            first_of_zone.setdefault(self.vm_zones.get(name, ZoneName("")), name)
        return list(dict.fromkeys([*ranked[:1], *first_of_zone.values(), *ranked]))

    def vm_number(self, name: VmId | None) -> int:
        """Return the small number of a VM's incarnation, ``NO_VM`` for None."""
        if name is None:
            return NO_VM
        incarnation_key = (name, self.incarnations.get(name, 0))
        return self.vm_numbers.setdefault(incarnation_key, len(self.vm_numbers))

    def count_recent_losses(self, window_seconds: float, now: float) -> int:
        """Return how many VMs were lost within a window in seconds."""
        self.loss_times = [
            time for time in self.loss_times if now - time < window_seconds
        ]
        return len(self.loss_times)
