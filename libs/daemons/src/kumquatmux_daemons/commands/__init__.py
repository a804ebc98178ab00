"""What the commands of the command line do."""

from __future__ import annotations
