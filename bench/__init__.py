"""Benchmarks; figures are measured here and nowhere else."""
