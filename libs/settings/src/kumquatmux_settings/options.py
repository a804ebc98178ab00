"""Typed options that check the values given to them."""

from __future__ import annotations

import ipaddress
import re
from functools import cache, singledispatch
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from kumquatmux_core.identity import Endpoint

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
CURVE_KEY_CHARACTERS = 40
PORT_MAX = 65535


class Whole(NamedTuple):
    """A whole number in a range."""

    name: str
    default: int | None
    low: int
    high: int
    unit: str
    doc: str


class Fraction(NamedTuple):
    """A number in a range, with decimals."""

    name: str
    default: float | None
    low: float
    high: float
    unit: str
    doc: str


class Choice(NamedTuple):
    """One word of a fixed few."""

    name: str
    default: str | None
    choices: tuple[str, ...]
    doc: str


class Name(NamedTuple):
    """A name in lower case letters, digits and hyphens."""

    name: str
    default: str | None
    doc: str


class Address(NamedTuple):
    """An IPv4 number and a port, written ``ip:port``."""

    name: str
    default: str | None
    doc: str


class Names(NamedTuple):
    """A list of names."""

    name: str
    default: tuple[str, ...]
    doc: str


class Networks(NamedTuple):
    """A list of IPv4 networks, written ``ip/bits``."""

    name: str
    default: tuple[str, ...]
    doc: str


class TokenHashes(NamedTuple):
    """A list of SHA-256 hashes of tokens, in lower case hexadecimal."""

    name: str
    default: tuple[str, ...]
    doc: str


class CurveKeys(NamedTuple):
    """A list of CURVE public keys in Z85, 40 characters each."""

    name: str
    default: tuple[str, ...]
    doc: str


class File(NamedTuple):
    """A path, taken from the folder of the settings file where it is relative.

    ``must_exist`` tells whether it has to be there when the process starts.
    """

    name: str
    default: str | None
    doc: str
    must_exist: bool = True


Option = (
    Whole
    | Fraction
    | Choice
    | Name
    | Address
    | Names
    | Networks
    | TokenHashes
    | CurveKeys
    | File
)


@singledispatch
def check(option: Any, value: Any) -> Result[Any, str]:
    """Return a value as its option's Python type, or the reason it is refused.

    Args:
        option: What the value is for.
        value: The value as TOML or JSON gives it.
    """
    raise TypeError(f"no check for {type(option).__name__}")


@check.register
def _(option: Whole, value: Any) -> Result[Any, str]:
    if type(value) is not int:
        return Error("must be a whole number")
    return _in_range(option, value)


@check.register
def _(option: Fraction, value: Any) -> Result[Any, str]:
    if type(value) not in (int, float):
        return Error("must be a number")
    return _in_range(option, float(value))


@check.register
def _(option: Choice, value: Any) -> Result[Any, str]:
    if value not in option.choices:
        return Error(f"must be one of {', '.join(option.choices)}")
    return Ok(value)


@check.register
def _(option: Name, value: Any) -> Result[Any, str]:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        return Error("must be lower case letters, digits and hyphens")
    return Ok(value)


@check.register
def _(option: Address, value: Any) -> Result[Any, str]:
    ip, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not _is_ip(ip) or not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        return Error("must be an IPv4 number and a port, as in 10.0.0.1:8080")
    return Ok(Endpoint(ip, int(port)))


@check.register
def _(option: Names, value: Any) -> Result[Any, str]:
    return _each(value, lambda item: bool(NAME_PATTERN.fullmatch(item)), "names")


@check.register
def _(option: Networks, value: Any) -> Result[Any, str]:
    return _each(value, _is_network, "IPv4 networks, as in 10.0.0.0/8")


@check.register
def _(option: TokenHashes, value: Any) -> Result[Any, str]:
    kind = "SHA-256 hashes of 64 hexadecimal digits"
    return _each(value, lambda item: bool(SHA256_PATTERN.fullmatch(item)), kind)


@check.register
def _(option: CurveKeys, value: Any) -> Result[Any, str]:
    kind = "CURVE public keys of 40 characters"
    return _each(value, lambda item: len(item) == CURVE_KEY_CHARACTERS, kind)


@check.register
def _(option: File, value: Any) -> Result[Any, str]:
    if not isinstance(value, str) or not value:
        return Error("must be a path")
    return Ok(Path(value))


@cache
def default_of(option: Any) -> Any:
    """Return an option's default as its Python type, None if it has none."""
    if option.default is None:
        return None
    value = option.default
    return check(option, list(value) if isinstance(value, tuple) else value).ok


def _in_range(option: Any, value: Any) -> Result[Any, str]:
    if option.low <= value <= option.high:
        return Ok(value)
    return Error(f"must be from {option.low} to {option.high} {option.unit}".rstrip())


def _each(value: Any, fits: Any, kind: str) -> Result[Any, str]:
    is_list = isinstance(value, list | tuple)
    if not is_list or not all(isinstance(item, str) and fits(item) for item in value):
        return Error(f"must be a list of {kind}")
    if len(set(value)) != len(value):
        return Error("must not repeat an item")
    return Ok(tuple(value))


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_network(text: str) -> bool:
    try:
        ipaddress.IPv4Network(text)
    except ValueError:
        return False
    return "/" in text
