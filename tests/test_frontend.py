"""Tests of :mod:`cranberryport.callers.frontend`."""

import json
import queue
import time
import types
import unittest

from circuits import BaseComponent, handler

from cranberryport import outcomes
from cranberryport.callers import frontend, idempotency, requests
from tests import loopback

DESK = "Desk: sulina"


class Control:
    """Control state whose configuration has two services."""

    def __init__(self):
        self.services = {
            "quota": types.SimpleNamespace(at_most_once=("/charges",)),
            "tally": types.SimpleNamespace(at_most_once=()),
        }

    def configuration(self):
        return self

    def service(self, name):
        return self.services[name]

    def desk(self, name):
        return types.SimpleNamespace(request_class="rush" if name == "port" else "")


class Dispatcher(BaseComponent):
    """Answers each request at once with ``outcome``, or not at all if it is None."""

    channel = "dispatcher"

    def __init__(self):
        super().__init__()
        self.outcome = outcomes.Answered(status=200, headers=[], body=b"ok")
        self.submitted = queue.Queue()
        self.cancelled = queue.Queue()

    @handler("submit")
    def _on_submit(self, request):
        self.submitted.put(request)
        if self.outcome is not None:
            self.fire(requests.outcome(request, self.outcome), "frontend")

    @handler("cancel")
    def _on_cancel(self, request):
        self.cancelled.put(request)


class FrontEndTest(unittest.TestCase):
    """The dispatcher gets only checked requests, and callers get complete answers."""

    def setUp(self):
        self.dispatcher = Dispatcher()
        self.front_end = frontend.FrontEnd(control=Control())
        self.thread = loopback.ServerThread([self.dispatcher, self.front_end])
        self.addCleanup(self.thread.stop)

    def send_request(self, line, *headers, body=b""):
        """Send a request; return status, headers and body of the response."""
        lines = [f"{line} HTTP/1.1", "Host: a", f"Content-Length: {len(body)}"]
        text = "\r\n".join([*lines, *headers]) + "\r\n\r\n"
        with self.thread.connect() as sock:
            sock.sendall(text.encode("latin-1") + body)
            return loopback.read_response(sock, has_body=not line.startswith("HEAD"))

    def next_submitted(self):
        return self.dispatcher.submitted.get(timeout=loopback.HANG_LIMIT_S)

    def test_request_reaches_the_dispatcher_without_connection_headers(self):
        key = idempotency.new_key()
        before = time.monotonic()
        headers = [
            DESK,
            "Request-Class: batch",
            f"Request-Deadline: {time.time() + 100}",
            f"Idempotency-Key: {key}",
            "Connection: X-Hop",
            "X-Hop: 1",
            "Request-Id: forged",
            "X-End: 2",
        ]
        answer = self.send_request(
            "POST /quota/charges/7?a=b%20c", *headers, body=b"data"
        )
        request = self.next_submitted()
        self.assertEqual((request.service, request.desk), ("quota", "sulina"))
        self.assertEqual((request.method, request.body), ("POST", b"data"))
        self.assertEqual(request.target, "/charges/7?a=b%20c")
        self.assertEqual((request.request_class, request.key), ("batch", key))
        self.assertLessEqual(request.deadline - request.arrived, 30.0)
        self.assertGreaterEqual(request.arrived, before)
        names = {name for name, _ in request.headers}
        self.assertIn(b"x-end", names)
        hidden = {b"x-hop", b"connection", b"host", b"content-length", b"request-id"}
        self.assertFalse(names & hidden)
        self.assertEqual(answer[1]["request-id"], request.id)
        self.assertEqual(self.front_end.in_progress_count, 0)

    def test_class_of_the_sheet_takes_precedence_over_the_header(self):
        self.send_request("GET /quota/", "Desk: port", "Request-Class: batch")
        self.assertEqual(self.next_submitted().request_class, "rush")

    def test_invalid_request_is_answered_not_run_with_a_reason(self):
        old = idempotency.new_key(now=time.time() - 90000)
        future = idempotency.new_key(now=time.time() + 600)
        charge = "POST /quota/charges"
        cases = [
            ("GET /nothing/x", [DESK], 404, "'nothing'; allowed: quota, tally"),
            ("GET /quota/", [], 422, "Desk is missing"),
            ("GET /quota/", ["Desk: a b"], 422, "'a b'"),
            ("GET /quota/", ["Desk: " + "x" * 65], 422, "1 to 64"),
            ("GET /quota/", [DESK, DESK], 422, "2 times"),
            (
                "GET /quota/",
                [DESK, "Request-Class: slow"],
                422,
                "'slow'; allowed: rush",
            ),
            ("GET /quota/", [DESK, "Request-Deadline: nan"], 422, "'nan'"),
            ("GET /quota/", [DESK, "Request-Deadline: soon"], 422, "'soon'"),
            ("GET /quota/", [DESK, "Request-Deadline: 5"], 422, "in the past"),
            (charge, [DESK], 422, "Idempotency-Key"),
            (charge, [DESK, "Idempotency-Key: 7"], 422, "'7'"),
            (charge, [DESK, f"Idempotency-Key: {old}"], 422, "old"),
            (charge, [DESK, f"Idempotency-Key: {future}"], 422, "future"),
            ("POST /quota/%63harges", [DESK], 422, "Idempotency-Key"),
            ("POST /quota//x/../charges/1", [DESK], 422, "Idempotency-Key"),
        ]
        for line, headers, status, quoted in cases:
            with self.subTest(line=line, headers=headers):
                answer = self.send_request(line, *headers)
                self.assertEqual(answer[0], status)
                self.assertEqual(answer[1]["request-outcome"], "not-run")
                self.assertIn(quoted, json.loads(answer[2])["reason"])
        self.assertTrue(self.dispatcher.submitted.empty())

    def test_key_is_required_only_for_at_most_once_targets(self):
        for line in ("GET /quota/charges", "POST /quota/x", "POST /tally/charges"):
            with self.subTest(line=line):
                self.assertEqual(self.send_request(line, DESK)[0], 200)
                self.assertIsNone(self.next_submitted().key)

    def test_answer_of_the_backend_is_forwarded_completely(self):
        headers = [
            (b"set-cookie", b"a=1"),
            (b"set-cookie", b"b=2"),
            (b"content-length", b"4"),
            (b"connection", b"close"),
            (b"request-outcome", b"unknown"),
        ]
        self.dispatcher.outcome = outcomes.Answered(
            status=201, headers=headers, body=b"\x00\xff\r\n"
        )
        status, received, body = self.send_request("GET /quota/", DESK, "Cookie: c=3")
        self.assertEqual((status, body), (201, b"\x00\xff\r\n"))
        self.assertEqual(received["request-outcome"], "answered")
        self.assertNotIn("connection", received)
        self.assertNotIn("content-type", received)
        last = b"GET /quota/ HTTP/1.0\r\nDesk: sulina\r\n\r\n"
        cookies = self.thread.exchange(last).lower().split(b"\r\nset-cookie: ")[1:]
        self.assertEqual([cookie[:3] for cookie in cookies], [b"a=1", b"b=2"])
        self.dispatcher.outcome.body = b""
        status, received, _ = self.send_request("HEAD /quota/", DESK)
        self.assertEqual((status, received["content-length"]), (201, "4"))
        self.dispatcher.outcome = outcomes.Answered(status=204, headers=[], body=b"")
        status, received, _ = self.send_request("GET /quota/", DESK)
        self.assertEqual((status, "content-length" in received), (204, False))

    def test_not_run_and_unknown_outcomes_are_written_with_reasons(self):
        cases = [
            (
                outcomes.NotRun(status=503, reason="r", retry_after_s=0.2),
                "not-run",
                "1",
            ),
            (outcomes.Unknown(status=504, reason="r"), "unknown", None),
        ]
        for outcome, name, retry_after in cases:
            with self.subTest(name=name):
                self.dispatcher.outcome = outcome
                status, headers, body = self.send_request("GET /quota/", DESK)
                self.assertEqual(status, outcome.status)
                self.assertEqual(headers["request-outcome"], name)
                self.assertEqual(headers["request-id"], self.next_submitted().id)
                self.assertEqual(headers.get("retry-after"), retry_after)
                self.assertEqual(json.loads(body), {"outcome": name, "reason": "r"})

    def test_request_of_a_disconnected_caller_is_cancelled(self):
        self.dispatcher.outcome = None
        with self.thread.connect() as sock:
            sock.sendall(b"GET /quota/ HTTP/1.1\r\nHost: a\r\nDesk: sulina\r\n\r\n")
            request = self.next_submitted()
        cancelled = self.dispatcher.cancelled.get(timeout=loopback.HANG_LIMIT_S)
        self.assertIs(cancelled, request)
        self.assertEqual(self.front_end.in_progress_count, 0)
        late = outcomes.Unknown(status=504, reason="late")
        self.front_end.fire(requests.outcome(request, late), "frontend")
        self.dispatcher.outcome = outcomes.NotRun(status=503, reason="r")
        self.assertEqual(self.send_request("GET /quota/", DESK)[0], 503)

    def test_paths_of_other_components_are_not_handled(self):
        for path in ("/-/status", "/jobs", "/jobs/quota"):
            with self.subTest(path=path):
                answer = self.send_request(f"GET {path}")
                self.assertEqual(answer[0], 404)
                self.assertNotIn(b"service", answer[2])
        self.assertEqual(self.send_request("GET /jobs2/x")[0], 404)
