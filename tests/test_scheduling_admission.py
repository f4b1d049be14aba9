"""Tests for the decision about submissions by organisation."""

import logging
import unittest

from cranberryport.scheduling import admission
from tests import organisation_load


class JobAdmissionTest(unittest.TestCase):
    """Submissions while one of two equal organisations floods a pool of 64 cores."""

    def setUp(self):
        """Let the flood demand 480 core-seconds, and the other 32."""
        logging.disable(logging.INFO)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _replay(self, weights):
        replay = organisation_load.Replay(weights=weights, executor_count=4)
        arrivals = [
            organisation_load.Arrival(
                at=0.0, organisation=name, count=4, estimate_s=1.0, actual_s=1.0
            )
            for name, count in (("flooding", 120), ("other", 8))
            for _ in range(count)
        ]
        return replay.run(arrivals, until_s=0.1)

    def test_flood_is_rejected_and_others_are_accepted(self):
        """Guards against a flood whose rejections all organisations share."""
        replay = self._replay({"flooding": 1, "other": 1})
        self.assertEqual(replay.ask_admission("other"), 0)
        retry_after_s = replay.ask_admission("flooding")
        self.assertIsInstance(retry_after_s, int)
        self.assertGreater(retry_after_s, 0)
        self.assertLessEqual(retry_after_s, admission.LONGEST_RETRY_AFTER_S)

    def test_rejections_are_counted_by_organisation(self):
        """Guards against a rejection that no figure explains."""
        replay = self._replay({"flooding": 1, "other": 1})
        replay.ask_admission("other")
        replay.ask_admission("flooding")
        statuses = replay.shares.statuses()
        self.assertEqual(statuses["flooding"].rejected_counts, {"share": 1})
        self.assertEqual(statuses["other"].rejected_counts, {})

    def test_answers_are_the_same_for_all_without_organisations(self):
        """Guards against changed answers where none are configured."""
        replay = self._replay({})
        answers = {replay.ask_admission(name) for name in ("flooding", "other", "")}
        self.assertEqual(len(answers), 1)
        self.assertNotIn(0, answers)

    def test_repeated_submission_of_an_accepted_job_is_not_refused(self):
        """Guards against a 429 for a job that is stored and will run."""
        replay = self._replay({"flooding": 1, "other": 1})
        job = next(iter(replay.scheduler.open_jobs))
        self.assertEqual(replay.ask_admission("flooding", job=job), 0)


if __name__ == "__main__":
    unittest.main()
