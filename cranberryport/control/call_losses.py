"""Times for calls to executors while some of the answers are lost.

Load pattern: at a peak, for some seconds, a few in a hundred calls to executors get no
answer. Until the loss of its long poll is noticed, the ends of an executor's runs are
not known and nothing is started there. With long polls of 1 s that took 2 s, four times
as long as a typical task, and happened to most executors every few seconds. Long polls
are short while answers are lost; otherwise they are long, since each call is charged
for.
"""

# Losses in this time, at least this many, mean that answers are being lost. An executor
# that answers no call at all counts once.
WINDOW_S = 3.0
MIN_LOSSES = 2
# Executors answer within milliseconds; the rest is for a busy controller.
LIST_TIMEOUT_S = 0.8
LOSSY_LIST_TIMEOUT_S = 0.3
# Long polls of executors with runs: a renewal has to come well within a lease.
BUSY_LONG_POLL_S = 1.0
LOSSY_LONG_POLL_S = 0.25


class CallLosses:
    """Counts lost answers of all executors, and chooses the times of their calls."""

    __slots__ = ("_lost_at",)

    def __init__(self):
        self._lost_at = []

    def record_loss(self, now):
        """Record that the answer of an executor that answered before was lost.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._lost_at = [t for t in self._lost_at if now - t < WINDOW_S][-MIN_LOSSES:]
        self._lost_at.append(now)

    def are_answers_lost(self, now):
        """Return whether answers of executors have been lost lately."""
        return sum(now - t < WINDOW_S for t in self._lost_at) >= MIN_LOSSES

    def long_poll_s(self, now):
        """Return for how long an executor with runs may delay the list of its runs."""
        return LOSSY_LONG_POLL_S if self.are_answers_lost(now) else BUSY_LONG_POLL_S

    def list_timeout_s(self, now):
        """Return the timeout of a list of runs beyond its long poll."""
        return LOSSY_LIST_TIMEOUT_S if self.are_answers_lost(now) else LIST_TIMEOUT_S
