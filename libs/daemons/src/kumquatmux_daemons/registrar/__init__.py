"""The registrar: leases of backend servers and numbered documents at a control VM."""

from __future__ import annotations
