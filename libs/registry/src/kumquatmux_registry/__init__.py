"""Registry of backend servers: leases held by control VMs, and their feed."""

from __future__ import annotations
