"""Appends records to the control stream in groups and reports their outcomes.

The log service limits the number of appends per second, so records that arrive while an
append is in flight form one further append. The outcome of a record, accepted or
rejected, is known when the record has been read back from the log and folded.
"""

import collections
import time

from circuits import BaseComponent, handler

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.stream import log_client
from cranberryport.stream.log_writer_events import Undecided, decided

APPEND_REQUEST_TIMEOUT_S = 2.0
GROUP_LIMIT_BYTES = 512 * 1024
GROUP_RECORDS = 256
RETRY_DELAY_S = 0.1


class _PendingRecord:
    """A record whose outcome is not known yet.

    Parameters
    ----------
    record : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    ticket : log_writer_events.Ticket
        Says where the outcome is sent; None afterwards.
    """

    __slots__ = ("fields", "record", "size", "ticket", "timer")

    def __init__(self, *, record, ticket):
        self.record = record
        self.ticket = ticket
        self.fields = codec.to_map(record)
        self.size = len(codec.encode(record))
        self.timer = None


class LogWriter(BaseComponent):
    """Appends groups of records, one append request at a time.

    While a request is in flight, further records wait and form the next group, so the
    size of the groups grows with the load. A request that was not confirmed is repeated
    with the same sequence until it is confirmed or its group is read back. The fold
    ignores a sequence that it has already seen, so no record takes effect twice.

    Parameters
    ----------
    client : cranberryport.stream.log_client.LogClient
        Client for the append requests.
    timers : cranberryport.timers.Timers
        Timers for the deadlines of records and the pauses before repeated requests.
    """

    channel = "log_writer"

    def __init__(self, *, client, timers):
        super().__init__()
        self._client = client
        self._timers = timers
        self._session_id = None
        self._sequence = 0
        self._waiting = collections.deque()
        # Group whose append is not confirmed, and its encoded envelope.
        self._sending_group = []
        self._sending_body = None
        # Encoded envelope to the group, for confirmed groups that are not folded yet.
        self._confirmed_groups = {}
        self._is_request_in_flight = False
        self._append_count = 0
        self._record_count = 0

    @property
    def session(self):
        """Id of the session under which records are appended, or None."""
        return self._session_id

    @property
    def append_count(self):
        """Number of append requests sent, including repeated ones."""
        return self._append_count

    @property
    def record_count(self):
        """Number of records received from the components of this process."""
        return self._record_count

    @property
    def is_idle(self):
        """Whether no record waits for its append or its outcome."""
        return not (self._waiting or self._sending_group or self._confirmed_groups)

    def start_session(self, session):
        """Append under a new session; pending records of the old one become undecided.

        Parameters
        ----------
        session : str
            Id of the new session, whose sequences start at 1.
        """
        undecided = [
            pending for group in self._confirmed_groups.values() for pending in group
        ]
        undecided += self._sending_group + list(self._waiting)
        self._confirmed_groups.clear()
        self._sending_group = []
        self._sending_body = None
        self._waiting.clear()
        self._session_id = session
        self._sequence = 0
        for pending in undecided:
            self._fire_outcome(pending, Undecided(record=pending.record))

    @handler("append")
    def _on_append(self, record, ticket):
        self._record_count += 1
        pending = _PendingRecord(record=record, ticket=ticket)
        delay_s = ticket.deadline - time.monotonic()
        pending.timer = self._timers.after(delay_s, lambda: self._on_deadline(pending))
        self._waiting.append(pending)
        self._send_next()

    def _on_deadline(self, pending):
        if pending in self._waiting:
            self._waiting.remove(pending)
        self._fire_outcome(pending, Undecided(record=pending.record))
        # A group without pending outcomes is removed here, because a confirmed group is
        # never folded if the follower goes on from a snapshot that includes it.
        for body, group in list(self._confirmed_groups.items()):
            if all(member.ticket is None for member in group):
                del self._confirmed_groups[body]

    def _fire_outcome(self, pending, outcome):
        ticket, pending.ticket = pending.ticket, None
        if ticket is None:
            return
        pending.timer.cancel()
        self.fire(decided(ticket, outcome), ticket.reply_channel)

    def _send_next(self):
        if self._is_request_in_flight or self._session_id is None:
            return
        if self._sending_body is None and not self._form_group():
            return
        self._is_request_in_flight = True
        self._append_count += 1
        self._client.append(
            self._sending_body,
            deadline=time.monotonic() + APPEND_REQUEST_TIMEOUT_S,
            reply_channel=self.channel,
        )

    def _form_group(self):
        """Form and encode the next group; return False if no record waits."""
        size = 0
        while self._waiting and len(self._sending_group) < GROUP_RECORDS:
            if self._sending_group and size + self._waiting[0].size > GROUP_LIMIT_BYTES:
                break
            pending = self._waiting.popleft()
            size += pending.size
            self._sending_group.append(pending)
        if not self._sending_group:
            return False
        self._sequence += 1
        envelope = messages.Envelope(
            writer=self._session_id,
            sequence=self._sequence,
            records=[pending.fields for pending in self._sending_group],
        )
        self._sending_body = codec.encode(envelope)
        return True

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        self._is_request_in_flight = False
        if self._sending_body is not None and exchange.body == self._sending_body:
            if not log_client.is_appended(exchange.result):
                self._timers.after(RETRY_DELAY_S, self._send_next)
                return
            self._on_group_confirmed()
        self._send_next()

    def _on_group_confirmed(self):
        # The outcomes are known only after the group has been read back. Meanwhile the
        # next group can be sent.
        self._confirmed_groups[self._sending_body] = self._sending_group
        self._sending_group = []
        self._sending_body = None

    @handler("folded", channel="*")
    def _on_folded(self, offset, body, outcomes):
        group = self._confirmed_groups.pop(body, None)
        if group is None and body == self._sending_body:
            group = self._sending_group
            self._sending_group = []
            self._sending_body = None
        if group is None:
            return
        for pending, outcome in zip(group, outcomes, strict=False):
            self._fire_outcome(pending, outcome)
        self._send_next()
