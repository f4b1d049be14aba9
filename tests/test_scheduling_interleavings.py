"""Random interleavings of hand-ins, orders, ends, takeovers and lapsed leases.

They guard against a task at two places at once, or again after its end was noted.
"""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cranberryport.scheduling import ordering, records, scheduler, task_planner
from tests import scheduling

LEASE_S = 4.0
EXECUTORS = ("e1", "e2", "e3")
WALL = scheduling.WALL


class TrueExecutor:
    """What an executor really does."""

    def __init__(self):
        self.running = {}
        self.ends = []
        self.count = 0
        self.acknowledged_end = 0
        self.lease_expires_at = 0.0

    def end(self, key, how):
        """End a run."""
        del self.running[key]
        self.count += 1
        self.ends.append((self.count, *key, how))


class Interleavings(RuleBasedStateMachine):
    """A controller and its successors, executors, and a store that loses nothing."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.jobs = {}
        self.stored = {}
        self.true = {name: TrueExecutor() for name in EXECUTORS}
        self.noted_done = set()
        self.take_over()

    @initialize(counts=st.lists(st.integers(1, 3), min_size=1, max_size=2))
    def begin(self, counts):
        """Begin with a job that is at work."""
        self.hand_in(counts)
        self.work(set(EXECUTORS))

    @rule()
    def take_over(self):
        """Begin a new controller with what is stored; the previous one is fenced."""
        self.scheduler = scheduler.Scheduler(
            previous_leases_expire_at=self.now
            + scheduler.previous_lease_wait_s(LEASE_S)
        )
        self.planner = task_planner.TaskPlanner(state=self.scheduler)
        rules = ordering.QueueRules(name="queue", service="pool", attempts=99)
        self.scheduler.set_queues({"queue": rules})
        for job_id, record in self.jobs.items():
            job = records.job_from_record(record)
            if job_id in self.stored:
                self.scheduler.restore_job(job, self.stored[job_id], WALL)
            else:
                self.scheduler.add_job(job, WALL)
        for name in EXECUTORS:
            self.scheduler.add_or_update_executor(
                scheduling.make_executor(name), self.now
            )

    @rule(counts=st.lists(st.integers(1, 3), min_size=1, max_size=2))
    def hand_in(self, counts):
        """Take a job of one or two steps."""
        steps = [
            scheduling.make_step(count, depends_on=(0,) if number else ())
            for number, count in enumerate(counts)
        ]
        job = scheduling.make_job(*steps, job=f"{len(self.jobs):016x}")
        self.jobs[job.id] = records.job_to_record(job)
        self.scheduler.add_job(job, WALL)

    @rule(names=st.sets(st.sampled_from(EXECUTORS), min_size=1))
    def work(self, names):
        """Let some executors list their runs, then decide."""
        for name in sorted(names):
            self.list_runs(name)
        self.decide(lost=set())

    @rule()
    def be_fenced(self):
        """Plan, but do not store, as there is a later controller."""
        self.planner.plan(self.now, WALL)
        self.take_over()

    @rule(lost=st.sets(st.integers(0, 3)))
    def decide(self, lost):
        """Plan, store, and send the starts; some are lost on their way."""
        self.scheduler.process_due_events(self.now, WALL)
        self.planner.plan(self.now, WALL)
        batch = self.scheduler.take_batch()
        for record in batch.progress_records:
            self.stored[record.job] = record
        for number, run in enumerate(self.scheduler.commit(batch, self.now)):
            executor = self.scheduler.executors[run.executor]
            executor.extend_lease(self.now, scheduler.START_VALIDITY_S)
            if number not in lost:
                self._start(run, self.true[run.executor])
        for run in self.scheduler.take_pending_stops():
            true = self.true[run.executor]
            if (run.task.name, run.number) in true.running:
                true.end((run.task.name, run.number), "stopped")

    def _start(self, run, true):
        name = run.task.name
        for other in self.true.values():
            assert name not in {task for task, _ in other.running}, "two runs at once"
        assert name not in self.noted_done, "run after its end was acknowledged"
        true.running[name, run.number] = run
        true.lease_expires_at = max(
            true.lease_expires_at, self.now + scheduler.START_VALIDITY_S
        )
        self.scheduler.on_run_started(run, self.now)

    @rule(name=st.sampled_from(EXECUTORS))
    def list_runs(self, name):
        """Renew a lease and take the lists."""
        executor, true = self.scheduler.executors.get(name), self.true[name]
        if executor is None:
            return
        true.acknowledged_end = max(true.acknowledged_end, executor.acknowledged_end)
        for number, task, _, how in true.ends:
            if how == "done" and number <= true.acknowledged_end:
                self.noted_done.add(task)
        true.ends = [end for end in true.ends if end[0] > true.acknowledged_end]
        if executor.clock_ms is None:
            executor.update_clock(1000, self.now)
        executor.extend_lease(self.now, LEASE_S)
        executor.has_accepted_epoch = True
        true.lease_expires_at = self.now + LEASE_S
        unknown = self.scheduler.on_runs_listed(
            executor,
            scheduling.make_report(list(true.running), true.ends),
            requested_at=self.now,
            now=self.now,
            wall=WALL,
        )
        for key in unknown:
            true.end(key, "stopped")

    @rule(name=st.sampled_from(EXECUTORS), how=st.sampled_from(("done", "failed")))
    def end_one(self, name, how):
        """Let a run end."""
        true = self.true[name]
        if true.running:
            true.end(min(true.running), how)

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        """Let time pass; leases that lapse end what runs under them."""
        self.now += seconds
        for true in self.true.values():
            if self.now > true.lease_expires_at:
                for key in list(true.running):
                    true.end(key, "lapsed")

    @invariant()
    def no_task_runs_twice(self):
        """Check that no task runs on two executors."""
        tasks = collections.Counter(
            task for true in self.true.values() for task, _ in true.running
        )
        assert not [task for task, count in tasks.items() if count > 1]

    @invariant()
    def completed_jobs_are_done(self):
        """Check that a job is told as completed only once that is stored."""
        for job in self.scheduler.jobs.values():
            if job.reported_state == "completed":
                assert self.stored[job.id].state == "completed"


InterleavingsTest = Interleavings.TestCase
InterleavingsTest.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
