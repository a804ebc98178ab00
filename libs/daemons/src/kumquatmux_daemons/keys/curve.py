"""CURVE key pairs of the system's processes."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import zmq
from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_daemons.keys.files import write_secret


class CurvePair(NamedTuple):
    """A CURVE key pair in Z85.

    Attributes:
        public: For the peers' settings files.
        secret: For the process's own key file.
    """

    public: str
    secret: str


def new_curve_pair() -> CurvePair:
    """Return a fresh key pair."""
    public, secret = zmq.curve_keypair()
    return CurvePair(public.decode(), secret.decode())


def write_curve_pair(pair: CurvePair, secret_file: Path) -> Result[None, Problem]:
    """Write the secret key to a file that only its owner may read."""
    return write_secret(secret_file, pair.secret + "\n")


def read_curve_pair(secret_file: Path) -> Result[CurvePair, Problem]:
    """Read a secret key file and work out its public key."""
    try:
        secret = secret_file.read_text().strip()
        public = zmq.curve_public(secret.encode()).decode()
    except OSError as error:
        reason = error.strerror or str(error)
        return Error(Problem("file-unreadable", reason, str(secret_file)))
    except (ValueError, zmq.ZMQError):
        detail = "is not a CURVE secret key"
        return Error(Problem("key-malformed", detail, str(secret_file)))
    return Ok(CurvePair(public, secret))
