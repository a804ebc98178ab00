"""Routing of flows by a token in each packet, free of I/O."""

from __future__ import annotations
