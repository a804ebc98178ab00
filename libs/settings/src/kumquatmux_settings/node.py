"""One process's own settings, read from its TOML file."""

from __future__ import annotations

import difflib
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint, Vm, VmId, ZoneName
from kumquatmux_core.problems import Problem
from kumquatmux_settings.lines import key_lines
from kumquatmux_settings.node_schema import (
    NODE_OPTIONS,
    PEER_OPTIONS,
    PEER_REQUIRED_ALWAYS,
    PEER_REQUIRED_BY_ROLE,
    REQUIRED_ALWAYS,
    REQUIRED_BY_ROLE,
)
from kumquatmux_settings.options import File, Option, check, default_of

GROUP_OR_WORLD_READABLE = 0o044
SECRET_FILES = ("secret_key_file", "packet_key_file", "tls_key_file", "token_file")


class Peer(NamedTuple):
    """Another process of the system, as this one's file names it.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        role: ``entry`` or ``control``.
        control: TCP endpoint for messages.
        public_keys: CURVE public keys accepted from it, newest first.
        packets: UDP endpoint for packets, entry peers only.
        operators: HTTPS endpoint of the operators' API, control peers only.
    """

    vm: VmId
    zone: ZoneName
    role: str
    control: Endpoint
    public_keys: tuple[str, ...]
    packets: Endpoint | None = None
    operators: Endpoint | None = None


class NodeSettings(NamedTuple):
    """All that one process learns from its own file.

    Attributes:
        vm: Name of this process among its peers.
        zone: Its availability zone.
        region: Region of that zone.
        role: ``entry`` or ``control``.
        control: TCP endpoint for messages between processes.
        cluster: Name of the control VMs' cluster.
        packets: UDP endpoint for packets, entry only.
        fabric: UDP endpoint packets leave by, entry only.
        http: HTTPS endpoint for announcements, entry only.
        operators: HTTPS endpoint of the operators' API, control only.
        data_folder: Folder of the settings log, control only.
        secret_key_file: CURVE secret key of this process.
        packet_key_file: Key entry VMs share for passed packets, entry only.
        tls_certificate_file: Certificate of the HTTPS endpoints.
        tls_key_file: Private key of that certificate.
        token_file: Hashes of the operators' tokens, control only.
        statsd: UDP endpoint metrics are sent to.
        log_format: ``text`` or ``json``.
        peers: The other processes.
        warnings: What looks wrong but does not stop the process.
    """

    vm: VmId
    zone: ZoneName
    region: str
    role: str
    control: Endpoint
    cluster: str = "kumquatmux"
    packets: Endpoint | None = None
    fabric: Endpoint | None = None
    http: Endpoint | None = None
    operators: Endpoint | None = None
    data_folder: Path | None = None
    secret_key_file: Path | None = None
    packet_key_file: Path | None = None
    tls_certificate_file: Path | None = None
    tls_key_file: Path | None = None
    token_file: Path | None = None
    statsd: Endpoint = Endpoint("127.0.0.1", 8125)
    log_format: str = "text"
    peers: tuple[Peer, ...] = ()
    warnings: tuple[Problem, ...] = ()

    def as_vm(self, incarnation: int = 0) -> Vm:
        """Return this entry process as its peers know it."""
        return as_vm(self, incarnation)

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the entry peers."""
        return tuple(as_vm(peer) for peer in self.peers if peer.role == "entry")

    def control_peers(self) -> tuple[Peer, ...]:
        """Return the control peers."""
        return tuple(peer for peer in self.peers if peer.role == "control")


def as_vm(member: NodeSettings | Peer, incarnation: int = 0) -> Vm:
    """Return a process as membership knows it; without packets, port 0."""
    packets = member.packets or Endpoint(member.control.ip, 0)
    return Vm(member.vm, member.zone, packets, member.control, incarnation)


def load_node(
    path: Path, *, check_files: bool = True
) -> Result[NodeSettings, list[Problem]]:
    """Read one process's settings file.

    Args:
        path: The TOML file.
        check_files: Whether the files it names must be there.

    Returns:
        The settings, or every problem found, each with key, file and line.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Error([Problem("file-unreadable", _reason(error), str(path))])
    return parse_node(text, path, check_files=check_files)


def parse_node(
    text: str, path: Path, *, check_files: bool = False
) -> Result[NodeSettings, list[Problem]]:
    """Return the settings in a TOML text that stands, or would stand, at a path."""
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([Problem("toml", str(error), str(path))])
    reader = _Reader(path, key_lines(text))
    fields = reader.table("", tree, NODE_OPTIONS, ("peers",))
    reader.required("", fields, REQUIRED_ALWAYS, REQUIRED_BY_ROLE)
    peers = reader.peers(tree.get("peers", []))
    reader.conflicts(fields, peers)
    if check_files:
        reader.files(fields)
    if reader.problems:
        return Error(reader.problems)
    fields.update(peers=tuple(Peer(**peer) for peer in peers))
    return Ok(NodeSettings(**fields, warnings=tuple(reader.warnings)))


class _Reader:
    """Gathers values and problems of one file."""

    def __init__(self, path: Path, lines: dict[str, int]) -> None:
        self.path = path
        self.lines = lines
        self.problems: list[Problem] = []
        self.warnings: list[Problem] = []

    def table(
        self,
        prefix: str,
        table: dict[str, Any],
        options: tuple[Option, ...],
        others: tuple[str, ...] = (),
    ) -> dict[str, Any]:
        """Return the checked values of one table, defaults included."""
        known = {option.name: option for option in options}
        for key in table:
            if key not in known and key not in others:
                self.unknown(prefix, key, tuple(known) + others)
        values = {}
        for name, option in known.items():
            value = self.value(prefix, table, option)
            if value is not None:
                values[name] = value
        return values

    def value(self, prefix: str, table: dict[str, Any], option: Option) -> Any:
        if option.name not in table:
            return default_of(option)
        checked = check(option, table[option.name])
        if checked.is_error():
            detail = f"{table[option.name]!r} {checked.error}"
            self.problem("value", prefix + option.name, detail)
            return None
        if isinstance(option, File):
            return self.path.parent / checked.ok
        return checked.ok

    def peers(self, tables: Any) -> list[dict[str, Any]]:
        if not isinstance(tables, list) or not all(isinstance(t, dict) for t in tables):
            self.problem("value", "peers", "must be written as [[peers]] tables")
            return []
        found = []
        for index, table in enumerate(tables):
            prefix = f"peers[{index}]."
            fields = self.table(prefix, table, PEER_OPTIONS)
            self.required(prefix, fields, PEER_REQUIRED_ALWAYS, PEER_REQUIRED_BY_ROLE)
            found.append(fields)
        return found

    def required(
        self,
        prefix: str,
        fields: dict[str, Any],
        always: frozenset[str],
        by_role: dict[str, frozenset[str]],
    ) -> None:
        role = fields.get("role", "")
        wanted = always | by_role.get(role, frozenset())
        flawed = {problem.subject.split(" ")[0] for problem in self.problems}
        for name in sorted(wanted):
            if fields.get(name) in (None, ()) and prefix + name not in flawed:
                detail = f"is required for a process of role {role or 'entry'}"
                self.problem("missing", prefix + name, detail)

    def conflicts(self, fields: dict[str, Any], peers: list[dict[str, Any]]) -> None:
        """Refuse two processes of one name or one endpoint."""
        seen: dict[Any, str] = {}
        members = [("", fields), *((f"peers[{i}].", p) for i, p in enumerate(peers))]
        for prefix, member in members:
            for name in ("vm", "packets", "control", "http", "operators"):
                value = member.get(name)
                protocol = "udp" if name == "packets" else "tcp"
                identity = (protocol if name != "vm" else "vm", value)
                if value is not None and identity in seen:
                    detail = f"{value} is already used by {seen[identity]}"
                    self.problem("duplicate", prefix + name, detail)
                seen.setdefault(identity, prefix + name)

    def files(self, fields: dict[str, Any]) -> None:
        for option in NODE_OPTIONS:
            path = fields.get(option.name)
            if not isinstance(option, File) or path is None:
                continue
            if not path.exists() and option.must_exist:
                self.problem("file-missing", option.name, f"{path} does not exist")
            elif path.exists() and option.name in SECRET_FILES:
                self.secrecy(option.name, path)

    def secrecy(self, name: str, path: Path) -> None:
        if path.stat().st_mode & GROUP_OR_WORLD_READABLE:
            detail = f"{path} can be read by other users; chmod 600 it"
            self.warnings.append(Problem("file-open", detail, self.where(name)))

    def unknown(self, prefix: str, key: str, known: tuple[str, ...]) -> None:
        near = difflib.get_close_matches(key, known, n=1)
        hint = f"; did you mean {near[0]}?" if near else ""
        detail = f"is not an option and is ignored{hint}"
        self.warnings.append(Problem("unknown-key", detail, self.where(prefix + key)))

    def problem(self, code: str, key: str, detail: str) -> None:
        self.problems.append(Problem(code, detail, self.where(key)))

    def where(self, key: str) -> str:
        table = key.rpartition(".")[0]
        line = self.lines.get(key) or self.lines.get(table)
        suffix = f":{line}" if line else ""
        return f"{key} ({self.path}{suffix})"


def _reason(error: Exception) -> str:
    return getattr(error, "strerror", None) or str(error)
