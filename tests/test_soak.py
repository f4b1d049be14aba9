"""Short seeded runs of the soak, and tests of what it checks with."""

import pathlib
import unittest

from soak import __main__ as soak
from soak import plan
from standins.platform import invariants

# Logs stay here, as a violation may not show again.
DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "build" / "soak"
SECONDS = 6.0
# Plans with different kinds of faults, and every seed that has ever failed. Seed 1
# found a start repeated to a restarted executor while its task ran elsewhere.
SEEDS = (1, 4)
SPEC = {"steps": [{"count": 1}, {"count": 1, "after": [0]}]}


class SoakTest(unittest.TestCase):
    """Invariants under faults from outside the programs."""

    def test_no_invariant_is_violated(self):
        """Guards against lost or doubled work under overlapping faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                directory = DIRECTORY / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
                run = soak.Run(seed=seed, seconds=SECONDS, directory=directory)
                run.play()
                self.assertEqual(run.violations, [])
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


class InvariantsTest(unittest.TestCase):
    """Violations that the executors see."""

    def setUp(self):
        """Make checks without findings."""
        self.checks = invariants.InvariantChecker()

    def _violated(self):
        return [found["invariant"] for found in self.checks.violations]

    def test_second_run_beside_the_first_is_found(self):
        """Guards against a soak that does not see a task run twice."""
        self.checks.on_run_started("job.0.0.0", 1, "e1", SPEC)
        self.checks.on_run_started("job.0.0.0", 2, "e2", SPEC)
        self.assertEqual(self._violated(), ["two runs at once"])

    def test_run_after_an_acknowledged_end_is_found(self):
        """Guards against a soak that does not see finished work done again."""
        self.checks.on_run_started("job.0.0.0", 1, "e1", SPEC)
        self.checks.on_run_ended("job.0.0.0", 1, "e1", "done")
        self.checks.on_run_started("job.0.0.0", 2, "e1", SPEC)
        self.checks.on_run_ended("job.0.0.0", 2, "e1", "done")
        self.assertEqual(self._violated(), [])
        self.checks.on_end_acknowledged("job.0.0.0", "done")
        self.checks.on_run_started("job.0.0.0", 3, "e1", SPEC)
        self.assertEqual(self._violated(), ["run after its end was acknowledged"])

    def test_run_before_its_turn_is_found(self):
        """Guards against a soak that does not see a broken dependency."""
        self.checks.on_run_started("job.0.1.0", 1, "e1", SPEC)
        self.assertEqual(self._violated(), ["run before the step it depends on"])
