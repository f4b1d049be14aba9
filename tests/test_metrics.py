"""Tests of :mod:`cranberryport.observability.metrics`."""

import socket
import unittest

from cranberryport.observability import metrics
from tests import loopback


class MetricsTest(unittest.TestCase):
    """Metrics reach the statsd server, and failures do not disturb requests."""

    def count_request(self, sender):
        sender.count_request(request_class="rush", outcome="not-run", latency_s=0.25)

    def test_counter_and_timer_are_received(self):
        """Guards against wrong names or units at the statsd server."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(loopback.HANG_LIMIT_S)
            sender = metrics.Metrics(address=receiver.getsockname())
            self.addCleanup(sender.close)
            self.count_request(sender)
            lines = receiver.recv(1024).decode("ascii").splitlines()
        name = "cranberryport.requests.rush.not-run"
        self.assertEqual(lines, [f"{name}:1|c", f"{name}:250.000000|ms"])

    def test_failures_do_not_raise(self):
        """Guards against a request that fails because its metrics cannot be sent."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
            unused.bind(("127.0.0.1", 0))
            closed_port = unused.getsockname()
        closed = metrics.Metrics(address=closed_port)
        closed.close()
        cases = {
            "no address": metrics.Metrics(address=None),
            "closed": closed,
            "no listener": metrics.Metrics(address=closed_port),
        }
        for name, sender in cases.items():
            with self.subTest(name=name):
                for _ in range(3):
                    self.count_request(sender)
                    sender.count("folded", 2)
                    sender.gauge("connections", 3)
                sender.close()
