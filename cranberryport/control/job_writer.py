"""Stores callers' jobs and cancellations in batches, one append at a time.

The store processes the appends of a partition one after another. While it is slow, an
append takes a quarter of a second instead of 4 ms. If each job had its own
append, it would wait for all earlier ones. So records that arrive during an append are
stored together by the next one.
"""

import dataclasses
import time
import zlib

from cranberryport.platform import store

# The store accepts 262,144 bytes in a record and 2 MB in a call; a job has a few kB.
BATCH_LIMIT_BYTES = 1_000_000


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Withheld:
    """The record was not sent, since its request may not be served any more."""


class JobWriter:
    """Appends records to the job topic.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    partition_count : int
        Number of partitions of the topic.
    instance : str
        Name of this entry instance.
    owned_partitions : callable
        Returns the partitions that the group of entry instances has assigned to this
        process. They are assigned evenly, so entry instances rarely write to the same
        one.
    on_stored : callable
        Called after each successful append with the partition and its end offset.
    """

    __slots__ = (
        "_instance",
        "_is_appending",
        "_on_stored",
        "_owned_partitions",
        "_partition_count",
        "_queued",
        "_store",
    )

    def __init__(
        self, *, store_client, partition_count, instance, owned_partitions, on_stored
    ):
        self._store = store_client
        self._on_stored = on_stored
        self._partition_count = partition_count
        self._instance = instance
        self._owned_partitions = owned_partitions
        self._queued = []
        self._is_appending = False

    @property
    def partition(self):
        """Partition for the next append.

        Before the group has assigned one, a hash of the instance's name selects it.
        Partition 0 is left to the controller's instance, which owns it: while the store
        is slow, that instance appends the records of all others.
        """
        owned_partitions = self._owned_partitions()
        if owned_partitions:
            return min(owned_partitions)
        if self._partition_count == 1:
            return 0
        return 1 + zlib.crc32(self._instance.encode()) % (self._partition_count - 1)

    def write(self, record, *, timeout_s, callback, may_send=None):
        """Add a record to the next append.

        Parameters
        ----------
        record : tuple of (str, bytes)
            Key and value.
        timeout_s : float
            Time limit in seconds, including the wait for the append in progress; an
            append has the longest limit of its records.
        callback : callable
            Called once with the result of that append, with ``NoResponse`` if it was
            not sent before the limit, or with ``Withheld``.
        may_send : callable or None
            Called without arguments directly before the append; False withholds the
            record. None if it may always be sent.
        """
        deadline = time.monotonic() + timeout_s
        self._queued.append((record, deadline, callback, may_send))
        if not self._is_appending:
            self._send_batch()

    def _send_batch(self):
        now = time.monotonic()
        expired = [entry for entry in self._queued if entry[1] <= now]
        queued = [entry for entry in self._queued if entry[1] > now]
        self._queued, withheld = [], []
        for entry in queued:
            # Checked here and not in ``write``, as an append in progress can take
            # seconds.
            may_send = entry[3]
            is_withheld = may_send is not None and not may_send()
            (withheld if is_withheld else self._queued).append(entry)
        size, count = 0, 0
        for record, *_ in self._queued:
            size += len(record[1])
            if count and size > BATCH_LIMIT_BYTES:
                break
            count += 1
        batch, self._queued = self._queued[:count], self._queued[count:]
        self._is_appending = bool(batch)
        if batch:
            self._append(batch, now)
        for _, _, callback, _ in expired:
            callback(store.NoResponse(reason="no time left to append", was_sent=False))
        for _, _, callback, _ in withheld:
            callback(Withheld())

    def _append(self, batch, now):
        partition = self.partition
        self._store.append(
            store.JOB_TOPIC,
            [record for record, *_ in batch],
            callback=lambda result: self._on_result(batch, partition, result),
            timeout_s=max(deadline for _, deadline, *_ in batch) - now,
            partition=partition,
        )

    def _on_result(self, batch, partition, result):
        self._is_appending = False
        if isinstance(result, store.Appended):
            self._on_stored(partition, result.end)
        if self._queued:
            self._send_batch()
        for _, _, callback, _ in batch:
            callback(result)
