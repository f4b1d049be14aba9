"""Builders and a harness for tests of the scheduling package."""

import math
import types

from cranberryport.scheduling import (
    executors,
    model,
    ordering,
    organisations,
    scheduler,
    task_planner,
)

# Reason for which a crashed executor is retired.
GONE = "no running instance has it"
# Unix time of all tests in seconds.
NOW_UNIX_S = 1_000_000.0


def make_step(count=1, *, processors=1000, memory=100, estimate_s=1.0, **values):
    """Return a step of tasks that need one core for a second unless stated."""
    return model.Step(
        count=count,
        processors=processors,
        memory=memory,
        estimate_s=estimate_s,
        **values,
    )


def make_job(*steps, job="aaaaaaaaaaaaaaaa", accepted_at=NOW_UNIX_S, **values):
    """Return a job of the queue ``queue`` in the pool ``pool``."""
    return model.Job(
        id=job,
        queue="queue",
        service="pool",
        spec="work",
        steps=list(steps) or [make_step()],
        accepted_at=accepted_at,
        **values,
    )


def make_executor(name="e1", *, processors=16_000, memory=32_000, **values):
    """Return an executor as it is read from its entry in the store."""
    settings = {
        "service": "pool",
        "address": ("127.0.0.1", 1),
        "data_centre": "a",
        "accelerators": 0,
        "labels": frozenset(),
    }
    return executors.Executor(
        id=name, processors=processors, memory=memory, **(settings | values)
    )


def make_report(running=(), finished=(), *, are_ends_complete=True):
    """Return an executor's answer with its lists of runs.

    Parameters
    ----------
    running : iterable of tuple
        Task and number of each running run, optionally with checkpoint and progress in
        percent.
    finished : iterable of (int, str, int, str)
        Number of the end, task, number of the run, and how it ended.
    are_ends_complete : bool
        Whether all ends are listed.
    """
    return types.SimpleNamespace(
        running=[
            types.SimpleNamespace(
                task=row[0],
                run=row[1],
                checkpoint=row[2] if len(row) > 2 else "",
                progress_percent=row[3] if len(row) > 3 else 10,
                load=0,
            )
            for row in running
        ],
        finished=[
            types.SimpleNamespace(number=n, task=task, run=run, how=how, checkpoint="")
            for n, task, run, how in finished
        ],
        are_ends_complete=are_ends_complete,
    )


class SchedulerHarness:
    """A scheduler, a planner, a clock, and executors whose answers a test chooses.

    Parameters
    ----------
    count : int
        Number of executors, named ``e1`` and so on.
    failed_runs_limit : int
        Number of failed runs of a task after which its job fails.
    previous_leases_expire_at : float
        See the scheduler.
    remote_factor : float
        Factor by which a task takes longer on another rack.
    **values
        Attributes of the executors.
    """

    def __init__(
        self,
        *,
        count=1,
        failed_runs_limit=2,
        previous_leases_expire_at=0.0,
        remote_factor=1.0,
        **values,
    ):
        self.now = 100.0
        self.scheduler = scheduler.Scheduler(
            previous_leases_expire_at=previous_leases_expire_at
        )
        self.planner = task_planner.TaskPlanner(
            state=self.scheduler, remote_factor=remote_factor
        )
        rules = ordering.QueueRules(
            name="queue",
            service="pool",
            failed_runs_limit=failed_runs_limit,
            stretch=1.6,
            latency_s=0.6,
        )
        self.scheduler.set_queues({"queue": rules})
        self.executors = [
            self.add_executor(f"e{number}", **values) for number in range(1, count + 1)
        ]

    def add_executor(self, name, **values):
        """Add an executor that has answered once and return it."""
        executor = self.scheduler.add_or_update_executor(
            make_executor(name, **values), self.now
        )
        executor.update_clock(1000, self.now)
        executor.has_accepted_epoch = True
        self.list_runs(executor)
        return executor

    def list_runs(
        self,
        executor,
        running=(),
        finished=(),
        *,
        requested_at=None,
        are_ends_complete=True,
    ):
        """Pass an executor's lists to the scheduler; return the unknown runs."""
        return self.scheduler.on_runs_listed(
            executor,
            make_report(running, finished, are_ends_complete=are_ends_complete),
            requested_at=self.now if requested_at is None else requested_at,
            now=self.now,
            now_unix_s=NOW_UNIX_S,
        )

    def add_job(self, job):
        """Add a job and return it."""
        self.scheduler.add_job(job, NOW_UNIX_S)
        return job

    def plan(self):
        """Plan runs and return the batch to store."""
        self.planner.plan(self.now, NOW_UNIX_S)
        return self.scheduler.take_batch()

    def start(self):
        """Plan runs, store the batch and confirm all starts; return the runs."""
        starts = self.scheduler.commit(self.plan(), self.now)
        for run in starts:
            run.deadline_ms = 1
            life = self.scheduler.executors[run.executor].life
            self.scheduler.on_run_started(run, self.now, life=life)
        return starts

    def start_all(self):
        """Start runs until a decision plans no more; return the runs."""
        runs = []
        while started := self.start():
            runs += started
        return runs

    def finish(self, run, number, how="done"):
        """Pass a list with the end of a run; return the unknown runs."""
        executor = self.scheduler.executors[run.executor]
        self.now += 0.01
        others = [
            (key[0], key[1])
            for key, other in executor.runs.items()
            if other is not run and other.state != model.PLANNED
        ]
        end = (number, run.task.name, run.number, how)
        return self.list_runs(executor, others, [end])


class CrashHarness(SchedulerHarness):
    """A harness whose executors have hosts of their own and can crash."""

    def __init__(self, *, count=3, **values):
        self._executor_number = 0
        super().__init__(count=0, **values)
        for number in range(count):
            self.add_host(f"127.1.0.{number}")

    def add_host(self, host, **values):
        """Add an executor on a host and return it."""
        self._executor_number += 1
        name = f"e{self._executor_number}"
        executor = self.add_executor(name, address=(host, 1), **values)
        executor.started_at_ms = self._executor_number
        executor.lease_expires_at = math.inf
        return executor

    def crash(self, executor):
        """Crash an executor and replace it by a new one on the same host."""
        executor.record_failed_call(self.now, is_connection_closed=True)
        self.scheduler.retire_executor(executor, GONE, has_crashed=True)
        self.process()
        self.add_host(executor.address[0])

    def restart(self, executor):
        """Restart an executor under its id; no list has shown its new life yet."""
        executor.record_failed_call(self.now, is_connection_closed=True)
        self.scheduler.on_executor_restarted(
            executor, executor.started_at_ms + 1000, now=self.now
        )

    def list_new_life(self, executor, running=(), finished=()):
        """Let an executor answer after its restart, and list its runs."""
        executor.record_answer(self.now)
        executor.update_clock(1000, self.now)
        executor.has_accepted_epoch = True
        self.list_runs(executor, running, finished)

    def process(self):
        """Handle due events, which also end the jobs of tasks that are given up."""
        self.scheduler.process_due_events(self.now, NOW_UNIX_S)

    def list_all(self, seconds):
        """Let time pass, and let all executors list their runs."""
        self.now += seconds
        for executor in list(self.scheduler.executors.values()):
            executor.record_answer(self.now)
            running = [k for k, r in executor.runs.items() if r.state != model.PLANNED]
            self.list_runs(executor, running)

    def executor_of(self, task):
        """Return the executor of a task's only run."""
        (run,) = task.runs
        return self.scheduler.executors[run.executor]


def make_jobs(harness, count, *steps):
    """Add jobs with distinct ids and return them."""
    return [
        harness.add_job(make_job(*steps, job=f"{number:016x}"))
        for number in range(1, count + 1)
    ]


def first_task(job):
    """Return the first task of a job."""
    return next(iter(job.tasks()))


def set_limits(state, **limits):
    """Configure the organisation ``red`` with limits, and ``blue`` without any."""
    state.set_organisations(
        {
            "red": organisations.Organisation(name="red", **limits),
            "blue": organisations.Organisation(name="blue"),
        },
        limit_overshoot=0.1,
    )


def make_red_job(*steps, job="bbbbbbbbbbbbbbbb", **values):
    """Return a job of the organisation ``red``."""
    return make_job(*steps, job=job, organisation="red", **values)
