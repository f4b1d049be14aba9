"""Carries questions of the entry instances to the controller over websockets.

Callers reach any entry instance, but only the controller knows the state of jobs and
the load of the pools. The other entry instances ask it.
"""

import itertools
import logging
import time

from cranberryport.generated import messages
from cranberryport.http import addresses
from cranberryport.peering import peer_link
from cranberryport.platform import store

ANSWER_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1
# Longest timeout of an append for a peer.
RELAYED_APPEND_LIMIT_S = 1.8
_QUESTIONS = (
    messages.AdmissionQuestion,
    messages.JobQuestion,
    messages.QueueQuestion,
)

_logger = logging.getLogger(__name__)


class _PendingQuestion:
    """A question without an answer yet."""

    __slots__ = ("callback", "deadline", "question", "timer")

    def __init__(self, *, question, callback, deadline):
        self.question = question
        self.callback = callback
        self.deadline = deadline
        self.timer = None


class ControllerClient:
    """Asks the controller; while it is in this process, answers other entry instances.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the sockets.
    timers : cranberryport.timers.Timers
        Timers of the process.
    host, port : str and int
        Address on which links of other entry instances are accepted.
    membership : cranberryport.control.membership.Membership
        Provides the address of the controller.
    local_controller : callable
        Returns the controller if it is in this process, else None.
    append_record : callable
        Appends a record for another entry instance; called with the record and the
        keyword arguments ``timeout_s`` and ``callback`` of ``JobWriter.write``.
    """

    __slots__ = (
        "_append_record",
        "_link",
        "_listener",
        "_local_controller",
        "_membership",
        "_numbers",
        "_pending",
        "_timers",
        "_waiting_for_link",
        "_watcher",
    )

    def __init__(
        self,
        *,
        watcher,
        timers,
        host,
        port,
        membership,
        local_controller,
        append_record,
    ):
        self._watcher = watcher
        self._append_record = append_record
        self._timers = timers
        self._membership = membership
        self._local_controller = local_controller
        self._numbers = itertools.count(1)
        self._pending = {}
        self._waiting_for_link = []
        self._link = None
        self._listener = peer_link.Listener(
            watcher=watcher, host=host, port=port, on_accepted=self._on_accepted
        )

    def start(self):
        """Start accepting links of other entry instances."""
        self._listener.start()

    def ask(self, make_question, callback, *, timeout_s):
        """Ask the controller, repeatedly until it answers or the time limit is reached.

        Parameters
        ----------
        make_question : callable
            Called with the number of the question; returns its message.
        callback : callable
            Called once with the ``ControllerReply``, or with None after the timeout.
        timeout_s : float
            Time limit in seconds.
        """
        number = next(self._numbers)
        pending = _PendingQuestion(
            question=make_question(number),
            callback=callback,
            deadline=time.monotonic() + timeout_s,
        )
        self._pending[number] = pending
        self._send_question(number)

    @property
    def is_connected(self):
        """Whether a link to the controller in another process is open."""
        link = self._current_link()
        return link is not None and link.is_open

    def relay_record(self, record, *, timeout_s, callback):
        """Have the controller's instance append a record to the topic of jobs.

        Parameters
        ----------
        record : tuple of (str, bytes)
            Key and value.
        timeout_s : float
            Time limit in seconds.
        callback : callable
            Called once with ``store.Appended`` or ``store.NoResponse``.
        """
        link = self._current_link()
        if link is None or not link.is_open:
            callback(store.NoResponse(reason="no link to relay by", was_sent=False))
            return
        number = next(self._numbers)
        key, value = record
        question = messages.StoreQuestion(
            number=number, key=key, value=value, timeout_s=timeout_s
        )

        def on_reply(reply):
            if reply is None:
                result = store.NoResponse(reason="relay timed out", was_sent=True)
            elif reply.state:
                result = store.Appended(offset=0, end=0)
            else:
                result = store.NoResponse(reason="relay failed", was_sent=False)
            callback(result)

        pending = _PendingQuestion(
            question=question,
            callback=on_reply,
            deadline=time.monotonic() + timeout_s,
        )
        self._pending[number] = pending
        # The record is sent only once, so that a failure reported in the reply is that
        # of the only append.
        pending.timer = self._timers.after(timeout_s, lambda: self._expire(number))
        link.send(question)

    def _expire(self, number):
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.callback(None)

    def notify(self, message):
        """Notify the controller of stored records, which it would otherwise read later.

        Parameters
        ----------
        message : messages.RecordsStored
            Partition and its end; dropped if no link to the controller is open.
        """
        controller = self._local_controller()
        if controller is not None:
            controller.on_records_stored(message)
            return
        link = self._current_link()
        if link is not None and link.is_open:
            link.send(message)

    def _send_question(self, number):
        pending = self._pending.get(number)
        if pending is None:
            return
        if time.monotonic() >= pending.deadline:
            del self._pending[number]
            pending.callback(None)
            return
        controller = self._local_controller()
        if controller is not None and controller.is_ready:
            reply = controller.answer(pending.question)
            if reply.is_leading:
                self._handle_reply(reply)
                return
            self._schedule_retry(number, RETRY_DELAY_S)
            return
        link = self._current_link()
        if link is None:
            self._membership.refresh_controller()
            self._schedule_retry(number, RETRY_DELAY_S)
            return
        if link.is_open:
            link.send(pending.question)
        else:
            self._waiting_for_link.append(number)
        self._schedule_retry(number, ANSWER_TIMEOUT_S, closes_link=True)

    def _schedule_retry(self, number, delay_s, *, closes_link=False):
        pending = self._pending[number]
        remaining_s = max(0.0, pending.deadline - time.monotonic())
        # If the question expires before the delay is over, the link may work: keep it.
        closes_link = closes_link and remaining_s >= delay_s
        delay_s = min(delay_s, remaining_s)

        def retry():
            if closes_link and number in self._pending:
                # The link may be broken, or the controller elsewhere.
                self._membership.refresh_controller()
                self._close_link()
            self._send_question(number)

        pending.timer = self._timers.after(delay_s, retry)

    def _current_link(self):
        """Return the link to the controller, and open it if there is none.

        None if the controller is not known, is in this process or cannot be reached.
        """
        address = self._membership.controller_address
        if address is None or self._membership.epoch is not None:
            return None
        if self._link is not None and self._link.session != address:
            self._close_link()
        if self._link is None:
            host, port = addresses.parse(address)
            link = peer_link.dial(
                watcher=self._watcher,
                host=host,
                port=port,
                on_message=self._on_controller_message,
                on_open=self._on_open,
                on_closed=self._on_closed,
            )
            # For a link to the controller the session is its address.
            link.session = address
            if not link.is_closed:
                self._link = link
        return self._link

    def _close_link(self):
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def _on_open(self, link):
        waiting, self._waiting_for_link = self._waiting_for_link, []
        for number in waiting:
            if number in self._pending:
                link.send(self._pending[number].question)

    def _on_closed(self, link):
        if link is self._link:
            self._link = None
            self._membership.refresh_controller()

    def _on_controller_message(self, link, message):
        if isinstance(message, messages.ControllerReply):
            self._handle_reply(message)

    def _handle_reply(self, reply):
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if not reply.is_leading:
            self._membership.refresh_controller()
            pending.timer.cancel()
            self._schedule_retry(reply.number, RETRY_DELAY_S)
            return
        del self._pending[reply.number]
        if pending.timer is not None:
            pending.timer.cancel()
        pending.callback(reply)

    # Questions of other entry instances

    def _on_accepted(self, sock):
        peer_link.accept(
            watcher=self._watcher,
            sock=sock,
            on_message=self._on_peer_message,
            on_open=lambda link: None,
            on_closed=lambda link: None,
        )

    def _on_peer_message(self, link, message):
        controller = self._local_controller()
        if isinstance(message, messages.RecordsStored):
            if controller is not None:
                controller.on_records_stored(message)
            return
        if isinstance(message, messages.StoreQuestion):
            self._append_for_peer(link, message)
            return
        if not isinstance(message, _QUESTIONS):
            _logger.warning(
                "unexpected message of a peer", extra={"kind": type(message).__name__}
            )
            return
        if controller is None:
            reply = messages.ControllerReply(number=message.number, is_leading=False)
        else:
            reply = controller.answer(message, asker=link)
        link.send(reply)

    def _append_for_peer(self, link, question):
        def on_result(result):
            is_stored = isinstance(result, store.Appended)
            controller = self._local_controller()
            if is_stored and controller is not None:
                controller.add_stored_record(question.key, question.value)
            is_unknown = isinstance(result, store.NoResponse) and result.was_sent
            if is_unknown or not link.is_open:
                # Without a reply the peer takes the record for possibly stored.
                return
            link.send(
                messages.ControllerReply(
                    number=question.number,
                    is_leading=True,
                    state="accepted" if is_stored else "",
                )
            )

        _logger.debug("append for a peer", extra={"key": question.key})
        self._append_record(
            (question.key, question.value),
            timeout_s=min(question.timeout_s, RELAYED_APPEND_LIMIT_S),
            callback=on_result,
        )
