"""What VMs say of third VMs: which rumour is the later one, how often it is sent."""

from __future__ import annotations

from heapq import nsmallest

import xxhash

from kumquatmux_core.identity import VmId
from kumquatmux_membership.events import MemberStatus, MemberUpdate

MAX_UPDATES_PER_HEARTBEAT = 8
SENDS_PER_UPDATE = 16


def precedence(update: MemberUpdate) -> tuple[int, int, int]:
    """Return the order of rumours about one VM; the higher one is the later one."""
    return update.incarnation, update.refutations, update.status


class GossipState:
    """The latest rumour about each VM and those still to be passed on."""

    def __init__(self) -> None:
        self.latest: dict[VmId, MemberUpdate] = {}
        self.sends: dict[VmId, int] = {}
        self.cached_digest = 0

    def merge(self, update: MemberUpdate) -> bool:
        """Take a rumour; return whether it is news."""
        previous = self.latest.get(update.vm)
        if previous is not None and precedence(previous) >= precedence(update):
            return False
        if update.vm_record is None and previous is not None:
            update = update._replace(vm_record=previous.vm_record)
        self.latest[update.vm] = update
        self.sends[update.vm] = 0
        self.cached_digest = 0
        return True

    def next_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the rumours sent least often so far, counting them as sent."""
        if not self.sends:
            return ()
        selected = nsmallest(
            MAX_UPDATES_PER_HEARTBEAT, self.sends, key=self.sends.__getitem__
        )
        for vm in selected:
            self.sends[vm] += 1
            if self.sends[vm] >= SENDS_PER_UPDATE:
                del self.sends[vm]
        return tuple(self.latest[vm] for vm in selected)

    def is_alive(self, vm: VmId) -> bool:
        """Whether no rumour says that a VM was lost or has left."""
        update = self.latest.get(vm)
        return update is None or update.status == MemberStatus.ALIVE

    def digest(self) -> int:
        """Return 32 bits that are the same on VMs with the same rumours, never 0."""
        if self.cached_digest == 0:
            lines = sorted(
                f"{vm} {precedence(update)}" for vm, update in self.latest.items()
            )
            self.cached_digest = xxhash.xxh32_intdigest("\n".join(lines).encode()) or 1
        return self.cached_digest
