"""Tests for cranberryport.control.executor_link."""

import unittest

from cranberryport.control import executor_link
from cranberryport.platform import executors
from tests import scheduling, scripted


class FakeClient:
    """Keeps the orders until a test answers them."""

    def __init__(self):
        self.starts = []

    def start_run(self, executor, run, *, deadline_ms, callback, **settings):
        """Note a start."""
        self.starts.append((run.number, deadline_ms, callback))


class ExecutorLinkTest(unittest.TestCase):
    """Starts whose executor restarts under its id meanwhile."""

    def setUp(self):
        """Send a start that gets no answer."""
        self.harness = scheduling.SchedulerHarness(count=2)
        self.client = FakeClient()
        self.timers = scripted.FakeTimers()
        self.harness.add_job(scheduling.make_job())
        (self.run_,) = self.harness.scheduler.commit(
            self.harness.plan(), self.harness.now
        )
        self.executor = self.harness.scheduler.executors[self.run_.executor]
        self.executor.started_at_ms = 5
        self.link = executor_link.ExecutorLink(
            executor=self.executor,
            scheduler=self.harness.scheduler,
            client=self.client,
            timers=self.timers,
            fence=1,
            lease_s=4.0,
            on_change=lambda: None,
            on_superseded=lambda: None,
        )
        self.run_.start_expires_at = float("inf")
        self.run_.deadline_ms = 9000
        self.link.start(self.run_)

    def test_start_goes_on_with_the_clock_of_the_restarted_executor(self):
        """Guards against a deadline of its previous clock, which is far ahead."""
        self.harness.scheduler.on_executor_restarted(self.executor, 6)
        self.client.starts.pop()[2](executors.NoResponse(reason="closed"))
        self.timers.run()
        self.assertEqual(self.client.starts, [])
        self.executor.update_clock(1000, self.harness.now)
        self.run_.start_expires_at = self.harness.now + 1e9
        self.timers.run()
        ((number, deadline_ms, _),) = self.client.starts
        self.assertEqual(number, self.run_.number)
        self.assertNotEqual(deadline_ms, 9000)

    def test_dropped_run_is_not_started_again(self):
        """Guards against a start that is repeated while its task runs elsewhere.

        Seen by the soak (seed 1 in CI, 11:15): an executor restarted under its id, and
        a task ran there and on another one.
        """
        self.harness.scheduler.remove_executor(self.executor, "gone")
        self.client.starts.pop()[2](executors.NoResponse(reason="closed"))
        self.timers.run()
        self.assertEqual(self.client.starts, [])

    def test_late_answer_from_before_a_restart_changes_nothing(self):
        """Guards against an executor that seems to restart with every answer."""
        self.harness.scheduler.on_executor_restarted(self.executor, 6)
        answer = executors.ExecutorResponse(is_accepted=True, clock_ms=7000, born=5)
        self.client.starts.pop()[2](answer)
        self.assertEqual(self.executor.started_at_ms, 6)
        self.assertIsNone(self.run_.confirmed_at)
