"""Random sequences of submissions, starts, ends, takeovers and expired leases.

They guard against a task that runs twice at the same time, or that is run again after
its end was acknowledged.
"""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cranberryport.scheduling import (
    ordering,
    records,
    scheduler,
    takeover,
    task_planner,
)
from tests import scheduling

LEASE_S = 4.0
EXECUTORS = ("e1", "e2", "e3")
NOW_UNIX_S = scheduling.NOW_UNIX_S


class SimulatedExecutor:
    """True state of an executor, which the scheduler knows only from its lists."""

    def __init__(self):
        self.running = {}
        self.ends = []
        self.count = 0
        self.acknowledged_end_number = 0
        self.lease_expires_at = 0.0

    def end(self, key, how):
        """Record the end of a run."""
        del self.running[key]
        self.count += 1
        self.ends.append((self.count, *key, how))


class SchedulerMachine(RuleBasedStateMachine):
    """A controller and its successors, executors, and a store that never fails."""

    # Executors whose entries a new controller has read before its first decision.
    executors_found_at_once = EXECUTORS

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.jobs = {}
        self.stored = {}
        self.simulated = {name: SimulatedExecutor() for name in EXECUTORS}
        self.acknowledged_tasks = set()
        self.take_over()

    @initialize(counts=st.lists(st.integers(1, 3), min_size=1, max_size=2))
    def start_with_running_job(self, counts):
        """Submit a job and start its first tasks."""
        self.submit_job(counts)
        self.list_and_decide(set(EXECUTORS))

    @rule()
    def take_over(self):
        """Replace the controller by a successor that reads the stored records."""
        self.scheduler = scheduler.Scheduler(
            previous_leases_expire_at=self.now
            + takeover.previous_lease_wait_s(LEASE_S, role_validity_s=0.0)
        )
        self.planner = task_planner.TaskPlanner(state=self.scheduler)
        rules = ordering.QueueRules(name="queue", service="pool", failed_runs_limit=99)
        self.scheduler.set_queues({"queue": rules})
        for job_id, record in self.jobs.items():
            job = records.job_from_record(record)
            if job_id in self.stored:
                self.scheduler.restore_job(job, self.stored[job_id], NOW_UNIX_S)
            else:
                self.scheduler.add_job(job, NOW_UNIX_S)
        # The entries of the others have lapsed, and come back later.
        self.scheduler.on_executors_read()
        for name in self.executors_found_at_once:
            self.scheduler.add_or_update_executor(
                scheduling.make_executor(name), self.now
            )

    @rule(counts=st.lists(st.integers(1, 3), min_size=1, max_size=2))
    def submit_job(self, counts):
        """Submit a job of one or two steps."""
        steps = [
            scheduling.make_step(count, depends_on=(0,) if number else ())
            for number, count in enumerate(counts)
        ]
        job = scheduling.make_job(*steps, job=f"{len(self.jobs):016x}")
        self.jobs[job.id] = records.job_to_record(job)
        self.scheduler.add_job(job, NOW_UNIX_S)

    @rule(names=st.sets(st.sampled_from(EXECUTORS), min_size=1))
    def list_and_decide(self, names):
        """List the runs of some executors, then decide."""
        for name in sorted(names):
            self.list_runs(name)
        self.decide(lost=set())

    @rule()
    def be_superseded(self):
        """Plan runs, but replace the controller before they are stored."""
        self.planner.plan(self.now, NOW_UNIX_S)
        self.take_over()

    @rule(lost=st.sets(st.integers(0, 3)))
    def decide(self, lost):
        """Plan and store runs, and send stops and all starts but the lost ones."""
        self.scheduler.process_due_events(self.now, NOW_UNIX_S)
        self.planner.plan(self.now, NOW_UNIX_S)
        batch = self.scheduler.take_batch()
        for record in batch.progress_records:
            self.stored[record.job] = record
        for number, run in enumerate(self.scheduler.commit(batch, self.now)):
            executor = self.scheduler.executors[run.executor]
            executor.extend_lease(self.now, scheduler.START_VALIDITY_S)
            if number not in lost:
                self._start(run, self.simulated[run.executor])
        for run in self.scheduler.take_pending_stops():
            simulated = self.simulated[run.executor]
            if (run.task.name, run.number) in simulated.running:
                simulated.end((run.task.name, run.number), "stopped")

    def _start(self, run, simulated):
        name = run.task.name
        for other in self.simulated.values():
            assert name not in {task for task, _ in other.running}, "two runs at once"
        assert name not in self.acknowledged_tasks, "run after its end was acknowledged"
        simulated.running[name, run.number] = run
        simulated.lease_expires_at = max(
            simulated.lease_expires_at, self.now + scheduler.START_VALIDITY_S
        )
        self.scheduler.on_run_started(run, self.now)

    @rule(name=st.sampled_from(EXECUTORS))
    def list_runs(self, name):
        """Renew an executor's lease and pass its lists to the scheduler."""
        executor, simulated = self.scheduler.executors.get(name), self.simulated[name]
        if executor is None:
            return
        simulated.acknowledged_end_number = max(
            simulated.acknowledged_end_number, executor.acknowledged_end_number
        )
        for number, task, _, how in simulated.ends:
            if how == "done" and number <= simulated.acknowledged_end_number:
                self.acknowledged_tasks.add(task)
        simulated.ends = [
            end for end in simulated.ends if end[0] > simulated.acknowledged_end_number
        ]
        if executor.clock_ms is None:
            executor.update_clock(1000, self.now)
        executor.extend_lease(self.now, LEASE_S)
        executor.has_accepted_epoch = True
        simulated.lease_expires_at = self.now + LEASE_S
        unknown = self.scheduler.on_runs_listed(
            executor,
            scheduling.make_report(list(simulated.running), simulated.ends),
            requested_at=self.now,
            now=self.now,
            now_unix_s=NOW_UNIX_S,
        )
        for key in unknown:
            simulated.end(key, "stopped")

    @rule(name=st.sampled_from(EXECUTORS), how=st.sampled_from(("done", "failed")))
    def end_run(self, name, how):
        """End one of an executor's runs."""
        simulated = self.simulated[name]
        if simulated.running:
            simulated.end(min(simulated.running), how)

    @rule(seconds=st.floats(0.05, 3.0))
    def pass_time(self, seconds):
        """Advance the time; an executor whose lease expires ends its runs."""
        self.now += seconds
        for simulated in self.simulated.values():
            if self.now > simulated.lease_expires_at:
                for key in list(simulated.running):
                    simulated.end(key, "lapsed")

    @invariant()
    def check_no_task_runs_twice(self):
        """Check that no task runs on two executors."""
        tasks = collections.Counter(
            task
            for simulated in self.simulated.values()
            for task, _ in simulated.running
        )
        assert not [task for task, count in tasks.items() if count > 1]

    @invariant()
    def check_completed_jobs_are_stored(self):
        """Check that a job is reported as completed only once that is stored."""
        for job in self.scheduler.jobs.values():
            if job.reported_state == "completed":
                assert self.stored[job.id].state == "completed"


InterleavingsTest = SchedulerMachine.TestCase
InterleavingsTest.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
