"""Admission and placement of work on backend servers, without I/O."""

from __future__ import annotations
