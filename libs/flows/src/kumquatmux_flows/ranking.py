"""Which VM owns the flows of a service, by rendezvous over the live ones."""

from __future__ import annotations

from kumquatmux_core import rendezvous
from kumquatmux_core.identity import FlowKey, VmId, ZoneName
from kumquatmux_flows.events import ViewChanged
from kumquatmux_flows.routes import service_key_of
from kumquatmux_flows.table import NO_VM

NO_ZONE = ZoneName("")


class Ranking:
    """The live VMs in order, for each service address.

    Attributes:
        live: Names of the VMs in view, this one included unless it leaves.
        changed: When the view last changed, in seconds.
        losses: Time of each recent loss, in seconds.
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
        """Take a new view."""
        vm_names = tuple(sorted(vm.vm for vm in view.live))
        self.loss_times.extend(now for _ in view.lost_vms)
        self.incarnations = {vm.vm: vm.incarnation for vm in view.live}
        self.vm_zones = {vm.vm: vm.zone for vm in view.live}
        self.set_live_vms(vm_names, now)

    def leave(self, now: float) -> None:
        """Own nothing from now on."""
        self.leaving = True
        self.set_live_vms(self.live_vms, now)

    def set_live_vms(self, vm_names: tuple[VmId, ...], now: float) -> None:
        """Rank among other VMs."""
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
        """Return the VMs for a service address, its owner first."""
        ranked = self.ranked_vms.get(service_key)
        if ranked is None:
            ranked = [
                VmId(name) for name in rendezvous.rank(service_key, self.live_vms)
            ]
            self.ranked_vms[service_key] = ranked
        return ranked

    def owner_of(self, key: FlowKey) -> VmId | None:
        """Return the owner of a flow, None if no VM is live."""
        ranked = self.rank(service_key_of(key))
        return ranked[0] if ranked else None

    def owns(self, service_key: bytes) -> bool:
        """Return whether this VM owns the flows of a service address."""
        ranked = self.rank(service_key)
        return bool(ranked) and ranked[0] == self.vm

    def backup(self, service_key: bytes, zone: ZoneName = NO_ZONE) -> VmId | None:
        """Return the VM that keeps the second copies of flows to a zone's servers.

        It is the next of the ranking, who would be the next owner. Where this VM is
        not in the server's availability zone, it is the first VM of that zone: then
        a zone that is cut off has the records of its own servers' flows.
        """
        others = [name for name in self.rank(service_key) if name != self.vm]
        if zone and self.vm_zones.get(self.vm) != zone:
            for name in others:
                if self.vm_zones.get(name) == zone:
                    return name
        return others[0] if others else None

    def lookup_order(self, service_key: bytes, origin: VmId) -> list[VmId]:
        """Return the VMs a search visits: the likely backups first."""
        ranked = [name for name in self.rank(service_key) if name != origin]
        first_of_zone: dict[ZoneName, VmId] = {}
        for name in ranked:
            first_of_zone.setdefault(self.vm_zones.get(name, ZoneName("")), name)
        return list(dict.fromkeys([*ranked[:1], *first_of_zone.values(), *ranked]))

    def vm_number(self, name: VmId | None) -> int:
        """Return the small number of one incarnation of a VM, ``NO_VM`` for none."""
        if name is None:
            return NO_VM
        incarnation_key = (name, self.incarnations.get(name, 0))
        return self.vm_numbers.setdefault(incarnation_key, len(self.vm_numbers))

    def count_recent_losses(self, window_seconds: float, now: float) -> int:
        """Return how many VMs were lost within a time, in seconds."""
        self.loss_times = [
            time for time in self.loss_times if now - time < window_seconds
        ]
        return len(self.loss_times)
