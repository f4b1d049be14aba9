"""Fakes of the components' collaborators, and helpers to run events in a test."""

import time

from circuits import BaseComponent, handler

from cranberryport.http import connection
from cranberryport.stream import log_writer_events

EVENT_LIMIT = 10_000


class FakeTimers:
    """Timers that fire only when the test calls :meth:`run`."""

    def __init__(self):
        self.scheduled = []

    def after(self, delay_s, callback):
        """Schedule a callback."""
        timer = FakeTimer(delay_s=delay_s, callback=callback)
        self.scheduled.append(timer)
        return timer

    def run(self, *, at_most_s=float("inf")):
        """Fire the timers whose delay is at most ``at_most_s``."""
        due = [timer for timer in self.scheduled if timer.delay_s <= at_most_s]
        self.scheduled = [timer for timer in self.scheduled if timer not in due]
        for timer in due:
            timer.run()


class FakeTimer:
    """A scheduled callback."""

    def __init__(self, *, delay_s, callback):
        self.delay_s = delay_s
        self.callback = callback

    def cancel(self):
        """Remove the callback."""
        self.callback = None

    def run(self):
        """Call the callback unless it was removed."""
        if self.callback is not None:
            self.callback()


class FakeLogClient:
    """Records appends and reads, to which the test fires the results."""

    def __init__(self):
        self.appends = []
        self.reads = []

    def append(self, body, *, deadline, reply_channel):
        """Record the exchange of an append."""
        self.appends.append(_exchange("POST", body, deadline, reply_channel))

    def read(self, position, *, limit, wait_ms, deadline, reply_channel):
        """Record the exchange of a read, with the position as context."""
        exchange = _exchange("GET", b"", deadline, reply_channel)
        exchange.context = position
        self.reads.append(exchange)


class Collector(BaseComponent):
    """Records outcomes on its channel and the records sent to the log writer."""

    channel = "collector"

    def __init__(self):
        super().__init__()
        self.decided = []
        self.records = []

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        self.decided.append((ticket.context, outcome))

    @handler("append", channel="log_writer")
    def _on_append(self, record, ticket):
        self.records.append((record, ticket))


def _exchange(method, body, deadline, reply_channel):
    return connection.Exchange(
        method=method,
        target="/",
        body=body,
        deadline=deadline,
        reply_channel=reply_channel,
    )


def answered_event(exchange, body=b"{}"):
    """Return the ``exchange_done`` event of an exchange with a response."""
    exchange.result = connection.Response(status=200, headers=[], body=body)
    return connection.exchange_done(exchange)


def failed_event(exchange):
    """Return the ``exchange_done`` event of an exchange whose response was lost."""
    exchange.result = connection.ExchangeFailure(
        reason="closed", detail="the answer was lost", bytes_sent=10
    )
    return connection.exchange_done(exchange)


def make_ticket(context, *, delay_s=10.0):
    """Return a ticket whose outcome is sent to a :class:`Collector`."""
    return log_writer_events.Ticket(
        reply_channel=Collector.channel,
        context=context,
        deadline=time.monotonic() + delay_s,
    )


def run_until_idle(root):
    """Handle events until none is left.

    Parameters
    ----------
    root : circuits.Manager
        Manager whose queue is processed.

    Raises
    ------
    AssertionError
        If the components fire more than ``EVENT_LIMIT`` events.
    """
    for _ in range(EVENT_LIMIT):
        if not len(root):
            return
        root.flush()
    raise AssertionError("the components fire events without end")
