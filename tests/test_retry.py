"""Tests of :mod:`cranberryport.callers.retry`."""

import random
import unittest

from cranberryport.callers import retry


def plan_default_retry(budget, **changes):
    """Return the delay before a retry; by default the request did not run."""
    options = {
        "attempts": 1,
        "is_not_run": True,
        "is_repeatable": False,
        "now": 0.0,
        "deadline": 100.0,
        "random": random.Random(1),
    }
    return retry.plan_retry(budget=budget, **{**options, **changes})


class RetryTest(unittest.TestCase):
    """Retries neither run a request twice nor multiply the load."""

    def test_request_that_may_have_run_is_retried_only_if_repeatable(self):
        budget = retry.RetryBudget()
        self.assertIsNotNone(plan_default_retry(budget))
        self.assertIsNotNone(
            plan_default_retry(budget, is_not_run=False, is_repeatable=True)
        )
        self.assertIsNone(plan_default_retry(budget, is_not_run=False))
        self.assertIsNone(plan_default_retry(budget, deadline=0.0))

    def test_budget_allows_a_burst_and_a_tenth_of_the_first_attempts(self):
        budget = retry.RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.add_first_attempt()
            while plan_default_retry(budget) is not None:
                retries += 1
        self.assertAlmostEqual(retries, retry.MAX_TOKENS + 100, delta=1)

    def test_retry_after_the_deadline_takes_no_token(self):
        budget = retry.RetryBudget()
        plan_default_retry(budget, deadline=0.0)
        self.assertEqual(budget.tokens, retry.MAX_TOKENS)

    def test_backoff_grows_to_its_limit(self):
        source = random.Random(2)
        for attempts, limit_s in ((1, 0.05), (2, 0.1), (6, 1.6), (7, 2.0), (99, 2.0)):
            delays = [
                plan_default_retry(
                    retry.RetryBudget(), attempts=attempts, random=source
                )
                for _ in range(200)
            ]
            self.assertLessEqual(max(delays), limit_s)
            self.assertGreater(max(delays), 0.9 * limit_s)
