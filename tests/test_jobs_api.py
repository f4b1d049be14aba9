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

VALID_JOB = {"processors": 1, "memory_mb": 10, "runtime_s": 5, "payload": "p"}


class FoldingLogWriter(BaseComponent):
    """Takes the place of the log writer: folds each record, or leaves it undecided."""

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
    """Guards against reports of an accepted job that is not in the control state."""

    def setUp(self):
        self.log = FoldingLogWriter()
        self.log.stream = control_stream.Stream("a")
        rows = ["service s connections 4"]
        self.log.stream.accept("a", control_stream.make_sheet("p1", 0, rows))
        self.follower = types.SimpleNamespace(
            state=self.log.stream.state, has_dispatch_right=True
        )
        self.impossible_reason = ""
        api = jobs_api.JobsApi(
            follower=self.follower,
            session_keeper=types.SimpleNamespace(is_open=True, session="a"),
            jobs=types.SimpleNamespace(
                impossible_reason=lambda job: self.impossible_reason
            ),
        )
        self.server = loopback.ServerThread([self.log, api])
        self.addCleanup(self.server.stop)

    def send(self, method, path, body=None, **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, 20)
        self.addCleanup(connection.close)
        http_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"Desk": "d", **http_headers})
        response = connection.getresponse()
        self.assertTrue(response.headers["Request-Id"])
        fields = json.loads(response.read())
        return response.status, response.headers["Request-Outcome"], fields

    def test_job_is_accepted_shown_and_cancelled(self):
        status, outcome, fields = self.send("POST", "/jobs/s", VALID_JOB)
        self.assertEqual((status, outcome), (202, "answered"))
        path = f"/jobs/{fields['job']}"
        self.assertEqual(self.send("GET", path)[2]["state"], "waiting")
        self.assertEqual(self.send("DELETE", path)[2]["state"], "cancelled")
        self.assertEqual(self.send("DELETE", path)[0], 200)
        self.assertEqual(self.send("GET", path)[2]["state"], "cancelled")

    def test_all_faults_of_a_submission_are_reported_at_once(self):
        body = {**VALID_JOB, "processors": 0, "class": "x", "deadline": 5, "extra": 1}
        status, outcome, fields = self.send("POST", "/jobs/s", body)
        self.assertEqual((status, outcome), (422, "not-run"))
        faulty_fields = [line.partition(":")[0] for line in fields["findings"]]
        self.assertEqual(faulty_fields, ["extra", "processors", "class", "deadline"])
        self.assertEqual(self.log.stream.state.jobs.unfinished, {})

    def test_values_of_wrong_type_or_size_are_refused(self):
        for value in ("x" * 16_385, 5, "\ud800"):
            body = {**VALID_JOB, "payload": value}
            self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422)
        for value in (True, 10**400, "1", None, float("nan")):
            body = {**VALID_JOB, "processors": value}
            self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422, value)
        body = {**VALID_JOB, "class": ["rush"]}
        self.assertEqual(self.send("POST", "/jobs/s", body)[0], 422)

    def test_repeated_key_returns_the_first_job(self):
        key = calls.new_uuid7()
        first = self.send("POST", "/jobs/s", VALID_JOB, Idempotency_Key=key)
        self.assertEqual(
            self.send("POST", "/jobs/s", VALID_JOB, Idempotency_Key=key), first
        )
        self.assertEqual(len(self.log.stream.state.jobs.unfinished), 1)
        other = {**VALID_JOB, "processors": 2}
        status, outcome, _ = self.send("POST", "/jobs/s", other, Idempotency_Key=key)
        self.assertEqual((status, outcome), (422, "not-run"))

    def test_undecided_submission_is_reported_as_unknown_with_its_id(self):
        self.log.is_down = True
        status, outcome, fields = self.send("POST", "/jobs/s", VALID_JOB)
        self.assertEqual((status, outcome), (504, "unknown"))
        self.assertTrue(fields["job"])

    def test_impossible_job_and_outdated_state_are_refused_as_not_run(self):
        self.impossible_reason = "more than any worker has"
        status, outcome, fields = self.send("POST", "/jobs/s", VALID_JOB)
        self.assertEqual((status, outcome), (422, "not-run"))
        self.assertEqual(fields["reason"], self.impossible_reason)
        self.follower.has_dispatch_right = False
        for method, path in (("POST", "/jobs/s"), ("GET", "/jobs/x")):
            status, outcome, _ = self.send(method, path, VALID_JOB)
            self.assertEqual((status, outcome), (503, "not-run"))
