"""Schedules all timeouts of the process in one circuits component.

Load pattern: every request sets a timeout, and nearly all are cancelled. A circuits
``Timer`` is a component of its own; one per request would cost more than the request's
other events together.
"""

import heapq
import itertools
import time

from circuits import BaseComponent, handler

# The heap is compacted when more than this number plus half of its entries are
# cancelled. Otherwise each cancelled entry would stay until it is due: 30,000 entries
# at 3,000 requests/s with 10 s to the deadline.
CANCELLED_LIMIT = 256


class Timer:
    """A scheduled call.

    Parameters
    ----------
    callback : callable
        Called without arguments when the call is due.
    on_cancelled : callable
        Called without arguments if the call is cancelled before it was made.
    """

    __slots__ = ("_callback", "_on_cancelled")

    def __init__(self, *, callback, on_cancelled):
        self._callback = callback
        self._on_cancelled = on_cancelled

    @property
    def is_pending(self):
        """Whether the call was neither made nor cancelled."""
        return self._callback is not None

    def cancel(self):
        """Cancel the call; does nothing if it was made or cancelled before."""
        if self._callback is not None:
            self._callback = None
            self._on_cancelled()

    def run(self):
        """Make the call unless it was cancelled or already made."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Timers(BaseComponent):
    """Calls functions when they are due on the monotonic clock."""

    channel = "timers"

    def __init__(self):
        super().__init__()
        self._heap = []
        self._order = itertools.count()
        self._cancelled = 0

    @property
    def entry_count(self):
        """Number of calls in the heap, including cancelled ones."""
        return len(self._heap)

    def after(self, delay_s, callback):
        """Schedule a call.

        Parameters
        ----------
        delay_s : float
            Seconds from now; a negative delay is taken as zero.
        callback : callable
            Called without arguments.

        Returns
        -------
        Timer
            Handle to cancel the call.
        """
        timer = Timer(callback=callback, on_cancelled=self._count_cancelled)
        due = time.monotonic() + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    def _count_cancelled(self):
        self._cancelled += 1

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event):
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            # The call may fire events. They are queued by the time the poller runs,
            # after this handler; the poller must not wait while events are queued.
            event.reduce_time_left(0)
            timer = heapq.heappop(self._heap)[2]
            self._cancelled -= not timer.is_pending
            timer.run()
        if self._cancelled > CANCELLED_LIMIT + len(self._heap) // 2:
            self._heap = [item for item in self._heap if item[2].is_pending]
            heapq.heapify(self._heap)
            self._cancelled = 0
        while self._heap and not self._heap[0][2].is_pending:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - time.monotonic()))
