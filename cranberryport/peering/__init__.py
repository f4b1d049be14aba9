"""Connections between entry instances, and the messages that they exchange."""
