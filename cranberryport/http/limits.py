"""Limits on what callers may send."""


class Limits:
    """Limits on callers' input.

    Parameters
    ----------
    header_bytes : int, default=16384
        Request line and headers together.
    body_bytes : int, default=1048576
        Body of one request, and bodies of the waiting requests of a connection
        together.
    header_timeout_s : float, default=5.0
        Seconds from the first byte of a request to the end of its headers.
    body_timeout_s : float, default=10.0
        Seconds from the end of the headers to the end of the body.
    pipelined_requests : int, default=4
        Requests of one connection that may wait behind the one in progress.
    connections : int, default=512
        Open connections.
    idle_timeout_s : float, default=75.0
        Seconds without progress after which a connection with no request in progress
        is closed. A connection that went silent for good would otherwise count
        against `connections` forever.
    """

    __slots__ = (
        "body_bytes",
        "body_timeout_s",
        "connections",
        "header_bytes",
        "header_timeout_s",
        "idle_timeout_s",
        "pipelined_requests",
    )

    def __init__(
        self,
        *,
        header_bytes=16 * 1024,
        body_bytes=1024 * 1024,
        header_timeout_s=5.0,
        body_timeout_s=10.0,
        pipelined_requests=4,
        connections=512,
        idle_timeout_s=75.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.body_timeout_s = body_timeout_s
        self.pipelined_requests = pipelined_requests
        self.connections = connections
        self.idle_timeout_s = idle_timeout_s
