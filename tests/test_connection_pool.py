"""Tests of :mod:`cranberryport.http.connection_pool`."""

import socket
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


class SilenceableServer:
    """Server whose open connections can go silent, while new ones work."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._silent = set()
        self.accepted = []
        # The first requests are answered together, so that each has a connection.
        self._have_all_arrived = threading.Barrier(CONNECTION_COUNT)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Answer nothing more on the connections that are open now."""
        self._silent.update(self.accepted)

    def close(self):
        """Close all sockets."""
        self._listener.close()
        for sock in self.accepted:
            sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(HANG_LIMIT_S)
            self.accepted.append(sock)
            is_first = len(self.accepted) <= CONNECTION_COUNT
            threading.Thread(
                target=self._serve, args=(sock, is_first), daemon=True
            ).start()

    def _serve(self, sock, is_first):
        try:
            while sock.recv(65536):
                if is_first:
                    self._have_all_arrived.wait(HANG_LIMIT_S)
                    is_first = False
                if sock not in self._silent:
                    sock.sendall(OK)
        except OSError:
            return


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
        self.server = SilenceableServer()
        self.addCleanup(self.server.close)
        self.results = []
        for _ in range(CONNECTION_COUNT):
            self._send(HANG_LIMIT_S)
        self.loop.run_until(lambda: len(self.results) == CONNECTION_COUNT)

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
        self.server.silence()
        self.assertEqual(self._exchange(SILENCE_S).reason, "timeout")
        self.assertEqual(self._exchange(SILENCE_S).status, 200)
        self.assertEqual(len(self.server.accepted), CONNECTION_COUNT + 1)
