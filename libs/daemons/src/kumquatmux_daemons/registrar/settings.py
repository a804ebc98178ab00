"""Settings of one registrar process."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from kumquatmux_core.identity import Endpoint, VmId, ZoneName


class RegistrarSettings(NamedTuple):
    """Who a registrar is and whom it works with.

    Attributes:
        vm: This VM, named by its IP number.
        zone: Its availability zone.
        peers: UDP endpoint for messages between VMs; the port is the same on all.
        calls: TCP endpoint for calls of operators and backend servers; likewise.
        metrics: TCP endpoint on which metrics are read.
        seeds: Control VMs to begin with.
        founds: Whether it founds the cluster with the other seeds if its folder is
            empty.
        folder: Its data folder.
        losses: Disks that may be lost at once.
        report_period_s: Seconds between reports of a backend server.
    """

    vm: VmId
    zone: ZoneName
    peers: Endpoint
    calls: Endpoint
    metrics: Endpoint
    seeds: tuple[VmId, ...]
    founds: bool
    folder: Path
    losses: int
    report_period_s: float
