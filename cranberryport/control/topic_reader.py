"""Follows a keyed topic of the store.

A reader first gets the newest record of each key, then every later record. It goes on
whatever a record makes its callbacks do: records are passed on one by one if a callback
raises an exception, so that a single one cannot hide the others.
"""

import logging
import time

from cranberryport import boot_clock
from cranberryport.platform import store

SNAPSHOT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.15
# Three times the 95th percentile of the duration of an append; by then a
# working long poll has returned the records. While the store deletes old records, long
# polls return nothing for a second.
CATCH_UP_DELAY_S = 0.06
# Time from a record that was not applied to the next attempt, with a new snapshot.
REPAIR_DELAY_S = 5.0
KEY_LOG_LIMIT_CHARACTERS = 80

_logger = logging.getLogger(__name__)


class TopicReader:
    """Reads one partition of a keyed topic and passes its records to callbacks.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    topic : str
        Name of the topic.
    on_snapshot : callable
        Called with the newest record of each key, as a list of (key, value), at the
        start and again after the store has deleted records before they were read.
    on_records : callable
        Called with later records, as a list of (key, value) in order.
    long_poll_s : float
        Time in seconds for which the store holds a read open while it has no new
        records.
    min_interval_s : float
        Shortest time in seconds between the starts of two reads; it limits the number
        of calls while many records arrive.
    partition : int, default=0
        Number of the partition.
    """

    __slots__ = (
        "_complete_read_sent_at",
        "_expected_end",
        "_has_read_failed",
        "_is_catching_up",
        "_is_confirming",
        "_is_stopped",
        "_last_read_sent_at",
        "_long_poll_s",
        "_min_interval_s",
        "_next_offset",
        "_not_applied_count",
        "_on_records",
        "_on_snapshot",
        "_partition",
        "_read_offset",
        "_repair_at",
        "_requested_at",
        "_store",
        "_timers",
        "_topic",
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
        self._next_offset = None
        self._read_offset = None
        self._expected_end = 0
        self._is_catching_up = False
        self._last_read_sent_at = None
        self._requested_at = 0.0
        self._complete_read_sent_at = None
        self._is_confirming = False
        self._is_stopped = False
        self._has_read_failed = False
        self._not_applied_count = 0
        # Monotonic time of the next snapshot if a record has not been applied.
        self._repair_at = None

    @property
    def not_applied_count(self):
        """Number of records so far for which a callback has raised an exception."""
        return self._not_applied_count

    @property
    def last_read_sent_at(self):
        """Monotonic time at which the last successful read was sent; None before it."""
        return self._last_read_sent_at

    @property
    def complete_read_sent_at(self):
        """Time on the boot clock at which a read was sent that missed no record.

        It is that of the last such read, None before the first one. Every record that
        was stored before this time has been handled by the callbacks, as reads are
        linearizable. It does not advance while a record has not been applied.
        """
        return self._complete_read_sent_at

    @property
    def has_read_failed(self):
        """Whether the last read failed."""
        return self._has_read_failed

    def has_read_since(self, time_s):
        """Return whether a read that was sent later has missed no record.

        Parameters
        ----------
        time_s : float
            Time on the boot clock.
        """
        sent_at = self._complete_read_sent_at
        return sent_at is not None and sent_at >= time_s

    def confirm(self):
        """Read without waiting, to learn sooner whether no record is missed.

        The long poll in progress was sent earlier, so that its answer does not show it.
        """
        if self._is_confirming or self._next_offset is None or self._is_stopped:
            return
        self._is_confirming = True
        read_offset, sent_at = self._next_offset, boot_clock.now_s()
        self._store.read(
            self._topic,
            read_offset,
            callback=lambda result: self._on_confirmed(result, read_offset, sent_at),
            wait_s=0.0,
            partition=self._partition,
        )

    def _on_confirmed(self, result, read_offset, sent_at):
        self._is_confirming = False
        if self._is_stopped:
            return
        if not isinstance(result, store.Records):
            self._log_failure("confirming read failed", result)
        elif not _has_hole(result, read_offset):
            self._deliver(result, read_offset)
            if self.has_passed(result.end):
                self._note_complete_read(sent_at)

    def start(self):
        """Start reading with a snapshot."""
        self._send_read()

    def catch_up(self, end):
        """Read without waiting if the long poll does not return expected records.

        Parameters
        ----------
        end : int
            End of the partition after an append that another process has made; all
            records before this offset are expected.
        """
        self._expected_end = max(self._expected_end, end)
        if self._is_behind() and not self._is_catching_up:
            self._is_catching_up = True
            self._timers.after(CATCH_UP_DELAY_S, self._read_missing)

    def has_passed(self, end):
        """Return whether the callbacks have got all records before an offset.

        False while a snapshot is read: its answer may have been made earlier.
        """
        return self._next_offset is not None and self._next_offset >= end

    def _is_behind(self):
        # A pending snapshot will contain the expected records.
        is_complete = (
            self._next_offset is None or self._next_offset >= self._expected_end
        )
        return not (is_complete or self._is_stopped or self._has_read_failed)

    def _read_missing(self):
        if not self._is_behind():
            self._is_catching_up = False
            return
        read_offset = self._next_offset
        self._store.read(
            self._topic,
            read_offset,
            callback=lambda result: self._on_missing_read(result, read_offset),
            wait_s=0.0,
            partition=self._partition,
        )

    def _on_missing_read(self, result, read_offset):
        if self._is_stopped:
            return
        if isinstance(result, store.Records):
            self._deliver(result, read_offset)
        else:
            self._log_failure("catch-up read failed", result)
        self._timers.after(CATCH_UP_DELAY_S, self._read_missing)

    def _deliver(self, result, read_offset):
        """Pass on the records that a concurrent read has not returned already."""
        if self._next_offset is None:
            return
        delivered_count = self._next_offset - read_offset
        if delivered_count < 0:
            # A snapshot with an earlier end was taken after this read was sent. The
            # records in between are still to be read.
            return
        found = result.records[delivered_count:]
        self._next_offset = max(self._next_offset, result.next)
        if found:
            self._apply(self._on_records, found)

    def _apply(self, callback, found):
        """Pass records to a callback, one by one if it cannot handle them together.

        Returns
        -------
        bool
            Whether the callback has handled all of them.
        """
        try:
            callback(found)
        except Exception:
            _logger.exception("records not applied", extra={"topic": self._topic})
        else:
            return True
        failed_count = 0
        for record in found:
            try:
                self._on_records([record])
            except Exception:
                failed_count += 1
                _logger.exception(
                    "record not applied",
                    extra={
                        "topic": self._topic,
                        "key": record[0][:KEY_LOG_LIMIT_CHARACTERS],
                    },
                )
        # The callback of a snapshot also handles what the snapshot lacks.
        self._not_applied_count += max(1, failed_count)
        if self._repair_at is None:
            self._repair_at = time.monotonic() + REPAIR_DELAY_S
        return False

    def stop(self):
        """Stop reading; responses to pending reads are ignored."""
        self._is_stopped = True

    def _send_read(self):
        if self._is_stopped:
            return
        self._requested_at = time.monotonic()
        sent_at = boot_clock.now_s()

        def on_result(result):
            self._on_result(result, sent_at)

        if self._repair_at is not None and self._requested_at >= self._repair_at:
            self._next_offset = None
        if self._next_offset is None:
            self._store.read_newest(
                self._topic,
                callback=on_result,
                timeout_s=SNAPSHOT_TIMEOUT_S,
                partition=self._partition,
            )
        else:
            self._read_offset = self._next_offset
            self._store.read(
                self._topic,
                self._next_offset,
                callback=on_result,
                wait_s=self._long_poll_s,
                partition=self._partition,
            )

    def _on_result(self, result, sent_at):
        if self._is_stopped:
            return
        if isinstance(result, store.NewestRecords):
            self._note_success()
            self._next_offset = result.end
            self._repair_at = None
            if self._apply(self._on_snapshot, result.records):
                # Later pages of a snapshot are newer than the time at which it was
                # sent.
                self._note_complete_read(sent_at)
            self._send_read()
        elif isinstance(result, store.Records) and _has_hole(result, self._read_offset):
            _logger.error(
                "records missing from a read",
                extra={
                    "topic": self._topic,
                    "position": self._read_offset,
                    "first": result.first,
                    "end": result.end,
                },
            )
            self._next_offset = None
            self._timers.after(RETRY_DELAY_S, self._send_read)
        elif isinstance(result, store.Records):
            self._note_success()
            self._deliver(result, self._read_offset)
            if result.next >= result.end:
                self._note_complete_read(sent_at)
            elapsed_s = time.monotonic() - self._requested_at
            self._timers.after(self._min_interval_s - elapsed_s, self._send_read)
        elif isinstance(result, store.Expired):
            _logger.info(
                "records expired before they were read", extra={"topic": self._topic}
            )
            self._next_offset = None
            self._send_read()
        else:
            self._note_failure(result)
            self._timers.after(RETRY_DELAY_S, self._send_read)

    def _note_success(self):
        self._last_read_sent_at = self._requested_at
        if self._has_read_failed:
            self._has_read_failed = False
            _logger.info("store topic readable again", extra={"topic": self._topic})

    def _note_complete_read(self, sent_at):
        """Note a read that missed no record, unless an earlier one was not applied.

        Reads can be answered in another order than they were sent in.
        """
        previous = self._complete_read_sent_at
        if self._repair_at is None and (previous is None or previous < sent_at):
            self._complete_read_sent_at = sent_at

    def _log_failure(self, event, result):
        # A store that answers no read at all is logged once, by the regular reads.
        if not self._has_read_failed:
            _logger.info(event, extra={"topic": self._topic, "reason": str(result)})

    def _note_failure(self, result):
        if not self._has_read_failed:
            self._has_read_failed = True
            _logger.warning(
                "store topic not readable",
                extra={"topic": self._topic, "reason": str(result)},
            )


def _has_hole(result, read_offset):
    """Return whether an answer shows that records before or after it are lost.

    The protocol rules both out. A position after the end means that the store has lost
    records and stores others at their offsets.
    """
    return result.first > read_offset or result.end < read_offset
