"""Tests of :mod:`cranberryport.fleet.jobs_api` over loopback."""

import http.client
import json
import types
import unittest

from circuits import BaseComponent, handler

from cranberryport.fleet import jobs_api
from cranberryport.stream import log_writer_events
from standins import calls
from tests import control_stream, loopback

JOB = {"processors": 1, "memory_mb": 10, "runtime_s": 5, "payload": "p"}


class Log(BaseComponent):
    """Folds each record at once, or leaves it undecided."""

    channel = "log_writer"
    is_down = False

    @handler("append")
    def _on_append(self, record, ticket):
        if self.is_down:
            outcome = log_writer_events.Undecided(record=record)
        else:
            (outcome,) = self.stream.append("a", record)
        self.fire(log_writer_events.decided(ticket, outcome), ticket.reply_channel)


class JobsApiTest(unittest.TestCase):
    """A caller is told that a job was accepted only if it was."""

    def setUp(self):
        self.log = Log()
        self.log.stream = control_stream.Stream("a")
        rows = ["service s connections 4"]
        self.log.stream.accept("a", control_stream.sheet("p1", 0, rows))
        self.follower = types.SimpleNamespace(
            state=self.log.stream.state, has_dispatch_right=True
        )
        self.reason = ""
        api = jobs_api.JobsApi(
            follower=self.follower,
            session_keeper=types.SimpleNamespace(is_open=True, session="a"),
            jobs=types.SimpleNamespace(impossible_reason=lambda job: self.reason),
        )
        self.server = loopback.ServerThread([self.log, api])
        self.addCleanup(self.server.stop)

    def send(self, method, path, body=None, **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, 20)
        self.addCleanup(connection.close)
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"Desk": "d", **names})
        answer = connection.getresponse()
        self.assertTrue(answer.headers["Request-Id"])
        fields = json.loads(answer.read())
        return answer.status, answer.headers["Request-Outcome"], fields

    def test_accept_show_cancel(self):
        status, outcome, fields = self.send("POST", "/jobs/s", JOB)
        self.assertEqual((status, outcome), (202, "answered"))
        path = f"/jobs/{fields['job']}"
        self.assertEqual(self.send("GET", path)[2]["state"], "waiting")
        self.assertEqual(self.send("DELETE", path)[2]["state"], "cancelled")
        self.assertEqual(self.send("DELETE", path)[0], 200)
        self.assertEqual(self.send("GET", path)[2]["state"], "cancelled")

    def test_every_finding_at_once(self):
        body = {**JOB, "processors": 0, "class": "x", "deadline": 5, "extra": 1}
        status, outcome, fields = self.send("POST", "/jobs/s", body)
        self.assertEqual((status, outcome), (422, "not-run"))
        places = [line.partition(":")[0] for line in fields["findings"]]
        self.assertEqual(places, ["extra", "processors", "class", "deadline"])
        self.assertEqual(self.log.stream.state.jobs.unfinished, {})

    def test_payload_limit_and_odd_values_are_findings(self):
        for value in ("x" * 16_385, 5, "\ud800"):
            body = {**JOB, "payload": value}
            self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422)
        for value in (True, 10**400, "1", None, float("nan")):
            body = {**JOB, "processors": value}
            self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422, value)
        body = {**JOB, "class": ["rush"]}
        self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422)

    def test_repeat_of_a_key_is_the_same_job(self):
        key = calls.new_uuid7()
        first = self.send("POST", "/jobs/s", JOB, Idempotency_Key=key)
        self.assertEqual(self.send("POST", "/jobs/s", JOB, Idempotency_Key=key), first)
        self.assertEqual(len(self.log.stream.state.jobs.unfinished), 1)
        other = {**JOB, "processors": 2}
        status, outcome, _ = self.send("POST", "/jobs/s", other, Idempotency_Key=key)
        self.assertEqual((status, outcome), (422, "not-run"))

    def test_undecided_is_unknown_with_the_id(self):
        self.log.is_down = True
        status, outcome, fields = self.send("POST", "/jobs/s", JOB)
        self.assertEqual((status, outcome), (504, "unknown"))
        self.assertTrue(fields["job"])

    def test_old_view_and_impossible_jobs_are_not_run(self):
        self.reason = "more than any worker has"
        status, outcome, fields = self.send("POST", "/jobs/s", JOB)
        self.assertEqual((status, outcome), (422, "not-run"))
        self.assertEqual(fields["reason"], self.reason)
        self.follower.has_dispatch_right = False
        for method, path in (("POST", "/jobs/s"), ("GET", "/jobs/x")):
            status, outcome, _ = self.send(method, path, JOB)
            self.assertEqual((status, outcome), (503, "not-run"))
