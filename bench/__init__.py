"""Benchmarks; they hold all bounds on time."""
