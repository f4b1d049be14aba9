"""HTTP load for the benchmarks: many connections, one request in flight on each.

One thread of the calling process serves all connections.
"""

import dataclasses
import selectors
import socket
import statistics
import time

import h11

RESPONSE_TIMEOUT_S = 60.0
READ_SIZE_BYTES = 65536


@dataclasses.dataclass(kw_only=True, slots=True)
class Figures:
    """Throughput, latency and outcomes of a run.

    Attributes
    ----------
    requests_per_s : float
        Finished requests a second.
    median_ms, p99_ms : float
        Median and 99th percentile of the latency in milliseconds.
    outcomes : dict
        Number of responses by their header ``Request-Outcome``, or by status if they
        have none.
    """

    requests_per_s: float
    median_ms: float
    p99_ms: float
    outcomes: dict


class _Connection:
    """One keep-alive connection with at most one request in flight.

    Parameters
    ----------
    port : int
        Port of the server on loopback.
    """

    __slots__ = (
        "_address",
        "_protocol",
        "_sent_at",
        "_sock",
        "latencies_s",
        "outcomes",
    )

    def __init__(self, *, port):
        self._sock = socket.create_connection(("127.0.0.1", port), RESPONSE_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._protocol = h11.Connection(h11.CLIENT)
        self._sent_at = 0.0
        self.latencies_s = []
        self.outcomes = {}

    @property
    def sock(self):
        """The socket."""
        return self._sock

    def send(self, method, target, headers, body):
        """Send a request without waiting for its response."""
        headers = [("Host", "bench"), *headers]
        if body:
            headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._protocol.send(request)
        if body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        self._sent_at = time.perf_counter()
        self._sock.sendall(data)

    def receive(self):
        """Read the bytes that have arrived; return whether the response is complete."""
        self._protocol.receive_data(self._sock.recv(READ_SIZE_BYTES))
        while (event := self._protocol.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                self._count_outcome(event)
            elif isinstance(event, h11.EndOfMessage):
                self.latencies_s.append(time.perf_counter() - self._sent_at)
                self._protocol.start_next_cycle()
                return True
            elif isinstance(event, h11.ConnectionClosed):
                raise RuntimeError("the server closed the connection")
        return False

    def _count_outcome(self, response):
        headers = dict(response.headers)
        name = headers.get(b"request-outcome", str(response.status_code).encode())
        name = name.decode("ascii")
        self.outcomes[name] = self.outcomes.get(name, 0) + 1


def measure(ports, make_request, *, connection_count, request_count):
    """Send requests over many connections and return the figures.

    Parameters
    ----------
    ports : list of int
        Ports of the servers, over which the connections are spread evenly.
    make_request : callable
        Returns method, target, headers (list of pairs of str) and body.
    connection_count : int
        Connections in all, each with one request in flight.
    request_count : int
        Requests in all.

    Returns
    -------
    Figures
        Figures of the whole run.
    """
    selector = selectors.DefaultSelector()
    connections = [
        _Connection(port=ports[number % len(ports)])
        for number in range(connection_count)
    ]
    for connection in connections:
        selector.register(connection.sock, selectors.EVENT_READ, connection)
    started_at = time.perf_counter()
    for connection in connections:
        connection.send(*make_request())
    sent_count, finished_count = connection_count, 0
    while finished_count < request_count:
        ready = selector.select(RESPONSE_TIMEOUT_S)
        if not ready:
            raise RuntimeError(f"no response for {RESPONSE_TIMEOUT_S} s")
        for key, _ in ready:
            if not key.data.receive():
                continue
            finished_count += 1
            if sent_count < request_count:
                key.data.send(*make_request())
                sent_count += 1
    duration_s = time.perf_counter() - started_at
    selector.close()
    for connection in connections:
        connection.sock.close()
    return _summarize(connections, duration_s)


def _summarize(connections, duration_s):
    latencies_s = sorted(
        value for connection in connections for value in connection.latencies_s
    )
    outcomes = {}
    for connection in connections:
        for name, count in connection.outcomes.items():
            outcomes[name] = outcomes.get(name, 0) + count
    return Figures(
        requests_per_s=len(latencies_s) / duration_s,
        median_ms=statistics.median(latencies_s) * 1000,
        p99_ms=latencies_s[int(len(latencies_s) * 0.99)] * 1000,
        outcomes=outcomes,
    )
