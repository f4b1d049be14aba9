"""Decisions about jobs, tasks, executors and instances, without input or output."""
