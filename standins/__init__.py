"""Stand-ins for the platform and for backend servers, used by tests and demos."""
