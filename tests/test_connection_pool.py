"""Tests of :mod:`cranberryport.http.connection_pool`."""

import threading
import unittest

from cranberryport.http import connection, connection_pool
from tests import support

CONNECTION_COUNT = 3
# Time after which a request on a silent connection fails.
SILENCE_S = 0.1
# Ends a test that hangs; no test depends on the value.
HANG_LIMIT_S = 10.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilentConnectionsTest(unittest.TestCase):
    """Idle connections that have gone silent for good."""

    def setUp(self):
        """Leave several idle connections to a server."""
        self.loop = support.EventLoop()
        self.addCleanup(self.loop.close)
        client = self.loop.add(connection.Client(timers=self.loop.timers))
        self.pool = self.loop.add(
            connection_pool.ConnectionPool(client=client, name="test")
        )
        # The first requests are answered together, so that each has a connection.
        self.have_all_arrived = threading.Barrier(CONNECTION_COUNT)
        # The server has a thread for each connection.
        self.threads, self.silent_threads = set(), set()
        self.server = support.HttpServer(self._respond)
        self.addCleanup(self.server.close)
        self.results = []
        for _ in range(CONNECTION_COUNT):
            self._send(HANG_LIMIT_S)
        self.loop.run_until(lambda: len(self.results) == CONNECTION_COUNT)

    def _respond(self, head, body):
        thread = threading.current_thread()
        if thread in self.silent_threads:
            return b""
        is_first = len(self.server.heads) <= CONNECTION_COUNT
        if is_first and thread not in self.threads:
            self.threads.add(thread)
            self.have_all_arrived.wait(HANG_LIMIT_S)
        return OK

    def _send(self, timeout_s):
        self.pool.send(
            ("127.0.0.1", self.server.port),
            "GET",
            "/",
            callback=self.results.append,
            timeout_s=timeout_s,
        )

    def _exchange(self, timeout_s):
        count = len(self.results)
        self._send(timeout_s)
        self.loop.run_until(lambda: len(self.results) > count)
        return self.results[-1]

    def test_one_timeout_ends_the_use_of_all_silent_connections(self):
        """Guards against leases that lapse as each call meets a silent connection.

        Review case 14: each further idle connection cost another time-out.
        """
        self.silent_threads |= self.threads
        self.assertEqual(self._exchange(SILENCE_S).reason, "timeout")
        self.assertEqual(self._exchange(SILENCE_S).status, 200)
        self.assertEqual(self.server.connection_count, CONNECTION_COUNT + 1)
