"""The entry daemon that routes by tokens."""

from __future__ import annotations
