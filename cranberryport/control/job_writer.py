"""Stores callers' jobs and cancels; what comes meanwhile shares the next append.

Load pattern: the store takes appends of a partition one at a time, and while it is slow
one append takes a quarter of a second. One append for each job would then wait behind
all others.
"""

import zlib

from cranberryport.platform import store

# A record has at most 262,144 bytes and a call 2 MB; jobs have some kilobytes.
BATCH_LIMIT_BYTES = 1_000_000


class JobWriter:
    """Appends to one partition, one append at a time.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    partition_count : int
        Partitions of the topic.
    instance : str
        Name of this entry instance.
    owned_partitions : callable
        Returns the partitions that the group has given to this process; they are dealt
        evenly, so entry instances rarely share one.
    on_stored : callable
        Called with a partition and the offset after what was stored there.
    """

    __slots__ = (
        "_instance",
        "_is_busy",
        "_on_stored",
        "_owned_partitions",
        "_partition_count",
        "_store",
        "_waiting",
    )

    def __init__(
        self, *, store_client, partition_count, instance, owned_partitions, on_stored
    ):
        self._store = store_client
        self._on_stored = on_stored
        self._partition_count = partition_count
        self._instance = instance
        self._owned_partitions = owned_partitions
        self._waiting = []
        self._is_busy = False

    @property
    def partition(self):
        """Partition to write to."""
        owned_partitions = self._owned_partitions()
        if owned_partitions:
            return min(owned_partitions)
        return zlib.crc32(self._instance.encode()) % self._partition_count

    def write(self, record, *, timeout_s, callback):
        """Store a record.

        Parameters
        ----------
        record : tuple of (str, bytes)
            Key and value.
        timeout_s : float
            Seconds for the append that takes the record.
        callback : callable
            Called once with the result of that append.
        """
        self._waiting.append((record, timeout_s, callback))
        if not self._is_busy:
            self._send()

    def _send(self):
        size, count = 0, 0
        for record, _, _ in self._waiting:
            size += len(record[1])
            if count and size > BATCH_LIMIT_BYTES:
                break
            count += 1
        batch, self._waiting = self._waiting[:count], self._waiting[count:]
        self._is_busy = True
        partition = self.partition
        self._store.append(
            store.JOB_TOPIC,
            [record for record, _, _ in batch],
            callback=lambda result: self._finish(batch, partition, result),
            timeout_s=max(timeout_s for _, timeout_s, _ in batch),
            partition=partition,
        )

    def _finish(self, batch, partition, result):
        self._is_busy = False
        if isinstance(result, store.Appended):
            self._on_stored(partition, result.end)
        if self._waiting:
            self._send()
        for _, _, callback in batch:
            callback(result)
