"""Tells whether the configuration of this instance is proven to be recent.

Load pattern: an instance loses its path to the store, or is frozen or suspended, while
the operator withdraws a key. Its configuration still has the key, so the instance must
stop serving requests with keys before the promised time is over.

A read of the operator's topic proves that the configuration was the newest one when
the read was *sent*; the answer may be late. That holds only if the answer cannot have
missed a version. After a gap nothing is proven until a version above all earlier ones
is in force, since a version that was missed may be any of those.
"""

import logging

from cranberryport import boot_clock

# Share of the limit that is left for the difference of the rates of this machine's
# clock and of the caller's. Crystals differ by up to 100 ppm, and each clock may be
# adjusted by up to 500 ppm more; together that is 0.12 %.
CLOCK_RATE_MARGIN = 0.01

_logger = logging.getLogger(__name__)


class ConfigurationProof:
    """Age of the configuration in force.

    Parameters
    ----------
    limit_s : float
        Age in seconds above which requests with keys are not served; 0 for no limit.
    last_read_sent_at : callable
        Returns the time in seconds on the boot clock at which the last answered read of
        the operator's topic was sent, or None. All records up to then have been passed
        on.
    """

    __slots__ = ("_has_gap", "_last_read_sent_at", "_limit_s", "_newest_version")

    def __init__(self, *, limit_s, last_read_sent_at):
        self._limit_s = limit_s * (1 - CLOCK_RATE_MARGIN)
        self._last_read_sent_at = last_read_sent_at
        self._newest_version = None
        self._has_gap = True

    @property
    def age_s(self):
        """Largest possible age of the configuration in seconds; None if not known."""
        sent_at = self._last_read_sent_at()
        if sent_at is None or self._has_gap:
            return None
        return boot_clock.now_s() - sent_at

    @property
    def is_fresh(self):
        """Whether requests with keys may be served now."""
        if not self._limit_s:
            return True
        age_s = self.age_s
        return age_s is not None and age_s <= self._limit_s

    def add_version(self, version):
        """Record that a version is in force, or that it was read again.

        Parameters
        ----------
        version : int
            Number of the version.
        """
        if self._newest_version is None or version > self._newest_version:
            self._newest_version = version
            self._has_gap = False

    def add_gap(self, reason):
        """Record that a version may have been missed.

        Parameters
        ----------
        reason : str
            Reason for the log.
        """
        if not self._has_gap:
            _logger.error("configuration not proven", extra={"reason": reason})
        self._has_gap = True
