"""Raft log replication as a pure state machine, for 1, 3 or 5 control VMs."""

from __future__ import annotations

from kumquatmux_agreement.replica import Replica
from kumquatmux_agreement.settings import ReplicaSettings

__all__ = ["Replica", "ReplicaSettings"]
