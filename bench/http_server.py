"""Measure requests a second and latency of the HTTP server with a trivial handler.

Run ``python -m bench.http_server``. It measures the project's server (``strict``) and,
for comparison, that of circuits.web (``plain``). The server runs in a process of its
own; the load comes from one thread of this process, over loopback, with one request in
flight per connection.
"""

import argparse
import subprocess
import sys

from circuits import BaseComponent, handler
from circuits import web as circuits_web
from circuits.core import pollers

from bench import load
from cranberryport import timers
from cranberryport.http import limits, server

REQUESTS_PER_RUN = 6000
WARM_UP_REQUESTS = 500
# Pairs of connections and requests. The first pair is a warm-up and is not printed; 0
# stands for the number of requests given on the command line.
CONNECTION_RUNS = ((1, WARM_UP_REQUESTS), (1, 0), (16, 0), (64, 0))
SERVER_KINDS = ("strict", "plain")
RESPONSE_BODY = "ok"


class TrivialHandler(BaseComponent):
    """Answers each request with the same short body."""

    channel = "web"

    @handler("request")
    def _on_request(self, request, response):
        return RESPONSE_BODY


class PlainServer(circuits_web.BaseServer):
    """Server of circuits.web that prints no start message."""

    @handler("ready", override=True)
    def _on_ready(self, *_):
        """Replace the handler that prints the address on stderr."""


def run_server(kind):
    """Run a server of a kind until standard input ends; print its port."""
    root = BaseComponent()
    # The default poller of circuits uses select().
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


def make_request():
    """Return method, target, headers and body of a request without body."""
    return "GET", "/quota/x", [("Desk", "sulina")], b""


def measure_server(kind, request_count):
    """Measure one kind of server; print one line for each number of connections."""
    command = [sys.executable, "-m", "bench.http_server", "--serve", kind]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        port = int(process.stdout.readline())
        for connection_count, run_request_count in CONNECTION_RUNS:
            figures = load.measure(
                [port],
                make_request,
                connection_count=connection_count,
                request_count=run_request_count or request_count,
            )
            if set(figures.outcomes) != {"200"}:
                raise RuntimeError(f"unexpected responses: {figures.outcomes}")
            if run_request_count == WARM_UP_REQUESTS:
                continue
            print(
                f"{kind:6} {connection_count:3} connections: "
                f"{figures.requests_per_s:6.0f} requests/s, "
                f"median {figures.median_ms:.2f} ms, "
                f"99th percentile {figures.p99_ms:.2f} ms"
            )
        process.stdin.close()


def main():
    """Measure all kinds of servers; with ``--serve`` only run one of them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--serve", choices=SERVER_KINDS, help="only run a server")
    parser.add_argument("--requests", type=int, default=REQUESTS_PER_RUN)
    arguments = parser.parse_args()
    if arguments.serve:
        run_server(arguments.serve)
        return
    for kind in SERVER_KINDS:
        measure_server(kind, arguments.requests)


if __name__ == "__main__":
    main()
