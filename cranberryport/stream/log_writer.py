"""Appends records to the control stream in groups and tells their outcomes."""

import collections
import time

from circuits import BaseComponent, handler

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.stream import log_client
from cranberryport.stream.log_writer_events import Undecided, decided

APPEND_TIMEOUT_S = 2.0
GROUP_BYTES = 512 * 1024
GROUP_RECORDS = 256
RETRY_DELAY_S = 0.1


class _Pending:
    """A record with its ticket until its outcome is known."""

    __slots__ = ("fields", "record", "size", "ticket", "timer")

    def __init__(self, *, record, ticket):
        self.record = record
        self.ticket = ticket
        self.fields = codec.to_map(record)
        self.size = len(codec.encode(record))
        self.timer = None


class LogWriter(BaseComponent):
    """Groups records into one append at a time.

    While an append is in flight, further records wait and form the next group, so that
    the size of a group follows the load. An append without a confirmed result is sent
    again with the same sequence until it is confirmed or read back.

    Parameters
    ----------
    client : cranberryport.stream.log_client.LogClient
        For appends.
    timers : cranberryport.timers.Timers
        For deadlines and pauses.
    """

    channel = "log_writer"

    def __init__(self, *, client, timers):
        super().__init__()
        self._client = client
        self._timers = timers
        self._writer = None
        self._sequence = 0
        self._waiting = collections.deque()
        self._group = []
        self._body = None
        self._confirmed = {}
        self._is_sending = False
        self._append_count = 0
        self._record_count = 0

    @property
    def writer(self):
        """Session id under which records are appended."""
        return self._writer

    @property
    def append_count(self):
        """Number of appends sent, with repeats."""
        return self._append_count

    @property
    def record_count(self):
        """Number of records handed in."""
        return self._record_count

    @property
    def is_idle(self):
        """Whether every record handed in has its outcome."""
        return not (self._waiting or self._group or self._confirmed)

    def start_session(self, session):
        """Write under a new session id; records of the old one stay undecided.

        Parameters
        ----------
        session : str
            New id; its sequences start at 1.
        """
        abandoned = [pending for group in self._confirmed.values() for pending in group]
        abandoned += self._group + list(self._waiting)
        self._confirmed.clear()
        self._group = []
        self._body = None
        self._waiting.clear()
        self._writer = session
        self._sequence = 0
        for pending in abandoned:
            self._decide(pending, Undecided(record=pending.record))

    @handler("append")
    def _on_append(self, record, ticket):
        self._record_count += 1
        pending = _Pending(record=record, ticket=ticket)
        delay_s = ticket.deadline - time.monotonic()
        pending.timer = self._timers.after(delay_s, lambda: self._give_up(pending))
        self._waiting.append(pending)
        self._send_next()

    def _give_up(self, pending):
        if pending in self._waiting:
            self._waiting.remove(pending)
        self._decide(pending, Undecided(record=pending.record))
        # A reader that restarted from a snapshot never folds some confirmed groups.
        for body, group in list(self._confirmed.items()):
            if all(member.ticket is None for member in group):
                del self._confirmed[body]

    def _decide(self, pending, outcome):
        ticket, pending.ticket = pending.ticket, None
        if ticket is None:
            return
        pending.timer.cancel()
        self.fire(decided(ticket, outcome), ticket.reply_channel)

    def _send_next(self):
        if self._is_sending or self._writer is None:
            return
        if self._body is None and not self._form_group():
            return
        self._is_sending = True
        self._append_count += 1
        self._client.append(
            self._body,
            deadline=time.monotonic() + APPEND_TIMEOUT_S,
            reply_channel=self.channel,
        )

    def _form_group(self):
        size = 0
        while self._waiting and len(self._group) < GROUP_RECORDS:
            if self._group and size + self._waiting[0].size > GROUP_BYTES:
                break
            pending = self._waiting.popleft()
            size += pending.size
            self._group.append(pending)
        if not self._group:
            return False
        self._sequence += 1
        envelope = messages.Envelope(
            writer=self._writer,
            sequence=self._sequence,
            records=[pending.fields for pending in self._group],
        )
        self._body = codec.encode(envelope)
        return True

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self._is_sending = False
        if self._body is not None and exchange.body == self._body:
            if not log_client.is_appended(exchange.result):
                self._timers.after(RETRY_DELAY_S, self._send_next)
                return
            self._group_sent()
        self._send_next()

    def _group_sent(self):
        # The append is confirmed, but the outcomes are known only after read-back. The
        # next group may be sent meanwhile.
        self._confirmed[self._body] = self._group
        self._group = []
        self._body = None

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        group = self._confirmed.pop(body, None)
        if group is None and body == self._body:
            group = self._group
            self._group = []
            self._body = None
        if group is None:
            return
        for pending, outcome in zip(group, outcomes, strict=False):
            self._decide(pending, outcome)
        self._send_next()
