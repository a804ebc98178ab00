"""Seeded runs of the decision libraries under faults, with checked histories."""

from __future__ import annotations
