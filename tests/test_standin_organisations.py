"""Tests of :mod:`standins.platform.organisations`."""

import json
import unittest

from standins.platform import __main__ as platform
from standins.platform import invariants, organisations

STEP = {"count": 9, "ms": 100, "processors": 1000, "memory": 10}
SPEC = {"steps": [STEP], "organisation": "a"}


def make_row(name="a", keys=("k1",), processors=0):
    """Return the row of an organisation in the configuration."""
    return {
        "Name": name,
        "ApiKeys": list(keys),
        "Weight": 1,
        "Maximum": {"Cpu": processors, "MemMb": 0, "Gpu": 0},
    }


class LimitCheckerTest(unittest.TestCase):
    """A soak whose check misses an organisation above its limit proves nothing."""

    def setUp(self):
        """Create a checker with a limit of two cores and a clock of the test."""
        self.now = 100.0
        self.violations = []
        self.checker = organisations.LimitChecker(
            report_violation=lambda *violation: self.violations.append(violation),
            clock=lambda: self.now,
        )
        self.checker.set_organisations([make_row(processors=2000)])

    def start_runs(self, *keys, organisation="a"):
        """Start runs of a core each."""
        for key in keys:
            self.checker.on_run_started(organisation, (key,), STEP)

    def test_start_above_limit_overshoot_and_one_task_is_reported(self):
        """Guards against a check that a program without limits passes."""
        self.start_runs(1, 2, 3)
        self.assertEqual(self.violations, [])
        self.start_runs(4)
        self.assertEqual(
            [name for name, _ in self.violations], ["organisation exceeds its limit"]
        )

    def test_ended_runs_make_room(self):
        """Guards against a check that counts all runs that ever started."""
        self.start_runs(1, 2, 3)
        self.checker.on_run_ended((1,))
        self.start_runs(4)
        self.assertEqual(self.violations, [])
        self.assertEqual(self.checker.used("a")["processors"], 3000)

    def test_other_organisations_and_jobs_without_one_do_not_count(self):
        """Guards against a check that adds up what different organisations run."""
        self.start_runs(1, 2)
        self.start_runs(3, 4, 5, organisation="b")
        self.start_runs(6, 7, 8, organisation="")
        self.start_runs(9)
        self.assertEqual(self.violations, [])

    def test_lowered_limit_applies_once_the_earlier_one_cannot_be_in_force(self):
        """Guards against false reports just after a change, and missed ones later."""
        self.checker.set_organisations([make_row(processors=1000)])
        self.start_runs(1, 2, 3)
        self.assertEqual(self.violations, [])
        self.now += organisations.OLD_CONFIGURATION_S + 0.1
        self.start_runs(4)
        self.assertEqual(len(self.violations), 1)

    def test_removed_limit_is_no_limit(self):
        """Guards against reports for organisations that have no limit any more."""
        self.checker.set_organisations([])
        self.start_runs(*range(9))
        self.assertEqual(self.violations, [])


class KeyCheckerTest(unittest.TestCase):
    """A soak whose check misses a served withdrawn key proves nothing."""

    def setUp(self):
        """Create a checker with the keys k1 and k2, stored at time 0."""
        self.violations = []
        self.checker = organisations.KeyChecker(
            report_violation=lambda *violation: self.violations.append(violation)
        )
        self.configure(0.0, "k1", "k2")

    def configure(self, stored_at, *keys):
        """Store a configuration with keys of one organisation."""
        rows = [make_row(keys=keys)]
        self.checker.on_configuration_sent(rows)
        self.checker.on_configuration_stored(rows, stored_at)

    def answer(self, key, sent_at, status):
        """Pass a response; return the violated invariants so far."""
        self.checker.on_response(key, sent_at=sent_at, status=status, detail="POST j")
        return [name for name, _ in self.violations]

    def test_success_later_than_the_revocation_limit_is_reported(self):
        """Guards against a check that a program without keys passes."""
        self.configure(10.0, "k2")
        limit_s = organisations.REVOCATION_LIMIT_S
        self.assertEqual(self.answer("k1", 10.0 + limit_s, 200), [])
        for status in (0, 401, 503):
            self.assertEqual(self.answer("k1", 10.1 + limit_s, status), [])
        self.assertEqual(
            self.answer("k1", 10.1 + limit_s, 200),
            ["request with a withdrawn key succeeded"],
        )
        self.assertNotIn("k1", self.violations[0][1])

    def test_key_that_is_added_again_is_valid(self):
        """Guards against false reports after changes in quick succession."""
        self.configure(10.0, "k2")
        self.configure(11.0, "k1", "k2")
        self.assertEqual(self.answer("k1", 20.0, 200), [])

    def test_unknown_key_that_is_served_is_reported(self):
        """Guards against a program that accepts any key."""
        self.assertEqual(
            self.answer("zz", 1.0, 200), ["request with an unknown key succeeded"]
        )

    def test_valid_key_that_stays_refused_is_reported(self):
        """Guards against a program that answers 401 without a current configuration."""
        self.assertEqual(self.answer("k1", 1.0, 401), [])
        self.assertEqual(self.answer("k1", 9.0, 401), ["valid key was refused"])

    def test_key_may_be_refused_as_soon_as_its_withdrawal_is_sent(self):
        """Guards against false reports while a withdrawal is being stored."""
        self.checker.on_configuration_sent([make_row(keys=["k2"])])
        self.assertEqual(self.answer("k1", 9.0, 401), [])
        self.assertEqual(self.answer("k1", 9.0, 200), [])


class ConfigurationTest(unittest.TestCase):
    """Configurations of the stand-in, and the runs that its executors report."""

    def test_deployment_without_organisations_has_no_list_of_them(self):
        """Guards against keys being required where nobody has one."""
        found = platform.configuration(["one"], "spare", 1)
        self.assertNotIn("Tenants", found)
        self.assertNotIn("Public", found["Routes"][0])

    def test_organisations_and_public_routes_are_written(self):
        """Guards against a soak in which no key is required."""
        rows = [make_row()]
        found = platform.configuration(
            ["one", "two"], "spare", 2, organisations=rows, public_pools=["two"]
        )
        self.assertEqual(found["Tenants"], rows)
        self.assertEqual([r.get("Public") for r in found["Routes"]], [None, True])

    def test_runs_of_executors_count_for_the_organisation_of_their_job(self):
        """Guards against a limit check that is never told of any run."""
        checker = invariants.InvariantChecker()
        checker.limits.set_organisations([make_row(processors=1000)])
        spec = invariants.read_spec(json.dumps(SPEC))
        for index in range(3):
            checker.on_run_started(f"job.0.0.{index}", 1, "e1", spec)
        self.assertEqual(
            [violation["invariant"] for violation in checker.violations],
            ["organisation exceeds its limit"],
        )
        for index in range(3):
            checker.on_run_ended(f"job.0.0.{index}", 1, "e1", "done")
        self.assertEqual(checker.limits.used("a")["processors"], 0)
