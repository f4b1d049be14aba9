"""Tests for cranberryport.platform.front: what callers are told, and its truth.

The front's handler is called directly; the store, the controller and the timers are
scripted.
"""

import io
import json
import types
import unittest

from cranberryport.generated import messages
from cranberryport.observability import node_metrics
from cranberryport.platform import configuration, front, store
from tests import scripted

PATH = "/q/0123456789abcdef"
BODY = json.dumps({"Spec": "work", "Steps": [{"Count": 1, "Cpu": 100}]}).encode()
CONFIGURATION = json.dumps(
    {
        "Version": 1,
        "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/q/", "Service": "s"}],
    }
).encode()


class FakeWriter:
    """Notes the records and answers with the results of a test in turn."""

    def __init__(self, results):
        self.results = list(results)
        self.records = []

    def write(self, record, *, timeout_s, callback):
        """Note a record and answer it."""
        self.records.append(record)
        callback(self.results.pop(0))


class RefusalTest(unittest.TestCase):
    """A refusal says that a job will not run, so it must not be stored anywhere."""

    def _ask(self, method, results=(), reply=None):
        """Send one request; return its response and the records written."""
        writer = FakeWriter(results)
        timers = scripted.FakeTimers()

        def ask(make_question, callback, *, timeout_s):
            make_question(1)
            callback(reply)

        component = front.Front(
            configuration=lambda: configuration.read(CONFIGURATION),
            writer=writer,
            questions=types.SimpleNamespace(ask=ask),
            timers=timers,
            metrics=node_metrics.NodeMetrics(),
            is_store_lost=lambda: False,
        )
        fired = []
        component.fire = lambda event, *channels: fired.append(event)
        request = types.SimpleNamespace(
            raw_headers=[(b"host", b"h"), (b"deadline-ms", b"3000")],
            path=PATH,
            method=method,
            body=io.BytesIO(BODY),
        )
        response = types.SimpleNamespace(
            request=request, headers={}, status=None, body=b""
        )
        component._on_request(request, response)
        while not fired and writer.results:
            timers.run()
        if not fired:
            # No result is left: the time for the store is over.
            (call,) = component._calls
            call.deadline = 0.0
            timers.run()
        self.assertEqual(len(fired), 1)
        return response, writer.records

    def test_job_is_accepted_once_it_is_stored(self):
        """Guards against an answer before the record is stored."""
        failed = store.Refused(status=503)
        done = store.Appended(offset=0, end=1)
        with self.assertLogs(level="WARNING"):
            response, records = self._ask("POST", [failed, done])
        self.assertEqual(response.status, 200)
        self.assertEqual(len(records), 2)

    def test_job_that_the_store_refused_is_not_accepted(self):
        """Guards against a refusal without the time to come back."""
        with self.assertLogs(level="WARNING"):
            response, _ = self._ask("POST", [store.Refused(status=503)])
        self.assertEqual((response.status, response.headers["Retry-After"]), (503, "1"))

    def test_job_of_which_no_byte_was_sent_is_not_accepted(self):
        """Guards against an unknown outcome where nothing can have happened."""
        lost = store.NoResponse(detail="connect", was_sent=False)
        with self.assertLogs(level="WARNING"):
            response, _ = self._ask("POST", [lost])
        self.assertEqual(response.status, 503)

    def test_job_that_may_be_stored_is_not_said_not_to_run(self):
        """Guards against "not run" for a job that a late append stores."""
        lost = store.NoResponse(detail="reset")
        for results in ([lost], [lost, store.Refused(status=503)]):
            with self.subTest(results=results), self.assertLogs(level="WARNING"):
                response, _ = self._ask("POST", results)
            self.assertEqual(response.status, 504)

    def test_job_that_the_controller_refuses_is_never_written(self):
        """Guards against a refused job that runs all the same."""
        reply = messages.ControllerReply(number=1, is_leading=True, retry_after_s=3)
        response, records = self._ask("POST", reply=reply)
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "3"))
        self.assertEqual(records, [])

    def test_state_is_not_guessed_without_a_controller(self):
        """Guards against "no such job" for a job that the controller knows."""
        response, _ = self._ask("GET")
        self.assertEqual(response.status, 503)

    def test_cancel_of_an_unknown_job_is_told(self):
        """Guards against a cancel that is stored for a job that never was."""
        reply = messages.ControllerReply(number=1, is_leading=True)
        response, records = self._ask("DELETE", reply=reply)
        self.assertEqual((response.status, records), (410, []))
