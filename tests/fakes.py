"""Fakes at the interfaces of components, and a manager that runs by hand."""

import time

from circuits import BaseComponent, handler

from cranberryport.http import connection
from cranberryport.stream import log_writer_events

MAX_EVENTS = 10_000


class FakeTimers:
    """Timers that run when the test says so."""

    def __init__(self):
        self.scheduled = []

    def after(self, delay_s, callback):
        """Remember a call."""
        timer = FakeTimer(delay_s=delay_s, callback=callback)
        self.scheduled.append(timer)
        return timer

    def run(self, *, at_most_s=float("inf")):
        """Make the calls that are scheduled within a delay."""
        due = [timer for timer in self.scheduled if timer.delay_s <= at_most_s]
        self.scheduled = [timer for timer in self.scheduled if timer not in due]
        for timer in due:
            timer.run()


class FakeTimer:
    """A scheduled call."""

    def __init__(self, *, delay_s, callback):
        self.delay_s = delay_s
        self.callback = callback

    def cancel(self):
        """Drop the call."""
        self.callback = None

    def run(self):
        """Make the call unless it was dropped."""
        if self.callback is not None:
            self.callback()


class FakeLogClient:
    """Collects appends and reads; the test answers them."""

    def __init__(self):
        self.appends = []
        self.reads = []

    def append(self, body, *, deadline, reply_channel):
        """Remember an append."""
        self.appends.append(_exchange("POST", body, deadline, reply_channel))

    def read(self, position, *, limit, wait_ms, deadline, reply_channel):
        """Remember a read."""
        exchange = _exchange("GET", b"", deadline, reply_channel)
        exchange.context = position
        self.reads.append(exchange)


class Collector(BaseComponent):
    """Collects events of its channel, and the records handed to the log writer."""

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
    """Return the event for an exchange that was answered."""
    exchange.result = connection.Response(status=200, headers=[], body=body)
    return connection.exchange_done(exchange)


def failed_event(exchange):
    """Return the event for an exchange whose answer was lost."""
    exchange.result = connection.ExchangeFailure(
        reason="closed", detail="the answer was lost", bytes_sent=10
    )
    return connection.exchange_done(exchange)


def make_ticket(context, *, delay_s=10.0):
    """Return a ticket whose outcome goes to the collector."""
    return log_writer_events.Ticket(
        reply_channel=Collector.channel,
        context=context,
        deadline=time.monotonic() + delay_s,
    )


def run_until_idle(root):
    """Handle events until none is left."""
    for _ in range(MAX_EVENTS):
        if not len(root):
            return
        root.flush()
    raise AssertionError("the components never become quiet")
