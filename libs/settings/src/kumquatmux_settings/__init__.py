"""The settings tree, its schema, changes, undo and distribution."""

from __future__ import annotations
