"""The entry and control daemons, the operators API and the command line."""

from __future__ import annotations
