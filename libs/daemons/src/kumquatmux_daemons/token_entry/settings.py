"""Settings of one token entry process."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, VmId, ZoneName


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
    """

    vm: VmId
    zone: ZoneName
    peers: Endpoint
    packets: Endpoint
    readiness: Endpoint
    metrics: Endpoint
    seeds: tuple[VmId, ...]
    stop_s: float = 2.6
