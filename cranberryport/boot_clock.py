"""Clock for permissions that expire, such as memberships and leases.

The monotonic clock of Linux stops while a machine is suspended. A permission that is
measured on it would seem valid after the machine resumes, although the party that has
granted it has seen it expire.
"""

import time


def now_s():
    """Return the seconds since boot, including those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
