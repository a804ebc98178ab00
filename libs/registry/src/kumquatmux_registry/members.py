"""Lists of live VMs that a control VM tells its followers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from kumquatmux_core.identity import VmId, ZoneName
from kumquatmux_registry.feed import FeedPoll


class Members(NamedTuple):
    """Lists of live VMs as one follower needs them.

    Attributes:
        control: Live control VMs.
        entries: Live entry VMs in the follower's zone; empty for a control VM.
        digest: Digest of both lists, never 0.
    """

    control: tuple[VmId, ...]
    entries: tuple[VmId, ...]
    digest: int


class MemberLists:
    """Lists of live VMs by zone, built again only after a VM came or went.

    Attributes:
        own_vm: The control VM that keeps the lists.
        by_zone: Lists for the entry VMs of a zone; those for control VMs are under
            the empty name.
    """

    def __init__(self, own_vm: VmId) -> None:
        self.own_vm = own_vm
        self.by_zone: dict[ZoneName, Members] = {}

    def clear(self) -> None:
        """Forget the lists, as a VM came or went."""
        self.by_zone.clear()

    def members_for(self, poll: FeedPoll, polls: Iterable[FeedPoll]) -> Members:
        """Return the lists for the sender of a poll.

        Args:
            poll: The poll.
            polls: Latest poll of each live VM.
        """
        zone = ZoneName("") if poll.is_control else poll.zone
        members = self.by_zone.get(zone)
        if members is None:
            members = self.by_zone[zone] = self._build(zone, list(polls))
        return members

    def _build(self, zone: ZoneName, polls: list[FeedPoll]) -> Members:
        control = control_vms(self.own_vm, polls)
        entries = entry_vms(zone, polls) if zone else ()
        text = " ".join((*control, "/", *entries))
        return Members(control, entries, xxhash.xxh32_intdigest(text.encode()) or 1)


def control_vms(own_vm: VmId, polls: Iterable[FeedPoll]) -> tuple[VmId, ...]:
    """Return the live control VMs, including the one that asks."""
    others = [poll.sender for poll in polls if poll.is_control]
    return tuple(sorted([own_vm, *others]))


def entry_vms(zone: ZoneName, polls: Iterable[FeedPoll]) -> tuple[VmId, ...]:
    """Return the live entry VMs of a zone that are not shutting down."""
    vms = [
        poll.sender
        for poll in polls
        if poll.zone == zone and not poll.is_control and not poll.is_stopping
    ]
    return tuple(sorted(vms))


def listing_key(poll: FeedPoll) -> tuple[ZoneName, bool, bool]:
    """Return the fields of a poll that decide in which lists its sender stands."""
    return (poll.zone, poll.is_control, poll.is_stopping)
