"""Durable storage of a consensus replica in one data folder."""

from __future__ import annotations

from kumquatmux_storage.store import Identity, Store, open_or_create, open_store

__all__ = ["Identity", "Store", "open_or_create", "open_store"]
