"""Durable files: checksummed segments, snapshots and the vote record."""

from __future__ import annotations
