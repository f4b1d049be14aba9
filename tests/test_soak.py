"""Short seeded runs of the soak, and tests of what it checks with."""

import pathlib
import tempfile
import unittest

from soak import __main__ as soak
from soak import plan
from standins.platform import promises

SECONDS = 6.0
# Two plans with different kinds of faults, and every seed that has ever failed.
SEEDS = (1, 4)
SPEC = {"steps": [{"count": 1}, {"count": 1, "after": [0]}]}


class SoakTest(unittest.TestCase):
    """Promises under faults from outside the programs."""

    def test_no_promise_is_broken(self):
        """Guards against lost or doubled work under overlapping faults."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as directory,
            ):
                run = soak.Run(
                    seed=seed, seconds=SECONDS, directory=pathlib.Path(directory)
                )
                run.play()
                self.assertEqual(run.broken, [])
                self.assertGreater(run.starts, 0)


class PlanTest(unittest.TestCase):
    """Plans drawn from seeds."""

    def test_seed_gives_the_same_plan_again(self):
        """Guards against findings that cannot be played again."""
        names = ["a", "b"]

        def draw(seed):
            found = plan.draw(seed, seconds=60.0, entries=names, instances=names)
            return [str(fault) for fault in found]

        self.assertEqual(draw(3), draw(3))
        self.assertNotEqual(draw(3), draw(4))

    def test_all_faults_end_in_time(self):
        """Guards against faults that go on while everything has to be well again."""
        found = plan.draw(5, seconds=20.0, entries=["a"], instances=["b"])
        self.assertTrue(all(fault.at + fault.length_s <= 20.0 for fault in found))


class PromisesTest(unittest.TestCase):
    """What executors see and must not see."""

    def setUp(self):
        """Make checks without findings."""
        self.checks = promises.Promises()

    def _rules(self):
        return [found["rule"] for found in self.checks.broken]

    def test_second_run_beside_the_first_is_found(self):
        """Guards against a soak that does not see a task run twice."""
        self.checks.on_start("job.0.0.0", 1, "e1", SPEC)
        self.checks.on_start("job.0.0.0", 2, "e2", SPEC)
        self.assertEqual(self._rules(), ["two runs at once"])

    def test_run_after_an_acknowledged_end_is_found(self):
        """Guards against a soak that does not see finished work done again."""
        self.checks.on_start("job.0.0.0", 1, "e1", SPEC)
        self.checks.on_end("job.0.0.0", 1, "e1", "done")
        self.checks.on_start("job.0.0.0", 2, "e1", SPEC)
        self.checks.on_end("job.0.0.0", 2, "e1", "done")
        self.assertEqual(self._rules(), [])
        self.checks.on_acknowledged("job.0.0.0", "done")
        self.checks.on_start("job.0.0.0", 3, "e1", SPEC)
        self.assertEqual(self._rules(), ["run after its end was acknowledged"])

    def test_run_before_its_turn_is_found(self):
        """Guards against a soak that does not see a broken dependency."""
        self.checks.on_start("job.0.1.0", 1, "e1", SPEC)
        self.assertEqual(self._rules(), ["run before the step it depends on"])
