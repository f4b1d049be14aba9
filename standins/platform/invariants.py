"""Invariants of runs and instances, checked from what the executors see."""

import collections
import json
import time


class InvariantChecker:
    """Notes runs and ends of all executors, and the violations.

    A run counts from its start at an executor until its end there, or until the
    executor is gone.
    """

    def __init__(self):
        self.violations = []
        self.starts = 0
        self._running = collections.defaultdict(set)
        self._done = set()
        self._acknowledged = set()

    def report(self, invariant, detail):
        """Note a violation."""
        self.violations.append(
            {"invariant": invariant, "detail": detail, "at": time.time()}
        )

    def on_run_started(self, task, run, executor_id, spec):
        """Note that a run has begun."""
        self.starts += 1
        others = self._running[task] - {(executor_id, run)}
        if others:
            self.report("two runs at once", f"{task} {run} beside {sorted(others)}")
        if task in self._acknowledged:
            self.report("run after its end was acknowledged", f"{task} {run}")
        job, occurrence, step, _ = task.split(".")
        for earlier in spec["steps"][int(step)].get("after", ()):
            for index in range(spec["steps"][earlier]["count"]):
                name = f"{job}.{occurrence}.{earlier}.{index}"
                if name not in self._done:
                    self.report("run before the step it depends on", f"{task} {name}")
                    return
        self._running[task].add((executor_id, run))

    def on_run_ended(self, task, run, executor_id, how):
        """Note that a run is over."""
        self._running[task].discard((executor_id, run))
        if how == "done":
            self._done.add(task)

    def on_end_acknowledged(self, task, how):
        """Note that the system has taken note of an end."""
        if how == "done":
            self._acknowledged.add(task)

    def running_tasks(self):
        """Return the names of the tasks at work."""
        return sorted(task for task, runs in self._running.items() if runs)

    def started_jobs(self):
        """Return the ids of the jobs of which a task has begun."""
        return sorted({task.partition(".")[0] for task in self._running})


def read_spec(text):
    """Return what the stand-in's callers put into the specification of a job."""
    return json.loads(text)
