"""Deletes the records of ended jobs from the store.

A job record without progress is a new job, whose tasks are started. So the progress of
a job is deleted last: only when the store has confirmed the deletion of the job record
in every partition, and the readers of these partitions have passed it. Until then the
job stays known, and a record of it that is read late is no new job.
"""

import logging

from cranberryport.platform import store
from cranberryport.scheduling import takeover

APPEND_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.3
# Interval of the checks whether the readers have passed the deletions.
READ_CHECK_INTERVAL_S = 0.1

_logger = logging.getLogger(__name__)


class JobDeletion:
    """Deletes one batch of jobs at a time from all partitions of the job topic.

    Load pattern: the store is away or slow for seconds while jobs are deleted. Each
    append is repeated until it is stored; repeating it has no further effect.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    readers : list of cranberryport.control.topic_reader.TopicReader
        Reader of each partition.
    on_deleted : callable
        Called with the ids of the jobs of which no record is left, as a list.
    """

    __slots__ = (
        "_ends",
        "_is_stopped",
        "_job_ids",
        "_on_deleted",
        "_readers",
        "_records",
        "_store",
        "_timers",
    )

    def __init__(self, *, store_client, timers, readers, on_deleted):
        self._store = store_client
        self._timers = timers
        self._readers = readers
        self._on_deleted = on_deleted
        # Ids of the jobs of the batch, in order, without those that were kept.
        self._job_ids = {}
        self._records = []
        # End of each partition after the deletion, by number.
        self._ends = {}
        self._is_stopped = False

    @property
    def is_busy(self):
        """Whether a batch is being deleted."""
        return bool(self._records)

    def start(self, job_ids, keys):
        """Delete a batch of jobs.

        Parameters
        ----------
        job_ids : list of str
            Ids of ended jobs, whose end is stored.
        keys : list of str
            Keys of all their records in the job topic.
        """
        if self.is_busy:
            raise RuntimeError("a batch is being deleted")
        self._job_ids = dict.fromkeys(job_ids)
        self._records = [(key, b"") for key in keys]
        self._ends = {}
        for partition in range(len(self._readers)):
            self._append(partition)

    def keep(self, job_id):
        """Take a job out of the batch, as a record of it was stored again."""
        if job_id in self._job_ids:
            del self._job_ids[job_id]
            _logger.info("job not deleted: stored again", extra={"request": job_id})

    def stop(self):
        """Append nothing more; pending answers are ignored."""
        self._is_stopped = True

    def _append(self, partition):
        if self._is_stopped:
            return
        # A job that was submitted twice can be stored in two partitions.
        self._store.append(
            store.JOB_TOPIC,
            self._records,
            callback=lambda result: self._on_result(partition, result),
            timeout_s=APPEND_TIMEOUT_S,
            partition=partition,
        )

    def _on_result(self, partition, result):
        if self._is_stopped:
            return
        if not isinstance(result, store.Appended) or result.end <= 0:
            _logger.warning(
                "deleting records failed",
                extra={"partition": partition, "reason": str(result)},
            )
            self._timers.after(RETRY_DELAY_S, lambda: self._append(partition))
            return
        self._ends[partition] = result.end
        self._readers[partition].catch_up(result.end)
        if len(self._ends) == len(self._readers):
            self._finish_once_read()

    def _finish_once_read(self):
        if self._is_stopped:
            return
        have_readers_passed = all(
            self._readers[partition].has_passed(end)
            for partition, end in self._ends.items()
        )
        if not takeover.may_forget_job(
            are_records_deleted=len(self._ends) == len(self._readers),
            have_readers_passed=have_readers_passed,
        ):
            self._timers.after(READ_CHECK_INTERVAL_S, self._finish_once_read)
            return
        job_ids, self._job_ids = list(self._job_ids), {}
        self._records = []
        self._on_deleted(job_ids)
