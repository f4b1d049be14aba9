"""Tests for cranberryport.control.controller."""

import json
import time
import types
import unittest
import unittest.mock

from cranberryport import codec
from cranberryport.control import controller, job_ownership
from cranberryport.generated import messages
from cranberryport.platform import advice, store
from cranberryport.scheduling import records
from tests import scheduling, scripted

# Keys of the entries that name no executor.
MALFORMED_KEYS = ["malformed-1", "malformed-2", "malformed-3"]


def make_controller(**options):
    """Return a controller that has loaded its state, and its fake store.

    Parameters
    ----------
    **options
        Arguments of ``Controller`` that differ from the defaults.
    """
    fake_store = scripted.FakeStore()
    arguments = {
        "timers": scripted.FakeTimers(),
        "executor_client": None,
        "epoch": 1,
        "settings": types.SimpleNamespace(
            lease_most_ms=4000,
            store_partitions=1,
            status_kept_s=5.0,
            remote_factor=1.0,
        ),
        "instance_client": None,
        "advice_client": None,
        "is_sole_controller": lambda: True,
        "is_role_proven": lambda: True,
        "has_clock_stepped": lambda: False,
        "on_superseded": unittest.mock.Mock(side_effect=AssertionError),
    }
    subject = controller.Controller(store_client=fake_store, **arguments | options)
    subject._is_ready = True
    for reader in subject._jobs_readers:
        reader.start()
        fake_store.pop_call("read_newest").callback(
            store.NewestRecords(records=[], end=0)
        )
    return subject, fake_store


class LogVolumeTest(unittest.TestCase):
    """Log lines of jobs with many tasks, at several hundred tasks a second.

    Guards against lines that are dropped above the rate limit: on day quiet-1 of
    scoica-ops-large the controller's instance dropped 15,591 lines in 50 s.
    """

    def setUp(self):
        """Start a job with two steps of many tasks."""
        self.harness = scheduling.SchedulerHarness(count=4)
        step = scheduling.make_step(16)
        self.job = self.harness.add_job(scheduling.make_job(step, step))

    def _capture(self, call):
        with self.assertLogs("cranberryport") as logs:
            call()
        return [(record.getMessage(), vars(record)) for record in logs.records]

    def test_ends_of_a_step_share_a_line_that_names_the_slowest_task(self):
        """Guards against a slow task that cannot be found from the id of its job."""
        runs = [run for run in self.harness.start() if run.task.step_number == 0]

        def finish():
            for number, run in enumerate(runs, 1):
                self.harness.finish(run, number)

        ((event, fields),) = self._capture(finish)
        self.assertEqual(event, "step ended")
        self.assertEqual(fields["tasks"], 16)
        self.assertEqual(fields["slowest"], runs[-1].task.name)
        self.assertAlmostEqual(fields["slowest_s"], 0.16)

    def test_failed_run_has_its_own_line(self):
        """Guards against a failure that cannot be found from the id of its job."""
        run = self.harness.start()[0]
        lines = self._capture(lambda: self.harness.finish(run, 1, "failed"))
        self.assertEqual(
            [(event, fields["how"]) for event, fields in lines],
            [("run ended", "failed")],
        )


class AdviceTest(unittest.TestCase):
    """Questions about the executors of a pool with more than a call may name."""

    def test_executors_that_were_not_asked_about_are_not_refused(self):
        """Guards against a large pool of which only 100 executors are ever used."""
        names = [f"e{number}" for number in range(150)]
        asked = []
        planner = types.SimpleNamespace(
            take_advice_requests=lambda: {"j.0.0": (names, (0.1, 0.0, 3.0))},
            on_advice=lambda step, executor_ids, *rest: asked.append(executor_ids),
        )

        def request_permits(step_name, executor_ids, *, callback, timeout_s):
            callback(advice.Permits(tickets={}, valid_s=3.0))

        subject = controller.Controller.__new__(controller.Controller)
        subject._planner = planner
        subject._advice_client = types.SimpleNamespace(request_permits=request_permits)
        subject._advice_pending = set()
        subject._decision_timer = object()
        subject._request_advice()
        self.assertEqual(asked, [names[: advice.EXECUTORS_PER_CALL_LIMIT]])


class ExecutorEntriesTest(unittest.TestCase):
    """Entries of executors and of other writers in the same list."""

    def setUp(self):
        """Make a controller that has loaded its state, and read its executors."""
        self.client = unittest.mock.Mock()
        self.subject, self.store = make_controller(executor_client=self.client)
        self.subject._executors_reader.start()
        self.snapshot = self.store.pop_call("read_newest")

    def _entry(self, **fields):
        entry = {
            "Service": "s",
            "Address": "127.0.0.1:80",
            "State": "ready",
            "Capacity": {"Cpu": 1000, "MemMb": 5, "Gpu": 0},
        }
        return json.dumps(entry | fields).encode()

    def test_malformed_entry_hides_no_executor(self):
        """Guards against a pool whose executors are never used.

        Review case 3: the entry with port 99999 is in the snapshot that each further
        controller reads.
        """
        malformed = [
            ("malformed-1", self._entry(Address="127.0.0.1:99999")),
            ("malformed-2", b"[" * 100_000),
            ("malformed-3", self._entry(born=10**400)),
        ]
        with self.assertLogs(level="WARNING") as logs:
            self.snapshot.callback(
                store.NewestRecords(records=[*malformed, ("e1", self._entry())], end=4)
            )
        self.assertEqual(list(self.subject._scheduler.executors), ["e1"])
        self.assertEqual(
            [record.executor for record in logs.records[:3]], MALFORMED_KEYS
        )
        # The job reader has a read open as well.
        read = self.store.calls[-1]
        read.callback(
            store.Records(
                first=0, end=8, next=8, records=[*malformed, ("e2", self._entry())]
            )
        )
        self.assertEqual(list(self.subject._scheduler.executors), ["e1", "e2"])
        count = self.subject.event_counts["invalid_entries"]
        self.assertEqual(count, 3, "repeated entries are logged and counted once")


class HandOverTest(unittest.TestCase):
    """The end of the controller role."""

    def setUp(self):
        """Make a controller with two executors, of which one has a run."""
        self.client = unittest.mock.Mock()
        self.timers = scripted.FakeTimers()
        self.subject, _ = make_controller(
            executor_client=self.client, timers=self.timers
        )
        for name in ("e1", "e2"):
            executor = scheduling.make_executor(name)
            executor.update_clock(1000, time.monotonic())
            self.subject._open_link(executor)
        executor.runs["j.0.0.0", 1] = object()
        self.client.reset_mock()

    def test_only_leases_of_runs_are_renewed_and_nothing_else_is_called(self):
        """Guards against orders of a controller that is not one any more."""
        self.subject.hand_over(lambda: True)
        self.timers.run()
        names = [call[0] for call in self.client.method_calls]
        self.assertEqual(names, ["list_runs"])
        self.assertEqual(self.client.list_runs.call_args.args[0].id, "e2")

    def test_controller_that_may_not_renew_calls_nothing(self):
        """Guards against renewals for which the successor does not wait."""
        self.subject.hand_over(lambda: False)
        self.timers.run()
        self.assertEqual(self.client.method_calls, [])


class OwnershipTest(unittest.TestCase):
    """Jobs of one organisation and questions and cancellations of another one."""

    def setUp(self):
        """Make a controller that has loaded its state."""
        self.subject, self.store = make_controller()
        self.job = scheduling.make_job(scheduling.make_step(1))

    def _read_job(self, organisation):
        self.job.organisation = organisation
        record = codec.encode(records.job_to_record(self.job))
        self.subject._on_job_records([("j/" + self.job.id, record)])

    def _read_cancellation(self, organisation):
        key, message = job_ownership.make_cancellation(
            job_id=self.job.id,
            at_unix_s=5.0,
            organisation=organisation,
            is_public=False,
        )
        self.subject._on_job_records([(key, codec.encode(message))])

    def _ask(self, organisation, **fields):
        question = messages.JobQuestion(
            number=1, job=self.job.id, organisation=organisation, **fields
        )
        return self.subject.answer(question)

    def test_foreign_job_is_answered_like_an_unknown_one(self):
        """Guards against a reply that shows that a foreign job exists."""
        unknown = self._ask("b")
        self._read_job("a")
        self.assertEqual(self._ask("b"), unknown)
        self.assertEqual(self._ask(""), unknown)
        self.assertEqual(self._ask("a").state, "accepted")

    def test_foreign_job_is_not_unknown_before_all_jobs_are_read(self):
        """Guards against a foreign job that is told from an unknown one by a delay."""
        self._read_job("a")
        self.subject._jobs_readers[0]._last_read_sent_at = None
        self.assertFalse(self._ask("b").is_leading)
        self.assertTrue(self._ask("a").is_leading)

    def test_submission_with_a_foreign_id_is_found(self):
        """Guards against a record that replaces the job of another organisation."""
        self._read_job("a")
        admission = messages.AdmissionQuestion(
            number=1, queue="q", service="s", work=1.0, chain_s=1.0, job=self.job.id
        )
        for organisation, state in (("b", job_ownership.FOREIGN), ("a", "")):
            admission.organisation = organisation
            self.assertEqual(self.subject.answer(admission).state, state)
            reply = self._ask(organisation, is_submission=True)
            self.assertEqual((reply.is_leading, reply.state), (True, state))

    def test_foreign_cancellation_is_ignored_in_any_order(self):
        """Guards against a job that another organisation cancels in advance."""
        for is_cancellation_first in (True, False):
            with self.subTest(is_cancellation_first=is_cancellation_first):
                self.setUp()
                steps = [self._read_cancellation, self._read_job]
                if not is_cancellation_first:
                    steps.reverse()
                names = {self._read_cancellation: "b", self._read_job: "a"}
                with self.assertLogs(level="WARNING"):
                    for step in steps:
                        step(names[step])
                self.assertEqual(self._ask("a").state, "accepted")
                self._read_cancellation("a")
                self.assertEqual(self._ask("a").state, "cancelled")

    def test_own_cancellation_that_is_read_first_cancels_the_job(self):
        """Guards against an acknowledged cancellation that is forgotten."""
        self._read_cancellation("a")
        self._read_job("a")
        self.assertEqual(self._ask("a").state, "cancelled")

    def test_unreadable_cancellation_is_logged_and_ignored(self):
        """Guards against a damaged record that ends the reading of jobs."""
        self._read_job("a")
        with self.assertLogs(level="ERROR"):
            self.subject._on_job_records([("c/" + self.job.id, b"\xff")])
        self.assertEqual(self._ask("a").state, "accepted")

    def test_record_with_a_foreign_id_does_not_replace_the_job(self):
        """Guards against a job that is taken over while no controller answers."""
        self._read_job("a")
        with self.assertLogs(level="WARNING"):
            self._read_job("b")
        self.assertEqual(self._ask("a").state, "accepted")


class AbsenceTest(unittest.TestCase):
    """Questions about jobs that the controller does not know, or knows already."""

    def setUp(self):
        """Make a controller with two partitions, at a time that the test sets."""
        self.now = 100.0
        patcher = unittest.mock.patch(
            "cranberryport.boot_clock.now_s", lambda: self.now
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.subject, self.store = make_controller(
            settings=types.SimpleNamespace(
                lease_most_ms=4000,
                store_partitions=2,
                status_kept_s=5.0,
                remote_factor=1.0,
            )
        )
        # The long polls in progress were sent before any question.
        self.long_polls = [self.store.pop_call("read") for _ in range(2)]
        self.question = messages.JobQuestion(number=1, job="a" * 16)

    def _ask(self):
        self.now += 0.1
        reply = self.subject.answer(self.question)
        return reply.is_leading, reply.state

    def test_absence_is_proven_by_reads_after_the_question(self):
        """Guards against a cancellation of an accepted job that is answered 410.

        Review case 4: what the controller had read in the last 2 s counted as complete,
        and the job, accepted a moment before, ran on.
        """
        self.assertEqual(self._ask(), (False, ""))
        for poll in self.long_polls:
            poll.callback(store.Records(first=0, end=0, next=0, records=[]))
        self.assertEqual(self._ask(), (False, ""))
        for _ in range(2):
            confirming = self.store.pop_call("read")
            self.assertEqual(confirming.wait_s, 0.0)
            confirming.callback(store.Records(first=0, end=0, next=0, records=[]))
        self.assertEqual(self._ask(), (True, ""))

    def test_job_that_a_confirming_read_finds_is_known(self):
        """Guards against a job that is accepted by another instance and not found."""
        self._ask()
        job = scheduling.make_job(scheduling.make_step(1))
        record = ("j/" + job.id, codec.encode(records.job_to_record(job)))
        self.question.job = job.id
        self.store.pop_call("read").callback(
            store.Records(first=0, end=1, next=1, records=[record])
        )
        self.assertEqual(self._ask(), (True, "accepted"))

    def test_failing_reads_prove_nothing(self):
        """Guards against status 410 while the store refuses the controller."""
        for _ in range(3):
            self.assertEqual(self._ask(), (False, ""))
            for call in list(self.store.calls):
                self.store.calls.remove(call)
                call.callback(store.Refused(status=503))

    def test_repeated_submission_of_a_known_job_is_not_refused(self):
        """Guards against status 429 for a job that was accepted, and runs."""
        job = scheduling.make_job(scheduling.make_step(1))
        question = messages.AdmissionQuestion(
            number=1, queue="q", service="s", work=1.0, chain_s=1.0, job=job.id
        )
        with unittest.mock.patch.object(
            controller.Controller, "_retry_after_s", return_value=3
        ):
            self.assertEqual(self.subject.answer(question).retry_after_s, 3)
            self.subject._scheduler.add_job(job, 5.0)
            self.assertEqual(self.subject.answer(question).retry_after_s, 0)


class DeletionTest(unittest.TestCase):
    """Deletion of ended jobs while the store fails."""

    def setUp(self):
        """Make a controller that knows a completed job, and is about to delete it."""
        self.settings = types.SimpleNamespace(
            lease_most_ms=4000, store_partitions=2, status_kept_s=5.0, remote_factor=1.0
        )
        self.timers = scripted.FakeTimers()
        self.subject, self.store = make_controller(
            settings=self.settings, timers=self.timers
        )
        self.reads = [self.store.pop_call("read") for _ in range(2)]
        self.job = scheduling.make_job(scheduling.make_step(1))
        self.record = (
            "j/" + self.job.id,
            codec.encode(records.job_to_record(self.job)),
        )
        progress = messages.ProgressStored(
            job=self.job.id, state="completed", has_started=True, ended_at=5.0
        )
        self.subject._stored.progress[self.job.id] = progress
        self.subject._on_job_records([self.record])
        self.subject._stored.progress.clear()
        self.subject._has_configuration = True
        self.subject._delete_ended_jobs()

    def _answer_appends(self, *results):
        for result in results:
            self.store.pop_call("append").callback(result)

    def _read(self, partition, end, *found):
        """Let the reader of a partition get records, of which the last one is new."""
        result = store.Records(first=0, end=end, next=end, records=list(found))
        self.reads[partition].callback(result)

    def _progress_deletions(self):
        self.subject._decide()
        return [
            call.arguments[1]
            for call in self.store.calls
            if call.name == "append" and call.arguments[0] == store.PROGRESS_TOPIC
        ]

    def test_progress_outlives_the_records_of_the_job(self):
        """Guards against a completed job that the next controller runs again.

        Review case 2: the store was down as the records of the job were deleted, but
        the deletion of its progress was repeated until it was stored.
        """
        down = store.Refused(status=503)
        with self.assertLogs(level="WARNING"):
            self._answer_appends(store.Appended(offset=0, end=1), down)
        self.assertEqual(self._progress_deletions(), [])
        self.assertEqual(self.subject._scheduler.job_state(self.job.id), "completed")
        self.timers.run()
        self._answer_appends(store.Appended(offset=0, end=1))
        self._read(0, 1, ("j/" + self.job.id, b""))
        self.timers.run()
        self.assertEqual(self._progress_deletions(), [], "partition 1 is not read yet")
        self._read(1, 1, ("j/" + self.job.id, b""))
        self.timers.run()
        self.assertEqual(self._progress_deletions(), [[(self.job.id, b"")]])
        self.assertIsNone(self.subject._scheduler.job_state(self.job.id))

    def test_record_that_is_read_late_is_no_new_job(self):
        """Guards against a job that the same controller runs again.

        While a partition cannot be read, the deletion of a job can be stored before the
        reader has got the record of the job.
        """
        done = store.Appended(offset=1, end=2)
        self._answer_appends(done, done)
        self._read(0, 2, ("j/" + self.job.id, b""))
        self.timers.run()
        self._read(1, 1, self.record)
        self.assertEqual(self.subject._scheduler.job_state(self.job.id), "completed")
        self.timers.run()
        self.assertEqual(self.subject._scheduler.job_state(self.job.id), "completed")

    def test_job_that_is_stored_again_meanwhile_is_kept(self):
        """Guards against a repeated submission whose progress is deleted."""
        done = store.Appended(offset=0, end=1)
        self._answer_appends(done, done)
        self._read(0, 2, ("j/" + self.job.id, b""), self.record)
        self._read(1, 1, ("j/" + self.job.id, b""))
        self.timers.run()
        self.assertEqual(self._progress_deletions(), [])
        self.assertEqual(self.subject._scheduler.job_state(self.job.id), "completed")

    def test_job_whose_end_is_not_stored_is_kept(self):
        """Guards against a cancelled job that the next controller runs.

        Its cancellation would be deleted before its end is stored.
        """
        subject, fake_store = make_controller(settings=self.settings)
        subject._on_job_records([self.record])
        subject._scheduler.cancel_job(self.job.id, 5.0)
        subject._delete_ended_jobs()
        self.assertNotIn("append", fake_store.call_names())

    def test_cancellation_of_a_job_that_never_appeared_is_deleted_later(self):
        """Guards against cancellations that remain for ever."""
        subject, fake_store = make_controller(settings=self.settings)
        for at, job_id in ((5.0, "a" * 16), (time.time(), "b" * 16)):
            key, message = job_ownership.make_cancellation(
                job_id=job_id, at_unix_s=at, organisation="", is_public=False
            )
            subject._on_job_records([(key, codec.encode(message))])
        subject._delete_ended_jobs()
        appended = fake_store.pop_call("append").arguments[1]
        self.assertIn(("c/" + "a" * 16, b""), appended)
        self.assertNotIn(("c/" + "b" * 16, b""), appended)

    def test_progress_without_a_job_is_deleted_later(self):
        """Guards against records that remain for ever after a takeover.

        The previous controller was lost between the two deletions. A job that appears
        until the deletion keeps its progress.
        """
        subject, _ = make_controller(settings=self.settings)
        gone = "c" * 16
        progress = messages.ProgressStored(job=gone, state="completed")
        subject._stored.progress[gone] = progress
        subject._executors_reader = unittest.mock.Mock()
        subject._finish_loading()
        subject._delete_ended_jobs()
        self.assertEqual(subject._unsaved_deletions, [gone, f"crashes/{gone}"])


class UnreadableProgressTest(unittest.TestCase):
    """Progress that this version cannot read."""

    def test_record_of_a_later_version_is_left_as_it_is(self):
        """Guards against the deletion of records that only a later version knows."""
        subject, _ = make_controller()
        with self.assertLogs(level="WARNING"):
            subject._on_progress_read(
                store.NewestRecords(records=[("later/1", b"\x01")], end=1)
            )
        subject._executors_reader = unittest.mock.Mock()
        subject._finish_loading()
        subject._delete_ended_jobs()
        self.assertEqual(subject._unsaved_deletions, [])

    def test_job_with_unreadable_progress_does_not_run_again(self):
        """Guards against a job that is taken for a new one."""
        subject, _ = make_controller()
        job = scheduling.make_job(scheduling.make_step(1))
        with self.assertLogs(level="ERROR"):
            subject._on_progress_read(
                store.NewestRecords(records=[(job.id, b"\x01")], end=1)
            )
        record = codec.encode(records.job_to_record(job))
        subject._on_job_records([("j/" + job.id, record)])
        self.assertEqual(subject._scheduler.job_state(job.id), "failed")
