"""Replays a load of several organisations over the planner, without a network.

The real planner and scheduler decide; runs end after their actual run time, which
differs from the declared one by up to 50 %.
"""

import collections
import math
import random

from cranberryport.generated import messages
from cranberryport.scheduling import (
    admission,
    load,
    model,
    ordering,
    organisation_shares,
    organisations,
    records,
    scheduler,
    task_planner,
)
from tests import scheduling

TICK_S = 0.025
START_UNIX_S = 1_000_000.0
RULES = ordering.QueueRules(
    name="queue", service="pool", failed_runs_limit=2, stretch=1.6, latency_s=0.6
)


class Arrival:
    """A job that will be submitted.

    Parameters
    ----------
    at : float
        Seconds after the start.
    organisation : str
        Organisation that submits it.
    count : int
        Number of tasks of each step.
    step_count : int, default=1
        Number of steps, each depending on the one before.
    estimate_s, actual_s : float, default=0.6
        Declared and actual run time of a task in seconds.
    processors, memory : int
        Needs of a task in thousandths of a core and mebibytes.
    service : str, default="pool"
        Pool.
    """

    def __init__(
        self,
        *,
        at,
        organisation,
        count,
        step_count=1,
        estimate_s=0.6,
        actual_s=0.6,
        processors=1000,
        memory=500,
        service="pool",
    ):
        self.at = at
        self.organisation = organisation
        self.count = count
        self.step_count = step_count
        self.estimate_s = estimate_s
        self.actual_s = actual_s
        self.processors = processors
        self.memory = memory
        self.service = service

    @property
    def work_core_s(self):
        """Declared core-seconds."""
        return self.count * self.step_count * self.estimate_s * self.processors / 1000


def random_arrivals(rates, *, until_s, seed, largest_count=8, start_s=0.0, **values):
    """Return arrivals of a Poisson process of each organisation.

    Parameters
    ----------
    rates : dict of str to float
        Jobs a second by organisation.
    until_s, start_s : float
        End and begin in seconds after the start.
    seed : int
        Seed. The arrivals of an organisation do not depend on those of others.
    largest_count : int
        Largest number of tasks of a step; a job has at most two steps.
    **values
        Attributes of the arrivals.
    """
    arrivals = []
    for name, rate in rates.items():
        source = random.Random(f"{seed} {name}")
        at = start_s + source.expovariate(rate)
        while at < until_s:
            estimate_s = source.uniform(0.3, 0.9)
            arrivals.append(
                Arrival(
                    at=at,
                    organisation=name,
                    count=source.randint(1, largest_count),
                    step_count=source.choice((1, 2)),
                    estimate_s=estimate_s,
                    actual_s=estimate_s * source.uniform(0.7, 1.5),
                    **values,
                )
            )
            at += source.expovariate(rate)
    return arrivals


class Replay:
    """State of one replay.

    Parameters
    ----------
    weights : dict of str to float
        Weight by organisation; empty for a configuration without organisations.
    executor_count : int
        Number of executors of each pool, of 16 cores each.
    pools : tuple of str, default=("pool",)
        Names of the pools.
    has_admission : bool, default=False
        Whether jobs can be rejected.

    Attributes
    ----------
    now : float
        Seconds after the start.
    arrivals_by_job : dict of str to Arrival
        Submitted jobs.
    taken_s : dict of str to float
        Seconds from the submission of each completed job to its end.
    rejections : list of (Arrival, int)
        Rejected submissions with the answered seconds.
    received_core_s : collections.Counter
        Core-seconds of completed runs by organisation.
    over_times : list of (float, str)
        Time and name of each organisation over its share.
    starts : list of (float, str)
        Time and task of each start.
    stopped_count : int
        Number of runs that were stopped, without those of cancelled jobs.
    """

    def __init__(
        self, *, weights, executor_count, pools=("pool",), has_admission=False
    ):
        self.now = 0.0
        self._weights = weights
        self._pools = pools
        self._executor_count = executor_count
        self._has_admission = has_admission
        self._ends = []
        self.arrivals_by_job = {}
        self.taken_s = {}
        self.rejections = []
        self.received_core_s = collections.Counter()
        self.over_times = []
        self.starts = []
        self.stopped_count = 0
        self._make_controller([])

    def _make_controller(self, stored):
        """Create a controller's state from pairs of job and progress record."""
        self.scheduler = scheduler.Scheduler(previous_leases_expire_at=0.0)
        self.scheduler.set_queues({"queue": RULES})
        self.scheduler.set_organisations(
            {
                name: organisations.Organisation(name=name, weight=weight)
                for name, weight in self._weights.items()
            }
        )
        self.shares = organisation_shares.OrganisationShares(state=self.scheduler)
        self.planner = task_planner.TaskPlanner(
            state=self.scheduler, shares=self.shares
        )
        self.admission = admission.JobAdmission(
            state=self.scheduler,
            load_meter=load.LoadMeter(state=self.scheduler, shares=self.shares),
            shares=self.shares,
        )
        for job, progress in stored:
            self.scheduler.restore_job(job, progress, START_UNIX_S + self.now)
        for pool in self._pools:
            for number in range(self._executor_count):
                executor = scheduling.make_executor(f"{pool}-{number}", service=pool)
                executor = self.scheduler.add_or_update_executor(executor, self.now)
                executor.update_clock(1000, self.now)
                executor.has_accepted_epoch = True
                executor.last_listed_at = self.now

    def take_over(self, gap_s):
        """Continue with a new controller that has only what is stored.

        Parameters
        ----------
        gap_s : float
            Seconds without a controller.
        """
        self.now += gap_s
        stored = [
            (
                records.job_from_record(records.job_to_record(job)),
                records.progress_to_record(job),
            )
            for job in self.scheduler.open_jobs.values()
        ]
        self._make_controller(stored)
        runs = {}
        for executor in self.scheduler.executors.values():
            for key, run in executor.runs.items():
                self.scheduler.on_run_started(run, self.now, life=executor.life)
                run.life = executor.life
                # Lists of this replay have no running tasks, so none proves an end.
                run.start_expires_at = self.now
                runs[key] = run
        self._ends = [
            (at, runs[run.task.name, run.number])
            for at, run in self._ends
            if (run.task.name, run.number) in runs
        ]

    def run(self, arrivals, *, until_s):
        """Submit the arrivals and replay until a time."""
        waiting = sorted(arrivals, key=lambda a: (a.at, a.organisation))
        waiting.reverse()
        while self.now < until_s:
            while waiting and waiting[-1].at <= self.now:
                self._submit(waiting.pop())
            self._end_runs()
            self._cancel_abandoned()
            self.planner.plan(self.now, START_UNIX_S + self.now)
            batch = self.scheduler.take_batch()
            for run in self.scheduler.commit(batch, self.now):
                self.scheduler.on_run_started(run, self.now)
                arrival = self.arrivals_by_job[run.task.job.id]
                self._ends.append((self.now + arrival.actual_s, run))
                self.starts.append((self.now, run.task.name))
            self._stop_runs()
            self.over_times += [(self.now, name) for name in self.shares.over]
            self.now = round(self.now + TICK_S, 6)
        return self

    def _submit(self, arrival):
        name = f"{len(self.arrivals_by_job):016x}"
        if self._has_admission:
            retry_after_s = self.ask_admission(
                arrival.organisation,
                work_core_s=arrival.work_core_s,
                chain_s=arrival.step_count * arrival.estimate_s,
                service=arrival.service,
            )
            if retry_after_s:
                self.rejections.append((arrival, retry_after_s))
                return
        self.arrivals_by_job[name] = arrival
        step = {
            "count": arrival.count,
            "processors": arrival.processors,
            "memory": arrival.memory,
            "estimate_s": arrival.estimate_s,
        }
        steps = [
            model.Step(**step, depends_on=(number - 1,) if number else ())
            for number in range(arrival.step_count)
        ]
        job = model.Job(
            id=name,
            queue="queue",
            service=arrival.service,
            spec="work",
            steps=steps,
            accepted_at=START_UNIX_S + arrival.at,
            organisation=arrival.organisation,
        )
        self.scheduler.add_job(job, START_UNIX_S + self.now)

    def ask_admission(
        self,
        organisation,
        *,
        work_core_s=1.0,
        chain_s=0.6,
        service="pool",
        job="submitted",
    ):
        """Return the seconds after which to submit a job again; 0 to accept it."""
        question = messages.AdmissionQuestion(
            number=1,
            queue="queue",
            service=service,
            work=work_core_s,
            chain_s=chain_s,
            job=job,
            organisation=organisation,
        )
        return self.admission.retry_after_s(
            question, self._cores, self.now, START_UNIX_S + self.now
        )

    def _cores(self, pool, demand):
        return 16 * self._executor_count

    def _end_runs(self):
        ended = [entry for entry in self._ends if entry[0] <= self.now]
        self._ends = [entry for entry in self._ends if entry[0] > self.now]
        for _, run in ended:
            self._end_run(run)

    def _end_run(self, run):
        executor = self.scheduler.executors[run.executor]
        number = executor.received_end_number + 1
        how = "stopped" if run.state == model.STOPPING else "done"
        self.scheduler.on_runs_listed(
            executor,
            scheduling.make_report(finished=[(number, run.task.name, run.number, how)]),
            # An old list says nothing about the runs that it lacks.
            requested_at=-math.inf,
            now=self.now,
            now_unix_s=START_UNIX_S + self.now,
        )
        job = run.task.job
        arrival = self.arrivals_by_job[job.id]
        if how == "done":
            core_s = arrival.processors * arrival.actual_s / 1000
            self.received_core_s[job.organisation] += core_s
        if job.state == model.COMPLETED:
            self.taken_s[job.id] = self.now - arrival.at

    def _stop_runs(self):
        stopped = dict.fromkeys(self.scheduler.take_pending_stops())
        if not stopped:
            return
        self.stopped_count += sum(not run.task.job.has_ended for run in stopped)
        self._ends = [
            (self.now if run in stopped else at, run) for at, run in self._ends
        ]

    def _cancel_abandoned(self):
        for job in list(self.scheduler.open_jobs.values()):
            limit_s = ordering.GIVE_UP_FACTOR * ordering.objective_s(job, RULES)
            if START_UNIX_S + self.now - job.accepted_at > limit_s:
                self.scheduler.cancel_job(job.id, START_UNIX_S + self.now)

    def in_time_ratios(self, *, from_s=0.0, until_s=math.inf):
        """Return the ratio of accepted jobs completed in time, by organisation."""
        counts, in_time = {}, {}
        for job_id, arrival in self.arrivals_by_job.items():
            if not from_s <= arrival.at < until_s:
                continue
            name = arrival.organisation
            counts[name] = counts.get(name, 0) + 1
            limit_s = RULES.stretch * arrival.estimate_s * arrival.step_count
            limit_s += RULES.latency_s
            if self.taken_s.get(job_id, math.inf) <= limit_s:
                in_time[name] = in_time.get(name, 0) + 1
        return {name: in_time.get(name, 0) / count for name, count in counts.items()}
