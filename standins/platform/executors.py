"""Stand-in of an executor.

The specification of a job says how its tasks behave: ``steps`` with ``count``, ``ms``
(time of a task), ``processors``, ``memory``, ``lasts`` and ``after``.
"""

import asyncio
import time

from standins.platform import invariants

# Ends in one answer (platform's protocol).
LISTED_ENDS = 500
# Seconds between two looks at what has ended; short beside tasks of 0.1 s or more.
CHECK_S = 0.02
# Progress of a lasting task that is at work; others have less until their end.
PERCENT = 100
# The clock of an executor starts from here, in milliseconds, so that it is never 0.
FIRST_CLOCK_MS = 1000


class Run:
    """A run at work."""

    __slots__ = ("began_at", "lasts", "length_s", "memory", "processors", "run", "task")

    def __init__(self, *, task, run, step):
        self.task = task
        self.run = run
        self.began_at = time.monotonic()
        self.length_s = step["ms"] / 1000
        self.lasts = step.get("lasts", False)
        self.processors = step["processors"]
        self.memory = step["memory"]

    def percent(self, now):
        """Return the progress."""
        if self.lasts:
            return PERCENT
        share = (now - self.began_at) / max(0.001, self.length_s)
        return min(PERCENT - 1, int(share * PERCENT))


class Executor:
    """An executor from its start to its end.

    Parameters
    ----------
    id : str
        Its id; a restarted one may have the same.
    processors, memory : int
        Thousandths of a core and mebibytes.
    lease_limit_s : float
        Longest lease.
    checks : invariants.InvariantChecker
        Notes starts and ends.
    """

    def __init__(self, *, id, processors, memory, lease_limit_s, checks):
        self.id = id
        self.processors = processors
        self.memory = memory
        self.born = int(time.time() * 1000)
        self.is_frozen = False
        self._checks = checks
        self._lease_limit_s = lease_limit_s
        self._started = time.monotonic()
        self._lapses_ms = 0
        self._fence = 0
        self._runs = {}
        self._refused_below = {}
        self._ends = []
        self._last_end = 0
        self._changed = asyncio.Event()

    @property
    def clock_ms(self):
        """Milliseconds since the start."""
        return int((time.monotonic() - self._started) * 1000) + FIRST_CLOCK_MS

    def stop(self):
        """End everything, as the instance is gone."""
        for key in list(self._runs):
            run = self._runs.pop(key)
            self._checks.on_run_ended(run.task, run.run, self.id, "gone")

    def check(self):
        """End the runs whose time, or whose lease, is over."""
        now = time.monotonic()
        if self._runs and self.clock_ms > self._lapses_ms:
            for key in list(self._runs):
                self._end(key, "lapsed")
        for key, run in list(self._runs.items()):
            if not run.lasts and now - run.began_at >= run.length_s:
                self._end(key, "done")

    def _end(self, key, how):
        run = self._runs.pop(key)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.run, how, ""])
        self._refused_below[run.task] = max(
            run.run, self._refused_below.get(run.task, 0)
        )
        self._checks.on_run_ended(run.task, run.run, self.id, how)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status, **fields):
        return status, {"ClockMs": self.clock_ms, "born": self.born, **fields}

    def _extend(self, deadline_ms):
        limit = self.clock_ms + int(self._lease_limit_s * 1000)
        self._lapses_ms = max(self._lapses_ms, min(deadline_ms, limit))

    async def handle(self, request):
        """Answer a request."""
        while self.is_frozen:
            await asyncio.sleep(CHECK_S)
        if request.headers.get("expected-instance") != self.id:
            return 421, {"ClockMs": self.clock_ms}
        fields = request.fields()
        if fields.get("FencingToken", 0) < self._fence:
            return self._answer(409, Reason="fence")
        self._fence = fields.get("FencingToken", 0)
        if request.path == "/api/run-start":
            return self._start(fields)
        if request.path == "/api/run-stop":
            return self._stop(fields)
        if request.path == "/api/hold":
            return await self._hold(fields)
        if request.path == "/api/pace":
            return self._answer(200)
        return 404, {}

    def _start(self, fields):
        task, number = fields["Task"], fields["RunId"]
        key = (task, number)
        if self.clock_ms > fields["DeadlineMs"]:
            return self._answer(409, Reason="late")
        if key in self._runs:
            return self._answer(200)
        self._extend(fields["DeadlineMs"])
        if number <= self._refused_below.get(task, 0):
            return self._answer(409, Reason="old")
        spec = invariants.read_spec(fields["Spec"])
        run = Run(task=task, run=number, step=spec["steps"][int(task.split(".")[2])])
        processors = sum(r.processors for r in self._runs.values()) + run.processors
        memory = sum(r.memory for r in self._runs.values()) + run.memory
        if processors > self.processors or memory > self.memory:
            return self._answer(409, Reason="room")
        self._runs[key] = run
        self._checks.on_run_started(task, number, self.id, spec)
        return self._answer(200)

    def _stop(self, fields):
        task, number = fields["Task"], fields["RunId"]
        self._refused_below[task] = max(number, self._refused_below.get(task, 0))
        if (task, number) in self._runs:
            self._end((task, number), "stopped")
        return self._answer(200)

    async def _hold(self, fields):
        if "DeadlineMs" in fields:
            self._extend(fields["DeadlineMs"])
        acknowledged = fields.get("AckedThrough", 0)
        for end in self._ends:
            if end[0] <= acknowledged:
                self._checks.on_end_acknowledged(end[1], end[3])
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        ends_at = time.monotonic() + fields.get("WaitMs", 0) / 1000
        while not self._ends and (left_s := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.run, "", run.percent(now), run.processors]
            for run in self._runs.values()
        ]
        return self._answer(200, Running=running, Finished=self._ends[:LISTED_ENDS])
