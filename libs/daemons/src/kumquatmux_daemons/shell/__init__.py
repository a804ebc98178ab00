"""The commands of the command line, by what they are for."""

from __future__ import annotations
