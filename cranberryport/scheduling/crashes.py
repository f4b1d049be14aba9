"""Attribution of executor crashes to tasks.

Load pattern: a task crashes each executor that starts it, mostly within milliseconds.
A dozen other tasks run there, lose their work, and would be restarted beside it.
Executors also crash for reasons of their own, so that one crash convicts no task.

A run is proven once its executor has run for some time after its start. The unproven
runs on an executor that crashes are the suspects, which :mod:`isolation` restarts apart
from other unproven runs, so that a further crash can be attributed.
"""

from cranberryport.scheduling import model

# A run that has lasted this long did not crash its executor by its start. Crashes were
# seen 0.01 s after the start; a slow executor takes several times as long.
PROVEN_AGE_S = 0.15
# A run that has lasted longer than this when its executor crashes is not suspected.
OLDEST_SUSPECT_S = 2.0
# A restarted suspect is proven after this multiple of its age at the crash.
CRASH_AGE_FACTOR = 2.0
# No task is given up after fewer certain crashes (platform's rules).
CERTAIN_CRASHES_MINIMUM = 2
# A task is given up once its job was the only suspect of this many crashes at the start
# of a run, on different hosts. One such crash may be a coincidence.
SOLE_CRASHES_LIMIT = 2
# A task is also given up after this many crashes, as the platform's rules allow two
# more starts after three crashes.
CRASHES_LIMIT = 5


class CrashHistory:
    """Crashes of executors under a task since its last proven run.

    Parameters
    ----------
    crash_count : int
        Number of executors that crashed while the task ran there.
    certain_count : int
        Number of these that have certainly crashed, and not left.
    is_suspect : bool
        Whether the task is restarted in isolation.
    longest_age_s : float
        Longest age of its runs at these crashes in seconds.
    sole_crash_hosts : iterable of str
        Hosts of the executors that crashed at the start of a run of the task while only
        tasks of its job were suspected.

    Attributes
    ----------
    waits_since : float or None
        Monotonic time since which the task has waited for isolation.
    """

    __slots__ = (
        "certain_count",
        "crash_count",
        "is_suspect",
        "longest_age_s",
        "sole_crash_hosts",
        "waits_since",
    )

    def __init__(
        self,
        *,
        crash_count=0,
        certain_count=0,
        is_suspect=False,
        longest_age_s=0.0,
        sole_crash_hosts=(),
    ):
        self.crash_count = crash_count
        self.certain_count = certain_count
        self.is_suspect = is_suspect
        self.longest_age_s = longest_age_s
        self.sole_crash_hosts = list(sole_crash_hosts)
        self.waits_since = None

    @property
    def is_limit_reached(self):
        """Whether the task is to be given up."""
        if self.certain_count < CERTAIN_CRASHES_MINIMUM:
            return False
        return (
            len(self.sole_crash_hosts) >= SOLE_CRASHES_LIMIT
            or self.crash_count >= CRASHES_LIMIT
        )

    @property
    def outlived_age_s(self):
        """Age in seconds at which a run has outlived these crashes."""
        return PROVEN_AGE_S + CRASH_AGE_FACTOR * self.longest_age_s


def is_suspect(task):
    """Return whether a task is to be restarted in isolation."""
    return task.crash_history is not None and task.crash_history.is_suspect


def is_proven(task, age_s):
    """Return whether a run of a task did not crash its executor by its start.

    Parameters
    ----------
    task : model.Task
        The task.
    age_s : float or None
        Seconds for which the run has certainly lasted; None if its start was not
        confirmed.
    """
    if age_s is None:
        return False
    limit_s = task.crash_history.outlived_age_s if is_suspect(task) else PROVEN_AGE_S
    return age_s >= limit_s


class Crash:
    """A crash of an executor, and the runs that may have caused it.

    The suspects of a crash are judged together. Some runs may have begun only in the
    next life of the executor: they are counted, and a job is convicted, once
    :meth:`settle` has decided about these.

    Parameters
    ----------
    runs : list of (model.Run, float or None)
        Runs on the executor, with the seconds for which each had certainly lasted;
        None for a run whose start was not confirmed.
    host : str or None
        Host of the executor; None if it may not have crashed but left, for example
        while there was no controller.
    life : int, optional
        Life of the executor that has ended.
    open_runs : iterable of model.Run
        Those of the runs that may have begun only in the next life.
    """

    __slots__ = (
        "_ages_s",
        "_confirmed",
        "_histories",
        "_host",
        "_unproven",
        "life",
        "open_runs",
    )

    def __init__(self, runs, *, host, life=None, open_runs=()):
        self._ages_s = {run: age_s for run, age_s in runs if _was_delivered(run)}
        # Runs that were certainly there, unless they have begun later.
        self._confirmed = {
            run for run, age_s in self._ages_s.items() if age_s is not None
        }
        self._unproven = [
            run for run, age_s in self._ages_s.items() if not is_proven(run.task, age_s)
        ]
        # By run for which it is counted. A task may outlive its crashes before the
        # settlement, so that this is not its history any more.
        self._histories = {}
        self._host = host
        self.life = life
        self.open_runs = self._ages_s.keys() & set(open_runs)

    @property
    def is_certain(self):
        """Whether the executor has certainly crashed."""
        return self._host is not None

    @property
    def is_recorded(self):
        """Whether the crash is counted for any task."""
        return bool(self._histories)

    def settle(self, begun_later, *, is_proof):
        """Decide about the runs that may have begun only in the next life.

        Parameters
        ----------
        begun_later : set of model.Run
            Those of them that did. All others count.
        is_proof : bool
            Whether the others have certainly not begun later, so that those with an
            answer were there when the executor crashed.
        """
        for run in begun_later:
            del self._ages_s[run]
        self._unproven = [run for run in self._unproven if run not in begun_later]
        if not is_proof:
            self._confirmed -= self.open_runs
        self.open_runs = set()

    def record(self):
        """Count the crash, once for each run, and convict a job if all is decided.

        Returns
        -------
        list of model.Task
            Open tasks that lost a run in the crash and may have caused it.
        """
        young = [
            r for r, age_s in self._ages_s.items() if (age_s or 0.0) <= OLDEST_SUSPECT_S
        ]
        suspects = self._unproven or young
        counted = [run for run in young if run not in self.open_runs]
        for run in counted:
            if run not in self._histories:
                self._histories[run] = self._count(run)
            history = self._histories[run]
            history.is_suspect |= run in suspects or history.crash_count > 1
        if self.is_certain and not self.open_runs and self._has_sole_suspect_job():
            self._convict()
        return [
            run.task
            for run in counted
            if run.task.crash_history is self._histories[run]
            and not (run.task.is_done or run.task.job.has_ended)
        ]

    def _count(self, run):
        """Count the crash for the task of a run and return the task's history."""
        history = run.task.crash_history
        if history is None:
            history = run.task.crash_history = CrashHistory()
        run.counts_in_crash = True
        history.crash_count += 1
        history.certain_count += self.is_certain
        history.longest_age_s = max(history.longest_age_s, self._ages_s[run] or 0.0)
        history.waits_since = None
        return history

    def _has_sole_suspect_job(self):
        return len({run.task.job.id for run in self._unproven}) == 1

    def _convict(self):
        for run in self._unproven:
            history = self._histories.get(run, run.task.crash_history)
            # A start without an answer may never have arrived. Another crash on the
            # same host may be a fault of that host. After the start of a run a crash
            # is more often a coincidence.
            if (
                run in self._confirmed
                and self._ages_s[run] < PROVEN_AGE_S
                and history is not None
                and self._host not in history.sole_crash_hosts
            ):
                history.sole_crash_hosts.append(self._host)


def _was_delivered(run):
    """Return whether the start of a run may have reached the life that has crashed."""
    if run.state == model.PLANNED or run.counts_in_crash:
        return False
    is_restored = run.ordered_at is None
    return is_restored or run.has_unanswered_start or run.confirmed_at is not None


def clear_outlived_crashes(task, age_s):
    """Clear the crash history of a task if its present run has outlived the crashes.

    Parameters
    ----------
    task : model.Task
        The task.
    age_s : float or None
        Seconds for which the run has certainly lasted, see :func:`is_proven`.

    Returns
    -------
    bool
        Whether the history was cleared.
    """
    history = task.crash_history
    if history is None or age_s is None or age_s < history.outlived_age_s:
        return False
    task.crash_history = None
    return True
