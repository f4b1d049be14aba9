"""Tests of :mod:`cranberryport.state.jobs`."""

import unittest
from unittest import mock

from cranberryport.state import jobs
from tests import control_stream


class JobsTest(unittest.TestCase):
    """An accepted job must end exactly once, with the result of its last term."""

    def setUp(self):
        self.stream = control_stream.Stream("a")
        self.jobs = self.stream.state.jobs
        self.accept("JobAccepted")

    def accept(self, kind, **values):
        self.stream.accept("a", kind, **{"job": "j", **values})

    def reject(self, kind, **values):
        return self.stream.reject("a", kind, **{"job": "j", **values})

    def fail_attempt(self, term, worker):
        self.accept("JobPlaced", term=term, worker=worker)
        self.accept("JobFailed", term=term, worker=worker)
        return self.jobs.get("j").state

    def test_repeated_acceptance_changes_nothing(self):
        self.accept("JobPlaced", term=1)
        self.accept("JobAccepted", by="b")
        self.assertEqual(self.jobs.get("j").term, 1)
        self.assertIn("another content", self.reject("JobAccepted", payload="other"))
        self.accept("JobFinished", term=1)
        self.accept("JobAccepted")
        self.assertEqual(self.jobs.get("j").state, "finished")

    def test_result_of_an_old_term_is_rejected(self):
        self.accept("JobPlaced", term=1)
        self.accept("JobPlaced", term=2)
        self.assertIn("under term 2", self.reject("JobFinished", term=1))
        self.assertIn("next: 3", self.reject("JobPlaced", term=2))
        self.accept("JobFinished", term=2, result="r")
        self.assertEqual(self.jobs.get("j").result, "r")
        self.assertIn("finished", self.reject("JobPlaced", term=3))

    def test_checkpointed_job_waits_and_keeps_its_checkpoint(self):
        self.accept("JobPlaced", term=1)
        self.accept("JobCheckpointed", term=1, checkpoint="c")
        self.assertIn("waiting", self.reject("JobFinished", term=1))
        self.assertEqual(self.jobs.get("j").checkpoint, "c")
        self.accept("JobPlaced", term=2)

    def test_job_fails_only_after_failures_on_different_workers(self):
        states = [
            self.fail_attempt(term, worker) for term, worker in enumerate("wwx", 1)
        ]
        self.assertEqual(states, ["waiting"] * 3)
        self.accept("JobPlaced", term=4, worker="z")
        self.assertIn("is on 'z'", self.reject("JobFailed", term=4, worker="w"))
        self.assertEqual(self.fail_attempt(5, "y"), "failed")

    def test_result_of_a_cancelled_job_is_rejected(self):
        self.accept("JobPlaced", term=1)
        self.accept("JobCancelled")
        self.assertIn("cancelled", self.reject("JobFinished", term=1))
        self.assertIn("cancelled", self.reject("JobCancelled"))

    def test_only_finished_jobs_are_dropped_above_the_limit(self):
        with mock.patch.object(jobs, "FINISHED_JOBS_KEPT", 2):
            for name in "klm":
                self.accept("JobAccepted", job=name)
                self.accept("JobCancelled", job=name)
        self.assertEqual((*self.jobs.finished, *self.jobs.unfinished), ("l", "m", "j"))
