"""How an entry instance handles callers' requests: admission, routing and retries."""
