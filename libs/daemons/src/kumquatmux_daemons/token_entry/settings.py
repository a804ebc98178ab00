"""Settings of one token entry process."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_tokens.settings import WarmUpLimits


class VmLimits(NamedTuple):
    """What a VM has; 0 where its settings do not say.

    Attributes:
        link_bytes_per_s: Bytes a second that its network link carries.
        max_descriptors: File descriptors that a process may have open.
        memory_bytes: Memory that a process may use.
    """

    link_bytes_per_s: float = 0.0
    max_descriptors: int = 0
    memory_bytes: int = 0


class EntrySettings(NamedTuple):
    """Who an entry VM is and whom it follows.

    Attributes:
        vm: This VM, named by its IP number.
        zone: Its availability zone.
        peers: UDP endpoint for messages between VMs; the port is the same on all.
        packets: UDP endpoint for packets of callers; callers take theirs at the
            same port.
        readiness: TCP endpoint at which the fabric asks whether it may send.
        metrics: TCP endpoint on which metrics are read.
        seeds: Control VMs to begin with.
        stop_s: Seconds a stopping entry VM serves on until the fabric has let go.
        limits: What the VM has.
        warm_up_limits: Limit of the openings at a cold server, None for no limit.
    """

    vm: VmId
    zone: ZoneName
    peers: Endpoint
    packets: Endpoint
    readiness: Endpoint
    metrics: Endpoint
    seeds: tuple[VmId, ...]
    stop_s: float = 2.6
    limits: VmLimits = VmLimits()
    warm_up_limits: WarmUpLimits | None = None
