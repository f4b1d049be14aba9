"""Record of the starts without an answer, which tells the next controller of them.

Load pattern: a controller ends while an executor is down to which it has just sent
starts. The executor carries them out once it is back, and until then the next
controller must not start their tasks elsewhere. All other runs of such an executor have
ended, and their tasks have to start elsewhere at once.

Nearly all starts are answered within milliseconds, so the runs without an answer are
few. They are listed in a record of their own, which is stored in the appends that are
made anyway.
"""

from cranberryport.generated import messages
from cranberryport.scheduling import takeover

# The field ``job`` of the record holds its key instead of a job id. Versions without
# this record skip the key.
KEY = "starts/unanswered"
# A row takes 22 bytes and a job id 18 at most, so that the record of this many runs,
# each of another job, does not exceed the store's limit of 262,144 bytes.
RUNS_LIMIT = 4096
# A change of the record is stored by itself if nothing else is stored within this time.
STORING_DELAY_S = 0.5


class UnansweredStarts:
    """Runs whose start may still be carried out, and what the store knows of them."""

    __slots__ = ("_changed_at", "_restored_rows", "_runs", "_stored_record")

    def __init__(self):
        # A dict, as the order of the rows must not depend on addresses of objects.
        self._runs = {}
        # Rows by job that a previous controller has stored; None if they are not known.
        self._restored_rows = None
        self._stored_record = None
        # Monotonic time since which the stored record differs from the present one.
        self._changed_at = None

    def __len__(self):
        return len(self._runs)

    def restore(self, record):
        """Take over the record of a previous controller.

        Parameters
        ----------
        record : messages.UnansweredStartsStored or None
            The record; None if there is none, or if it is not readable.
        """
        self._stored_record = record
        if record is not None and record.is_complete:
            self._restored_rows = {
                job_id: {tuple(row) for row in rows}
                for job_id, rows in record.runs.items()
            }

    def add_restored(self, run):
        """Add a run of a previous controller, unless its start was answered.

        Parameters
        ----------
        run : model.Run
            A restored run. Its attribute ``has_unanswered_start`` is set to False if
            the record covers it and does not list it.
        """
        rows = (self._restored_rows or {}).get(run.task.job.id, ())
        run.has_unanswered_start = takeover.is_start_unanswered(
            is_recorded=run.is_start_recorded and self._restored_rows is not None,
            is_listed=_make_row(run) in rows,
        )
        if run.has_unanswered_start:
            self._runs[run] = None

    def take_record(self, planned_runs, *, is_append_due, now):
        """Return the record if it has to be stored with the next append.

        Parameters
        ----------
        planned_runs : list of model.Run
            Runs that the append stores, and whose starts are sent after it.
        is_append_due : bool
            Whether other records are stored in any case.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        messages.UnansweredStartsStored or None
            None if the stored record is up to date, or may wait for another append.
        """
        self._runs.update(dict.fromkeys(planned_runs))
        self._runs = {
            run: None
            for run in self._runs
            if not run.is_start_answered and run in run.task.runs
        }
        record = self._make_record()
        stored = self._stored_record
        if record == stored or (stored is None and not self._runs):
            self._changed_at = None
            return None
        if not planned_runs and not is_append_due:
            if self._changed_at is None:
                self._changed_at = now
            if now - self._changed_at < STORING_DELAY_S:
                return None
        self._changed_at = None
        self._stored_record = record
        return record

    def _make_record(self):
        is_complete = len(self._runs) <= RUNS_LIMIT
        rows = {}
        for run in self._runs if is_complete else ():
            rows.setdefault(run.task.job.id, []).append(list(_make_row(run)))
        return messages.UnansweredStartsStored(
            job=KEY, is_complete=is_complete, runs=rows
        )


def _make_row(run):
    task = run.task
    return task.occurrence.number, task.step_number, task.index, run.number
