"""Packets that wait: for their token to be known, or for a server to open a flow at."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_tokens.packets import Head
from kumquatmux_tokens.settings import TokenSettings


class Held(NamedTuple):
    """A packet that waits.

    Attributes:
        head: The packet.
        data: Its bytes.
        until: When it is dropped, in steady seconds.
    """

    head: Head
    data: bytes
    until: float


class HeldTokens:
    """Packets whose token is being asked for.

    Attributes:
        count: How many wait.
    """

    def __init__(self, settings: TokenSettings) -> None:
        self.settings = settings
        self.by_token: dict[int, list[Held]] = {}
        self.count = 0

    def put(self, head: Head, data: bytes, now: float) -> bool:
        """Keep a packet for a while; return whether its token is to be asked for."""
        if self.count >= self.settings.held_packets:
            return False
        waiting = self.by_token.setdefault(head.token, [])
        waiting.append(Held(head, data, now + self.settings.hold_s))
        self.count += 1
        return len(waiting) == 1

    def release(self, token: int) -> list[Held]:
        """Return the packets that waited for a token that is known now."""
        released = self.by_token.pop(token, [])
        self.count -= len(released)
        return released

    def sweep(self, now: float) -> None:
        """Drop what has waited too long."""
        for token, waiting in list(self.by_token.items()):
            kept = [one for one in waiting if one.until > now]
            self.count -= len(waiting) - len(kept)
            if kept:
                self.by_token[token] = kept
                continue
            del self.by_token[token]
            log_decision("token-unknown", token=token, dropped=len(waiting))


class WaitingOpenings:
    """Opening packets without a server, one a flow, while their callers wait."""

    def __init__(self, settings: TokenSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, Held] = {}

    def put(self, head: Head, data: bytes, now: float) -> bool:
        """Keep an opening packet; return whether there was room."""
        settings = self.settings
        known = self.by_flow.get(head.flow)
        if known is None and len(self.by_flow) >= settings.waiting_openings:
            return False
        copy = min(head.copy, len(settings.copy_after_s) - 1)
        began = now - settings.copy_after_s[copy]
        until = known.until if known else began + settings.patience_s
        self.by_flow[head.flow] = Held(head, data, until)
        return True

    def due(self, now: float) -> list[Held]:
        """Return the packets whose callers still wait; forget the others."""
        for flow, held in list(self.by_flow.items()):
            if held.until <= now:
                log_decision("opening-given-up", flow=flow.hex())
                del self.by_flow[flow]
        return list(self.by_flow.values())

    def remove(self, flow: bytes) -> None:
        """Hold the opening packet of a flow no longer."""
        self.by_flow.pop(flow, None)
