"""Shared types of kumquatmux: identities, segments, hashing, codec, decision lines."""

from __future__ import annotations
