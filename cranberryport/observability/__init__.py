"""Logs, metrics and administration pages of the processes."""
