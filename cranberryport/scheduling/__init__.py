"""Decisions about jobs, tasks and instances, without input or output."""
