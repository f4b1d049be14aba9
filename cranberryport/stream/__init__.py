"""Client of the log service, and components that keep the control state in the log."""
