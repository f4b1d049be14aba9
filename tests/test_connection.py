"""Tests of :mod:`cranberryport.http.connection`."""

import socket
import threading
import time
import unittest

from circuits import BaseComponent, handler

from cranberryport.http import connection
from tests import support

TIMEOUT_S = 10
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: 1\r\n\r\nok"


class RawServer:
    """Server that follows a script on each connection, one connection after another.

    A script is a list of bytes to send after the next request, ``threading.Event`` to
    wait for, and None to close the connection.
    """

    def __init__(self, *scripts):
        self.requests = []
        self._scripts = scripts
        self._accepted = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(TIMEOUT_S)
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        """Wait for the scripts to end and close all sockets."""
        self._thread.join(TIMEOUT_S)
        self._listener.close()
        for sock in self._accepted:
            sock.close()

    def _serve(self):
        for script in self._scripts:
            sock, _ = self._listener.accept()
            sock.settimeout(TIMEOUT_S)
            self._accepted.append(sock)
            for step in script:
                if isinstance(step, threading.Event):
                    step.wait(TIMEOUT_S)
                    continue
                if step is None:
                    sock.close()
                    break
                self.requests.append(sock.recv(65536))
                sock.sendall(step)


class ExchangeResults(BaseComponent):
    """Collects the exchanges that have ended."""

    channel = "replies"

    def __init__(self):
        super().__init__()
        self.done = []

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self.done.append(exchange)


class ConnectionTest(unittest.TestCase):
    """Only a complete response to the same request may be accepted."""

    def setUp(self):
        self.loop = support.EventLoop()
        self.addCleanup(self.loop.close)
        self.client = self.loop.add(connection.Client(timers=self.loop.timers))
        self.results = self.loop.add(ExchangeResults())

    def serve(self, *scripts):
        server = RawServer(*scripts)
        self.addCleanup(server.close)
        return server

    def connect(self, server):
        result = self.client.connect(host="127.0.0.1", port=server.port)
        self.addCleanup(result.close)
        return result

    def exchange(
        self,
        client_connection,
        *,
        wait_s=TIMEOUT_S,
        request_id=b"1",
        method="GET",
        **options,
    ):
        exchange = connection.Exchange(
            method=method,
            target="/",
            deadline=time.monotonic() + wait_s,
            reply_channel="replies",
            request_id=request_id,
            **options,
        )
        client_connection.send(exchange)
        self.loop.run_until(lambda: exchange in self.results.done)
        return exchange.result

    def test_address_that_cannot_be_connected_to_fails_the_exchange(self):
        """Guards against an exception in the sender, whose work would end by it.

        The host name must not be resolved, which would block the process.
        """
        for host, port in (("127.0.0.1", 99999), ("127.0.0.1", -1), ("a.example", 80)):
            with self.subTest(host=host, port=port):
                result = self.exchange(self.client.connect(host=host, port=port))
                self.assertEqual((result.reason, result.bytes_sent), ("connect", 0))

    def test_request_without_an_answer_is_withdrawn(self):
        """Guards against a request that arrives after a partition, long given up.

        What the kernel of the server has received by then can still be read.
        """
        for is_reset in (True, False):
            with self.subTest(is_reset=is_reset):
                listener = socket.create_server(("127.0.0.1", 0))
                self.addCleanup(listener.close)
                sender = self.client.connect(
                    host="127.0.0.1",
                    port=listener.getsockname()[1],
                    is_reset_on_close=is_reset,
                )
                self.assertEqual(self.exchange(sender, wait_s=0.05).reason, "timeout")
                received, _ = listener.accept()
                self.addCleanup(received.close)
                received.settimeout(TIMEOUT_S)
                self.assertTrue(received.recv(65536))
                if is_reset:
                    self.assertRaises(ConnectionResetError, received.recv, 65536)
                else:
                    self.assertEqual(received.recv(65536), b"")

    def test_invalid_response_fails_and_closes_the_connection(self):
        head = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "truncated body": (head + b"Content-Length: 9\r\n\r\nok", "closed"),
            "no length": (head + b"\r\nok", "protocol"),
            "other request id": (
                head + b"Content-Length: 2\r\nRequest-Id: 2\r\n\r\nok",
                "protocol",
            ),
            "not HTTP": (b"\x00\x01\r\n\r\n", "protocol"),
            "two lengths": (
                head + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                "protocol",
            ),
            "truncated chunks": (
                head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "closed",
            ),
            "large head": (head + b"X: " + b"y" * 20_000, "protocol"),
            "empty response": (b"", "closed"),
        }
        for name, (answer, reason) in cases.items():
            with self.subTest(name=name):
                client_connection = self.connect(self.serve([answer, None]))
                result = self.exchange(client_connection)
                self.assertEqual(result.reason, reason)
                self.assertGreater(result.bytes_sent, 0)
                self.assertFalse(client_connection.is_open)

    def test_valid_responses_of_all_forms_are_read(self):
        """Guards against valid responses that are rejected or parsed wrongly."""
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
        cases = {
            "chunks": (head + chunked, b"ok"),
            "interim": (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"ok"),
            "bytes after the response": (OK + b"\x00\x01", b"ok"),
            "closing response": (
                head + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
                b"",
            ),
        }
        for name, (answer, body) in cases.items():
            with self.subTest(name=name):
                client_connection = self.connect(self.serve([answer]))
                self.assertEqual(self.exchange(client_connection).body, body)

    def test_response_to_head_has_no_body(self):
        """Guards against waiting for the body that the headers declare."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        client_connection = self.connect(self.serve([answer]))
        result = self.exchange(client_connection, method="HEAD")
        self.assertEqual((result.status, result.body), (200, b""))

    def test_request_with_a_line_break_in_a_header_is_not_sent(self):
        """Guards against a second request that is injected through a header."""
        client_connection = self.connect(self.serve([]))
        result = self.exchange(client_connection, headers=[(b"x", b"1\r\nY: 2")])
        self.assertEqual((result.reason, result.bytes_sent), ("protocol", 0))

    def test_connection_is_reused_only_after_a_response_with_the_request_id(self):
        plain = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        for answer, is_reused in ((OK, True), (plain, False)):
            with self.subTest(is_reused=is_reused):
                client_connection = self.connect(self.serve([answer]))
                self.assertEqual(self.exchange(client_connection).body, b"ok")
                self.assertIs(client_connection.is_open, is_reused)

    def test_response_without_id_on_a_reused_connection_fails(self):
        late = b"HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n"
        client_connection = self.connect(self.serve([OK, late]))
        self.exchange(client_connection)
        self.assertEqual(self.exchange(client_connection).reason, "protocol")

    def test_connection_with_an_unsolicited_response_is_not_reused(self):
        client_connection = self.connect(self.serve([OK + OK]))
        self.assertEqual(self.exchange(client_connection).status, 200)
        self.assertFalse(client_connection.is_open)

    def test_duplicate_of_the_previous_response_is_skipped(self):
        """Guards against reporting a request that was answered as unknown."""
        own = OK.replace(b"Request-Id: 1", b"Request-Id: 2").replace(b"ok", b"no")
        for method in ("GET", "POST"):
            for answer in (OK + own, OK + OK + own):
                with self.subTest(method=method, answer=answer):
                    client_connection = self.connect(self.serve([OK, answer]))
                    self.exchange(client_connection)
                    result = self.exchange(
                        client_connection, request_id=b"2", method=method
                    )
                    self.assertEqual(getattr(result, "body", result), b"no")
                    self.assertFalse(client_connection.is_open)

    def test_response_to_a_retry_with_the_same_id_is_read(self):
        """Guards against taking the response to a retry for a duplicate."""
        client_connection = self.connect(self.serve([OK, OK]))
        self.exchange(client_connection)
        self.assertEqual(self.exchange(client_connection).body, b"ok")

    def test_duplicate_response_alone_is_not_an_answer(self):
        """Guards against taking a duplicate for the answer to the next request."""
        client_connection = self.connect(self.serve([OK, OK]))
        self.exchange(client_connection)
        result = self.exchange(client_connection, request_id=b"2", wait_s=0.1)
        self.assertEqual(result.reason, "timeout")
        self.assertFalse(client_connection.is_open)

    def test_silent_server_times_out_with_bytes_sent(self):
        client_connection = self.connect(self.serve([b""]))
        result = self.exchange(client_connection, wait_s=0.1)
        self.assertEqual(result.reason, "timeout")
        self.assertGreater(result.bytes_sent, 0)
        self.assertFalse(client_connection.is_open)

    def test_refused_connect_sends_nothing(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        for host in ("127.0.0.1", "not an address"):
            client_connection = self.client.connect(host=host, port=port)
            result = self.exchange(client_connection)
            self.assertEqual((result.reason, result.bytes_sent), ("connect", 0))

    def test_request_on_a_connection_that_the_server_closed_sends_nothing(self):
        answered = threading.Event()
        client_connection = self.connect(self.serve([OK, answered, None]))
        self.exchange(client_connection)
        answered.set()
        deadline = time.monotonic() + TIMEOUT_S
        while not client_connection._was_closed_by_peer():
            self.assertLess(time.monotonic(), deadline)
        result = self.exchange(client_connection)
        self.assertEqual((result.reason, result.bytes_sent), ("closed", 0))

    def test_permission_to_send_is_checked_after_connecting(self):
        server = self.serve([None])
        client_connection = self.connect(server)
        result = self.exchange(client_connection, may_send=lambda: False)
        self.assertEqual((result.reason, result.bytes_sent), ("refused", 0))
        self.assertEqual(server.requests, [])

    def test_close_is_reported_once(self):
        closed = []
        server = self.serve([OK, None])
        client_connection = self.client.connect(
            host="127.0.0.1", port=server.port, on_closed=closed.append
        )
        self.exchange(client_connection)
        self.loop.run_until(lambda: not client_connection.is_open)
        client_connection.close()
        self.assertEqual(closed, [client_connection])
