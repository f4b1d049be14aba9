"""Clock for permissions that expire, such as memberships and leases.

The monotonic clock of Linux stops while a machine is suspended. A permission that is
measured on it would seem valid after the machine resumes, although the party that has
granted it has seen it expire.
"""

import time

# A clock that is adjusted gradually drifts less than this in a process's life.
STEP_LIMIT_S = 0.2


def now_s():
    """Return the seconds since boot, including those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClockWatch:
    """Tells whether the wall clock has been stepped since this object was created."""

    __slots__ = ("_offset_s",)

    def __init__(self):
        self._offset_s = time.time() - now_s()

    @property
    def has_stepped(self):
        """Whether Unix times of this process cannot be compared with those of others.

        This ends once the clock is stepped back.
        """
        return abs(time.time() - now_s() - self._offset_s) > STEP_LIMIT_S
