"""Stand-in of an executor, which runs tasks on an instance under a lease.

Runs of tasks are simulated. The specification of a job says how they behave: ``steps``
with ``count`` (tasks of the step), ``ms`` (run time of a task), ``processors``,
``memory``, ``lasts`` (whether tasks run until they are stopped), ``after`` (steps
that have to be completed before), and ``crashing`` (indices of the tasks that crash
each executor that starts them).
"""

import asyncio
import time

from standins.platform import invariants

# Largest number of ended runs in one response (platform's protocol).
ENDED_RUNS_LIMIT = 500
# Interval at which ends of runs are checked; short compared to the run time of tasks,
# which is at least 0.1 s.
CHECK_INTERVAL_S = 0.02
# Time from the start of a crashing task until its executor crashes.
CRASH_DELAY_S = 0.01
# Time for which a capacity that has shrunk may still be exceeded: the bound within
# which a controller hears of it, and one interval of the entries (platform's rules).
SHRINKING_GRACE_S = 4.5
# Time after the announcement of an executor that it leaves from which no run may start
# there: 2 s (DrainMs of the deployments), and 8 s in which a controller may be cut off
# from the store and has recovered (the longest fault of the soak, and ContactMs).
DRAINING_LIMIT_S = 10.0
# Progress reported for a running lasting task. Others report less until they end.
FULL_PROGRESS_PERCENT = 100
# The clock of each life of an executor begins at any value up to this one: three hours.
FIRST_CLOCK_LIMIT_MS = 10_800_000


class Run:
    """A simulated run of a task.

    Parameters
    ----------
    task : str
        Name of the task.
    number : int
        Number of the run; a later run of the task has a higher one.
    step : dict
        Step of the task in the specification of the job.
    """

    __slots__ = (
        "duration_s",
        "is_crashing",
        "is_lasting",
        "memory",
        "number",
        "processors",
        "started_at",
        "task",
    )

    def __init__(self, *, task, number, step):
        self.task = task
        self.number = number
        self.started_at = time.monotonic()
        self.duration_s = step["ms"] / 1000
        self.is_lasting = step.get("lasts", False)
        self.is_crashing = int(task.rpartition(".")[2]) in step.get("crashing", ())
        self.processors = step["processors"]
        self.memory = step["memory"]

    def progress_percent(self, now):
        """Return the progress at a monotonic time in percent."""
        if self.is_lasting:
            return FULL_PROGRESS_PERCENT
        ratio = (now - self.started_at) / max(0.001, self.duration_s)
        return min(FULL_PROGRESS_PERCENT - 1, int(ratio * FULL_PROGRESS_PERCENT))


class Executor:
    """An executor; a restart of the executor makes a new object.

    Parameters
    ----------
    id : str
        Id of the executor. A restarted executor may have the same id.
    processors, memory : int
        Capacity, in thousandths of a core and mebibytes.
    lease_limit_s : float
        Longest lease that it grants, in seconds.
    is_guarding : bool
        Whether it refuses starts that exceed its capacity.
    first_clock_ms : int, default=1000
        Value of its clock at its start.
    checker : invariants.InvariantChecker
        Told of starts, ends and acknowledgements of runs.

    Attributes
    ----------
    started_at_ms : int
        Unix time of the start in milliseconds.
    entry_count : int
        Number of entries that it has written to the store.
    is_frozen : bool
        Whether responses are held back and the simulation stands still.
    draining_since : float or None
        Monotonic time at which it announced that it leaves; None before.
    leaves_at : float or None
        Monotonic time at which it ends then.
    """

    def __init__(
        self,
        *,
        id,
        processors,
        memory,
        lease_limit_s,
        checker,
        is_guarding=True,
        first_clock_ms=1000,
    ):
        self.id = id
        self.processors = processors
        self.memory = memory
        self.started_at_ms = int(time.time() * 1000)
        self.entry_count = 0
        self.is_frozen = False
        self.draining_since = None
        self.leaves_at = None
        self._is_stopped = False
        self._is_guarding = is_guarding
        self._shrunk_at = None
        self._checker = checker
        self._lease_limit_s = lease_limit_s
        self._started_at = time.monotonic()
        self._first_clock_ms = first_clock_ms
        self._lease_end_ms = 0
        self._highest_fencing_token = 0
        self._runs = {}
        # Highest number of a run that has ended or been stopped, by task. Starts with
        # this number or a lower one are refused.
        self._highest_refused_run = {}
        # Rows of ended runs, which are listed until the controller acknowledges them.
        self._unacknowledged_ends = []
        self._last_end_number = 0
        self._run_ended = asyncio.Event()

    @property
    def clock_ms(self):
        """The executor's clock: milliseconds since its start, from a first value."""
        return int((time.monotonic() - self._started_at) * 1000) + self._first_clock_ms

    def set_processors(self, processors):
        """Change the capacity while tasks run."""
        if processors < self.processors:
            self._shrunk_at = time.monotonic()
        self.processors = processors

    def on_connected(self):
        """Record the end of a cut, which nobody could hear of a capacity in."""
        if self._shrunk_at is not None:
            self._shrunk_at = time.monotonic()

    def stop(self):
        """End all runs because the executor ends."""
        self._is_stopped = True
        for key in list(self._runs):
            run = self._runs.pop(key)
            self._checker.on_run_ended(run.task, run.number, self.id, "gone")

    def find_crashing_run(self):
        """Return the run that crashes this executor now, None if there is none."""
        crashed_before = time.monotonic() - CRASH_DELAY_S
        for run in self._runs.values():
            if run.is_crashing and run.started_at <= crashed_before:
                return run
        return None

    def end_due_runs(self):
        """End the runs that are finished, or all runs if the lease is over."""
        now = time.monotonic()
        if self._runs and self.clock_ms > self._lease_end_ms:
            for key in list(self._runs):
                self._end_run(key, "lapsed")
        for key, run in list(self._runs.items()):
            if not run.is_lasting and now - run.started_at >= run.duration_s:
                self._end_run(key, "done")

    def _end_run(self, key, outcome):
        run = self._runs.pop(key)
        self._last_end_number += 1
        self._unacknowledged_ends.append(
            [self._last_end_number, run.task, run.number, outcome, ""]
        )
        self._highest_refused_run[run.task] = max(
            run.number, self._highest_refused_run.get(run.task, 0)
        )
        self._checker.on_run_ended(run.task, run.number, self.id, outcome)
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def _make_response(self, status, **fields):
        return status, {"ClockMs": self.clock_ms, **fields}

    def _extend_lease(self, deadline_ms):
        limit = self.clock_ms + int(self._lease_limit_s * 1000)
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, limit))

    async def handle(self, request):
        """Answer a request."""
        while self.is_frozen:
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self._is_stopped:
            # The connection is closed; a request that was held back has no effect.
            return 503, {}
        if request.headers.get("expected-instance") != self.id:
            return 421, {"ClockMs": self.clock_ms}
        fields = request.json_object()
        if fields.get("FencingToken", 0) < self._highest_fencing_token:
            return self._make_response(409, Reason="fence")
        self._highest_fencing_token = fields.get("FencingToken", 0)
        if request.path == "/api/run-start":
            return self._start_run(fields)
        if request.path == "/api/run-stop":
            return self._stop_run(fields)
        if request.path == "/api/hold":
            return await self._renew_lease(fields)
        if request.path == "/api/pace":
            return self._make_response(200)
        return 404, {}

    def _start_run(self, fields):
        task, number = fields["Task"], fields["RunId"]
        key = (task, number)
        if self.clock_ms > fields["DeadlineMs"]:
            return self._make_response(409, Reason="late")
        if key in self._runs:
            return self._make_response(200)
        self._extend_lease(fields["DeadlineMs"])
        if number <= self._highest_refused_run.get(task, 0):
            return self._make_response(409, Reason="old")
        spec = invariants.read_spec(fields["Spec"])
        run = Run(task=task, number=number, step=spec["steps"][int(task.split(".")[2])])
        processors = sum(r.processors for r in self._runs.values()) + run.processors
        memory = sum(r.memory for r in self._runs.values()) + run.memory
        if processors > self.processors or memory > self.memory:
            if self._is_guarding:
                return self._make_response(409, Reason="room")
            grace_end = -1.0
            if self._shrunk_at is not None:
                grace_end = self._shrunk_at + SHRINKING_GRACE_S
            if time.monotonic() > grace_end:
                self._checker.report_violation(
                    "start exceeds the capacity", f"{task} {number} on {self.id}"
                )
        now = time.monotonic()
        draining_since = now if self.draining_since is None else self.draining_since
        if now - draining_since > DRAINING_LIMIT_S:
            self._checker.report_violation(
                "start on an executor that leaves", f"{task} {number} on {self.id}"
            )
        self._runs[key] = run
        self._checker.on_run_started(task, number, self.id, spec)
        return self._make_response(200)

    def _stop_run(self, fields):
        task, number = fields["Task"], fields["RunId"]
        self._highest_refused_run[task] = max(
            number, self._highest_refused_run.get(task, 0)
        )
        if (task, number) in self._runs:
            self._end_run((task, number), "stopped")
        return self._make_response(200)

    async def _renew_lease(self, fields):
        """Renew the lease, remove acknowledged ends and list all runs.

        The response waits until a run has ended, at most for ``WaitMs``.
        """
        if "DeadlineMs" in fields:
            self._extend_lease(fields["DeadlineMs"])
        acknowledged = fields.get("AckedThrough", 0)
        for end in self._unacknowledged_ends:
            if end[0] <= acknowledged:
                self._checker.on_end_acknowledged(end[1], end[3])
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end[0] > acknowledged
        ]
        wait_end = time.monotonic() + fields.get("WaitMs", 0) / 1000
        while (
            not self._unacknowledged_ends
            and (left_s := wait_end - time.monotonic()) > 0
        ):
            try:
                await asyncio.wait_for(self._run_ended.wait(), left_s)
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.progress_percent(now), run.processors]
            for run in self._runs.values()
        ]
        return self._make_response(
            200,
            born=self.started_at_ms,
            Running=running,
            Finished=self._unacknowledged_ends[:ENDED_RUNS_LIMIT],
        )
