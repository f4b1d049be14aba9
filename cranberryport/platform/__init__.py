"""Adapter to the users' platform; nothing outside knows the platform's names."""
