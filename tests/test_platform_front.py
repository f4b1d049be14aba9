"""Tests for the parsers of cranberryport.platform.

They parse jobs of callers, entries and responses of executors, responses of the
interface for instances, and the operator's configuration.
"""

import json
import unittest

from cranberryport.platform import (
    advice,
    bodies,
    configuration,
    executors,
    machines,
    submissions,
)
from cranberryport.scheduling import records
from tests import scripted


def read_job(**fields):
    """Return the job that a request with the given fields submits."""
    body = json.dumps(fields).encode()
    return submissions.parse_job("0" * 16, body, queue="q", service="s", now_unix_s=5.0)


class SubmissionTest(unittest.TestCase):
    """Parsing of the jobs that callers submit."""

    def test_fields_of_a_job_are_parsed_and_stored(self):
        """Guards against fields that are lost in parsing or in the stored record."""
        job = read_job(
            Spec="work",
            Steps=[
                {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimateMs": 900},
                {
                    "Count": 1,
                    "DependsOn": [0],
                    "Gang": True,
                    "Speculative": True,
                    "LongRunning": True,
                    "MaxUnavailable": 1,
                    "AntiAffinity": 2,
                    "DataLocality": "r1-1",
                    "Requirements": "a",
                    "TargetMs": 40,
                    "Utilization": True,
                },
            ],
            RepeatCount=3,
            StartAtMs=7000,
            IntervalMs=500,
        )
        stored = records.job_from_record(records.job_to_record(job))
        for found in (job, stored):
            self.assertEqual(found.steps[0].estimate_s, 0.9)
            second = found.steps[1]
            self.assertEqual(second.depends_on, (0,))
            self.assertTrue(second.is_gang and second.may_copy and second.is_lasting)
            self.assertTrue(second.is_filling)
            self.assertEqual((second.max_unavailable, second.spread), (1, 2))
            self.assertEqual((second.rack, second.label), ("r1-1", "a"))
            self.assertEqual((found.first_due_at, found.interval_s), (7.0, 0.5))
            self.assertEqual(found.repeats, 3)

    def test_job_that_the_store_would_refuse_is_rejected(self):
        """Guards against an append that is refused with the jobs of other callers."""
        job = read_job(Steps=[{"Count": 1, "DataLocality": "r" * 300_000}])
        with self.assertRaisesRegex(submissions.InvalidJob, "allowed: up to 261144"):
            submissions.encode_job(job)

    def test_invalid_bodies_are_refused_with_the_field(self):
        """Guards against jobs that are stored but cannot be scheduled."""
        invalid = [
            ({}, "Steps is None"),
            ({"Steps": [{"Count": 0}]}, "Count of step 0 is 0"),
            ({"Steps": [{"Count": 1, "DependsOn": [0]}]}, "DependsOn of step 0"),
            ({"Steps": [{"Count": 1, "Cpu": -1}]}, "Cpu of step 0 is -1"),
            ({"Steps": [{"Count": 1}], "Spec": 5}, "Spec is 5"),
            ({"Steps": [{"Count": 10_001}]}, "10001 tasks"),
            ({"Steps": [3]}, "step 0 is 3"),
            (
                {"Steps": [{"Count": 1}], "RepeatCount": 10_001},
                "RepeatCount of the job is 10001",
            ),
        ]
        for fields, reason in invalid:
            with (
                self.subTest(fields=fields),
                self.assertRaisesRegex(submissions.InvalidJob, reason),
            ):
                read_job(**fields)

    def test_repeated_submission_of_a_recurring_job_stays_valid(self):
        """Guards against status 400 for a job that was accepted before.

        How many of its occurrences are due grows with the time of the submission.
        """
        for now_unix_s in (1e9, 1e9 + 80.0):
            job = submissions.parse_job(
                "a" * 16,
                json.dumps(
                    {
                        "StartAtMs": 1e12,
                        "IntervalMs": 1000,
                        "RepeatCount": 100,
                        "Steps": [{"Count": 150}],
                    }
                ).encode(),
                queue="q",
                service="s",
                now_unix_s=now_unix_s,
            )
            self.assertEqual(job.occurrence_count, 100)


# Texts that are no address of an executor; resolving a host name would block.
MALFORMED_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:8 0",
    "127.0.0.1:\u0663\u0663",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1",
    "worker.example:80",
    "\ud83d\ude00:80",
    "::1:80",
    ":80",
    "",
)


class EntryTest(unittest.TestCase):
    """Parsing of executors' entries in the store, which other writers can damage."""

    def _parse(self, **fields):
        """Return the executor of a valid entry with some fields replaced."""
        entry = {
            "Service": "s",
            "Address": "127.0.0.1:80",
            "State": "ready",
            "Capacity": {"Cpu": 1000, "MemMb": 5, "Gpu": 0},
            "Labels": ["a", "r1-2"],
            "born": 77,
        }
        value = json.dumps(entry | fields).encode()
        return executors.parse_entry("e1", value, 10.0)

    def test_entry_is_parsed(self):
        """Guards against executors with a wrong address, rack or capacity."""
        found = self._parse(State="draining", RemainingMs=1500)
        self.assertEqual(found.address, ("127.0.0.1", 80))
        self.assertEqual((found.rack, found.started_at_ms), ("r1-2", 77))
        self.assertEqual((found.processors, found.terminates_at), (1000, 11.5))

    def test_entry_of_another_writer_names_no_executor(self):
        """Guards against an exception on an entry of another writer, and its use.

        Review case 3: a port that the system call refused ended the reading of all
        entries. Deep nesting and numbers out of range did the same.
        """
        deep, too_large = b"[" * 100_000, b'{"born": 1e400}'
        for value in (b"\xff\x00", deep, too_large, b"", b"3"):
            with self.subTest(value=value[:20]):
                found = executors.parse_entry("e1", value, 0.0)
                self.assertIsInstance(found, bodies.Invalid)
        malformed_fields = [
            *({"Address": text} for text in MALFORMED_ADDRESSES),
            {"Address": 5},
            {"State": "odd"},
            {"State": ["ready"]},
            {"Service": ""},
            {"Service": None},
            {"Capacity": 3},
            {"Capacity": {}},
            {"Capacity": {"Cpu": -1, "MemMb": 5}},
            {"Capacity": {"Cpu": 10**400, "MemMb": 5}},
            {"Capacity": {"Cpu": True, "MemMb": 5}},
            {"Labels": "r1-2"},
            {"Labels": [{}]},
            {"RemainingMs": 10**300, "State": "draining"},
            {"born": "now"},
            {"born": 10**30},
        ]
        for fields in malformed_fields:
            with self.subTest(fields=fields):
                self.assertIsInstance(self._parse(**fields), bodies.Invalid)
        valid = json.dumps({"Address": "127.0.0.1:80"}).encode()
        self.assertIsInstance(executors.parse_entry("", valid, 0.0), bodies.Invalid)

    def test_reason_names_the_field_and_is_short(self):
        """Guards against an entry that operators cannot find, or that fills the log."""
        found = self._parse(Address="127.0.0.1:99999")
        self.assertEqual(found.reason, "port 99999; allowed: 1 to 65535")
        self.assertIn("$.Capacity", self._parse(Capacity="x" * 10_000).reason)
        long_reason = self._parse(Address="x" * 10_000).reason
        self.assertLess(len(long_reason), 200)


class ResponseTest(unittest.TestCase):
    """Parsing of responses of executors and of the interface for instances."""

    def test_long_checkpoint_is_not_kept(self):
        """Guards against a record that the store refuses each time it is sent."""
        for length, kept in ((200, 200), (201, 0)):
            row = ["t", 1, "c" * length, 10]
            with self.subTest(length):
                found = executors.parse_response(scripted.answer(Running=[row]))
                self.assertEqual(len(found.running[0].checkpoint), kept)

    def test_status_200_without_fields_is_no_response(self):
        """Guards against taking an incomplete response for a success."""
        found = executors.parse_response(scripted.answer(200))
        self.assertIsInstance(found, executors.NoResponse)

    def test_lists_of_runs_are_parsed(self):
        """Guards against runs and ends that are read from the wrong columns."""
        found = executors.parse_response(
            scripted.answer(
                ClockMs=5,
                started_at_ms=7,
                Running=[["j.0.0.0", 2, "c", 40, 12]],
                Finished=[[58, "j.0.0.1", 1, "done", ""]],
            )
        )
        self.assertEqual(
            (found.running[0].progress_percent, found.running[0].load), (40, 12)
        )
        self.assertEqual(
            (found.finished[0].number, found.finished[0].how), (58, "done")
        )

    def test_malformed_list_of_runs_is_no_response(self):
        """Guards against an exception that ends the regular listing of runs."""
        for rows in ([["j.0.0.0"]], [5], 7):
            with self.subTest(rows=rows), self.assertLogs(level="ERROR"):
                found = executors.parse_response(
                    scripted.answer(ClockMs=5, Running=rows)
                )
            self.assertIsInstance(found, executors.NoResponse)

    def test_order_without_response_is_neither_accepted_nor_refused(self):
        """Guards against another order while the first may still be carried out."""
        found = machines._parse_order_result(scripted.no_answer())
        self.assertEqual((found.is_accepted, found.reason), (False, ""))

    def test_as_many_ends_as_a_list_can_have_may_not_be_all(self):
        """Guards against ended runs that are given up as no list has them."""
        limit = executors.ENDS_PER_LIST_LIMIT
        for count, is_complete in ((0, True), (limit - 1, True), (limit, False)):
            with self.subTest(count=count):
                rows = [[n, f"a.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
                found = executors.parse_response(scripted.answer(Finished=rows))
                self.assertEqual(found.are_ends_complete, is_complete)


class PermitsTest(unittest.TestCase):
    """Parsing of the responses of the advice service."""

    def test_malformed_rows_of_permits_are_left_out(self):
        """Guards against a step that never starts because of one malformed row."""
        rows = [["e1", "t1"], ["e2"], 4, [["e3"], "t3"]]
        client = advice.AdviceClient(
            connections=scripted.FakePool(
                scripted.answer(Permitted=rows, ValidMs=3000)
            ),
            address=("127.0.0.1", 1),
        )
        results = []
        with self.assertLogs(level="WARNING"):
            client.request_permits(
                "j.0.0", ["e1"], callback=results.append, timeout_s=1.0
            )
        self.assertEqual(results[0].tickets, {"e1": "t1"})


class ConfigurationTest(unittest.TestCase):
    """Parsing of the operator's configuration, and its routes."""

    def test_longest_matching_prefix_of_the_host_is_used(self):
        """Guards against requests that reach the queue of another service."""

        def route(name, host, prefix):
            return {"Name": name, "Host": host, "PathPrefix": prefix, "Service": "s"}

        routes = [route("short", "h", "/a/"), route("long", "h", "/a/b/")]
        routes.append(route("other", "g", "/a/b/c/"))
        value = json.dumps({"Version": 3, "Routes": routes, "Services": []}).encode()
        found = configuration.parse(value)
        self.assertEqual(found.find_route("H:80", "/a/b/c/1").queue.name, "long")
        self.assertEqual(found.find_route("h", "/a/1").queue.name, "short")
        self.assertIsNone(found.find_route("h", "/b/"))

    def test_malformed_configuration_is_none(self):
        """Guards against replacing the configuration in force by a malformed one."""
        self.assertIsNone(configuration.parse(b"{"))

    def test_malformed_fields_of_a_configuration_are_left_out(self):
        """Guards against an exception that ends the reading of configurations."""
        route = {"Name": "q", "Host": "h", "PathPrefix": "/a/", "Service": "s"}
        routes = [{**route, "StretchFactor": [], "Recommendation": 3}, 5]
        for services in (7, ["s", {"Name": ["s"]}, {"Name": "s", "Standby": True}]):
            value = {"Version": 3, "Routes": routes, "Services": services}
            found = configuration.parse(json.dumps(value).encode())
            self.assertEqual(found.find_route("h", "/a/1").queue.stretch, 1.0)
        self.assertEqual(list(found.services), ["s"])
