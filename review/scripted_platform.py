"""The project's stand-in platform, with runs that fail or stand still as told.

A step of a job's specification may have the field ``runs``: by number of the run, how
it goes. ``fails`` ends as failed after the run time of the step; ``stands still`` makes
no progress and does not end, as on a worker whose tasks stand still.
"""

from standins.platform import __main__ as platform
from standins.platform import executors, instances

FAILS = "fails"
STANDS_STILL = "stands still"
STILL_PERCENT = 1


class ScriptedRun(executors.Run):
    """A run that goes as the specification of its step says."""

    __slots__ = ("course",)

    def __init__(self, *, task, number, step):
        super().__init__(task=task, number=number, step=step)
        self.course = step.get("runs", {}).get(str(number), "")

    def progress_percent(self, now):
        """Return the progress at a monotonic time in percent."""
        if self.course == STANDS_STILL:
            return STILL_PERCENT
        return super().progress_percent(now)


class ScriptedExecutor(executors.Executor):
    """An executor whose runs may fail or stand still."""

    def end_due_runs(self):
        """End the runs that are finished, or all runs if the lease is over."""
        still = {k: r for k, r in self._runs.items() if r.course == STANDS_STILL}
        for run in still.values():
            run.is_lasting = True
        super().end_due_runs()

    def _end_run(self, key, outcome):
        if outcome == "done" and self._runs[key].course == FAILS:
            outcome = "failed"
        super()._end_run(key, outcome)


if __name__ == "__main__":
    executors.Run = ScriptedRun
    instances.executors.Executor = ScriptedExecutor
    platform.main()
