"""Rendezvous hashing: VMs with the same member set compute the same ranking."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(key: bytes, member: str) -> int:
    """Return the 64-bit hash weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(member.encode(), seed=xxhash.xxh3_64_intdigest(key))


def rank(key: bytes, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of preference for a key.

    Args:
        key: Key to assign to a member.
        members: Names of the members, in any order.

    Returns:
        The members by descending weight; equal weights are ordered by name.
    """
    return sorted(members, key=lambda member: (-weight(key, member), member))


def first(key: bytes, members: Iterable[str]) -> str | None:
    """Return the highest-ranked member for a key, or None if there are no members."""
    return min(members, key=lambda member: (-weight(key, member), member), default=None)
