"""Benchmarks, run by hand and never by the tests."""
