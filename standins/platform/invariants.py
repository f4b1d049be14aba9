"""Checks invariants of runs and instances, from what the stand-ins observe.

Executors report starts and ends of runs. A task is identified by
``job.occurrence.step.index``; each attempt to run it is a run with a number.
"""

import collections
import json
import time

from standins.platform import organisations

# A task may be started fewer times than this after this number of executors have
# crashed under it (platform's rules).
CRASH_LIMIT = 3


class InvariantChecker:
    """Records the runs of all executors and the violations of invariants.

    A run counts as running from its start at an executor until its end there, or until
    the executor has ended.

    Attributes
    ----------
    violations : list of dict
        ``invariant``, ``detail`` and ``at`` (Unix time in seconds).
    starts : int
        Number of runs started.
    limits : organisations.LimitChecker
        Checks the limits of organisations.
    """

    def __init__(self):
        self.violations = []
        self.starts = 0
        self.limits = organisations.LimitChecker(report_violation=self.report_violation)
        self._running = collections.defaultdict(set)
        self._completed_tasks = set()
        self._acknowledged_tasks = set()
        self._crash_counts = collections.Counter()
        self._starts_after_crashes = collections.Counter()

    def report_violation(self, invariant, detail):
        """Record a violation."""
        self.violations.append(
            {"invariant": invariant, "detail": detail, "at": time.time()}
        )

    def on_run_started(self, task, run, executor_id, spec):
        """Record the start of a run and check that it is allowed."""
        self.starts += 1
        others = self._running[task] - {(executor_id, run)}
        if others:
            self.report_violation(
                "two runs at once", f"{task} {run} beside {sorted(others)}"
            )
        if task in self._acknowledged_tasks:
            self.report_violation("run after its end was acknowledged", f"{task} {run}")
        if self._crash_counts[task] >= CRASH_LIMIT:
            self._starts_after_crashes[task] += 1
            if self._starts_after_crashes[task] == CRASH_LIMIT:
                self.report_violation("crashing task is started again", f"{task} {run}")
        job, occurrence, step, _ = task.split(".")
        self.limits.on_run_started(
            spec.get("organisation", ""),
            (task, run, executor_id),
            spec["steps"][int(step)],
        )
        for earlier in spec["steps"][int(step)].get("after", ()):
            for index in range(spec["steps"][earlier]["count"]):
                name = f"{job}.{occurrence}.{earlier}.{index}"
                if name not in self._completed_tasks:
                    self.report_violation(
                        "run before the step it depends on", f"{task} {name}"
                    )
                    return
        self._running[task].add((executor_id, run))

    def on_run_ended(self, task, run, executor_id, outcome):
        """Record the end of a run; the outcome ``done`` completes the task."""
        self._running[task].discard((executor_id, run))
        self.limits.on_run_ended((task, run, executor_id))
        if outcome == "done":
            self._completed_tasks.add(task)

    def on_end_acknowledged(self, task, outcome):
        """Record that the controller has acknowledged the end of a run."""
        if outcome == "done":
            self._acknowledged_tasks.add(task)

    def on_executor_crashed(self, task):
        """Record that a task has crashed its executor."""
        self._crash_counts[task] += 1

    def running_tasks(self):
        """Return the names of the tasks that have a run."""
        return sorted(task for task, runs in self._running.items() if runs)

    def started_jobs(self):
        """Return the ids of the jobs with at least one started task."""
        return sorted({task.partition(".")[0] for task in self._running})


def read_spec(text):
    """Return the specification of a job, decoded from JSON.

    :func:`standins.platform.local_deployment.make_job_request` writes it. The platform
    does not define the content.
    """
    return json.loads(text)
