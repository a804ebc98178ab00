"""A small HTTP/1.1 server for calls from the platform, on h11."""

from __future__ import annotations
