"""How an entry instance handles callers' requests: admission, routing and retries.

An entry instance is one daemon process between callers and backend servers. All entry
instances fold the records of the log (the control stream) into the same control state,
that is, they apply them in order. Each has a session in this state, and the session has
a share of the slots of each backend server and of the connections to each service.
"""
