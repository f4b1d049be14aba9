"""Tests for cranberryport.scheduling.unanswered_starts."""

import unittest

from cranberryport import codec
from cranberryport.control import stored_state
from cranberryport.generated import messages
from cranberryport.scheduling import model, record_groups, records, unanswered_starts
from tests import scheduling, test_scheduling_record_groups


class UnansweredStartsTest(unittest.TestCase):
    """What successive controllers know of the answers to starts."""

    def setUp(self):
        """Plan two tasks of a job and send their starts."""
        self.stored = test_scheduling_record_groups.StoredRecords()
        self.harness = scheduling.SchedulerHarness()
        job = scheduling.make_job(scheduling.make_step(2))
        self.job = self.harness.add_job(job)
        self.runs = self._start()

    def _start(self):
        batch = self.harness.plan()
        self.stored.apply_batch(batch)
        return self.harness.scheduler.commit(batch, self.harness.now)

    def _answer(self, run):
        run.start_sent_at = run.start_ended_at = self.harness.now
        self.harness.scheduler.on_run_started(run, self.harness.now)

    def _store(self, *, is_append_due=True):
        if is_append_due:
            self.harness.scheduler._mark_changed(self.job)
        batch = self.harness.scheduler.take_batch()
        self.stored.apply_batch(batch)
        return batch

    def _take_over(self):
        """Replace the controller; return whether each start counts as unanswered."""
        self.harness = scheduling.SchedulerHarness(count=0)
        state = stored_state.StoredState()
        state.add(sorted(self.stored.items()))
        self.harness.scheduler.restore_unanswered_starts(state.unanswered_starts)
        self.job = records.job_from_record(records.job_to_record(self.job))
        self.harness.scheduler.restore_job(
            self.job, state.progress[self.job.id], scheduling.NOW_UNIX_S
        )
        self.runs = [run for task in self.job.tasks() for run in task.runs]
        return [run.has_unanswered_start for run in self.runs]

    def test_start_counts_as_unanswered_before_it_is_sent(self):
        """Guards against a successor that does not know of a start under way."""
        self.assertEqual(self._take_over(), [True, True])

    def test_answer_is_stored_with_the_next_append(self):
        """Guards against tasks that wait for an executor that is down (review 11)."""
        self._answer(self.runs[0])
        self._store()
        self.assertEqual(self._take_over(), [False, True])

    def test_second_change_of_the_controller_knows_the_same(self):
        """Guards against a successor that stores less than it has read."""
        self._answer(self.runs[0])
        self._store()
        self._take_over()
        self._store()
        self.assertEqual(self._take_over(), [False, True])
        executor = self.harness.add_executor("e1")
        for run in self.runs:
            self.assertEqual(
                executor.may_begin_after(run, self.harness.now), run is self.runs[1]
            )

    def test_start_that_is_sent_again_stays_unanswered(self):
        """Guards against an answer to one attempt that counts for an earlier one."""
        run = self.runs[0]
        run.has_unanswered_start = True
        self._answer(run)
        self._store()
        self.assertEqual(self._take_over(), [True, True])

    def test_listed_run_with_an_attempt_under_way_stays_unanswered(self):
        """Guards against a repeated start that arrives after the list."""
        executor = self.harness.executors[0]
        run = self.runs[0]
        run.start_sent_at, run.start_ended_at = self.harness.now, None
        self.harness.list_runs(executor, [(run.task.name, run.number)])
        self.assertEqual(run.state, model.RUNNING)
        self._store()
        self.assertEqual(self._take_over(), [True, True])

    def test_row_of_an_earlier_version_counts_as_unanswered(self):
        """Guards against starts of an earlier version, which keeps no such record."""
        for run in self.runs:
            self._answer(run)
        self._store()
        progress = self.stored.decode(self.job.id)
        progress.tasks = [row[:8] for row in progress.tasks]
        self.stored[self.job.id] = codec.encode(progress)
        self.assertEqual(self._take_over(), [True, True])

    def test_unreadable_record_counts_all_starts_as_unanswered(self):
        """Guards against a start under way that a damaged record does not show."""
        for run in self.runs:
            self._answer(run)
        self._store()
        self.stored[unanswered_starts.KEY] = b"\xff"
        self.assertEqual(self._take_over(), [True, True])

    def test_answer_alone_is_stored_after_a_delay(self):
        """Guards against an append for each answer, and against a record that stays."""
        for run in self.runs:
            self._answer(run)
        starts = self.harness.scheduler._unanswered_starts
        begun_at, delay_s = 50.0, unanswered_starts.STORING_DELAY_S
        values = {"planned_runs": [], "is_append_due": False}
        self.assertIsNone(starts.take_record(now=begun_at, **values))
        self.assertIsNone(starts.take_record(now=begun_at + 0.9 * delay_s, **values))
        record = starts.take_record(now=begun_at + delay_s, **values)
        self.assertEqual(record.runs, {})
        self.assertIsNone(starts.take_record(now=begun_at + 9 * delay_s, **values))

    def test_nothing_is_stored_while_nothing_changes(self):
        """Guards against appends of an idle controller."""
        self.assertTrue(self._store(is_append_due=False).is_empty)
        idle = scheduling.SchedulerHarness()
        self.assertTrue(idle.scheduler.take_batch().is_empty)

    def test_record_of_too_many_runs_is_within_the_limit(self):
        """Guards against a record that the store refuses each time."""
        starts = unanswered_starts.UnansweredStarts()
        limit = unanswered_starts.RUNS_LIMIT
        runs = []
        for number in range(limit + 1):
            step = scheduling.make_step(1)
            job = scheduling.make_job(step, job=f"{number:016x}")
            task = model.Occurrence(job=job, number=9999, due_at=0.0).tasks[0][0]
            task.runs = [model.Run(task=task, number=99_999, executor="e1")]
            runs += task.runs
        values = {"is_append_due": True, "now": 1.0}
        record = starts.take_record(runs[:limit], **values)
        self.assertTrue(record.is_complete)
        size = len(codec.encode(record))
        self.assertLess(size, record_groups.RECORD_LIMIT_BYTES)
        record = starts.take_record(runs[limit:], **values)
        expected = messages.UnansweredStartsStored(
            job=unanswered_starts.KEY, is_complete=False, runs={}
        )
        self.assertEqual(record, expected)
        successor = unanswered_starts.UnansweredStarts()
        successor.restore(record)
        run = model.Run(task=runs[0].task, number=1, executor="e1")
        run.ordered_at, run.has_unanswered_start = None, True
        successor.add_restored(run)
        self.assertTrue(run.has_unanswered_start)
