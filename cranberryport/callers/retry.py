"""Decides on retries, within a budget and with exponential backoff and full jitter.

The budget keeps retries from multiplying the load on the remaining backend servers when
many fail: apart from an initial burst, there is at most one retry for ten first
attempts.
"""

TOKENS_PER_FIRST_ATTEMPT = 0.1
MAX_TOKENS = 10
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Token bucket of one service, filled by first attempts and emptied by retries."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = float(MAX_TOKENS)

    @property
    def tokens(self):
        """Number of retries that the budget allows now."""
        return self._tokens

    def add_first_attempt(self):
        """Add a fraction of a token for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_FIRST_ATTEMPT)

    def try_take_token(self):
        """Take a token for a retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def plan_retry(*, budget, attempts, is_not_run, is_repeatable, now, deadline, random):
    """Decide whether to retry a request, and take the token for it from the budget.

    Parameters
    ----------
    budget : RetryBudget
        Retry budget of the service.
    attempts : int
        Number of attempts made so far, at least 1.
    is_not_run : bool
        Whether the last attempt provably did not run.
    is_repeatable : bool
        Whether the request may run more than once.
    now, deadline : float
        Current time and deadline of the request, in monotonic seconds.
    random : random.Random
        Source of the jitter.

    Returns
    -------
    float or None
        Seconds to wait before the retry; None if the request must not be retried.
    """
    if not (is_not_run or is_repeatable):
        return None
    max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(attempts - 1, 16))
    delay_s = random.uniform(0.0, max_delay_s)
    if now + delay_s >= deadline:
        return None
    return delay_s if budget.try_take_token() else None
