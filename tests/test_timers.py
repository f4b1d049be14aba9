"""Tests of :mod:`cranberryport.timers`."""

import threading
import unittest

from circuits import BaseComponent, Event, handler
from circuits.core import pollers

from cranberryport import timers
from tests import support

HANG_LIMIT_S = 20.0


class Listener(BaseComponent):
    """Notes that the event arrived."""

    def __init__(self):
        super().__init__()
        self.arrived = threading.Event()

    @handler("due")
    def _on_due(self):
        self.arrived.set()


class TimersTest(unittest.TestCase):
    """What a due call fires must not wait for the next due time."""

    def test_event_fired_by_a_call_is_handled_at_once(self):
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
        loop = support.EventLoop()
        calls = []
        timer = loop.timers.after(0, lambda: calls.append("cancelled"))
        loop.timers.after(0.01, lambda: calls.append("kept"))
        timer.cancel()
        loop.run_until(lambda: calls)
        self.assertEqual(calls, ["kept"])

    def test_cancelled_calls_do_not_pile_up(self):
        loop = support.EventLoop()
        kept = [loop.timers.after(60, lambda: None) for _ in range(500)]
        for _ in range(2000):
            loop.timers.after(60, lambda: None).cancel()
        loop.manager.tick(timeout=0)
        self.assertEqual(loop.timers.entry_count, len(kept))
