"""The daemon's control state in the platform's log: sessions, shares and records."""
