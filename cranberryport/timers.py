"""One component for all timeouts of the process.

A circuits ``Timer`` is a component of its own; one per request would cost more than
the request's other events together.
"""

import heapq
import itertools
import time

from circuits import BaseComponent, handler

# Nearly all timeouts are cancelled. Without this limit each would stay for its whole
# time, which is 30,000 entries at 3,000 requests/s with 10 s to their deadline.
CANCELLED_LIMIT = 256


class Timer:
    """A scheduled call.

    Parameters
    ----------
    callback : callable
        Called without arguments when the time has come.
    on_cancelled : callable
        Called without arguments if the call is dropped before its time.
    """

    __slots__ = ("_callback", "_on_cancelled")

    def __init__(self, *, callback, on_cancelled):
        self._callback = callback
        self._on_cancelled = on_cancelled

    @property
    def is_pending(self):
        """Whether the call is still to come."""
        return self._callback is not None

    def cancel(self):
        """Drop the call; calling this twice does no harm."""
        if self._callback is not None:
            self._callback = None
            self._on_cancelled()

    def run(self):
        """Make the call unless it was cancelled or already made."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Timers(BaseComponent):
    """Calls functions at their time on the monotonic clock."""

    channel = "timers"

    def __init__(self):
        super().__init__()
        self._heap = []
        self._order = itertools.count()
        self._cancelled = 0

    @property
    def entry_count(self):
        """Number of calls kept, cancelled ones included."""
        return len(self._heap)

    def after(self, delay_s, callback):
        """Schedule a call.

        Parameters
        ----------
        delay_s : float
            Seconds from now; a negative delay counts as zero.
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
            # The events that a call fires are already in the queue; the poller, which
            # comes after this handler, must not wait while they are.
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
