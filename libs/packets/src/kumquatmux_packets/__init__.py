"""Parsing and rewriting of IPv4 packets carried in UDP datagrams."""

from __future__ import annotations
