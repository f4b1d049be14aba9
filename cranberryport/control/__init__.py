"""Components that keep the state of the fleet in the store and act on it."""
