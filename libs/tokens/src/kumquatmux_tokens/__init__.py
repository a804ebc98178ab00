"""Sans-I/O routing of flows by the server token in each packet."""

from __future__ import annotations
