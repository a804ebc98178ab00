"""Rendezvous hashing: the same ranking on every VM that knows the same members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(key: bytes, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(member.encode(), seed=xxhash.xxh3_64_intdigest(key))


def rank(key: bytes, members: Iterable[str]) -> list[str]:
    """Return the members from the first choice for a key to the last.

    Args:
        key: What is to be placed.
        members: Names of the members, in any order.

    Returns:
        The members by falling weight; equal weights are ordered by name.
    """
    return sorted(members, key=lambda member: (-weight(key, member), member))


def first(key: bytes, members: Iterable[str]) -> str | None:
    """Return the first choice for a key, or None without members."""
    return min(members, key=lambda member: (-weight(key, member), member), default=None)
