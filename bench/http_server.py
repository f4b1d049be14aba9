"""Requests per second and latency of the HTTP server with a trivial handler.

Run ``python -m bench.http_server``. The server runs in a process of its own; the load
comes from one thread of this process, over loopback, with one request in flight per
connection.
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
# Pairs of connections and requests; the first warms up, 0 stands for the argument.
RUNS = ((1, WARM_UP_REQUESTS), (1, 0), (16, 0), (64, 0))
SERVERS = ("strict", "plain")
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


def make_request():
    """Return a request without body."""
    return "GET", "/quota/x", [("Desk", "sulina")], b""


def run(kind, request_count):
    """Measure one kind of server and print one line per number of connections."""
    command = [sys.executable, "-m", "bench.http_server", "--serve", kind]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        port = int(process.stdout.readline())
        for count, requests in RUNS:
            figures = load.measure(
                [port],
                make_request,
                connection_count=count,
                request_count=requests or request_count,
            )
            if set(figures.outcomes) != {"200"}:
                raise RuntimeError(f"unexpected responses: {figures.outcomes}")
            if requests == WARM_UP_REQUESTS:
                continue
            print(
                f"{kind:6} {count:3} connections: "
                f"{figures.requests_per_s:6.0f} requests/s, "
                f"median {figures.median_ms:.2f} ms, "
                f"99th percentile {figures.p99_ms:.2f} ms"
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
