"""Making the key files of one process."""

from __future__ import annotations

import datetime
import secrets
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.keys.certificates import new_certificate
from kumquatmux_daemons.keys.curve import new_curve_pair, write_curve_pair
from kumquatmux_daemons.keys.files import write_secret
from kumquatmux_daemons.keys.tokens import hash_token, new_token

PACKET_KEY_BYTES = 32


class NewKeys(NamedTuple):
    """What was made for one process.

    Attributes:
        public_key: CURVE public key, for the peers' files.
        files: The files that were written.
    """

    public_key: str
    files: tuple[str, ...]


class NewToken(NamedTuple):
    """A token and the hash to put into a token file or into the tree.

    Attributes:
        token: To be given to its user.
        sha256: To be kept by the system.
    """

    token: str
    sha256: str


def make_node_keys(
    name: str, ips: tuple[str, ...], folder: Path, now: datetime.datetime
) -> Result[NewKeys, Problem]:
    """Write a CURVE key and a certificate for one process into a folder.

    Args:
        name: The process's name; the files are ``NAME.secret``, ``.pem``, ``.key``.
        ips: IPv4 numbers its HTTPS endpoints are reached by.
        folder: Where the files go; nothing there is replaced.
        now: Wall-clock time from which the certificate is valid.
    """
    pair = new_curve_pair()
    certificate = new_certificate(name, ips, now)
    secret_file, key_file = folder / f"{name}.secret", folder / f"{name}.key"
    certificate_file = folder / f"{name}.pem"
    written = (
        write_curve_pair(pair, secret_file)
        .bind(lambda _: write_secret(key_file, certificate.key))
        .bind(lambda _: write_secret(certificate_file, certificate.certificate))
    )
    if written.is_error():
        return Error(written.error)
    certificate_file.chmod(0o644)
    files = (str(secret_file), str(key_file), str(certificate_file))
    return Ok(NewKeys(pair.public, files))


def make_packet_key(path: Path) -> Result[None, Problem]:
    """Write the key that all entry VMs share for passed packets."""
    return write_secret(path, secrets.token_hex(PACKET_KEY_BYTES) + "\n")


def make_token() -> NewToken:
    """Return a fresh token with its hash."""
    token = new_token()
    return NewToken(token, hash_token(token))
