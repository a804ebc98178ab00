"""Buffers of packets with an unknown token and of SYN packets without a server."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import ServiceName, VmId
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.sequences import follows_syn
from kumquatmux_tokens.settings import TokenRouterSettings


class BufferedPacket(NamedTuple):
    """A buffered packet.

    Attributes:
        header: Its header fields.
        data: Its bytes.
        expires_at: Time when it is dropped, in monotonic seconds.
    """

    header: PacketHeader
    data: bytes
    expires_at: float


class TokenLookupBuffer:
    """Packets that are buffered while their token is looked up.

    Attributes:
        by_token: The packets by token.
        count: Total number of packets.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_token: dict[int, list[BufferedPacket]] = {}
        self.count = 0

    def add(self, header: PacketHeader, data: bytes, now: float) -> bool:
        """Buffer a packet if there is room; return whether to look up its token.

        The token is looked up only for the first packet that carries it.
        """
        if self.count >= self.settings.token_buffer_limit:
            return False
        packets = self.by_token.setdefault(header.token, [])
        packets.append(
            BufferedPacket(header, data, now + self.settings.token_lookup_timeout_s)
        )
        self.count += 1
        return len(packets) == 1

    def pop_packets(self, token: int) -> list[BufferedPacket]:
        """Remove and return the packets that carry a token."""
        packets = self.by_token.pop(token, [])
        self.count -= len(packets)
        return packets

    def remove_expired(self, now: float) -> None:
        """Drop packets that have been buffered for too long."""
        for token, packets in list(self.by_token.items()):
            remaining = [packet for packet in packets if packet.expires_at > now]
            self.count -= len(packets) - len(remaining)
            if remaining:
                self.by_token[token] = remaining
                continue
            del self.by_token[token]
            log_decision("token-unknown", token=token, dropped=len(packets))


class QueueWait(NamedTuple):
    """Wait of a buffered SYN packet's flow in the queue of a placement coordinator.

    Attributes:
        vm: The coordinator, which may be this VM.
        service: Service of the flow.
        asked_at: Time when that VM last said that the flow is queued.
    """

    vm: VmId
    service: ServiceName
    asked_at: float


class SynBuffer:
    """SYN packets that wait for a server, at most one for each flow.

    Attributes:
        by_flow: The packets by flow key.
        waits: Waits in the queue of a coordinator by flow key.
        retries: Keys of flows that are taken for retries of refused callers.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, BufferedPacket] = {}
        self.waits: dict[bytes, QueueWait] = {}
        self.retries: set[bytes] = set()

    def add(self, header: PacketHeader, data: bytes, now: float) -> bool:
        """Buffer a SYN packet; return whether there was room.

        A retransmission replaces the SYN packet buffered for its flow and keeps its
        deadline.
        """
        is_new = header.flow_key not in self.by_flow
        if is_new and len(self.by_flow) >= self.settings.syn_buffer_limit:
            return False
        expires_at = self.given_up_at(header, now)
        self.by_flow[header.flow_key] = BufferedPacket(header, data, expires_at)
        return True

    def seconds_left(self, header: PacketHeader, now: float) -> float:
        """Return the seconds for which the caller of a SYN packet still waits."""
        return max(self.given_up_at(header, now) - now, 0.0)

    def given_up_at(self, header: PacketHeader, now: float) -> float:
        """Return when the caller gives up, by the first SYN that is known."""
        buffered = self.by_flow.get(header.flow_key)
        if buffered is not None:
            return buffered.expires_at
        offsets_s = self.settings.syn_transmission_offsets_s
        copy = min(header.retransmission_count, len(offsets_s) - 1)
        return now - offsets_s[copy] + self.settings.caller_syn_timeout_s

    def unexpired_packet(self, flow_key: bytes, now: float) -> BufferedPacket | None:
        """Return the SYN packet of a flow if its caller still waits."""
        packet = self.by_flow.get(flow_key)
        return packet if packet is not None and packet.expires_at > now else None

    def unexpired_packets(self, now: float) -> list[BufferedPacket]:
        """Drop packets whose callers no longer wait; return the other packets."""
        for flow_key, packet in list(self.by_flow.items()):
            if packet.expires_at <= now:
                log_decision("opening-given-up", flow=flow_key.hex())
                self.remove(flow_key)
        return list(self.by_flow.values())

    def may_be_placed_elsewhere(self, flow_key: bytes, now: float) -> bool:
        """Return whether a buffered SYN packet's caller has sent another since.

        That one may have passed another VM, which placed the flow.
        """
        packet = self.by_flow.get(flow_key)
        if packet is None:
            return False
        first_sent_at = packet.expires_at - self.settings.caller_syn_timeout_s
        return now >= first_sent_at + self.settings.syn_transmission_offsets_s[1]

    def remove_opened(self, header: PacketHeader) -> None:
        """Remove the SYN packet of the flow of a packet that is no SYN."""
        packet = self.by_flow.get(header.flow_key)
        if packet and follows_syn(header.sequence_number, packet.header):
            self.remove(header.flow_key)

    def remove(self, flow_key: bytes) -> None:
        """Remove the SYN packet of a flow."""
        self.by_flow.pop(flow_key, None)
        self.waits.pop(flow_key, None)
        self.retries.discard(flow_key)

    def remove_unbuffered(self) -> None:
        """Forget the waits of flows whose SYN packets found no room."""
        for flow_key in self.waits.keys() - self.by_flow.keys():
            del self.waits[flow_key]
        self.retries &= self.by_flow.keys()
