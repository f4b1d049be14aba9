"""Logs, metrics and pages about what the processes do."""
