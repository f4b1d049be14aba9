"""Retries within a budget, with exponential backoff and full jitter.

The budget keeps a failure of many backend servers from multiplying the load on the
others: retries add at most a tenth to the first attempts.
"""

BUDGET_PART = 0.1
BUDGET_BURST = 10
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Token bucket of one service, filled by first attempts."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = float(BUDGET_BURST)

    @property
    def tokens(self):
        """Retries that can be made now."""
        return self._tokens

    def add_first_attempt(self):
        """Earn a part of a retry."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_PART)

    def take(self):
        """Pay for one retry; return whether the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def plan_retry(*, budget, attempts, is_not_run, is_repeatable, now, deadline, random):
    """Decide whether to try again, and pay for it.

    Parameters
    ----------
    budget : RetryBudget
        Of the service.
    attempts : int
        Attempts made, at least 1.
    is_not_run : bool
        Whether the last attempt provably did not run.
    is_repeatable : bool
        Whether the request may run twice.
    now, deadline : float
        Monotonic seconds.
    random : random.Random
        For the jitter.

    Returns
    -------
    float or None
        Seconds to wait, or None if no attempt may follow.
    """
    if not (is_not_run or is_repeatable):
        return None
    longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(attempts - 1, 16))
    delay_s = random.uniform(0.0, longest_s)
    if now + delay_s >= deadline:
        return None
    return delay_s if budget.take() else None
