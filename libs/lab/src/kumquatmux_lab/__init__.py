"""Load, experiments, fault runs and plots for kumquatmux."""

from __future__ import annotations
