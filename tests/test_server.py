"""Tests of :mod:`cranberryport.http.server`."""

import json
import queue
import socket
import threading
import unittest

from circuits import BaseComponent, handler
from circuits import web as circuits_web

from tests import loopback

GET = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s"

# More than the kernel takes at once, so that the response is sent in parts.
LARGE_BODY_BYTES = 16 * 1024 * 1024


class Handler(BaseComponent):
    """Responds with the request line and body, or as the path demands.

    ``/broken`` raises, ``/large`` gives ``LARGE_BODY_BYTES``, and ``/slow`` waits for
    ``released``.
    """

    channel = "web"

    def __init__(self):
        super().__init__()
        self.started = threading.Event()
        self.released = threading.Event()
        self.disconnected = threading.Event()
        self.arrivals = queue.Queue()
        self.paths = []
        self.filenos = []

    @handler("request")
    def _on_request(self, request, response):
        self.paths.append(request.path)
        self.arrivals.put(request.path)
        self.filenos.append(request.sock.fileno())
        if request.path == "/broken":
            raise ValueError("broken handler")
        if request.path == "/large":
            return "x" * LARGE_BODY_BYTES
        if request.path == "/slow":
            self.started.set()
            return self._wait()
        body = request.body.read().decode("ascii")
        return f"{request.method} {request.path} {body}"

    @handler("caller_gone")
    def _on_caller_gone(self, request):
        self.disconnected.set()

    def _wait(self):
        while not self.released.is_set():
            yield
        yield "slow answer"


class PlainServer(circuits_web.BaseServer):
    """Server of circuits.web that prints no line when it is ready."""

    @handler("ready", override=True)
    def _on_ready(self, *_):
        """Print nothing."""


class ServerCase(unittest.TestCase):
    """Starts a server with a :class:`Handler` in a thread."""

    def start(self, **options):
        self.handler = Handler()
        thread = loopback.ServerThread([self.handler], **options)
        self.addCleanup(thread.stop)
        return thread

    def send_overlapping(self, thread):
        """Send a second request while the first is in progress."""
        with thread.connect() as sock:
            sock.sendall(GET % b"/slow")
            self.handler.started.wait(loopback.HANG_LIMIT_S)
            sock.sendall(GET % b"/fast")
            if thread.make_server is not None:
                self.handler.arrivals.get(timeout=loopback.HANG_LIMIT_S)
                self.handler.arrivals.get(timeout=loopback.HANG_LIMIT_S)
            self.handler.released.set()
            return [loopback.read_response(sock)[2] for _ in range(2)]


class PlainCircuitsTest(ServerCase):
    """Shows why the parser of circuits.web is not used.

    The tests assert the responses of circuits 3.2.5. If one fails after an upgrade,
    circuits has changed, and it should be reviewed whether StrictServer is needed.
    """

    def start_plain(self):
        def make():
            return PlainServer(("127.0.0.1", 0), display_banner=False)

        return self.start(make_server=make)

    def test_overlapping_request_gets_the_first_response(self):
        bodies = self.send_overlapping(self.start_plain())
        self.assertEqual(bodies, [b"slow answer", b"slow answer"])

    def test_pipelined_requests_are_dropped(self):
        with self.start_plain().connect() as sock:
            sock.sendall(GET % b"/1" + GET % b"/2")
            loopback.read_response(sock)
            sock.sendall(GET % b"/3")
            self.assertIn(b"/3", loopback.read_response(sock)[2])
        self.assertEqual(self.handler.paths, ["/1", "/3"])

    def test_ambiguous_lengths_are_accepted_or_fail(self):
        cases = {
            b"Content-Length: -5": 200,
            b"Content-Length: 3\r\nTransfer-Encoding: chunked": 200,
            b"Content-Length: 3\r\nContent-Length: 5": 500,
        }
        thread = self.start_plain()
        for header, status in cases.items():
            with self.subTest(header=header), thread.connect() as sock:
                sock.sendall(POST % (header, b"0\r\n\r\n"))
                self.assertEqual(loopback.read_response(sock)[0], status)

    def test_connection_with_an_incomplete_header_stays_open(self):
        thread = self.start_plain()
        with thread.connect() as half:
            half.sendall(b"GET /half HTTP/1.1\r\nHo")
            for _ in range(3):
                with thread.connect() as sock:
                    sock.sendall(GET % b"/other")
                    loopback.read_response(sock)
            half.sendall(b"st: a\r\n\r\n")
            self.assertEqual(loopback.read_response(half)[0], 200)


class OwnResponseTest(ServerCase):
    """No caller may get the response to another request."""

    def test_overlapping_request_gets_its_own_response(self):
        """Plain circuits 3.2.5 sent the response to the first request twice."""
        bodies = self.send_overlapping(self.start())
        self.assertEqual(bodies, [b"slow answer", b"GET /fast "])

    def test_pipelined_requests_are_answered_in_order(self):
        """Plain circuits 3.2.5 answered only the first request of a segment."""
        data = POST % (b"Content-Length: 2", b"ab") + GET % b"/2" + GET % b"/3"
        expected = [b"POST /p ab", b"GET /2 ", b"GET /3 "]
        thread = self.start()
        for size in (len(data), 1, 7):
            with self.subTest(size=size), thread.connect() as sock:
                for start in range(0, len(data), size):
                    sock.sendall(data[start : start + size])
                bodies = [loopback.read_response(sock)[2] for _ in expected]
                self.assertEqual(bodies, expected)

    def test_pipelined_requests_above_the_limit_get_one_error(self):
        thread = self.start()
        with thread.connect() as sock:
            sock.sendall(GET % b"/slow")
            self.handler.started.wait(loopback.HANG_LIMIT_S)
            sock.sendall(b"".join(GET % b"/%d" % n for n in range(6)))
            self.handler.released.set()
            answers = [loopback.read_response(sock) for _ in range(6)]
            self.assertEqual([a[0] for a in answers], [200] * 5 + [400])
            self.assertIn(b"pipelined", answers[-1][2])
            self.assertEqual(loopback.read_to_end(sock), b"")
        self.assertEqual(self.handler.paths, ["/slow", "/0", "/1", "/2", "/3"])

    def test_late_response_is_not_sent_to_the_next_user_of_the_descriptor(self):
        thread = self.start()
        with thread.connect() as sock:
            sock.sendall(GET % b"/slow")
            self.handler.started.wait(loopback.HANG_LIMIT_S)
        self.assertTrue(self.handler.disconnected.wait(loopback.HANG_LIMIT_S))
        with thread.connect() as sock:
            for path in (b"/1", b"/2"):
                sock.sendall(GET % path)
                self.assertEqual(loopback.read_response(sock)[2], b"GET %s " % path)
                self.handler.released.set()
        self.assertEqual(len(set(self.handler.filenos)), 1)

    def test_failing_handler_gives_outcome_unknown_without_the_exception_text(self):
        thread = self.start()
        with self.assertLogs("cranberryport.http.server"), thread.connect() as sock:
            sock.sendall(GET % b"/broken")
            status, headers, body = loopback.read_response(sock)
            self.assertEqual(loopback.read_to_end(sock), b"")
        self.assertEqual((status, headers["request-outcome"]), (500, "unknown"))
        self.assertNotIn(b"broken handler", body)


class BadInputTest(ServerCase):
    """An invalid request must get one error response and must not reach a handler."""

    def assert_refused(self, thread, data, status, quoted):
        with thread.connect() as sock:
            sock.sendall(data)
            answer = loopback.read_response(sock)
            self.assertEqual(loopback.read_to_end(sock), b"")
        self.assertEqual(answer[0], status)
        self.assertEqual(answer[1]["request-outcome"], "not-run")
        self.assertIn(quoted, json.loads(answer[2])["reason"])
        self.assertEqual(self.handler.paths, [])

    def test_malformed_and_too_large_requests_are_refused(self):
        """Plain circuits 3.2.5 gave 200 for a negative length and 500 for two."""
        large = 1024 * 1024 + 1
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (large, b"x" * large)
        cases = [
            (b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400, "GET /a b"),
            (b"\x16\x03\x01\x02\x00", 400, "\\x16"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", 400, "bad header"),
            (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400, "'2.0'"),
            (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400, "'http://a/'"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, "Host is missing"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "'a', 'b'"),
            (GET % (b"/" + b"x" * 17000), 431, "16384"),
            (GET % (b"/" + b"x" * 16384), 431, "16384"),
            (POST % (b"Content-Length: -5", b""), 400, "'-5'"),
            (POST % (b"Content-Length: ten", b""), 400, "'ten'"),
            (POST % (b"Content-Length: 3\r\nContent-Length: 5", b""), 400, "'3', '5'"),
            (
                POST % (b"Content-Length: 3\r\nTransfer-Encoding: chunked", b""),
                400,
                "'3' together with Transfer-Encoding 'chunked'",
            ),
            (POST % (b"Transfer-Encoding: gzip", b""), 501, "'gzip'"),
            (
                b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
                "HTTP/1.0",
            ),
            (POST % (b"Transfer-Encoding: chunked", b"zz\r\n"), 400, "malformed"),
            (POST % (b"Content-Length: %d" % large, b""), 413, f"'{large}'"),
            (POST % (b"Transfer-Encoding: chunked", chunk), 413, "1048576"),
        ]
        thread = self.start()
        for data, status, quoted in cases:
            with self.subTest(data=data[:80]):
                self.assert_refused(thread, data, status, quoted)

    def test_unfinished_requests_time_out(self):
        """Plain circuits 3.2.5 waited for the rest of a header without limit."""
        thread = self.start(header_timeout_s=0.05, body_timeout_s=0.05)
        self.assert_refused(thread, b"GET /half HTTP/1.1\r\nHo", 408, "headers")
        data = POST % (b"Content-Length: 5", b"ab")
        self.assert_refused(thread, data, 408, "2 bytes")

    def test_idle_connection_is_closed(self):
        thread = self.start(idle_timeout_s=0.05)
        self.assertEqual(thread.exchange(b""), b"")

    def test_connection_above_the_limit_is_refused(self):
        thread = self.start(connections=1)
        with thread.connect() as first:
            first.sendall(GET % b"/1")
            loopback.read_response(first)
            with thread.connect() as second:
                status, headers, _ = loopback.read_response(second)
                self.assertEqual(loopback.read_to_end(second), b"")
            self.assertEqual((status, headers["retry-after"]), (503, "1"))
            first.sendall(GET % b"/2")
            self.assertEqual(loopback.read_response(first)[0], 200)


class FramingTest(ServerCase):
    """All valid forms of requests and responses must work."""

    def test_head_keeps_the_connection_usable(self):
        with self.start().connect() as sock:
            for path in (b"/1", b"/2"):
                sock.sendall(GET.replace(b"GET", b"HEAD") % path)
                status, headers, _ = loopback.read_response(sock, has_body=False)
                self.assertEqual((status, headers["content-length"]), (200, "8"))
            sock.sendall(GET % b"/3")
            self.assertEqual(loopback.read_response(sock)[2], b"GET /3 ")

    def test_connection_closes_after_a_request_that_asks_for_it(self):
        thread = self.start()
        for line in (b"HTTP/1.0", b"HTTP/1.1\r\nHost: a\r\nConnection: close"):
            for method in (b"GET", b"HEAD"):
                with self.subTest(line=line, method=method):
                    data = method + b" /1 " + line + b"\r\n\r\n"
                    answer = thread.exchange(data).lower()
                    self.assertIn(b" 200 ok\r\n", answer)
                    self.assertEqual(answer.endswith(b"get /1 "), method == b"GET")

    def test_large_response_is_complete_before_the_next_one(self):
        with self.start().connect() as sock:
            sock.sendall(GET % b"/large" + GET % b"/1")
            self.assertEqual(loopback.read_response(sock)[2], b"x" * LARGE_BODY_BYTES)
            self.assertEqual(loopback.read_response(sock)[2], b"GET /1 ")
        closing = b"GET /large HTTP/1.0\r\n\r\n"
        self.assertTrue(
            self.start().exchange(closing).endswith(b"x" * LARGE_BODY_BYTES)
        )

    def test_chunked_body_is_joined(self):
        data = POST % (b"Transfer-Encoding: chunked", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        with self.start().connect() as sock:
            sock.sendall(data)
            self.assertEqual(loopback.read_response(sock)[2], b"POST /p abc")

    def test_100_continue_is_sent_only_after_the_responses_before_it(self):
        expect = POST % (b"Expect: 100-continue\r\nContent-Length: 2", b"")
        with self.start().connect() as sock:
            sock.sendall(GET % b"/slow" + expect)
            self.handler.started.wait(loopback.HANG_LIMIT_S)
            self.handler.released.set()
            self.assertEqual(loopback.read_response(sock)[2], b"slow answer")
            self.assertEqual(loopback.read_response(sock)[0], 100)
            sock.sendall(b"ab")
            self.assertEqual(loopback.read_response(sock)[2], b"POST /p ab")

    def test_half_closed_connection_gets_all_responses(self):
        """Guards against closing a connection before its requests are answered."""
        thread = self.start(answers_half_closed=True)
        with thread.connect() as sock:
            sock.sendall(GET % b"/slow" + GET % b"/1" + GET % b"/2")
            self.handler.started.wait(loopback.HANG_LIMIT_S)
            sock.shutdown(socket.SHUT_WR)
            self.handler.released.set()
            bodies = [loopback.read_response(sock)[2] for _ in range(3)]
            self.assertEqual(bodies, [b"slow answer", b"GET /1 ", b"GET /2 "])
            self.assertEqual(loopback.read_to_end(sock), b"")
        self.assertFalse(self.handler.disconnected.is_set())
