"""Folds the life of jobs: acceptance, placements on workers, and the final state.

Each placement starts an attempt under a new term. A report for another term than the
current one is rejected, so that a worker that was taken for lost cannot end the job.
"""

import dataclasses
from typing import Literal

from cranberryport.generated import messages
from cranberryport.state import plain

# Different workers on which a job may fail before the cause is taken to be the job.
FAILED_WORKERS_LIMIT = 3
FINISHED_JOBS_KEPT = 10_000
WAITING = "waiting"
PLACED = "placed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """State of a job.

    Attributes
    ----------
    accepted : messages.JobAccepted
        The accepted request; its payload is emptied in a final state.
    offset : int
        Offset of the ``JobAccepted``.
    state : {'waiting', 'placed', 'finished', 'failed', 'cancelled'}
        The last three are final.
    term : int
        Number of the last placement, 0 before the first.
    worker : str
        Worker of the last placement.
    failed_workers : list of str
        Different workers on which the job failed, in order.
    checkpoint : str
        Checkpoint of the last attempt that was checkpointed; empty for none and in a
        final state.
    result : str
        Result of a finished job; empty otherwise.
    reason : str
        Reason of the last failed attempt; empty for none.
    processors_used : float
        Processors that the finished attempt used, as measured.
    memory_mb_used : int
        Memory that the finished attempt used, as measured.
    runtime_s : float
        Measured run time of the finished attempt in seconds.
    """

    accepted: messages.JobAccepted
    offset: int
    state: Literal["waiting", "placed", "finished", "failed", "cancelled"] = WAITING
    term: int = 0
    worker: str = ""
    failed_workers: list[str] = dataclasses.field(default_factory=list)
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    processors_used: float = 0.0
    memory_mb_used: int = 0
    runtime_s: float = 0.0


class Jobs:
    """All waiting and placed jobs, and the last ``FINISHED_JOBS_KEPT`` others."""

    __slots__ = ("_finished", "_unfinished")

    def __init__(self):
        self._unfinished = {}
        self._finished = {}

    @property
    def unfinished(self):
        """Map of id to waiting or placed :class:`Job`, in order of acceptance."""
        return self._unfinished

    @property
    def finished(self):
        """Map of id to :class:`Job` in a final state, in the order they reached it."""
        return self._finished

    def get(self, job):
        """Return a job by id, or None if it is unknown or no longer kept."""
        return self._unfinished.get(job) or self._finished.get(job)

    def accept(self, record, context):
        """Add a job; a repeated acceptance changes nothing."""
        entry = self.get(record.job)
        if entry is None:
            job = Job(accepted=record, offset=context.offset)
            self._unfinished[record.job] = job
            return ""
        # Another entry instance may append the acceptance again when the caller repeats
        # its request.
        same = dataclasses.replace(record, by=entry.accepted.by)
        if record.job in self._finished:
            same = dataclasses.replace(same, payload="")
        if same != entry.accepted:
            return f"job {record.job!r} was accepted with another content"
        return ""

    def place(self, record):
        """Start an attempt under the next term.

        A placed job may be placed again, since no record tells that a worker was lost.
        """
        entry = self._unfinished.get(record.job)
        if entry is None:
            return self._not_unfinished_reason(record.job)
        if record.term != entry.term + 1:
            return f"term {record.term} of job {record.job!r}; next: {entry.term + 1}"
        entry.state = PLACED
        entry.term = record.term
        entry.worker = record.worker
        return ""

    def finish(self, record):
        """End a job with the result of its current attempt."""
        reason = self._check_term(record)
        if reason:
            return reason
        entry = self._unfinished[record.job]
        entry.result = record.result
        entry.processors_used = record.processors_used
        entry.memory_mb_used = record.memory_mb_used
        entry.runtime_s = record.runtime_s
        self._move_to_finished(record.job, "finished")
        return ""

    def fail(self, record):
        """Record a failed attempt.

        The job waits again, or fails if it has failed on ``FAILED_WORKERS_LIMIT``
        workers.
        """
        reason = self._check_term(record)
        if reason:
            return reason
        entry = self._unfinished[record.job]
        if record.worker != entry.worker:
            return f"job {record.job!r} is on {entry.worker!r}, not {record.worker!r}"
        entry.reason = record.reason
        entry.state = WAITING
        if record.worker not in entry.failed_workers:
            entry.failed_workers.append(record.worker)
        if len(entry.failed_workers) >= FAILED_WORKERS_LIMIT:
            self._move_to_finished(record.job, "failed")
        return ""

    def checkpoint(self, record):
        """Record the checkpoint of a stopped attempt; the job waits again."""
        reason = self._check_term(record)
        if reason:
            return reason
        entry = self._unfinished[record.job]
        entry.checkpoint = record.checkpoint
        entry.state = WAITING
        return ""

    def cancel(self, record):
        """End an unfinished job that its caller has cancelled."""
        if record.job not in self._unfinished:
            return self._not_unfinished_reason(record.job)
        self._move_to_finished(record.job, "cancelled")
        return ""

    def to_plain(self):
        """Return the jobs as maps, lists and scalars, for a snapshot."""
        return {
            "unfinished": plain.to_plain(list(self._unfinished.values())),
            "finished": plain.to_plain(list(self._finished.values())),
        }

    @classmethod
    def from_plain(cls, value):
        """Return the jobs that :meth:`to_plain` converted."""
        jobs = cls()
        for entry in plain.from_plain(value["unfinished"], list[Job]):
            jobs._unfinished[entry.accepted.job] = entry
        for entry in plain.from_plain(value["finished"], list[Job]):
            jobs._finished[entry.accepted.job] = entry
        return jobs

    def _check_term(self, record):
        """Return why a report is not about the current attempt; empty if it is."""
        entry = self._unfinished.get(record.job)
        if entry is None:
            return self._not_unfinished_reason(record.job)
        if entry.state != PLACED or record.term != entry.term:
            return (
                f"term {record.term} of job {record.job!r}; it is {entry.state} "
                f"under term {entry.term}"
            )
        return ""

    def _not_unfinished_reason(self, job):
        """Return the reason for rejecting a record about a finished or unknown job."""
        entry = self._finished.get(job)
        return f"job {job!r} is {entry.state if entry else 'unknown'}"

    def _move_to_finished(self, job, state):
        entry = self._unfinished.pop(job)
        entry.state = state
        # A payload has up to 16 KiB; 10,000 finished jobs would keep theirs in memory
        # and in every snapshot.
        entry.accepted = dataclasses.replace(entry.accepted, payload="")
        entry.checkpoint = ""
        self._finished[job] = entry
        if len(self._finished) > FINISHED_JOBS_KEPT:
            del self._finished[next(iter(self._finished))]
