"""Tests of :mod:`cranberryport.timers`."""

import threading
import unittest

from circuits import BaseComponent, Event, handler
from circuits.core import pollers

from cranberryport import timers
from tests import support

# Ends a test that hangs; no test depends on the value.
HANG_LIMIT_S = 20.0


class Listener(BaseComponent):
    """Sets a flag when the event ``due`` is handled."""

    def __init__(self):
        super().__init__()
        self.arrived = threading.Event()

    @handler("due")
    def _on_due(self):
        self.arrived.set()


class TimersTest(unittest.TestCase):
    """Due calls are made, and cancelled ones are neither made nor kept."""

    def test_event_fired_by_a_call_is_handled_at_once(self):
        """Guards against a poller that waits until the next call is due.

        The event that a due call fires is already queued then.
        """
        root = BaseComponent()
        pollers.Poller().register(root)
        clock = timers.Timers().register(root)
        listener = Listener().register(root)
        clock.after(10 * HANG_LIMIT_S, lambda: None)
        clock.after(0.01, lambda: listener.fire(Event.create("due")))
        thread, _ = root.start()
        arrived = listener.arrived.wait(HANG_LIMIT_S)
        root.stop()
        thread.join(HANG_LIMIT_S)
        self.assertTrue(arrived)

    def test_cancelled_call_is_not_made(self):
        """Guards against a timeout after the request was answered."""
        loop = support.EventLoop()
        calls = []
        timer = loop.timers.after(0, lambda: calls.append("cancelled"))
        loop.timers.after(0.01, lambda: calls.append("kept"))
        timer.cancel()
        loop.run_until(lambda: calls)
        self.assertEqual(calls, ["kept"])

    def test_cancelled_calls_are_removed(self):
        """Guards against memory use that grows with every cancelled timeout."""
        loop = support.EventLoop()
        kept = [loop.timers.after(60, lambda: None) for _ in range(500)]
        for _ in range(2000):
            loop.timers.after(60, lambda: None).cancel()
        loop.manager.tick(timeout=0)
        self.assertEqual(loop.timers.entry_count, len(kept))
