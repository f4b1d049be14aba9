"""Tests of :mod:`cranberryport.timers`."""

import unittest

from circuits import BaseComponent, Event, handler

from tests import support


class TimeLeft(BaseComponent):
    """Notes how long the poller may wait; runs after the timers."""

    def __init__(self):
        super().__init__()
        self.noted = []

    @handler("generate_events", channel="*", priority=-1)
    def _on_generate_events(self, event):
        self.noted.append(event.time_left)
        event.reduce_time_left(0)


class TimersTest(unittest.TestCase):
    """A timeout must act at its time even if nothing else happens."""

    def test_poller_does_not_wait_after_a_call(self):
        # A queued event waited until something else woke the poller.
        loop = support.Loop()
        time_left = loop.add(TimeLeft())
        loop.run_until(lambda: not len(loop.manager))
        loop.timers.after(0, lambda: loop.manager.fire(Event.create("due")))
        time_left.noted.clear()
        loop.manager.tick(timeout=5)
        self.assertEqual(time_left.noted, [0])

    def test_cancelled_call_is_not_made(self):
        loop = support.Loop()
        calls = []
        timer = loop.timers.after(0, lambda: calls.append("cancelled"))
        loop.timers.after(0.01, lambda: calls.append("kept"))
        timer.cancel()
        loop.run_until(lambda: calls)
        self.assertEqual(calls, ["kept"])

    def test_cancelled_calls_do_not_pile_up(self):
        loop = support.Loop()
        kept = [loop.timers.after(60, lambda: None) for _ in range(500)]
        for _ in range(2000):
            loop.timers.after(60, lambda: None).cancel()
        loop.manager.tick(timeout=0)
        self.assertEqual(loop.timers.entry_count, len(kept))
