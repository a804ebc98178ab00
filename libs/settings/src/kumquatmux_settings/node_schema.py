"""The options of one process's own settings file."""

from __future__ import annotations

from kumquatmux_settings.options import (
    Address,
    Choice,
    CurveKeys,
    File,
    Name,
    Option,
)

ROLES = ("entry", "control")

NODE_OPTIONS: tuple[Option, ...] = (
    Name("vm", None, "Name of this process among its peers, unique."),
    Name("zone", None, "Availability zone it runs in."),
    Name("region", None, "Region of that zone."),
    Choice("role", None, ROLES, "Which daemon this file is for."),
    Name("cluster", "kumquatmux", "Name of the control VMs' cluster."),
    Address(
        "packets", None, "UDP endpoint for packets from the fabric and from peers."
    ),
    Address("fabric", None, "UDP endpoint of the fabric that packets leave by."),
    Address("control", None, "TCP endpoint for messages between processes."),
    Address("http", None, "HTTPS endpoint where backend servers announce themselves."),
    Address("operators", None, "HTTPS endpoint of the operators' API."),
    File("data_folder", None, "Folder on a disk for the settings log.", False),
    File("secret_key_file", None, "File with this process's CURVE secret key."),
    File("packet_key_file", None, "Key that entry VMs share for passed packets, hex."),
    File("tls_certificate_file", None, "Certificate of the HTTPS endpoints, PEM."),
    File("tls_key_file", None, "Private key of that certificate, PEM."),
    File("token_file", None, "TOML file with the SHA-256 hashes of operators' tokens."),
    Address("statsd", "127.0.0.1:8125", "UDP endpoint metrics are sent to."),
    Choice("log_format", "text", ("text", "json"), "Form of decision lines."),
)

PEER_OPTIONS: tuple[Option, ...] = (
    Name("vm", None, "Name of the peer."),
    Name("zone", None, "Availability zone of the peer."),
    Choice("role", "entry", ROLES, "Which daemon the peer is."),
    Address("packets", None, "UDP endpoint of an entry peer for packets."),
    Address("control", None, "TCP endpoint of the peer for messages."),
    Address("operators", None, "HTTPS endpoint of a control peer's operators' API."),
    CurveKeys("public_keys", (), "CURVE keys accepted from the peer, newest first."),
)

REQUIRED_ALWAYS = frozenset({"vm", "zone", "region", "role", "control"})
REQUIRED_BY_ROLE = {
    "entry": frozenset(
        {
            "packets",
            "fabric",
            "http",
            "secret_key_file",
            "packet_key_file",
            "tls_certificate_file",
            "tls_key_file",
        }
    ),
    "control": frozenset(
        {
            "operators",
            "data_folder",
            "secret_key_file",
            "tls_certificate_file",
            "tls_key_file",
            "token_file",
        }
    ),
}
PEER_REQUIRED_ALWAYS = frozenset({"vm", "zone", "control", "public_keys"})
PEER_REQUIRED_BY_ROLE = {
    "entry": frozenset({"packets"}),
    "control": frozenset({"operators"}),
}
