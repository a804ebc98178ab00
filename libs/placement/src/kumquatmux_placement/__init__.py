"""Admission and placement of work on backend servers, free of I/O."""

from __future__ import annotations
