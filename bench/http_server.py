"""Requests per second and latency of the HTTP server with a trivial handler.

Run ``python -m bench.http_server``. The server runs in a process of its own; the load
comes from one thread of this process, over loopback, with one request in flight per
connection.
"""

import argparse
import selectors
import socket
import statistics
import subprocess
import sys
import time

from circuits import BaseComponent, handler
from circuits import web as circuits_web
from circuits.core import pollers

from cranberryport import timers
from cranberryport.http import limits, server

CONNECTION_COUNTS = (1, 16, 64)
REQUESTS_PER_RUN = 6000
WARM_UP_REQUESTS = 500
SERVERS = ("strict", "plain")
HANG_LIMIT_S = 60.0
REQUEST = b"GET /quota/x HTTP/1.1\r\nHost: a\r\nDesk: sulina\r\n\r\n"
BODY = "ok"


class TrivialHandler(BaseComponent):
    """Answers each request with a short text."""

    channel = "web"

    @handler("request")
    def _on_request(self, request, response):
        return BODY


class PlainServer(circuits_web.BaseServer):
    """circuits.web's own server, for comparison."""

    @handler("ready", override=True)
    def _on_ready(self, *_):
        """Print nothing on stderr."""


class Load:
    """One connection with one request in flight."""

    __slots__ = ("_data", "_sent_at", "latencies", "sock")

    def __init__(self, *, port):
        self.sock = socket.create_connection(("127.0.0.1", port), HANG_LIMIT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.latencies = []
        self._data = b""
        self._sent_at = 0.0

    def send(self):
        """Send the next request."""
        self._data = b""
        self._sent_at = time.perf_counter()
        self.sock.sendall(REQUEST)

    def receive(self):
        """Read what has arrived; return whether the response is whole."""
        part = self.sock.recv(65536)
        if not part:
            raise RuntimeError("the server closed the connection")
        self._data += part
        if not self._data.endswith(b"\r\n\r\n" + BODY.encode("ascii")):
            return False
        if not self._data.startswith(b"HTTP/1.1 200 "):
            raise RuntimeError(f"unexpected response {self._data[:80]!r}")
        self.latencies.append(time.perf_counter() - self._sent_at)
        return True


def serve(kind):
    """Run a server until standard input ends; print its port."""
    root = BaseComponent()
    # The default poller of circuits is select().
    pollers.EPoll().register(root)
    clock = timers.Timers().register(root)
    if kind == "strict":
        http = server.StrictServer(
            timers=clock, host="127.0.0.1", port=0, limits=limits.Limits()
        )
    else:
        http = PlainServer(("127.0.0.1", 0), display_banner=False)
    http.register(root)
    TrivialHandler().register(root)
    print(http.port, flush=True)
    root.start()
    sys.stdin.read()
    root.stop()


def measure(port, connection_count, request_count):
    """Send requests and return the figures.

    Parameters
    ----------
    port : int
        Port of the server.
    connection_count : int
        Connections, each with one request in flight.
    request_count : int
        Requests in all.

    Returns
    -------
    tuple of (float, list of float)
        Requests per second; latencies in seconds.
    """
    selector = selectors.DefaultSelector()
    loads = [Load(port=port) for _ in range(connection_count)]
    for load in loads:
        selector.register(load.sock, selectors.EVENT_READ, load)
    started = time.perf_counter()
    for load in loads:
        load.send()
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
                key.data.send()
                sent += 1
    duration_s = time.perf_counter() - started
    for load in loads:
        load.sock.close()
    selector.close()
    return done / duration_s, [value for load in loads for value in load.latencies]


def run(kind, request_count):
    """Measure one kind of server and print one line per number of connections."""
    command = [sys.executable, "-m", "bench.http_server", "--serve", kind]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        port = int(process.stdout.readline())
        measure(port, 1, WARM_UP_REQUESTS)
        for count in CONNECTION_COUNTS:
            rate, latencies = measure(port, count, request_count)
            median_ms = statistics.median(latencies) * 1000
            p99_ms = statistics.quantiles(latencies, n=100)[98] * 1000
            print(
                f"{kind:6} {count:3} connections: {rate:6.0f} requests/s, "
                f"median {median_ms:.2f} ms, 99th percentile {p99_ms:.2f} ms"
            )
        process.stdin.close()


def main():
    """Measure the servers named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--serve", choices=SERVERS, help="only run a server")
    parser.add_argument("--requests", type=int, default=REQUESTS_PER_RUN)
    arguments = parser.parse_args()
    if arguments.serve:
        serve(arguments.serve)
        return
    for kind in SERVERS:
        run(kind, arguments.requests)


if __name__ == "__main__":
    main()
