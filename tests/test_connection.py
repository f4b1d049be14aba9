"""Tests of :mod:`cranberryport.http.connection`."""

import socket
import threading
import time
import unittest

from circuits import BaseComponent, handler

from cranberryport.http import connection
from tests import support

LIMIT_S = 10
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: 1\r\n\r\nok"


class RawServer:
    """Sends fixed bytes for each request; one script per connection."""

    def __init__(self, *scripts):
        self.requests = []
        self._scripts = scripts
        self._held = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(LIMIT_S)
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        """Stop; connections that a script kept open are closed."""
        self._thread.join(LIMIT_S)
        self._listener.close()
        for sock in self._held:
            sock.close()

    def _serve(self):
        for script in self._scripts:
            sock, _ = self._listener.accept()
            sock.settimeout(LIMIT_S)
            self._held.append(sock)
            for step in script:
                if isinstance(step, threading.Event):
                    step.wait(LIMIT_S)
                    continue
                if step is None:
                    sock.close()
                    break
                self.requests.append(sock.recv(65536))
                sock.sendall(step)


class Replies(BaseComponent):
    """Collects the results of exchanges."""

    channel = "replies"

    def __init__(self):
        super().__init__()
        self.done = []

    @handler("exchange_done")
    def _on_done(self, exchange):
        self.done.append(exchange)


class ConnectionTest(unittest.TestCase):
    """A broken or foreign answer must never pass as the whole own answer."""

    def setUp(self):
        self.loop = support.EventLoop()
        self.addCleanup(self.loop.close)
        self.client = self.loop.add(connection.Client(timers=self.loop.timers))
        self.replies = self.loop.add(Replies())

    def serve(self, *scripts):
        server = RawServer(*scripts)
        self.addCleanup(server.close)
        return server

    def connect(self, server):
        result = self.client.connect(host="127.0.0.1", port=server.port)
        self.addCleanup(result.close)
        return result

    def exchange(
        self, link, *, wait_s=LIMIT_S, request_id=b"1", method="GET", **options
    ):
        exchange = connection.Exchange(
            method=method,
            target="/",
            deadline=time.monotonic() + wait_s,
            reply_channel="replies",
            request_id=request_id,
            **options,
        )
        link.send(exchange)
        self.loop.run_until(lambda: exchange in self.replies.done)
        return exchange.result

    def test_broken_answers_fail_and_close(self):
        head = b"HTTP/1.1 200 OK\r\n"
        cases = {
            "cut short": (head + b"Content-Length: 9\r\n\r\nok", "closed"),
            "no length": (head + b"\r\nok", "protocol"),
            "foreign id": (
                head + b"Content-Length: 2\r\nRequest-Id: 2\r\n\r\nok",
                "protocol",
            ),
            "not HTTP": (b"\x00\x01\r\n\r\n", "protocol"),
            "two lengths": (
                head + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                "protocol",
            ),
            "cut chunks": (
                head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "closed",
            ),
            "large head": (head + b"X: " + b"y" * 20_000, "protocol"),
            "nothing": (b"", "closed"),
        }
        for name, (answer, reason) in cases.items():
            with self.subTest(name=name):
                link = self.connect(self.serve([answer, None]))
                result = self.exchange(link)
                self.assertEqual(result.reason, reason)
                self.assertGreater(result.bytes_sent, 0)
                self.assertFalse(link.is_open)

    def test_whole_answers_of_all_forms_are_read(self):
        """Guards against an answer that is refused, or read wrongly, for its form."""
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
        cases = {
            "chunks": (head + chunked, b"ok"),
            "interim": (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"ok"),
            "garbage after it": (OK + b"\x00\x01", b"ok"),
            "last one": (head + b"Connection: close\r\nContent-Length: 0\r\n\r\n", b""),
        }
        for name, (answer, body) in cases.items():
            with self.subTest(name=name):
                link = self.connect(self.serve([answer]))
                self.assertEqual(self.exchange(link).body, body)

    def test_answer_to_head_has_no_body(self):
        """Guards against a wait for the body that the headers announce."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        link = self.connect(self.serve([answer]))
        result = self.exchange(link, method="HEAD")
        self.assertEqual((result.status, result.body), (200, b""))

    def test_request_with_a_line_break_in_a_header_is_not_sent(self):
        """Guards against a second request hidden in a header."""
        link = self.connect(self.serve([]))
        result = self.exchange(link, headers=[(b"x", b"1\r\nY: 2")])
        self.assertEqual((result.reason, result.bytes_sent), ("protocol", 0))

    def test_reuse_needs_the_repeated_request_id(self):
        plain = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        for answer, is_reused in ((OK, True), (plain, False)):
            with self.subTest(is_reused=is_reused):
                link = self.connect(self.serve([answer]))
                self.assertEqual(self.exchange(link).body, b"ok")
                self.assertIs(link.is_open, is_reused)

    def test_answer_without_id_on_reused_connection_is_refused(self):
        late = b"HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n"
        link = self.connect(self.serve([OK, late]))
        self.exchange(link)
        self.assertEqual(self.exchange(link).reason, "protocol")

    def test_unsolicited_second_answer_forbids_reuse(self):
        link = self.connect(self.serve([OK + OK]))
        self.assertEqual(self.exchange(link).status, 200)
        self.assertFalse(link.is_open)

    def test_silent_server_times_out_with_bytes_sent(self):
        link = self.connect(self.serve([b""]))
        result = self.exchange(link, wait_s=0.1)
        self.assertEqual(result.reason, "timeout")
        self.assertGreater(result.bytes_sent, 0)
        self.assertFalse(link.is_open)

    def test_refused_connect_sends_nothing(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        for host in ("127.0.0.1", "not an address"):
            link = self.client.connect(host=host, port=port)
            result = self.exchange(link)
            self.assertEqual((result.reason, result.bytes_sent), ("connect", 0))

    def test_close_of_an_idle_connection_sends_nothing(self):
        answered = threading.Event()
        link = self.connect(self.serve([OK, answered, None]))
        self.exchange(link)
        answered.set()
        deadline = time.monotonic() + LIMIT_S
        while not link._was_closed_by_peer():
            self.assertLess(time.monotonic(), deadline)
        result = self.exchange(link)
        self.assertEqual((result.reason, result.bytes_sent), ("closed", 0))

    def test_right_lost_while_connecting_sends_nothing(self):
        server = self.serve([None])
        link = self.connect(server)
        result = self.exchange(link, may_send=lambda: False)
        self.assertEqual((result.reason, result.bytes_sent), ("refused", 0))
        self.assertEqual(server.requests, [])

    def test_close_is_told_once(self):
        closed = []
        server = self.serve([OK, None])
        link = self.client.connect(
            host="127.0.0.1", port=server.port, on_closed=closed.append
        )
        self.exchange(link)
        self.loop.run_until(lambda: not link.is_open)
        link.close()
        self.assertEqual(closed, [link])
