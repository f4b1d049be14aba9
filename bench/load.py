"""Callers for benchmarks: many connections, one request in flight on each."""

import dataclasses
import selectors
import socket
import statistics
import time

import h11

HANG_LIMIT_S = 60.0
READ_SIZE_BYTES = 65536


@dataclasses.dataclass(kw_only=True, slots=True)
class Figures:
    """What a run gave.

    Attributes
    ----------
    requests_per_s : float
        Finished requests a second.
    median_ms, p99_ms : float
        Latency in milliseconds.
    outcomes : dict
        Number of responses by ``Request-Outcome``, or by status without one.
    """

    requests_per_s: float
    median_ms: float
    p99_ms: float
    outcomes: dict


class _Caller:
    """One keep-alive connection."""

    __slots__ = ("_address", "_protocol", "_sent_at", "_sock", "latencies", "outcomes")

    def __init__(self, *, port):
        self._sock = socket.create_connection(("127.0.0.1", port), HANG_LIMIT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._protocol = h11.Connection(h11.CLIENT)
        self._sent_at = 0.0
        self.latencies = []
        self.outcomes = {}

    @property
    def sock(self):
        """The socket."""
        return self._sock

    def send(self, method, target, headers, body):
        """Send a request."""
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
        """Read what has arrived; return whether the response is whole."""
        self._protocol.receive_data(self._sock.recv(READ_SIZE_BYTES))
        while (event := self._protocol.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                self._count(event)
            elif isinstance(event, h11.EndOfMessage):
                self.latencies.append(time.perf_counter() - self._sent_at)
                self._protocol.start_next_cycle()
                return True
            elif isinstance(event, h11.ConnectionClosed):
                raise RuntimeError("the server closed the connection")
        return False

    def _count(self, response):
        headers = dict(response.headers)
        name = headers.get(b"request-outcome", str(response.status_code).encode())
        name = name.decode("ascii")
        self.outcomes[name] = self.outcomes.get(name, 0) + 1


def measure(ports, make_request, *, connection_count, request_count):
    """Send requests and return the figures.

    Parameters
    ----------
    ports : list of int
        The connections are spread over these ports.
    make_request : callable
        Returns method, target, headers (list of pairs of str) and body.
    connection_count : int
        Connections in all, each with one request in flight.
    request_count : int
        Requests in all.

    Returns
    -------
    Figures
        Of the whole run.
    """
    selector = selectors.DefaultSelector()
    callers = [
        _Caller(port=ports[number % len(ports)]) for number in range(connection_count)
    ]
    for caller in callers:
        selector.register(caller.sock, selectors.EVENT_READ, caller)
    started = time.perf_counter()
    for caller in callers:
        caller.send(*make_request())
    sent, done = connection_count, 0
    while done < request_count:
        ready = selector.select(HANG_LIMIT_S)
        if not ready:
            raise RuntimeError(f"no response for {HANG_LIMIT_S} s")
        for key, _ in ready:
            if not key.data.receive():
                continue
            done += 1
            if sent < request_count:
                key.data.send(*make_request())
                sent += 1
    duration_s = time.perf_counter() - started
    selector.close()
    for caller in callers:
        caller.sock.close()
    return _summarize(callers, duration_s)


def _summarize(callers, duration_s):
    latencies = sorted(value for caller in callers for value in caller.latencies)
    outcomes = {}
    for caller in callers:
        for name, count in caller.outcomes.items():
            outcomes[name] = outcomes.get(name, 0) + count
    return Figures(
        requests_per_s=len(latencies) / duration_s,
        median_ms=statistics.median(latencies) * 1000,
        p99_ms=latencies[int(len(latencies) * 0.99)] * 1000,
        outcomes=outcomes,
    )
