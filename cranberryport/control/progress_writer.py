"""Stores batches of the scheduler under the controller's epoch."""

import logging

from cranberryport import codec
from cranberryport.platform import store

APPEND_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05
PRODUCER = "controller"

_logger = logging.getLogger(__name__)


class ProgressWriter:
    """Appends one batch at a time; a repeat of an append is stored once.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of this controller; the store refuses lower ones from then on.
    on_fenced : callable
        Called without arguments if a later controller has written.
    """

    __slots__ = (
        "_callback",
        "_epoch",
        "_is_stopped",
        "_on_fenced",
        "_records",
        "_sequence",
        "_store",
        "_timers",
    )

    def __init__(self, *, store_client, timers, epoch, on_fenced):
        self._store = store_client
        self._timers = timers
        self._epoch = epoch
        self._on_fenced = on_fenced
        self._sequence = 0
        self._records = []
        self._callback = None
        self._is_stopped = False

    @property
    def is_busy(self):
        """Whether an append is under way."""
        return self._callback is not None

    def stop(self):
        """Write no more; answers that still come are dropped."""
        self._is_stopped = True

    def fence(self, callback):
        """Set the epoch, after which no earlier controller can write."""
        self._write([], callback)

    def write(self, messages_, callback, *, dropped=()):
        """Store records; the callback is called without arguments when they are.

        Parameters
        ----------
        messages_ : list of messages.ProgressStored
            Records; the key of each is its job.
        callback : callable
            Called once.
        dropped : list of str
            Jobs whose records are to be dropped.
        """
        records = [(message.job, codec.encode(message)) for message in messages_]
        records += [(job_id, b"") for job_id in dropped]
        self._write(records, callback)

    def _write(self, records, callback):
        self._records = records
        self._callback = callback
        self._send()

    def _send(self):
        if self._is_stopped:
            return
        self._store.append(
            store.PROGRESS_TOPIC,
            self._records,
            callback=self._finish,
            timeout_s=APPEND_TIMEOUT_S,
            producer=(PRODUCER, self._epoch, self._sequence),
        )

    def _finish(self, result):
        if self._is_stopped:
            return
        if isinstance(result, store.Appended):
            self._sequence += 1
            callback, self._callback = self._callback, None
            callback()
            return
        if isinstance(result, store.Refused):
            if result.reason == "fenced":
                _logger.warning("fenced by a later controller")
                self._on_fenced()
                return
            if result.reason == "seq" and isinstance(result.expected_sequence, int):
                self._sequence = result.expected_sequence
        _logger.warning("append failed", extra={"reason": str(result)})
        self._timers.after(RETRY_DELAY_S, self._send)
