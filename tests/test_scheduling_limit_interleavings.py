"""Random sequences of events while an organisation has limits.

They guard against an order of events after which more of an organisation runs than the
platform's rule allows: the limit, a tenth more, and one task. What runs is what the
simulated executors run, and not what the scheduler believes.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from cranberryport.scheduling import records, scheduler
from tests import scheduling, test_scheduling_interleavings

EXECUTORS = test_scheduling_interleavings.EXECUTORS
NOW_UNIX_S = scheduling.NOW_UNIX_S
OVERSHOOT = 0.1
# An order that was sent under an earlier limit may be carried out for this long.
LIMIT_MEMORY_S = scheduler.START_VALIDITY_S


class LimitMachine(test_scheduling_interleavings.SchedulerMachine):
    """The machine of the scheduler's interleavings, with limits and late orders.

    A new controller finds an executor when it first lists its runs.
    """

    executors_found_at_once = ()

    def __init__(self):
        self.limits = [(0.0, 4000, 600)]
        self.cancelled = []
        # Orders under way: run, executor, epoch, end of their validity.
        self.late_orders = []
        self.epoch = 0
        self.seen_epochs = dict.fromkeys(EXECUTORS, 0)
        self.started = set()
        super().__init__()

    def _apply_limits(self):
        _, processors, memory = self.limits[-1]
        scheduling.set_limits(
            self.scheduler, processors_limit=processors, memory_limit=memory
        )

    @initialize(count=st.integers(1, 6))
    def start_with_running_job(self, count):
        """Submit a job and start its first tasks."""
        self.submit_red_job(count, 1000, False, False)
        self.list_and_decide(set(EXECUTORS))

    @rule()
    def take_over(self):
        """Replace the controller; the successor reads the records and the limits."""
        super().take_over()
        self.epoch += 1
        self._apply_limits()
        for job_id in self.cancelled:
            self.scheduler.cancel_job(job_id, NOW_UNIX_S)

    @rule(
        count=st.integers(1, 6),
        processors=st.sampled_from((0, 700, 1000, 3000, 6000)),
        is_gang=st.booleans(),
        may_copy=st.booleans(),
    )
    def submit_red_job(self, count, processors, is_gang, may_copy):
        """Submit a job of the organisation."""
        step = scheduling.make_step(
            count, processors=processors, is_gang=is_gang, may_copy=may_copy
        )
        job = scheduling.make_red_job(step, job=f"{len(self.jobs):016x}")
        self.jobs[job.id] = records.job_to_record(job)
        self.scheduler.add_job(job, NOW_UNIX_S)

    @rule(
        processors=st.sampled_from((1500, 2500, 4000, 8000)),
        memory=st.sampled_from((0, 300, 600)),
    )
    def change_limits(self, processors, memory):
        """Raise or lower the limits."""
        self.limits.append((self.now, processors, memory))
        self._apply_limits()

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 9))
    def cancel_job(self, number):
        """Cancel a job."""
        job_id = sorted(self.jobs)[number % len(self.jobs)]
        self.cancelled.append(job_id)
        self.scheduler.cancel_job(job_id, NOW_UNIX_S)

    @rule(lost=st.sets(st.integers(0, 3)))
    def decide(self, lost):
        """Plan and store runs; stops may be lost, and starts arrive late or never."""
        self.scheduler.process_due_events(self.now, NOW_UNIX_S)
        self.planner.plan(self.now, NOW_UNIX_S)
        batch = self.scheduler.take_batch()
        for record in batch.progress_records:
            self.stored[record.job] = record
        for number, run in enumerate(self.scheduler.commit(batch, self.now)):
            executor = self.scheduler.executors[run.executor]
            executor.extend_lease(self.now, scheduler.START_VALIDITY_S)
            expires_at = self.now + scheduler.START_VALIDITY_S
            if number in lost:
                run.has_unanswered_start = True
                self.late_orders.append((run, self.epoch, expires_at))
            else:
                self._carry_out(run)
                self.scheduler.on_run_started(run, self.now)
        for number, run in enumerate(self.scheduler.take_pending_stops()):
            if number in lost or run.executor not in self.scheduler.executors:
                continue
            key = (run.task.name, run.number)
            self.started.add((run.executor, *key))
            if key in self.simulated[run.executor].running:
                self.simulated[run.executor].end(key, "stopped")
            self.scheduler.on_stop_confirmed(run, self.now)

    @precondition(lambda self: self.late_orders)
    @rule()
    def deliver_late_order(self):
        """Let an order arrive whose answer is lost, also from an earlier controller."""
        run, epoch, expires_at = self.late_orders.pop()
        if self.now < expires_at and epoch >= self.seen_epochs[run.executor]:
            self._carry_out(run)

    @rule(name=st.sampled_from(EXECUTORS))
    def list_runs(self, name):
        """List an executor's runs, after which it refuses earlier controllers."""
        self.seen_epochs[name] = self.epoch
        if name not in self.scheduler.executors:
            self.scheduler.add_or_update_executor(
                scheduling.make_executor(name), self.now
            )
        super().list_runs(name)

    def _carry_out(self, run):
        simulated = self.simulated[run.executor]
        key = (run.task.name, run.number)
        if (run.executor, *key) in self.started:
            # An executor carries out each order once, and none that it has stopped.
            return
        self.started.add((run.executor, *key))
        simulated.running[key] = run
        simulated.lease_expires_at = max(
            simulated.lease_expires_at, self.now + scheduler.START_VALIDITY_S
        )
        if not run.task.job.organisation:
            return
        steps = [
            other.task.step
            for executor in self.simulated.values()
            for other in executor.running.values()
            if other.task.job.organisation
        ]
        used = sum(s.processors for s in steps), sum(s.memory for s in steps)
        limits = [
            limit[1:]
            for limit, following in zip(
                self.limits, [*self.limits[1:], (self.now, 0, 0)], strict=True
            )
            if following[0] + LIMIT_MEMORY_S >= self.now
        ]
        needs = run.task.step.processors, run.task.step.memory
        for number in range(2):
            in_force = [limit[number] for limit in limits]
            if 0 not in in_force:
                bound = max(in_force) * (1 + OVERSHOOT) + needs[number]
                assert used[number] <= bound, (run.task.name, used, limits)

    def check_no_task_runs_twice(self):
        """Do not apply the check of the other machine, as copies run twice."""


LimitInterleavingsTest = LimitMachine.TestCase
LimitInterleavingsTest.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
