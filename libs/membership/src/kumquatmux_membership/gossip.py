"""Membership updates spread by gossip: their precedence and how often each is sent."""

from __future__ import annotations

from heapq import nsmallest

import xxhash

from kumquatmux_core.identity import VmId
from kumquatmux_membership.events import MemberStatus, MemberUpdate

MAX_UPDATES_PER_HEARTBEAT = 8
SENDS_PER_UPDATE = 16


def precedence(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the sort key of an update about one VM; the highest one is the latest."""
    return update.incarnation, update.refutations, update.status


class GossipState:
    """The latest update about each VM and the updates that are still to be sent."""

    def __init__(self) -> None:
        self.latest_updates: dict[VmId, MemberUpdate] = {}
        self.sends: dict[VmId, int] = {}
        self.cached_digest = 0

    def merge(self, update: MemberUpdate) -> bool:
        """Merge an update; return whether it is new."""
        previous = self.latest_updates.get(update.vm)
        if previous is not None and precedence(previous) >= precedence(update):
            return False
        if update.vm_record is None and previous is not None:
            update = update._replace(vm_record=previous.vm_record)
        self.latest_updates[update.vm] = update
        self.sends[update.vm] = 0
        self.cached_digest = 0
        return True

    def next_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the updates sent least often and count them as sent."""
        if not self.sends:
            return ()
        selected = nsmallest(
            MAX_UPDATES_PER_HEARTBEAT, self.sends, key=self.sends.__getitem__
        )
        for vm in selected:
            self.sends[vm] += 1
            if self.sends[vm] >= SENDS_PER_UPDATE:
                del self.sends[vm]
        return tuple(self.latest_updates[vm] for vm in selected)

    def is_alive(self, vm: VmId) -> bool:
        """Return whether no update reports a VM as lost or left."""
        update = self.latest_updates.get(vm)
        return update is None or update.status == MemberStatus.ALIVE

    def digest(self) -> int:
        """Return a 32-bit digest, equal on VMs with the same updates and never 0."""
        if self.cached_digest == 0:
            lines = sorted(
                f"{vm} {precedence(update)}"
                for vm, update in self.latest_updates.items()
            )
            self.cached_digest = xxhash.xxh32_intdigest("\n".join(lines).encode()) or 1
        return self.cached_digest
