"""A replicated log as a pure state machine."""

from __future__ import annotations
