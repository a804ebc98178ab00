"""Implement flow ownership, flow records, recovery and expiry without I/O."""

from __future__ import annotations

from kumquatmux_flows.engine import FlowEngine
from kumquatmux_flows.settings import FlowSettings

__all__ = ["FlowEngine", "FlowSettings"]
