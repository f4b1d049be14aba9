"""Tests for cranberryport.scheduling.records."""

import unittest

from cranberryport import codec
from cranberryport.platform import submissions
from cranberryport.scheduling import record_groups, records
from tests import scheduling

# ``RecordBytes`` and ``CallBytes`` of the platform's store, in its settings file.
RECORD_LIMIT_BYTES = 262_144
CALL_LIMIT_BYTES = 2_097_152
CHECKPOINT = "00000bb87a21d94b"


class RecordSizeTest(unittest.TestCase):
    """Sizes of the records of a job with as many tasks as are accepted."""

    def test_progress_of_the_largest_job_fits_into_a_record(self):
        """Guards against an append that the store refuses for ever.

        Nothing would be decided any more, for any job.
        """
        count = submissions.TASKS_LIMIT
        harness = scheduling.SchedulerHarness(count=count // 10)
        job = harness.add_job(scheduling.make_job(scheduling.make_step(count)))
        runs = harness.start_all()
        self.assertEqual(len(runs), count)
        for run in runs:
            run.task.checkpoint = CHECKPOINT
        group = record_groups.make_group(job, has_crashes=False)
        sizes = [
            len(record.job) + len(codec.encode(record)) for record in group.new_records
        ]
        self.assertLessEqual(max(sizes), RECORD_LIMIT_BYTES)
        self.assertLessEqual(sum(sizes), CALL_LIMIT_BYTES)
        rows = [r for record in group.new_records for r in getattr(record, "tasks", ())]
        self.assertEqual(len(rows), count)
        self.assertTrue(all(row[6] == CHECKPOINT and row[7] for row in rows))


class RestoredRunTest(unittest.TestCase):
    """What a successor knows of a run."""

    def test_pace_of_a_restored_run_is_not_known(self):
        """Guards against a paused task that counts as one at full speed (review 15)."""
        harness = scheduling.SchedulerHarness()
        job = harness.add_job(scheduling.make_job(scheduling.make_step()))
        (run,) = harness.start()
        run.pace = 0
        progress = records.progress_to_record(job)
        copy = records.job_from_record(records.job_to_record(job))
        records.restore_progress(copy, progress)
        (restored,) = scheduling.first_task(copy).runs
        self.assertIsNone(restored.pace)
