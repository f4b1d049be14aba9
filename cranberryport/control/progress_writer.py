"""Stores the controller's records under its epoch.

The store refuses appends with a lower epoch than it has seen, so a previous controller
cannot overwrite the records of the next one.
"""

import logging
import time

from cranberryport import codec
from cranberryport.control import append_policy
from cranberryport.platform import store
from cranberryport.scheduling import record_groups

APPEND_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05
PRODUCER = "controller"

_logger = logging.getLogger(__name__)


class ProgressWriter:
    """Stores one batch at a time and repeats each append until it is stored.

    A batch takes several appends if its records exceed the limit of one.

    A repeated append has the same sequence number, so the store applies it only once.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of this controller; after its first append the store refuses lower ones.
    on_superseded : callable
        Called without arguments if the store refuses an append because a later
        controller has made one.
    """

    __slots__ = (
        "_callback",
        "_epoch",
        "_is_stopped",
        "_on_superseded",
        "_last_append_s",
        "_queued_appends",
        "_records",
        "_sent_at",
        "_sequence",
        "_store",
        "_timers",
    )

    def __init__(self, *, store_client, timers, epoch, on_superseded):
        self._store = store_client
        self._timers = timers
        self._epoch = epoch
        self._on_superseded = on_superseded
        self._sequence = 0
        self._last_append_s = 0.0
        self._sent_at = 0.0
        self._records = []
        # Records of the further appends of the batch.
        self._queued_appends = []
        self._callback = None
        self._is_stopped = False

    @property
    def is_busy(self):
        """Whether an append is in progress."""
        return self._callback is not None

    @property
    def is_slow(self):
        """Whether the append in progress, or else the last one, takes too long."""
        append_s = self._last_append_s
        if self.is_busy:
            append_s = max(append_s, time.monotonic() - self._sent_at)
        return append_s > append_policy.SLOW_APPEND_S

    def stop(self):
        """Stop writing; responses to pending appends are ignored."""
        self._is_stopped = True

    def fence(self, callback):
        """Append an empty batch, so that the store refuses writes of lower epochs."""
        self.write([], callback)

    def write(self, groups, callback):
        """Store a batch.

        Parameters
        ----------
        groups : list of record_groups.RecordGroup
            The records of a group are stored in one append, those of earlier groups
            not later than those of later ones.
        callback : callable
            Called once without arguments when all groups are stored.
        """
        self._records, *self._queued_appends = _divide_into_appends(groups)
        self._callback = callback
        self._send_append()

    def _send_append(self):
        if self._is_stopped:
            return
        self._sent_at = time.monotonic()
        self._store.append(
            store.PROGRESS_TOPIC,
            self._records,
            callback=self._on_result,
            timeout_s=APPEND_TIMEOUT_S,
            producer=(PRODUCER, self._epoch, self._sequence),
        )

    def _on_result(self, result):
        if self._is_stopped:
            return
        self._last_append_s = time.monotonic() - self._sent_at
        if isinstance(result, store.Appended):
            self._sequence += 1
            if self._queued_appends:
                self._records = self._queued_appends.pop(0)
                self._send_append()
                return
            callback, self._callback = self._callback, None
            callback()
            return
        if isinstance(result, store.Refused):
            if result.reason == "fenced":
                _logger.warning("append refused: a later controller has written")
                self._on_superseded()
                return
            if result.reason == "seq" and isinstance(result.expected_sequence, int):
                self._sequence = result.expected_sequence
        _logger.warning("append failed", extra={"reason": str(result)})
        self._timers.after(RETRY_DELAY_S, self._send_append)


def _divide_into_appends(groups):
    """Return the records of each append, of which there is at least one."""
    appends, size = [[]], 0
    for group in groups:
        added = [(key, b"") for key in group.deleted_keys]
        added += [(record.job, codec.encode(record)) for record in group.new_records]
        added_size = sum(store.record_size(key, value) for key, value in added)
        if appends[-1] and size + added_size > record_groups.CALL_LIMIT_BYTES:
            appends.append([])
            size = 0
        appends[-1] += added
        size += added_size
    return appends
