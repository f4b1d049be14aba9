"""Tests for cranberryport.scheduling.records."""

import unittest

from cranberryport import codec
from cranberryport.platform import submissions
from cranberryport.scheduling import records
from tests import scheduling

# ``RecordBytes`` of the platform's store, in its settings file.
RECORD_LIMIT_BYTES = 262_144
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
        runs = harness.start()
        self.assertEqual(len(runs), count)
        for run in runs:
            run.task.checkpoint = CHECKPOINT
        size = len(codec.encode(records.progress_to_record(job)))
        self.assertLessEqual(size, RECORD_LIMIT_BYTES)
