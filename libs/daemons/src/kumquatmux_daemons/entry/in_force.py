"""The services of a settings revision as one entry VM brings them into force."""

from __future__ import annotations

from functools import lru_cache
from typing import TypeVar

from kumquatmux_core.identity import ServiceName, ZoneName
from kumquatmux_daemons.entry.traffic import Gate, gate_of
from kumquatmux_placement.settings import PlacementSettings
from kumquatmux_settings.copy_events import InForce
from kumquatmux_settings.tree import (
    Service,
    Values,
    affected_services,
    resolve,
    service_of,
    services,
    traffic_rules,
)

SHARED_KEPT = 256

Settings = TypeVar("Settings", bound=tuple)


class ServicesInForce:
    """Services, gates and placement settings, kept up with what changes.

    Attributes:
        zone: Availability zone of this VM.
        services: Services by name.
        gates: Traffic rules by service.
        placement: Placement settings by service.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone
        self.services: dict[ServiceName, Service] = {}
        self.gates: dict[ServiceName, Gate] = {}
        self.placement: dict[ServiceName, PlacementSettings] = {}

    def update(self, values: Values, change: InForce) -> frozenset[ServiceName]:
        """Take a revision into force.

        Args:
            values: The tree at the revision.
            change: The revision, with what changed from the one before.

        Returns:
            The services that may have changed and are still declared.
        """
        affected = affected_services(change.edits)
        if affected is None:
            self.services = {each.service: each for each in services(values)}
            self.gates = {}
            self.placement = {}
            names = frozenset(self.services)
        else:
            names = frozenset(ServiceName(name) for name in affected)
            self._read_again(values, names)
        declared = names & self.services.keys()
        for name in declared:
            self._resolve(values, name, change.revision)
        return declared

    def _read_again(self, values: Values, names: frozenset[ServiceName]) -> None:
        for name in names:
            service = service_of(values, name)
            if service is not None:
                self.services[name] = service
                continue
            for table in (self.services, self.gates, self.placement):
                table.pop(name, None)

    def _resolve(self, values: Values, name: ServiceName, revision: int) -> None:
        rules = traffic_rules(values, self.zone, name)
        base = PlacementSettings(zone=self.zone, revision=revision)
        placement = resolve(values, "placement", base, self.zone, name)
        self.gates[name] = _shared(gate_of(self.services[name], rules))
        self.placement[name] = _shared(placement)


@lru_cache(maxsize=SHARED_KEPT, typed=True)
def _shared(settings: Settings) -> Settings:
    """Return the first of equal settings, as most services have the same."""
    return settings
