"""An event loop that a test turns itself."""

import time

from circuits import Manager
from circuits.core import pollers

from cranberryport import timers

LIMIT_S = 10


class Loop:
    """A manager with poller and timers."""

    def __init__(self):
        self.manager = Manager()
        # tick() polls only in a running manager, and run() would not return.
        self.manager._running = True
        self.add(pollers.EPoll())
        self.timers = self.add(timers.Timers())

    def add(self, component):
        """Register a component and return it."""
        component.register(self.manager)
        return component

    def run_until(self, condition):
        """Turn the loop until a condition is true, at most for some seconds."""
        limit = time.monotonic() + LIMIT_S
        while not condition():
            if time.monotonic() > limit:
                raise AssertionError("the condition never became true")
            self.manager.tick(timeout=0.05)
