"""Load patterns played on the cores of token entry VMs, without a network."""

from __future__ import annotations
