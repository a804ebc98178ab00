"""A whole deployment on loopback addresses, written to a folder."""

from __future__ import annotations

import datetime
import json
import secrets
from pathlib import Path
from typing import NamedTuple

import tomlkit

from kumquatmux_core.identity import Endpoint, ServiceName, ZoneName
from kumquatmux_daemons.keys.certificates import new_certificate
from kumquatmux_daemons.keys.curve import CurvePair, new_curve_pair, write_curve_pair
from kumquatmux_daemons.keys.files import write_secret
from kumquatmux_daemons.keys.tokens import hash_token, new_token
from kumquatmux_settings.change import Edit

REGION = "th-north"
DEFAULT_NETWORK = "127.66.0"
FABRIC_HOST = 1
PACKET_KEY_BYTES = 32
PACKETS_PORT = 4500
CONTROL_PORT = 4600
HTTP_PORT = 4700
OPERATORS_PORT = 4800
FIRST_ENTRY_HOST = 10
FIRST_CONTROL_HOST = 100


class SiteService(NamedTuple):
    """A service of the site.

    Attributes:
        name: Its name.
        address: Where callers reach it.
    """

    name: ServiceName
    address: Endpoint


class SiteSettings(NamedTuple):
    """What a site is made of.

    Attributes:
        folder: Where its files go.
        zones: Its availability zones.
        entries_per_zone: Entry VMs in each zone.
        controls: Control VMs, spread over the zones.
        services: Its services.
        network: First three numbers of the addresses its processes listen on.
    """

    folder: Path
    zones: tuple[ZoneName, ...]
    entries_per_zone: int
    controls: int
    services: tuple[SiteService, ...]
    network: str = DEFAULT_NETWORK

    @property
    def fabric(self) -> Endpoint:
        """Where the stand-in fabric takes packets."""
        return Endpoint(f"{self.network}.{FABRIC_HOST}", PACKETS_PORT)


class SiteVm(NamedTuple):
    """One process of the site.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        role: ``entry`` or ``control``.
        ip: Its IP number.
        keys: Its CURVE keys.
    """

    name: str
    zone: ZoneName
    role: str
    ip: str
    keys: CurvePair

    @property
    def packets(self) -> Endpoint:
        """Where it takes packets."""
        return Endpoint(self.ip, PACKETS_PORT)

    @property
    def control(self) -> Endpoint:
        """Where it takes messages."""
        return Endpoint(self.ip, CONTROL_PORT)

    @property
    def http(self) -> Endpoint:
        """Where it takes announcements."""
        return Endpoint(self.ip, HTTP_PORT)

    @property
    def operators(self) -> Endpoint:
        """Where it serves operators."""
        return Endpoint(self.ip, OPERATORS_PORT)


class Site(NamedTuple):
    """A site that has been written.

    Attributes:
        settings: What it was made from.
        vms: Its processes.
        tokens: Announce token of each service.
        operator_token: Token of an operator who may change settings.
        certificate: File with the certificate of every HTTPS endpoint.
    """

    settings: SiteSettings
    vms: tuple[SiteVm, ...]
    tokens: dict[ServiceName, str]
    operator_token: str
    certificate: Path

    def entries(self) -> list[SiteVm]:
        """Return the entry VMs."""
        return [vm for vm in self.vms if vm.role == "entry"]

    def controls(self) -> list[SiteVm]:
        """Return the control VMs."""
        return [vm for vm in self.vms if vm.role == "control"]

    def file_of(self, vm: SiteVm) -> Path:
        """Return the settings file of a process."""
        return self.settings.folder / f"{vm.name}.toml"

    def first_edits(self) -> tuple[Edit, ...]:
        """Return the edits that declare the zones and services."""
        edits = [
            Edit(f"zones.{zone}.region", json.dumps(REGION))
            for zone in self.settings.zones
        ]
        for service in self.settings.services:
            path = f"services.{service.name}"
            hashes = [hash_token(self.tokens[service.name])]
            edits.append(Edit(f"{path}.address", json.dumps(str(service.address))))
            edits.append(Edit(f"{path}.announce_token_hashes", json.dumps(hashes)))
        return tuple(edits)


def write_site(settings: SiteSettings) -> Site:
    """Write the files of every process of a site."""
    settings.folder.mkdir(parents=True, exist_ok=True)
    vms = planned_vms(settings)
    site = Site(
        settings=settings,
        vms=vms,
        tokens={service.name: new_token() for service in settings.services},
        operator_token=new_token(),
        certificate=settings.folder / "site.pem",
    )
    _write_shared(site)
    for vm in vms:
        write_curve_pair(vm.keys, settings.folder / f"{vm.name}.secret")
        site.file_of(vm).write_text(tomlkit.dumps(_node_file(site, vm)))
    return site


def planned_vms(settings: SiteSettings) -> tuple[SiteVm, ...]:
    """Return the processes of a site, with fresh keys."""
    return tuple(_entry_vms(settings) + _control_vms(settings))


def _entry_vms(settings: SiteSettings) -> list[SiteVm]:
    vms: list[SiteVm] = []
    for zone in settings.zones:
        for number in range(1, settings.entries_per_zone + 1):
            ip = f"{settings.network}.{FIRST_ENTRY_HOST + len(vms)}"
            name = f"{zone}-{number}"
            vms.append(SiteVm(name, zone, "entry", ip, new_curve_pair()))
    return vms


def _control_vms(settings: SiteSettings) -> list[SiteVm]:
    vms: list[SiteVm] = []
    for number in range(settings.controls):
        zone = settings.zones[number % len(settings.zones)]
        ip = f"{settings.network}.{FIRST_CONTROL_HOST + number}"
        name = f"control-{number + 1}"
        vms.append(SiteVm(name, zone, "control", ip, new_curve_pair()))
    return vms


def _write_shared(site: Site) -> None:
    folder = site.settings.folder
    write_secret(folder / "packet.key", secrets.token_hex(PACKET_KEY_BYTES))
    now = datetime.datetime.now(datetime.UTC) - datetime.timedelta(minutes=1)
    ips = tuple(vm.ip for vm in site.vms)
    made = new_certificate("kumquatmux-site", ips, now)
    site.certificate.write_text(made.certificate)
    write_secret(folder / "site.key", made.key)
    write_secret(folder / "operator.token", site.operator_token)
    operator = {"operator": "demo", "access": "change"}
    operator["sha256"] = hash_token(site.operator_token)
    write_secret(folder / "tokens.toml", tomlkit.dumps({"tokens": [operator]}))


def _node_file(site: Site, vm: SiteVm) -> dict[str, object]:
    fields: dict[str, object] = {
        "vm": vm.name,
        "zone": vm.zone,
        "region": REGION,
        "role": vm.role,
        "control": str(vm.control),
        "secret_key_file": f"{vm.name}.secret",
        "tls_certificate_file": "site.pem",
        "tls_key_file": "site.key",
    }
    if vm.role == "entry":
        fields["packets"] = str(vm.packets)
        fields["fabric"] = str(site.settings.fabric)
        fields["http"] = str(vm.http)
        fields["packet_key_file"] = "packet.key"
    else:
        fields["operators"] = str(vm.operators)
        fields["data_folder"] = f"{vm.name}-data"
        fields["token_file"] = "tokens.toml"
    fields["peers"] = [_peer(peer) for peer in site.vms if peer is not vm]
    return fields


def _peer(vm: SiteVm) -> dict[str, object]:
    fields: dict[str, object] = {
        "vm": vm.name,
        "zone": vm.zone,
        "role": vm.role,
        "control": str(vm.control),
        "public_keys": [vm.keys.public],
    }
    if vm.role == "entry":
        fields["packets"] = str(vm.packets)
    else:
        fields["operators"] = str(vm.operators)
    return fields
