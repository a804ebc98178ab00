"""Buffers of packets with an unknown token and of SYN packets without a server."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.decisions import log as log_decision
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


class SynBuffer:
    """SYN packets that wait for a server, at most one for each flow.

    Attributes:
        by_flow: The packets by flow key.
    """

    def __init__(self, settings: TokenRouterSettings) -> None:
        self.settings = settings
        self.by_flow: dict[bytes, BufferedPacket] = {}

    def add(self, header: PacketHeader, data: bytes, now: float) -> bool:
        """Buffer a SYN packet; return whether there was room.

        A retransmission replaces the SYN packet buffered for its flow and keeps its
        deadline.
        """
        settings = self.settings
        buffered = self.by_flow.get(header.flow_key)
        if buffered is None and len(self.by_flow) >= settings.syn_buffer_limit:
            return False
        expires_at = buffered.expires_at if buffered else self.given_up_at(header, now)
        self.by_flow[header.flow_key] = BufferedPacket(header, data, expires_at)
        return True

    def given_up_at(self, header: PacketHeader, now: float) -> float:
        """Return when the caller of a SYN packet that has just come gives up."""
        settings = self.settings
        offset_index = min(
            header.retransmission_count, len(settings.syn_transmission_offsets_s) - 1
        )
        first_sent_at = now - settings.syn_transmission_offsets_s[offset_index]
        return first_sent_at + settings.caller_syn_timeout_s

    def unexpired_packet(self, flow_key: bytes, now: float) -> BufferedPacket | None:
        """Return the SYN packet of a flow if its caller still waits."""
        packet = self.by_flow.get(flow_key)
        return packet if packet is not None and packet.expires_at > now else None

    def unexpired_packets(self, now: float) -> list[BufferedPacket]:
        """Drop packets whose callers no longer wait; return the other packets."""
        for flow_key, packet in list(self.by_flow.items()):
            if packet.expires_at <= now:
                log_decision("opening-given-up", flow=flow_key.hex())
                del self.by_flow[flow_key]
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
