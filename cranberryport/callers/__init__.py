"""The daemon's way of a caller's request: admission, routing and retries."""
