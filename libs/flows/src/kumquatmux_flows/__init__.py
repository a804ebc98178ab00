"""Flow ownership, records, recovery and expiry, free of I/O."""

from __future__ import annotations
