"""Tests of :mod:`cranberryport.command_line.event_sentences`."""

import unittest

from cranberryport.command_line import event_sentences


def describe(event, **fields):
    """Return the sentence about a log line."""
    return event_sentences.describe_event({"event": event, **fields})


class RefusalTest(unittest.TestCase):
    """Operators answer callers with what the command says about their refusals."""

    def test_refused_key_names_the_configuration_it_was_compared_with(self):
        """Guards against a 401 that cannot be told from a withdrawal."""
        self.assertEqual(
            describe("request refused", status=401, configuration=7, proof_age_s=0.4),
            "the request had no key, a malformed header or a key that is not valid in "
            "configuration 7, proven current 0.4 s before",
        )

    def test_job_of_another_organisation(self):
        """Guards against a 403 that is taken for a refused key."""
        self.assertEqual(
            describe("request refused", status=403, organisation="alpha"),
            "the key belongs to organisation 'alpha', and the job with this id to "
            "another organisation",
        )

    def test_missing_proof(self):
        """Guards against a 503 that is blamed on the store of all instances."""
        fields = {"status": 503, "configuration": 7}
        self.assertEqual(
            describe("request refused", **fields, proof_age_s=6.1),
            "nothing ran: the instance could not prove that no key was withdrawn since "
            "its last read of the store (configuration 7, proven current 6.1 s before)",
        )
        self.assertIn(
            "configuration 7, never proven current",
            describe("request refused", **fields, proof_age_s=None),
        )

    def test_other_refusals_have_no_sentence_about_keys(self):
        """Guards against keys being blamed where the store could not be reached."""
        reason = "the store cannot be reached"
        for fields in (
            {"status": 429},
            {"status": 503, "reason": reason},
            {"status": 503, "reason": reason, "proof_age_s": 0.3},
        ):
            self.assertIsNone(describe("request refused", **fields))
        self.assertIsNone(describe("job ended", state="completed"))

    def test_reason_of_a_refused_job(self):
        """Guards against a 429 without the limit, share or backlog that caused it."""
        fields = {"organisation": "alpha", "retry_after_s": 3}
        retry = "; the caller was asked to wait for 3 s"
        expected = {
            "limit": "the limit of organisation 'alpha' leaves no room for the job in "
            "time",
            "share": "organisation 'alpha' has more work waiting than its share serves "
            "in time",
            "backlog": "more work is waiting in the pool than it serves in time",
        }
        for reason, sentence in expected.items():
            self.assertEqual(
                describe("job refused", **fields, reason=reason), sentence + retry
            )
        # Lines of earlier versions have no reason.
        self.assertIsNone(describe("job refused", backlog_core_s=3.0))


class OrganisationTest(unittest.TestCase):
    """Changes of an organisation's limit or share that delay its jobs."""

    def test_limit(self):
        """Guards against a wait for the limit that is taken for a lack of capacity."""
        fields = {"organisation": "alpha", "use": [4000, 0, 0], "limits": [4000, 0, 0]}
        self.assertEqual(
            describe("organisation at its limit", **fields),
            "organisation 'alpha' is at its limit (use 4000, 0, 0, limit "
            "4000, 0, 0): its waiting tasks start as its own runs end",
        )
        self.assertEqual(
            describe("organisation below its limit", **fields),
            "organisation 'alpha' is below its limit again "
            "(use 4000, 0, 0, limit 4000, 0, 0)",
        )

    def test_share(self):
        """Guards against a wait for the share that is taken for a lack of capacity."""
        fields = {"organisation": "alpha", "share": 0.25, "received": 0.4}
        self.assertEqual(
            describe("organisation over its share", **fields),
            "organisation 'alpha' is over its share (received 0.4, share 0.25): its "
            "work waits behind that of organisations within theirs while capacity is "
            "short",
        )
        self.assertEqual(
            describe("organisation within its share", **fields),
            "organisation 'alpha' is within its share again (received 0.4, share 0.25)",
        )

    def test_missing_fields_are_spoken_of_as_unknown(self):
        """Guards against a tool that fails on lines of another version."""
        for event in event_sentences._DESCRIPTIONS:
            self.assertTrue(describe(event, status=401, reason="limit"), event)
        self.assertIn("use unknown", describe("organisation at its limit"))


class PlaceWaitTest(unittest.TestCase):
    """Waits for a local place, which delay a task on purpose."""

    FIELDS = {"request": "j", "task": "j.0.1.2", "rack": "r7", "expected_s": 0.8}
    REMOTE_RUN_S = 1.6

    def test_begin_and_end_of_a_wait(self):
        """Guards against a delay on purpose that looks like a lack of room."""
        expected = {
            "place wait begun": "task j.0.1.2 waits for a place on rack r7, expected "
            "in 0.8 s: run ends",
            "placed after a wait": "task j.0.1.2 got a place on rack r7 after its "
            "wait: run ends",
            "place wait given up": "task j.0.1.2 waits no longer for a place on rack "
            "r7: run ends",
        }
        for event, sentence in expected.items():
            found = describe(event, **self.FIELDS, reason="run ends")
            self.assertEqual(found, sentence)

    def test_remote_start(self):
        """Guards against a remote run whose length looks like a straggler's."""
        self.assertEqual(
            describe(
                "started remotely",
                **self.FIELDS,
                remote_run_s=self.REMOTE_RUN_S,
                reason="slack",
            ),
            "task j.0.1.2 was started away from its rack r7, where it runs longer "
            "(expected 1.6 s): slack",
        )

    def test_step_is_named_where_the_line_names_no_task(self):
        """Guards against a sentence about nothing for a gang, which waits as a step."""
        sentence = describe("place wait begun", step="j.0.1", expected_s=1)
        self.assertEqual(
            sentence,
            "step j.0.1 waits for a place on the rack of its step, expected in 1 s",
        )
