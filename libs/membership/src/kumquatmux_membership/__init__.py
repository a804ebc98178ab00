"""Failure detection among VMs and leases of backend servers, free of I/O."""

from __future__ import annotations
