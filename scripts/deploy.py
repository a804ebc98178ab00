"""Write the example settings under deploy/, one folder for each deployment."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PACKETS_PORT = 6081
CONTROL_PORT = 7600
HTTP_PORT = 7443
OPERATORS_PORT = 7543
FIRST_HOST = 11
ENTRY_VMS_PER_ZONE = 2
CURVE_KEY_CHARACTERS = 40
TOKEN_HASH = "0" * 64


class Service(NamedTuple):
    name: str
    address: str
    hold_ms: int
    long_ms: int
    idle: str


class Deployment(NamedTuple):
    folder: str
    region: str
    zones: tuple[str, ...]
    net: str
    link_cost_ms: int
    services: tuple[Service, ...]


COOPERATIVE = Deployment(
    folder="cooperative",
    region="th-north",
    zones=("cnx-a", "cnx-b", "lpg-a"),
    net="10.20",
    link_cost_ms=10,
    services=(
        Service("entries", "10.20.0.10:80", 1000, 200, "feeds and amendments"),
        Service("pagesetter", "10.20.0.11:80", 5000, 1000, "finished pages"),
    ),
)
FEDERATION = Deployment(
    folder="federation",
    region="lk-west",
    zones=("lk-west-a", "lk-west-b", "lk-west-c"),
    net="10.30",
    link_cost_ms=8,
    services=(
        Service("depot-desk", "10.30.0.10:80", 2000, 200, "count screens and claims"),
        Service("ledger-house", "10.30.0.11:80", 5000, 1000, "weekly ledgers"),
    ),
)


class Member(NamedTuple):
    vm: str
    zone: str
    role: str
    ip: str

    @property
    def public_key(self) -> str:
        """A stand-in of the right length; ``keys new`` prints the real one."""
        return f"public-key-of-{self.vm}-".ljust(CURVE_KEY_CHARACTERS, "x")


def members(deployment: Deployment) -> list[Member]:
    found = []
    for index, zone in enumerate(deployment.zones, start=1):
        for number in range(ENTRY_VMS_PER_ZONE):
            ip = f"{deployment.net}.{index}.{FIRST_HOST + number}"
            found.append(Member(f"{zone}-{number + 1}", zone, "entry", ip))
        ip = f"{deployment.net}.{index}.{FIRST_HOST}"
        found.append(Member(f"{zone}-control", zone, "control", ip))
    return found


def node_file(deployment: Deployment, member: Member) -> str:
    control_port = CONTROL_PORT + (member.role == "control")
    lines = [
        f'vm = "{member.vm}"',
        f'zone = "{member.zone}"',
        f'region = "{deployment.region}"',
        f'role = "{member.role}"',
        f'control = "{member.ip}:{control_port}"',
    ]
    if member.role == "entry":
        lines += [
            f'packets = "{member.ip}:{PACKETS_PORT}"',
            f'fabric = "{deployment.net}.0.1:{PACKETS_PORT}"',
            f'http = "{member.ip}:{HTTP_PORT}"',
            'packet_key_file = "packets.key"',
        ]
    else:
        lines += [
            f'cluster = "{deployment.folder}"',
            f'operators = "{member.ip}:{OPERATORS_PORT}"',
            'data_folder = "/var/lib/kumquatmux"',
            'token_file = "tokens.toml"',
        ]
    lines += [
        f'secret_key_file = "{member.vm}.secret"',
        f'tls_certificate_file = "{member.vm}.pem"',
        f'tls_key_file = "{member.vm}.key"',
    ]
    for peer in members(deployment):
        if peer != member:
            lines += peer_lines(peer)
    return "\n".join(lines) + "\n"


def peer_lines(peer: Member) -> list[str]:
    control_port = CONTROL_PORT + (peer.role == "control")
    lines = [
        "",
        "[[peers]]",
        f'vm = "{peer.vm}"',
        f'zone = "{peer.zone}"',
        f'role = "{peer.role}"',
        f'control = "{peer.ip}:{control_port}"',
    ]
    if peer.role == "entry":
        lines.append(f'packets = "{peer.ip}:{PACKETS_PORT}"')
    else:
        lines.append(f'operators = "{peer.ip}:{OPERATORS_PORT}"')
    return [*lines, f'public_keys = ["{peer.public_key}"]']


def tree_file(deployment: Deployment) -> str:
    lines = [
        "# The shared tree; bring it into force with: kumquatmux apply tree.toml",
        "# Put the SHA-256 of each service's token in place of the zeros;",
        "# kumquatmux keys token makes a pair.",
        "",
        "[defaults.placement]",
        f"link_cost_ms = {deployment.link_cost_ms}",
    ]
    for zone in deployment.zones:
        lines += ["", f"[zones.{zone}]", f'region = "{deployment.region}"']
    for service in deployment.services:
        lines += [
            "",
            f"# {service.idle}",
            f"[services.{service.name}]",
            f'address = "{service.address}"',
            f'announce_token_hashes = ["{TOKEN_HASH}"]',
            "",
            f"[services.{service.name}.placement]",
            f"hold_ms = {service.hold_ms}",
            f"long_ms = {service.long_ms}",
        ]
    return "\n".join(lines) + "\n"


def unit_file(role: str) -> str:
    stop_s = 40 if role == "entry" else 15
    return f"""[Unit]
Description=kumquatmux {role} daemon
After=network-online.target
Wants=network-online.target

[Service]
User=kumquatmux
StateDirectory=kumquatmux
ExecStart=/opt/kumquatmux/bin/kumquatmux {role} --config /etc/kumquatmux/{role}.toml
Restart=on-failure
RestartSec=1
RestartPreventExitStatus=2
KillSignal=SIGTERM
TimeoutStopSec={stop_s}
LimitNOFILE=65536
NoNewPrivileges=yes
ProtectSystem=strict
ProtectHome=yes
PrivateTmp=yes

[Install]
WantedBy=multi-user.target
"""


def outputs() -> dict[Path, str]:
    """Return every file with its content, by path below deploy/."""
    texts = {}
    for deployment in (COOPERATIVE, FEDERATION):
        folder = Path(deployment.folder)
        for member in members(deployment):
            texts[folder / f"{member.vm}.toml"] = node_file(deployment, member)
        texts[folder / "tree.toml"] = tree_file(deployment)
        for role in ("entry", "control"):
            name = f"kumquatmux-{role}.service"
            texts[folder / name] = unit_file(role)
    return texts


def main() -> int:
    for path, text in outputs().items():
        target = ROOT / "deploy" / path
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
