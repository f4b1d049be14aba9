"""Questions of the entry instances to the controller over websockets."""

import itertools
import logging
import time

from cranberryport.generated import messages
from cranberryport.peering import peer_link

ANSWER_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1

_logger = logging.getLogger(__name__)


class _Pending:
    """A question that waits for its answer."""

    __slots__ = ("callback", "deadline", "question", "timer")

    def __init__(self, *, question, callback, deadline):
        self.question = question
        self.callback = callback
        self.deadline = deadline
        self.timer = None


class ControllerClient:
    """Asks the controller, wherever it is, and answers while it is in this process.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the sockets.
    timers : cranberryport.timers.Timers
        Timers of the process.
    host, port : str and int
        Address for the other entry instances.
    membership : cranberryport.control.membership.Membership
        Knows who the controller is.
    local_controller : callable
        Returns the controller of this process, or None.
    """

    __slots__ = (
        "_link",
        "_listener",
        "_local_controller",
        "_membership",
        "_numbers",
        "_pending",
        "_timers",
        "_unsent",
        "_watcher",
    )

    def __init__(self, *, watcher, timers, host, port, membership, local_controller):
        self._watcher = watcher
        self._timers = timers
        self._membership = membership
        self._local_controller = local_controller
        self._numbers = itertools.count(1)
        self._pending = {}
        self._unsent = []
        self._link = None
        self._listener = peer_link.Listener(
            watcher=watcher, host=host, port=port, on_accepted=self._on_accepted
        )

    def start(self):
        """Begin to accept links."""
        self._listener.start()

    def ask(self, make_question, callback, *, timeout_s):
        """Ask until the controller answers or the time is over.

        Parameters
        ----------
        make_question : callable
            Returns the question for a number.
        callback : callable
            Called once with the ``ControllerReply``, or None when the time is over.
        timeout_s : float
            Seconds.
        """
        number = next(self._numbers)
        pending = _Pending(
            question=make_question(number),
            callback=callback,
            deadline=time.monotonic() + timeout_s,
        )
        self._pending[number] = pending
        self._send(number)

    def notify(self, message):
        """Tell the controller something that it learns by itself as well, only later.

        Parameters
        ----------
        message : messages.RecordsStored
            Dropped if no link to the controller is open.
        """
        local = self._local_controller()
        if local is not None:
            local.note_stored(message)
            return
        link = self._find_link()
        if link is not None and link.is_open:
            link.send(message)

    def _send(self, number):
        pending = self._pending.get(number)
        if pending is None:
            return
        if time.monotonic() >= pending.deadline:
            del self._pending[number]
            pending.callback(None)
            return
        local = self._local_controller()
        if local is not None and local.is_ready:
            reply = local.answer(pending.question)
            if reply.is_leading:
                self._finish(reply)
                return
            self._retry(number, RETRY_DELAY_S)
            return
        link = self._find_link()
        if link is None:
            self._membership.refresh_controller()
            self._retry(number, RETRY_DELAY_S)
            return
        if link.is_open:
            link.send(pending.question)
        else:
            self._unsent.append(number)
        self._retry(number, ANSWER_TIMEOUT_S, is_lost=True)

    def _retry(self, number, delay_s, *, is_lost=False):
        pending = self._pending[number]
        left_s = max(0.0, pending.deadline - time.monotonic())
        # A question with little time says nothing about the link.
        is_lost = is_lost and left_s >= delay_s
        delay_s = min(delay_s, left_s)

        def again():
            if is_lost and number in self._pending:
                # The link may have gone silent, or the role may have moved.
                self._membership.refresh_controller()
                self._drop_link()
            self._send(number)

        pending.timer = self._timers.after(delay_s, again)

    def _find_link(self):
        address = self._membership.controller_address
        if address is None or self._membership.epoch is not None:
            return None
        if self._link is not None and self._link.session != address:
            self._drop_link()
        if self._link is None:
            host, _, port = address.rpartition(":")
            link = peer_link.dial(
                watcher=self._watcher,
                host=host,
                port=int(port),
                on_message=self._on_reply,
                on_open=self._on_open,
                on_closed=self._on_closed,
            )
            link.session = address
            if not link.is_closed:
                self._link = link
        return self._link

    def _drop_link(self):
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def _on_open(self, link):
        unsent, self._unsent = self._unsent, []
        for number in unsent:
            if number in self._pending:
                link.send(self._pending[number].question)

    def _on_closed(self, link):
        if link is self._link:
            self._link = None
            self._membership.refresh_controller()

    def _on_reply(self, link, message):
        if isinstance(message, messages.ControllerReply):
            self._finish(message)

    def _finish(self, reply):
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if not reply.is_leading:
            self._membership.refresh_controller()
            pending.timer.cancel()
            self._retry(reply.number, RETRY_DELAY_S)
            return
        del self._pending[reply.number]
        if pending.timer is not None:
            pending.timer.cancel()
        pending.callback(reply)

    # Answering

    def _on_accepted(self, sock):
        peer_link.accept(
            watcher=self._watcher,
            sock=sock,
            on_message=self._on_question,
            on_open=lambda link: None,
            on_closed=lambda link: None,
        )

    def _on_question(self, link, question):
        local = self._local_controller()
        if isinstance(question, messages.RecordsStored):
            if local is not None:
                local.note_stored(question)
            return
        if local is None:
            reply = messages.ControllerReply(number=question.number, is_leading=False)
        else:
            reply = local.answer(question)
        link.send(reply)
