"""Jobs and their attempts."""

import dataclasses
from typing import Literal

from cranberryport.generated import messages
from cranberryport.state import plain

# A job that fails on that many workers is taken to be at fault itself.
FAILED_WORKERS_LIMIT = 3
FINISHED_JOBS_KEPT = 10_000
WAITING = "waiting"
PLACED = "placed"


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """A job.

    Attributes
    ----------
    accepted : messages.JobAccepted
        What the caller asked for; the payload is dropped in a final state.
    offset : int
        Offset of the acceptance.
    state : {'waiting', 'placed', 'finished', 'failed', 'cancelled'}
        The last three are final.
    term : int
        Number of the last placement, 0 before the first.
    worker : str
        Worker of the last placement.
    failed_workers : list of str
        Different workers on which the job failed, in order.
    checkpoint : str
        Last checkpoint; empty for none.
    result, reason : str
        Result of a finished job; reason of the last failed attempt.
    processors_used : float
        Measured use, as are ``memory_mb_used`` and ``runtime_s``.
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
    """Unfinished jobs in order of acceptance, and the last finished ones."""

    __slots__ = ("_finished", "_unfinished")

    def __init__(self):
        self._unfinished = {}
        self._finished = {}

    @property
    def unfinished(self):
        """Map of id to :class:`Job`, waiting or placed, in order of acceptance."""
        return self._unfinished

    @property
    def finished(self):
        """Map of id to :class:`Job` in a final state, in order of their end."""
        return self._finished

    def get(self, job):
        """Return a job, or None."""
        return self._unfinished.get(job) or self._finished.get(job)

    def accept(self, record, context):
        """Add a job; a repeat changes nothing."""
        entry = self.get(record.job)
        if entry is None:
            job = Job(accepted=record, offset=context.offset)
            self._unfinished[record.job] = job
            return ""
        # Another instance may repeat the acceptance for a caller that asks again.
        same = dataclasses.replace(record, by=entry.accepted.by)
        if record.job in self._finished:
            same = dataclasses.replace(same, payload="")
        if same != entry.accepted:
            return f"job {record.job!r} was accepted with another content"
        return ""

    def place(self, record):
        """Start an attempt under the next term.

        A placed job may be placed again, since its worker can be lost without a record.
        """
        entry = self._unfinished.get(record.job)
        if entry is None:
            return self._not_open(record.job)
        if record.term != entry.term + 1:
            return f"term {record.term} of job {record.job!r}; next: {entry.term + 1}"
        entry.state = PLACED
        entry.term = record.term
        entry.worker = record.worker
        return ""

    def finish(self, record):
        """Keep the result of the present attempt."""
        reason = self._check_term(record)
        if reason:
            return reason
        entry = self._unfinished[record.job]
        entry.result = record.result
        entry.processors_used = record.processors_used
        entry.memory_mb_used = record.memory_mb_used
        entry.runtime_s = record.runtime_s
        self._end(record.job, "finished")
        return ""

    def fail(self, record):
        """Note a failed attempt; the job waits again or ends as failed."""
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
            self._end(record.job, "failed")
        return ""

    def checkpoint(self, record):
        """Note a checkpoint; the job waits again."""
        reason = self._check_term(record)
        if reason:
            return reason
        entry = self._unfinished[record.job]
        entry.checkpoint = record.checkpoint
        entry.state = WAITING
        return ""

    def cancel(self, record):
        """End a job at its caller's wish."""
        if record.job not in self._unfinished:
            return self._not_open(record.job)
        self._end(record.job, "cancelled")
        return ""

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        return {
            "unfinished": plain.to_plain(list(self._unfinished.values())),
            "finished": plain.to_plain(list(self._finished.values())),
        }

    @classmethod
    def from_plain(cls, value):
        """Return the jobs for plain values."""
        jobs = cls()
        for entry in plain.from_plain(value["unfinished"], list[Job]):
            jobs._unfinished[entry.accepted.job] = entry
        for entry in plain.from_plain(value["finished"], list[Job]):
            jobs._finished[entry.accepted.job] = entry
        return jobs

    def _check_term(self, record):
        entry = self._unfinished.get(record.job)
        if entry is None:
            return self._not_open(record.job)
        if entry.state != PLACED or record.term != entry.term:
            return (
                f"term {record.term} of job {record.job!r}; it is {entry.state} "
                f"under term {entry.term}"
            )
        return ""

    def _not_open(self, job):
        entry = self._finished.get(job)
        return f"job {job!r} is {entry.state if entry else 'unknown'}"

    def _end(self, job, state):
        entry = self._unfinished.pop(job)
        entry.state = state
        # A payload is up to 16 KiB, which 10,000 finished jobs would hold in memory and
        # in every snapshot.
        entry.accepted = dataclasses.replace(entry.accepted, payload="")
        entry.checkpoint = ""
        self._finished[job] = entry
        if len(self._finished) > FINISHED_JOBS_KEPT:
            del self._finished[next(iter(self._finished))]
