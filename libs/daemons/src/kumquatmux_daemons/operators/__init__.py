"""The operators' HTTP API."""

from __future__ import annotations
