"""Tests for cranberryport.platform.front: requests with keys of organisations."""

import json
import unittest
from unittest import mock

from cranberryport import codec
from cranberryport.control import job_ownership, job_writer
from cranberryport.generated import messages
from cranberryport.platform import store
from tests import keyed_front, loopback

KEY = b"Token secret-a"
APPENDED = store.Appended(offset=0, end=1)
LASTING_BODY = b'{"Spec": "w", "Steps": [{"Count": 1, "Cpu": 1, "LongRunning": true}]}'


def reply(**fields):
    """Return a reply of the controller."""
    return messages.ControllerReply(number=1, is_leading=True, **fields)


class KeysTestCase(unittest.TestCase):
    """An entry instance with a clock that the test sets."""

    def setUp(self):
        """Make an instance that has the keys of two organisations."""
        patcher = mock.patch("cranberryport.boot_clock.now_s")
        self.boot_now_s = patcher.start()
        self.addCleanup(patcher.stop)
        self.boot_now_s.return_value = 100.0
        self.make_front()

    def make_front(self, **keywords):
        """Make an instance that has just read its configuration."""
        self.front = keyed_front.KeyedFront(**keywords)
        self.front.answer_snapshot(
            keyed_front.make_configuration(1, a=["secret-a"], b=["secret-b"])
        )

    def withdraw_keys(self):
        """Read a configuration in which the first organisation has no key."""
        self.front.answer_read(
            keyed_front.make_configuration(2, a=[], b=["secret-b"]),
        )


class KeyCheckTest(KeysTestCase):
    """Decision about a request at its arrival."""

    def test_missing_malformed_and_unknown_keys_get_the_same_answer(self):
        """Guards against a response that shows a key or what is wrong with it."""
        cases = [
            (),
            (b"secret-a",),
            (b"Token",),
            (b"Token ",),
            (b"Bearer secret-a",),
            (b"Token secret-a secret-a",),
            (b"Token secret-a\tx",),
            (KEY, KEY),
            (b"Token secret-c",),
            (b"Token \xff",),
        ]
        bodies = set()
        for values in cases:
            for method in ("POST", "GET", "DELETE", "PUT"):
                with self.subTest(values=values, method=method):
                    response = self.front.request(method, *values, body=b"{")
                    self.assertEqual(response.status, 401)
                    self.assertEqual(response.headers["WWW-Authenticate"], "Token")
                    bodies.add(response.body)
        self.assertEqual(len(bodies), 1)
        self.assertNotIn(b"secret", bodies.pop())
        self.assertEqual(self.front.controller.questions, [])

    def test_key_is_needed_for_the_number_of_waiting_jobs(self):
        """Guards against a queue whose length anyone can read."""
        self.assertEqual(self.front.request("GET", job_id="").status, 401)

    def test_organisation_of_the_key_goes_into_the_record_and_the_questions(self):
        """Guards against a job that is stored or counted for nobody."""
        self.front.request("POST", KEY)
        question = self.front.answer_question(reply())
        self.assertEqual(question.organisation, "a")
        (write,) = self.front.writer.writes
        self.assertEqual(codec.decode(write.record[1]).organisation, "a")
        for method in ("GET", "DELETE"):
            self.front.request(method, b"token  secret-b")
            question = self.front.answer_question(reply(state="active"))
            self.assertEqual(question.organisation, "b")
        stored = codec.decode(self.front.writer.writes[1].record[1])
        self.assertEqual((stored.organisation, stored.is_public), ("b", False))

    def test_public_route_needs_neither_key_nor_proof(self):
        """Guards against public jobs that are refused while the store is away."""
        self.boot_now_s.return_value = 1000.0
        for values in ((), (b"Token unknown",), (KEY,)):
            self.front.request("POST", *values, path="/open/")
            question = self.front.answer_question(reply())
            self.assertEqual(question.organisation, "")
        self.front.request("DELETE", path="/open/")
        self.front.answer_question(None)
        stored = codec.decode(self.front.writer.writes[-1].record[1])
        self.assertEqual((stored.organisation, stored.is_public), ("", True))

    def test_deployment_without_organisations_needs_no_key(self):
        """Guards against other deployments that ask for keys or store new fields."""
        value = keyed_front.make_configuration(1).replace(b"Tenants", b"Others")
        self.front = keyed_front.KeyedFront()
        self.front.answer_snapshot(value)
        self.boot_now_s.return_value = 1000.0
        self.front.request("POST", body=LASTING_BODY)
        self.front.request("DELETE")
        question = self.front.answer_question(None)
        self.assertEqual(question.organisation, "")
        self.assertEqual(self.front.controller.questions, [])
        written = [write.record for write in self.front.writer.writes]
        self.assertEqual(written[1][0], "c/" + keyed_front.JOB_ID)
        self.assertEqual(codec.decode(written[0][1]).organisation, "")

    def test_refusals_are_logged_without_the_key(self):
        """Guards against a 401 that cannot be explained, and a key in the logs."""
        with self.assertLogs(level="INFO") as logs:
            self.front.request("GET", b"Token secret-c")
            self.front.request("POST", b"Token secret-b")
            self.front.answer_question(reply(state=job_ownership.FOREIGN))
            self.boot_now_s.return_value = 200.0
            self.front.request("GET", KEY)
        found = [vars(record) for record in logs.records]
        self.assertEqual([fields["status"] for fields in found], [401, 403, 503])
        self.assertEqual([fields["organisation"] for fields in found], ["", "b", "a"])
        self.assertEqual({fields["configuration"] for fields in found}, {1})
        self.assertEqual(found[2]["proof_age_s"], 100.0)
        self.assertNotIn("secret", str(found))


class ForeignJobTest(KeysTestCase):
    """Ids of jobs of another organisation."""

    def test_submission_with_a_foreign_id_is_forbidden_and_not_stored(self):
        """Guards against a job that replaces the record of a foreign one."""
        for body in (keyed_front.BODY, LASTING_BODY):
            with self.subTest(body=body):
                response = self.front.request("POST", KEY, body=body)
                self.front.answer_question(reply(state=job_ownership.FOREIGN))
                self.assertEqual(response.status, 403)
        self.assertEqual(self.front.writer.writes, [])

    def test_lasting_job_is_not_refused_for_lack_of_capacity(self):
        """Guards against lasting jobs that are asked about like all others."""
        response = self.front.request("POST", KEY, body=LASTING_BODY)
        question = self.front.answer_question(reply())
        self.assertTrue(question.is_submission)
        self.front.writer.writes[0].callback(APPENDED)
        self.assertEqual(response.status, 200)

    def test_foreign_job_seems_not_to_exist(self):
        """Guards against a response that shows that a foreign job exists."""
        for method in ("GET", "DELETE"):
            response = self.front.request(method, KEY)
            self.front.answer_question(reply())
            self.assertEqual(response.status, 410)
        self.assertEqual(self.front.writer.writes, [])


class LimitTest(KeysTestCase):
    """Jobs that can never run within the limits of their organisation."""

    def setUp(self):
        """Limit both organisations to one core."""
        super().setUp()
        self.read_limit(2, 1000)

    def read_limit(self, version, processors):
        """Read a configuration with this limit in thousandths of a core."""
        self.front.answer_read(
            keyed_front.make_configuration(
                version, maximum={"Cpu": processors}, a=["secret-a"], b=["secret-b"]
            )
        )

    def submit_gang(self, count, *authorization, path="/q/"):
        """Submit a gang of tasks of one core; return the response."""
        step = {"Count": count, "Cpu": 1000, "Gang": True}
        body = json.dumps({"Spec": "w", "Steps": [step]}).encode()
        return self.front.request("POST", *authorization, path=path, body=body)

    def test_gang_beyond_the_limit_is_rejected_at_once(self):
        """Guards against a gang that is accepted and never starts."""
        response = self.submit_gang(3, KEY)
        ((question, _),) = self.front.controller.questions
        self.assertIsInstance(question, messages.JobQuestion)
        with self.assertLogs(level="INFO") as logs:
            self.front.answer_question(reply())
        self.assertEqual(response.status, 429)
        self.assertGreaterEqual(int(response.headers["Retry-After"]), 1)
        error = json.loads(response.body)["Error"]
        self.assertIn("3 tasks at once, which need 3 cores", error)
        self.assertEqual(self.front.writer.writes, [])
        (fields,) = [vars(record) for record in logs.records]
        self.assertEqual((fields["reason"], fields["organisation"]), (error, "a"))

    def test_repeated_submission_of_an_accepted_gang_is_not_rejected(self):
        """Guards against a rejection of a job that runs: its limit was lowered since.

        The first answer was lost. The same holds while no controller answers.
        """
        for answer in (reply(state="accepted"), None):
            with self.subTest(answer=answer):
                response = self.submit_gang(3, KEY)
                self.front.answer_question(answer)
                self.assertIsNone(response.status)
        self.assertEqual(len(self.front.writer.writes), 2)

    def test_gang_within_overshoot_and_one_task_is_asked_about(self):
        """Guards against a rejection that ignores the setting of the overshoot."""
        self.assertIsNone(self.submit_gang(2, KEY).status)
        self.assertEqual(len(self.front.controller.questions), 1)
        self.read_limit(3, 1900)
        # 3 tasks of one core are within 1.9 cores x 1.1 and one task.
        self.assertIsNone(self.submit_gang(3, KEY).status)

    def test_limit_of_the_configuration_in_force_counts(self):
        """Guards against a rejection after the limit was raised or removed."""
        response = self.submit_gang(3, KEY)
        self.front.answer_question(reply())
        self.assertEqual(response.status, 429)
        self.read_limit(3, 0)
        self.assertIsNone(self.submit_gang(3, KEY).status)

    def test_job_of_a_public_route_has_no_limit(self):
        """Guards against a limit on jobs without an organisation."""
        self.assertIsNone(self.submit_gang(3, path="/open/").status)


class WithdrawnKeyTest(KeysTestCase):
    """Keys that are withdrawn while their requests are served, or before."""

    def test_instance_cut_off_from_the_store_stops_serving_keys(self):
        """Guards against a key that is served after its withdrawal was stored."""
        self.boot_now_s.return_value = 104.9
        self.front.request("GET", KEY)
        self.assertEqual(len(self.front.controller.questions), 1)
        self.boot_now_s.return_value = 105.0
        for value in (KEY, b"Token unknown"):
            response = self.front.request("GET", value)
            self.assertEqual(response.status, 503)
            self.assertEqual(response.headers["Retry-After"], "1")

    def test_slow_answer_counts_from_when_the_read_was_sent(self):
        """Guards against a slow store whose answers seem to be recent."""
        self.boot_now_s.return_value = 106.0
        self.front.answer_read()
        self.assertEqual(self.front.request("GET", KEY).status, 503)
        self.front.answer_read()
        self.assertIsNone(self.front.request("GET", KEY).status)

    def test_instance_that_has_just_started_serves_nobody(self):
        """Guards against keys that are accepted or refused without a configuration."""
        self.front = keyed_front.KeyedFront()
        response = self.front.request("GET", KEY)
        self.assertEqual((response.status, response.headers["Retry-After"]), (503, "1"))

    def test_older_version_brings_no_key_back(self):
        """Guards against a withdrawn key that is served after a repeated version."""
        self.withdraw_keys()
        with self.assertLogs(level="WARNING"):
            self.front.answer_read(keyed_front.make_configuration(1, a=["secret-a"]))
        self.assertEqual(self.front.request("GET", KEY).status, 401)

    def test_freeze_between_check_and_append_withholds_the_record(self):
        """Guards against a job that is stored by an instance that was frozen."""
        response = self.front.request("POST", KEY)
        self.boot_now_s.return_value = 200.0
        self.front.answer_question(reply())
        self.assertEqual(response.status, 503)
        self.assertEqual(self.front.writer.writes, [])

    def test_freeze_while_a_record_is_queued_withholds_it(self):
        """Guards against a record that waited for the append in progress."""
        response = self.front.request("POST", KEY)
        self.front.answer_question(None)
        (write,) = self.front.writer.writes
        self.assertTrue(write.may_send())
        self.withdraw_keys()
        self.assertFalse(write.may_send())
        write.callback(job_writer.Withheld())
        self.assertEqual(response.status, 401)

    def test_withheld_record_does_not_count_as_a_failure_of_the_store(self):
        """Guards against records of others that are relayed for a second."""
        self.front.request("POST", KEY)
        self.front.answer_question(None)
        self.withdraw_keys()
        self.front.writer.writes[0].callback(job_writer.Withheld())
        self.assertEqual(self.front.api._own_way_failing_until, 0.0)

    def test_key_is_checked_again_before_a_retry(self):
        """Guards against a status that does not tell whether the job may run."""
        for failure, status in (
            (store.Refused(status=503), 401),
            (store.NoResponse(reason="reset"), 504),
        ):
            for is_relayed in (False, True):
                with self.subTest(failure=failure, is_relayed=is_relayed):
                    self.make_front()
                    self.front.controller.is_connected = is_relayed
                    response = self.front.request("POST", KEY)
                    self.front.answer_question(reply())
                    with self.assertLogs(level="WARNING"):
                        self.front.writer.writes[0].callback(failure)
                    self.withdraw_keys()
                    self.front.timers.run()
                    self.assertEqual(response.status, status)
                    self.assertEqual(len(self.front.writer.writes), 1)
                    self.assertEqual(self.front.controller.relayed, [])

    def test_key_that_changes_its_organisation_is_refused(self):
        """Guards against a job that is stored for the earlier owner of its key."""
        response = self.front.request("POST", KEY)
        self.front.answer_read(keyed_front.make_configuration(2, b=["secret-a"]))
        self.front.answer_question(reply())
        self.assertEqual(response.status, 401)

    def test_withdrawn_key_gets_no_answer_of_the_controller(self):
        """Guards against a state that is shown to a key withdrawn meanwhile."""
        responses = [
            self.front.request("GET", KEY),
            self.front.request("GET", KEY, job_id=""),
            self.front.request("DELETE", KEY),
            self.front.request("POST", KEY),
        ]
        self.withdraw_keys()
        for _ in responses:
            self.front.answer_question(reply(state="active"))
        self.assertEqual([response.status for response in responses], [401] * 4)

    def test_stored_job_is_accepted_although_its_key_was_withdrawn(self):
        """Guards against a refusal of a job that runs."""
        response = self.front.request("POST", KEY)
        self.front.answer_question(reply())
        self.withdraw_keys()
        self.front.writer.writes[0].callback(APPENDED)
        self.assertEqual(response.status, 200)

    def test_without_a_promised_limit_keys_are_checked_without_a_proof(self):
        """Guards against deployments without the limit that refuse all requests."""
        self.make_front(limit_s=0.0)
        self.boot_now_s.return_value = 1000.0
        self.assertIsNone(self.front.request("GET", KEY).status)
        self.assertEqual(self.front.request("GET").status, 401)

    def test_added_key_is_served_after_the_read_that_brings_it(self):
        """Guards against a key that stays unknown in a storm of versions."""
        values = [
            keyed_front.make_configuration(version, a=[f"k{version}"])
            for version in range(2, 50)
        ]
        self.front.answer_read(*values)
        self.assertIsNone(self.front.request("GET", b"Token k49").status)
        self.assertEqual(self.front.request("GET", b"Token k48").status, 401)

    def test_open_connection_does_not_keep_a_withdrawn_key_valid(self):
        """Guards against a caller that is served as long as it stays connected."""
        del self.front.api.fire
        self.front.controller.ask = lambda make_question, callback, *, timeout_s: (
            callback(reply(state="active"))
        )
        server = loopback.ServerThread([self.front.api])
        self.addCleanup(server.stop)
        target = f"GET /q/{keyed_front.JOB_ID} HTTP/1.1\r\nHost: h\r\n".encode()
        statuses = []
        with server.connect() as sock:
            for _ in range(2):
                sock.sendall(target + b"Authorization: " + KEY + b"\r\n\r\n")
                statuses.append(loopback.read_response(sock)[0])
                self.withdraw_keys()
        self.assertEqual(statuses, [200, 401])
