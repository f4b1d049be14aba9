"""Tests for cranberryport.platform.front: the responses to callers.

The request handler is called directly; the store, the controller and the timers are
replaced by fakes.
"""

import io
import json
import types
import unittest

from cranberryport.callers import configuration_proof
from cranberryport.control import append_policy
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
    """Keeps the records that are written, and passes the given results on in turn.

    A result of None stands for an append that has no result in time.
    """

    def __init__(self, results):
        self.results = list(results)
        self.records = []

    def write(self, record, *, timeout_s, callback, may_send=None):
        """Keep a record and pass the next result to the callback."""
        self.records.append(record)
        result = self.results.pop(0)
        if result is not None:
            callback(result)


class RefusalTest(unittest.TestCase):
    """Responses to callers; a refused job must not be stored, as it must not run."""

    def _request(
        self, method, results=(), reply=None, deadline_ms=3000, relay_record=None
    ):
        """Handle one request; return its response and the records written.

        Parameters
        ----------
        method : str
            HTTP method.
        results : iterable
            Results of the appends, in turn.
        reply : messages.ControllerReply or None
            Reply of the controller; None if it does not answer in time.
        """
        writer = FakeWriter(results)
        timers = scripted.FakeTimers()

        def ask(make_question, callback, *, timeout_s):
            make_question(1)
            callback(reply)

        component = front.JobApi(
            configuration=lambda: configuration.parse(CONFIGURATION),
            writer=writer,
            controller_client=types.SimpleNamespace(
                ask=ask,
                is_connected=relay_record is not None,
                relay_record=relay_record,
            ),
            timers=timers,
            metrics=node_metrics.NodeMetrics(),
            is_store_unreadable=lambda: False,
            proof=configuration_proof.ConfigurationProof(
                limit_s=0.0, last_read_sent_at=lambda: None
            ),
            limit_overshoot=0.0,
        )
        fired = []
        component.fire = lambda event, *channels: fired.append(event)
        request = types.SimpleNamespace(
            raw_headers=[(b"host", b"h"), (b"deadline-ms", b"%d" % deadline_ms)],
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
            # All results were failures: let the request's deadline pass.
            (pending,) = component._pending_requests
            pending.deadline = 0.0
            while not fired and timers.calls:
                timers.run()
        self.assertEqual(len(fired), 1)
        return response, writer.records

    def test_job_is_accepted_once_it_is_stored(self):
        """Guards against a response before the record is stored."""
        failed = store.Refused(status=503)
        appended = store.Appended(offset=0, end=1)
        with self.assertLogs(level="WARNING"):
            response, records = self._request("POST", [failed, appended])
        self.assertEqual(response.status, 200)
        self.assertEqual(len(records), 2)

    def test_last_try_of_a_caller_is_stored_too(self):
        """Guards against a refusal without any append, as little time is left.

        Seen on day trouble-3 of scoica-ops-large: the tries of 145 callers after the
        store's outage had less than 0.3 s left and were refused at once.
        """
        appended = store.Appended(offset=0, end=1)
        response, _ = self._request("POST", [appended], deadline_ms=150)
        self.assertEqual(response.status, 200)

    def test_record_is_relayed_if_the_controller_finds_the_store_slow(self):
        """Guards against an own append that takes half a second, and then a relay."""
        reply = messages.ControllerReply(
            number=1, is_leading=True, state=append_policy.RELAYED
        )
        relayed = []

        def relay_record(record, *, timeout_s, callback):
            relayed.append(record)
            callback(store.Appended(offset=0, end=0))

        response, records = self._request(
            "POST", reply=reply, relay_record=relay_record
        )
        self.assertEqual((response.status, records), (200, []))
        self.assertEqual(len(relayed), 1)

    def test_caller_of_a_record_that_waits_too_long_gets_an_answer(self):
        """Guards against a caller that gets no answer before its deadline.

        Seen on day trouble-1 of vhs-klagenfurt, 40 tries: while the store was silent,
        records waited for the append in progress.
        """
        with self.assertLogs(level="WARNING"):
            response, _ = self._request("POST", [None])
        self.assertEqual(response.status, 504)

    def test_job_that_the_store_refused_is_not_accepted(self):
        """Guards against a refusal without ``Retry-After``."""
        with self.assertLogs(level="WARNING"):
            response, _ = self._request("POST", [store.Refused(status=503)])
        self.assertEqual((response.status, response.headers["Retry-After"]), (503, "1"))

    def test_job_of_which_no_byte_was_sent_is_refused(self):
        """Guards against status 504 for a job that cannot have been stored."""
        no_response = store.NoResponse(reason="connect", was_sent=False)
        with self.assertLogs(level="WARNING"):
            response, _ = self._request("POST", [no_response])
        self.assertEqual(response.status, 503)

    def test_job_that_may_be_stored_is_not_refused(self):
        """Guards against status 503 for a job that an unconfirmed append stores."""
        no_response = store.NoResponse(reason="reset")
        for results in ([no_response], [no_response, store.Refused(status=503)]):
            with self.subTest(results=results), self.assertLogs(level="WARNING"):
                response, _ = self._request("POST", results)
            self.assertEqual(response.status, 504)

    def test_deadline_of_any_length_is_read(self):
        """Guards against a request without time, or without an answer."""
        for value, seconds in (
            (b"500", 0.5),
            (b"000000000000500", 0.5),
            (b"0" * 5000, 0.0),
            (b"60001", 60.0),
            (b"9" * 5000, 60.0),
            (b"-5", front.DEFAULT_DEADLINE_S),
            (b"", front.DEFAULT_DEADLINE_S),
        ):
            with self.subTest(value=value[:20]):
                headers = {front.DEADLINE_HEADER: value}
                self.assertEqual(front._read_deadline_s(headers), seconds)

    def test_job_that_the_controller_refuses_is_not_written(self):
        """Guards against a refused job that is stored, and so run."""
        reply = messages.ControllerReply(number=1, is_leading=True, retry_after_s=3)
        response, records = self._request("POST", reply=reply)
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "3"))
        self.assertEqual(records, [])

    def test_state_without_a_controller_is_unavailable(self):
        """Guards against status 410 for a job that the controller knows."""
        response, _ = self._request("GET")
        self.assertEqual(response.status, 503)

    def test_cancellation_of_an_unknown_job_is_not_written(self):
        """Guards against a stored cancellation of a job that does not exist."""
        reply = messages.ControllerReply(number=1, is_leading=True)
        response, records = self._request("DELETE", reply=reply)
        self.assertEqual((response.status, records), (410, []))
