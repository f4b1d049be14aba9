"""Benchmarks and models; performance is measured here and not in the unit tests."""
