"""Limits on the size, time and number of callers' requests and connections."""


class Limits:
    """Limits that the HTTP server enforces on callers.

    Parameters
    ----------
    header_bytes : int, default=16384
        Largest size of the request line and headers together.
    body_bytes : int, default=1048576
        Largest size of the body of one request, and of the bodies of all pipelined
        requests of a connection together.
    header_timeout_s : float, default=5.0
        Seconds from the first byte of a request to the end of its headers.
    body_timeout_s : float, default=10.0
        Seconds from the end of the headers to the end of the body.
    pipelined_requests : int, default=4
        Requests that may wait on one connection while another is in progress there.
    connections : int, default=512
        Largest number of open connections.
    idle_timeout_s : float, default=75.0
        Seconds without data in either direction after which a connection without a
        request in progress is closed. Otherwise connections whose callers have
        disappeared would count against `connections` forever.
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
