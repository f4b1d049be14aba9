"""Tests for cranberryport.scheduling.record_groups."""

import unittest
import unittest.mock

from cranberryport import codec
from cranberryport.control import stored_records
from cranberryport.generated import messages
from cranberryport.scheduling import crashes, model, record_groups, records
from tests import scheduling

# A checkpoint with which 2,000 tasks do not fit into one record.
LONG_CHECKPOINT = "c" * 150
COUNT = 2000


class StoredRecords(dict):
    """Records of a store by key, changed by the groups of batches."""

    def apply(self, groups):
        """Apply groups as the store does; return the keys that were written."""
        written = []
        for group in groups:
            for key in group.deleted_keys:
                self.pop(key, None)
            for record in group.new_records:
                data = codec.encode(record)
                if len(data) > record_groups.RECORD_LIMIT_BYTES:
                    raise AssertionError(f"{len(data)} bytes in {record.job}")
                self[record.job] = data
                written.append(record.job)
        return written

    def apply_batch(self, batch):
        """Apply the records of a batch of the scheduler as the controller stores it."""
        if batch.starts_record is not None:
            self[batch.starts_record.job] = codec.encode(batch.starts_record)
        self.apply(batch.groups)

    def decode(self, key):
        """Return the message with a key."""
        return codec.decode(self[key])


def start_large_job(harness, *steps, **values):
    """Add a job and start all tasks that may start; return it."""
    job = harness.add_job(scheduling.make_job(*steps, **values))
    for run in harness.start_all():
        run.task.checkpoint = LONG_CHECKPOINT
    return job


class DividedProgressTest(unittest.TestCase):
    """A job whose tasks do not fit into one record."""

    def setUp(self):
        """Start a job with many tasks and store its progress."""
        self.harness = scheduling.SchedulerHarness(count=COUNT // 10)
        self.job = start_large_job(self.harness, scheduling.make_step(COUNT))
        self.stored = StoredRecords()
        self.written = self._store()

    def _store(self):
        self.harness.scheduler._mark_changed(self.job)
        return self.stored.apply(self.harness.scheduler.take_batch().groups)

    def _part_keys(self):
        prefix = record_groups.TASKS_KEY_PREFIX
        return [key for key in self.stored if key.startswith(prefix)]

    def _finish(self, executor):
        runs = [run for run in executor.runs.values() if run.state != model.PLANNED]
        for number, run in enumerate(runs, executor.received_end_number + 1):
            self.harness.finish(run, number)

    def test_joined_parts_give_the_same_progress(self):
        """Guards against tasks that a successor starts again."""
        divided = self.stored.decode(self.job.id)
        parts = {
            record_groups.parse_part_key(key, record_groups.TASKS_KEY_PREFIX)[1]: (
                self.stored.decode(key).tasks
            )
            for key in self._part_keys()
        }
        joined = record_groups.join_progress(divided, parts)
        self.assertEqual(joined, records.progress_to_record(self.job))
        parts.pop(min(parts))
        self.assertIsNone(record_groups.join_progress(divided, parts))

    def test_unchanged_parts_are_not_written_again(self):
        """Guards against megabytes a second while the tasks of a job end."""
        self.assertEqual(len(self.written), 1 + len(self._part_keys()))
        self._finish(self.harness.executors[0])
        written = self._store()
        self.assertIn(self.job.id, written)
        self.assertLessEqual(len(written), 1 + 2)

    def test_end_deletes_all_parts(self):
        """Guards against records that remain for ever."""
        for executor in self.harness.executors:
            self._finish(executor)
        self.assertEqual(self.job.state, model.COMPLETED)
        self._store()
        self.assertEqual(list(self.stored), [self.job.id])

    def test_cancellation_deletes_all_parts(self):
        """Guards against records that remain for ever."""
        self.harness.scheduler.cancel_job(self.job.id, scheduling.NOW_UNIX_S)
        self._store()
        self.assertEqual(list(self.stored), [self.job.id])
        self.assertEqual(self.stored.decode(self.job.id).state, model.CANCELLED)

    def test_earlier_version_does_not_run_the_job_again(self):
        """Guards against tasks that run twice during a roll-out.

        Earlier versions expect the kind ``ProgressStored`` under the id of a job, and
        take a job whose progress they cannot read for failed.
        """
        value = self.stored[self.job.id]
        with self.assertLogs(level="ERROR"):
            found = stored_records.decode(self.job.id, value, messages.ProgressStored)
        self.assertIsNone(found)

    def test_smaller_jobs_keep_the_record_of_earlier_versions(self):
        """Guards against jobs that an earlier version takes for failed."""
        harness = scheduling.SchedulerHarness(count=100)
        job = harness.add_job(scheduling.make_job(scheduling.make_step(1000)))
        harness.start_all()
        group = record_groups.make_group(job, has_crashes=False)
        (record,) = group.new_records
        self.assertIsInstance(record, messages.ProgressStored)
        self.assertEqual(len(record.tasks), 1000)

    def test_job_whose_record_grows_is_divided_and_joined_again(self):
        """Guards against tasks that two records have, or none."""
        harness = scheduling.SchedulerHarness(count=COUNT // 10)
        steps = [scheduling.make_step(COUNT), scheduling.make_step(1, depends_on=(0,))]
        job = harness.add_job(scheduling.make_job(*steps))
        runs = harness.start_all()
        stored = StoredRecords()
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        self.assertEqual(list(stored), [job.id])
        for run in runs:
            run.task.checkpoint = LONG_CHECKPOINT
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        self.assertGreater(len(stored), 1)
        self.assertIsInstance(stored.decode(job.id), messages.DividedProgressStored)

    def test_recurring_job_drops_the_parts_of_its_past(self):
        """Guards against a part for each occurrence that a job ever had."""
        harness = scheduling.SchedulerHarness(count=COUNT // 10)
        job = scheduling.make_job(
            scheduling.make_step(COUNT // 2), interval_s=1.0, repeats=4
        )
        job.first_due_at = scheduling.NOW_UNIX_S - 3
        harness.add_job(job)
        for run in harness.start_all():
            run.task.checkpoint = LONG_CHECKPOINT
        stored = StoredRecords()
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        before = set(stored)
        for run in list(job.occurrences[0].tasks[0]):
            harness.scheduler._finish_task(run, scheduling.NOW_UNIX_S)
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        self.assertIn(record_groups.tasks_key(job.id, 0), before)
        self.assertNotIn(record_groups.tasks_key(job.id, 0), stored)
        listed = {
            record_groups.tasks_key(job.id, number)
            for number in stored.decode(job.id).parts
        }
        self.assertEqual(listed, set(stored) - {job.id})

    def test_job_that_no_append_takes_is_given_up(self):
        """Guards against one job that stops the decisions about all others."""
        other = self.harness.add_job(scheduling.make_job(job="b" * 16))
        for task in self.job.tasks():
            task.checkpoint = "c" * 1100
        with self.assertLogs("cranberryport", level="ERROR") as logs:
            self._store()
        self.assertIn("job given up", logs.output[0])
        self.assertEqual(self.job.state, model.FAILED)
        self.assertEqual(list(self.stored), [self.job.id])
        self.assertEqual(other.state, model.ACCEPTED)


class DividedCrashesTest(unittest.TestCase):
    """Crashes under more tasks than fit into one record."""

    def test_crashes_of_many_tasks_are_divided_and_deleted(self):
        """Guards against a refused append after a rack with a large job has failed."""
        harness = scheduling.SchedulerHarness(count=COUNT // 10)
        job = harness.add_job(scheduling.make_job(scheduling.make_step(COUNT)))
        harness.start_all()
        stored = StoredRecords()
        for task in job.tasks():
            task.crash_history = crashes.CrashHistory(
                crash_count=2, certain_count=2, sole_crash_hosts=["10.250.250.250"]
            )
            harness.scheduler._crash_tasks[task.name] = task
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        keys = {k for k in stored if k.startswith(records.CRASHES_KEY_PREFIX)}
        rows = [row for key in keys for row in stored.decode(key).tasks]
        self.assertEqual(len(rows), COUNT)
        self.assertGreater(len(keys), 1)
        for task in list(job.tasks())[10:]:
            task.crash_history = None
        harness.scheduler._mark_changed(job)
        stored.apply(harness.scheduler.take_batch().groups)
        keys = {k for k in stored if k.startswith(records.CRASHES_KEY_PREFIX)}
        self.assertEqual(keys, {f"{records.CRASHES_KEY_PREFIX}{job.id}"})
        harness.scheduler.cancel_job(job.id, scheduling.NOW_UNIX_S)
        stored.apply(harness.scheduler.take_batch().groups)
        self.assertEqual(list(stored), [job.id])
