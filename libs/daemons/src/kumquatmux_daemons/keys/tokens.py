"""Bearer tokens of operators and backend servers, kept as hashes only."""

from __future__ import annotations

import hashlib
import hmac
import secrets
import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.problems import Problem
from kumquatmux_settings.options import SHA256_PATTERN

TOKEN_BYTES = 32


class Access(StrEnum):
    """What an operator's token allows."""

    READ = "read"
    CHANGE = "change"


class Operator(NamedTuple):
    """An operator as the token file knows them.

    Attributes:
        name: Who it is, for the history.
        access: What they may do.
        sha256: Hash of their token, in hexadecimal.
    """

    name: str
    access: Access
    sha256: str


def new_token() -> str:
    """Return a fresh token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def find_operator(operators: tuple[Operator, ...], token: str) -> Operator | None:
    """Return the operator a token belongs to, comparing in constant time."""
    digest = hash_token(token)
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.sha256, digest):
            found = operator
    return found


def read_operators(path: Path) -> Result[tuple[Operator, ...], Problem]:
    """Read a token file: ``[[tokens]]`` with operator, access and sha256."""
    try:
        tables = tomllib.loads(path.read_text()).get("tokens", [])
    except OSError as error:
        reason = error.strerror or str(error)
        return Error(Problem("file-unreadable", reason, str(path)))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(Problem("toml", str(error), str(path)))
    if not isinstance(tables, list) or not tables:
        return Error(Problem("missing", "has no [[tokens]] table", str(path)))
    operators = []
    for index, table in enumerate(tables):
        read = _read_operator(table)
        if read.is_error():
            return Error(Problem("value", read.error, f"tokens[{index}] ({path})"))
        operators.append(read.ok)
    return Ok(tuple(operators))


def _read_operator(table: Any) -> Result[Operator, str]:
    if not isinstance(table, dict):
        return Error("must be a table")
    name, access = table.get("operator"), table.get("access")
    digest = table.get("sha256")
    if not isinstance(name, str) or not name:
        return Error("operator must be a name")
    if access not in list(Access):
        return Error("access must be read or change")
    if not isinstance(digest, str) or not SHA256_PATTERN.fullmatch(digest):
        return Error("sha256 must be 64 hexadecimal digits")
    return Ok(Operator(name, Access(access), digest))
