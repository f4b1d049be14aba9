"""Follows a keyed topic: the newest record of each key, then every change."""

import logging
import time

from cranberryport.platform import store

SNAPSHOT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.15
# Three times what an append takes at the 95th percentile, after which a long poll has
# returned. While the store drops history, long polls return nothing for a second.
EXPECTED_DELAY_S = 0.06

_logger = logging.getLogger(__name__)


class TopicReader:
    """Reads one topic for one owner.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    topic : str
        Name of the topic.
    on_snapshot : callable
        Called with the newest records whenever the reader starts anew.
    on_records : callable
        Called with the records that follow, in order.
    long_poll_s : float
        Longest time that the store holds a read back.
    min_interval_s : float
        Shortest time between two reads, which bounds the calls while many records come.
    partition : int, default=0
        Number of the partition.
    """

    __slots__ = (
        "_asked_from",
        "_synced_at",
        "_expected",
        "_min_interval_s",
        "_is_checking",
        "_has_read_failed",
        "_is_stopped",
        "_on_records",
        "_on_snapshot",
        "_partition",
        "_position",
        "_sent_at",
        "_store",
        "_timers",
        "_topic",
        "_long_poll_s",
    )

    def __init__(
        self,
        *,
        store_client,
        timers,
        topic,
        on_snapshot,
        on_records,
        long_poll_s,
        min_interval_s,
        partition=0,
    ):
        self._store = store_client
        self._timers = timers
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._long_poll_s = long_poll_s
        self._min_interval_s = min_interval_s
        self._partition = partition
        self._position = None
        self._asked_from = None
        self._expected = 0
        self._is_checking = False
        self._synced_at = None
        self._sent_at = 0.0
        self._is_stopped = False
        self._has_read_failed = False

    @property
    def synced_at(self):
        """Monotonic time up to which everything is known; None before the snapshot."""
        return self._synced_at

    @property
    def has_read_failed(self):
        """Whether the last read failed."""
        return self._has_read_failed

    def start(self):
        """Begin to read."""
        self._ask()

    def expect(self, end):
        """Read at once if the long poll does not return the records before an offset.

        Parameters
        ----------
        end : int
            Offset that another process knows the partition to have reached.
        """
        self._expected = max(self._expected, end)
        if self._is_missing() and not self._is_checking:
            self._is_checking = True
            self._timers.after(EXPECTED_DELAY_S, self._read_expected)

    def _is_missing(self):
        is_known = self._position is None or self._position >= self._expected
        return not (is_known or self._is_stopped or self._has_read_failed)

    def _read_expected(self):
        if not self._is_missing():
            self._is_checking = False
            return
        asked_from = self._position
        self._store.read(
            self._topic,
            asked_from,
            callback=lambda result: self._on_expected(result, asked_from),
            wait_s=0.0,
            partition=self._partition,
        )

    def _on_expected(self, result, asked_from):
        if self._is_stopped:
            return
        if isinstance(result, store.Records):
            self._take(result, asked_from)
        else:
            _logger.info(
                "immediate read failed",
                extra={"topic": self._topic, "reason": str(result)},
            )
        self._timers.after(EXPECTED_DELAY_S, self._read_expected)

    def _take(self, result, asked_from):
        """Hand on the records that are new; two reads may have been under way."""
        if self._position is None:
            return
        known = self._position - asked_from
        found = result.records[max(0, known) :] if known >= 0 else []
        self._position = max(self._position, result.next)
        if found:
            self._on_records(found)

    def stop(self):
        """Read no more; answers that still come are dropped."""
        self._is_stopped = True

    def _ask(self):
        if self._is_stopped:
            return
        self._sent_at = time.monotonic()
        if self._position is None:
            self._store.read_newest(
                self._topic,
                callback=self._finish,
                timeout_s=SNAPSHOT_TIMEOUT_S,
                partition=self._partition,
            )
        else:
            self._asked_from = self._position
            self._store.read(
                self._topic,
                self._position,
                callback=self._finish,
                wait_s=self._long_poll_s,
                partition=self._partition,
            )

    def _finish(self, result):
        if self._is_stopped:
            return
        if isinstance(result, store.NewestRecords):
            self._note_success()
            self._position = result.end
            self._on_snapshot(result.records)
            self._ask()
        elif isinstance(result, store.Records):
            self._note_success()
            self._take(result, self._asked_from)
            spent_s = time.monotonic() - self._sent_at
            self._timers.after(self._min_interval_s - spent_s, self._ask)
        elif isinstance(result, store.Expired):
            _logger.info("history expired", extra={"topic": self._topic})
            self._position = None
            self._ask()
        else:
            self._note_failure(result)
            self._timers.after(RETRY_DELAY_S, self._ask)

    def _note_success(self):
        self._synced_at = self._sent_at
        if self._has_read_failed:
            self._has_read_failed = False
            _logger.info("store regained", extra={"topic": self._topic})

    def _note_failure(self, result):
        if not self._has_read_failed:
            self._has_read_failed = True
            _logger.warning(
                "store lost", extra={"topic": self._topic, "reason": str(result)}
            )
