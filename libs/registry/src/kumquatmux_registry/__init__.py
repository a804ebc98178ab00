"""Leases of backend servers at control VMs and the feed that spreads them."""

from __future__ import annotations
