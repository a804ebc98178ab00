"""Keys of the settings tree and the places they stand for."""

from __future__ import annotations

from typing import NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_settings.options import NAME_PATTERN, Option
from kumquatmux_settings.schema import SECTION_BY_NAME, SECTIONS, SERVICE, ZONE, Section


class Place(NamedTuple):
    """One option at one level of the tree.

    Attributes:
        zone: Availability zone of the level; empty for none.
        service: Service of the level; empty for none.
        section: Section of the option.
        name: Name of the option.
    """

    zone: str
    service: str
    section: str
    name: str

    @property
    def option(self) -> Option:
        """The option that stands here."""
        option = SECTION_BY_NAME[self.section].option(self.name)
        assert option is not None
        return option

    @property
    def path(self) -> str:
        """The dotted key of this place."""
        return f"{self.level}.{self.tail}"

    @property
    def level(self) -> str:
        """The dotted key of the level."""
        levels = []
        if self.zone:
            levels.append(f"zones.{self.zone}")
        if self.service:
            levels.append(f"services.{self.service}")
        return ".".join(levels) or "defaults"

    @property
    def tail(self) -> str:
        """The part of the key below the level."""
        if self.section in (ZONE.name, SERVICE.name):
            return self.name
        return f"{self.section}.{self.name}"


def parse_path(path: str) -> Result[Place, Problem]:
    """Return the place a dotted key stands for, or why it is none."""
    parts = path.split(".")
    zone = service = ""
    own: Section | None = None
    if parts[0] == "defaults":
        parts = parts[1:]
    else:
        if parts[0] == "zones" and len(parts) > 2:
            zone, parts, own = parts[1], parts[2:], ZONE
        if parts[0] == "services" and len(parts) > 2:
            service, parts, own = parts[1], parts[2:], None if zone else SERVICE
        if not zone and not service:
            return _refuse(path, "must begin with defaults, zones.<zone> or services.")
    for name in (zone, service):
        if name and not NAME_PATTERN.fullmatch(name):
            detail = f"{name!r} must be lower case letters, digits and hyphens"
            return _refuse(path, detail)
    return _place(path, zone, service, own, parts)


def _place(
    path: str, zone: str, service: str, own: Section | None, parts: list[str]
) -> Result[Place, Problem]:
    if own is not None and len(parts) == 1 and own.option(parts[0]):
        return Ok(Place(zone, service, own.name, parts[0]))
    if len(parts) != 2:
        return _refuse(path, "is not an option")
    section = next((each for each in SECTIONS if each.name == parts[0]), None)
    if section is None:
        return _refuse(path, f"there is no section {parts[0]!r}")
    if section.option(parts[1]) is None:
        return _refuse(path, f"section {section.name} has no option {parts[1]!r}")
    if service and not section.by_service:
        return _refuse(path, f"section {section.name} cannot be set for a service")
    return Ok(Place(zone, service, section.name, parts[1]))


def _refuse(path: str, detail: str) -> Result[Place, Problem]:
    return Error(Problem("unknown-key", detail, path))
