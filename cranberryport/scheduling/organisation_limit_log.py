"""Log lines when an organisation's work begins or ceases to wait for its limit.

Load pattern: an organisation at its limit is refused starts at every decision, some
tens of times a second, and thousands of organisations may be.
"""

import logging
import math

# An organisation at its limit is refused a start only while a decision looks at its
# tasks. After this time without a refusal it counts as below its limit.
RELEASE_DELAY_S = 1.0
# Lines in one interval of ``INTERVAL_S``; further changes are only counted. In a peak a
# controller logs some tens of other lines a second.
LINES_LIMIT = 20
INTERVAL_S = 1.0

_logger = logging.getLogger(__name__)


class LimitLog:
    """Logs each change once."""

    __slots__ = ("_interval_began_at", "_lines", "_refused_at", "_suppressed")

    def __init__(self):
        # Monotonic time of the last refusal by name of the organisation.
        self._refused_at = {}
        self._interval_began_at = -math.inf
        self._lines = self._suppressed = 0

    def update(self, budget, now):
        """Log the changes that a decision shows.

        Parameters
        ----------
        budget : organisation_limits.Budget
            Budget of the decision after its last run was planned.
        now : float
            Monotonic time in seconds.
        """
        for name in budget.refused:
            if name not in self._refused_at:
                self._log("organisation at its limit", name, budget, now)
            self._refused_at[name] = now
        released = [
            name
            for name, refused_at in self._refused_at.items()
            if now - refused_at >= RELEASE_DELAY_S
        ]
        for name in released:
            del self._refused_at[name]
            self._log("organisation below its limit", name, budget, now)

    def _log(self, event, name, budget, now):
        if now - self._interval_began_at >= INTERVAL_S:
            self._interval_began_at = now
            self._lines = 0
        if self._lines >= LINES_LIMIT:
            self._suppressed += 1
            return
        self._lines += 1
        used, limits = budget.use_and_limits(name)
        _logger.info(
            event,
            extra={
                "organisation": name,
                "use": list(used),
                "limits": list(limits),
                "suppressed_lines": self._suppressed,
            },
        )
        self._suppressed = 0
