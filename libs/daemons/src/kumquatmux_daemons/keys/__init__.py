"""Keys, certificates and tokens."""

from __future__ import annotations
