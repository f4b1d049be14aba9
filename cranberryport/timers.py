"""One component for all timeouts of the process.

A circuits ``Timer`` is a component of its own; one per request would cost more than
the request's other events together.
"""

import heapq
import itertools
import time

from circuits import BaseComponent, handler


class Timer:
    """A scheduled call.

    Parameters
    ----------
    callback : callable
        Called without arguments when the time has come.
    """

    __slots__ = ("_callback",)

    def __init__(self, *, callback):
        self._callback = callback

    @property
    def is_pending(self):
        """Whether the call is still to come."""
        return self._callback is not None

    def cancel(self):
        """Drop the call; calling this twice does no harm."""
        self._callback = None

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
        timer = Timer(callback=callback)
        due = time.monotonic() + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, next(self._order), timer))
        return timer

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event):
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2].run()
            # Events that the call fired are in the queue; without this the poller
            # would wait for the next due time before they are handled.
            event.reduce_time_left(0)
        while self._heap and not self._heap[0][2].is_pending:
            heapq.heappop(self._heap)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - time.monotonic()))
