"""Experiments described by a file, run against the daemons on loopback."""
