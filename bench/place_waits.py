"""Compare waits for local places on a replayed load, and measure what planning costs.

Replays random jobs on the scheduler and the planner in steps of 0.05 s, without a
network. Declared run times are off by up to 50 %, and remote runs take a multiple.

Usage: python -m bench.place_waits [--seeds 3] [--cost] [--before DIRECTORY]

With ``--cost`` the processor time of planning is printed instead, for each policy and,
with ``--before``, for the program in a directory with an earlier version.
"""

import argparse
import math
import os
import pathlib
import random
import statistics
import subprocess
import sys
import time
import types

from cranberryport.scheduling import executors, model, ordering, scheduler, task_planner

RACK_COUNT = 6
EXECUTORS_PER_RACK = 4
# Thousandths of a core and mebibytes of an executor.
PROCESSORS = 8000
MEMORY = 64_000
STEP_S = 0.05
# Executors list the progress of their runs about once a second.
PROGRESS_INTERVAL_S = 1.0
SUBMISSIONS_S = 15.0
DURATION_S = 30.0
HOT_FROM_S, HOT_UNTIL_S = 4.0, 9.0
# Share of the jobs that want the hot rack meanwhile.
HOT_SHARE = 0.6
ESTIMATE_ERROR = 0.5
START_UNIX_S = 1_000_000.0
FIXED_DELAY_S = 0.5
LOADS = (0.5, 0.8, 1.1)
RACK_SHARES = (0.2, 0.5, 0.9)
FACTORS = (1.5, 3.0)
POLICIES = ("today", "never", "fixed", "factor", "expected")
COST_ROUNDS = 5


class NeverWait:
    """Starts each task at once, but prefers racks with room for a whole step."""

    def refusal(self, offer):
        """Return a reason not to wait."""
        return "no_saving"


class FixedDelay:
    """Waits for a fixed time, whatever is expected."""

    def refusal(self, offer):
        """Return a reason not to wait, None while the delay has not passed."""
        return "bound" if offer.waited_s >= FIXED_DELAY_S else None


class DelayFromFactor:
    """Waits for as long as a remote run would lose, whatever is expected."""

    def refusal(self, offer):
        """Return a reason not to wait, None while the delay has not passed."""
        lost_s = offer.remote_run_s - offer.local_run_s
        return "bound" if offer.waited_s >= lost_s else None


WAIT_POLICIES = {
    "never": NeverWait(),
    "fixed": FixedDelay(),
    "factor": DelayFromFactor(),
    "expected": None,
}


class Replay:
    """One replay of random jobs under one policy.

    Parameters
    ----------
    policy : str
        One of ``POLICIES``; ``'today'`` plans without knowing the remote factor.
    load : float
        Work that is submitted, as a share of the capacity, if all runs are local.
    rack_share : float
        Share of the jobs that want the rack of their data.
    factor : float
        Factor by which remote runs take longer.
    seed : int
        Seed of the jobs and of the errors of their declared run times.
    is_hot : bool
        Whether ``HOT_SHARE`` of the jobs want one rack for some seconds.

    Attributes
    ----------
    planning_s : float
        Processor time of planning in seconds.
    started_count, remote_count : int
        Runs, and those that were remote.
    """

    def __init__(self, *, policy, load, rack_share, factor, seed, is_hot=False):
        self._random = random.Random(seed)
        self._load = load
        self._rack_share = rack_share
        self._factor = factor
        self._is_hot = is_hot
        self._now = 0.0
        self._scheduler = scheduler.Scheduler(previous_leases_expire_at=0.0)
        rules = ordering.QueueRules(
            name="queue",
            service="pool",
            failed_runs_limit=3,
            stretch=1.6,
            latency_s=0.6,
        )
        self._scheduler.set_queues({"queue": rules})
        self._rules = rules
        settings = {}
        if policy != "today":
            settings = {
                "remote_factor": factor,
                "wait_policy": WAIT_POLICIES[policy],
            }
        self._planner = task_planner.TaskPlanner(state=self._scheduler, **settings)
        self._executors = [
            self._add_executor(f"e{number:03}", f"r{number // EXECUTORS_PER_RACK}")
            for number in range(RACK_COUNT * EXECUTORS_PER_RACK)
        ]
        # By run: actual length in seconds and monotonic time of the end.
        self._ends = {}
        self._error_by_task = {}
        self._jobs = []
        self.planning_s = 0.0
        self.started_count = self.remote_count = 0

    def _add_executor(self, name, rack):
        executor = executors.Executor(
            id=name,
            service="pool",
            address=("127.0.0.1", 1),
            data_centre="a",
            processors=PROCESSORS,
            memory=MEMORY,
            accelerators=0,
            labels=frozenset({rack}),
            rack=rack,
        )
        self._scheduler.add_or_update_executor(executor, 0.0)
        executor.update_clock(1000, 0.0)
        executor.has_accepted_epoch = True
        executor.last_listed_at = 0.0
        executor.lease_expires_at = math.inf
        return executor

    def run(self):
        """Replay all steps and return the replay."""
        capacity = len(self._executors) * PROCESSORS / 1000
        next_job_at = 0.0
        mean_work_s = self._mean_work_s()
        while self._now < DURATION_S:
            while next_job_at <= min(self._now, SUBMISSIONS_S):
                self._submit()
                rate = self._load * capacity / mean_work_s
                next_job_at += self._random.expovariate(rate)
            self._list_runs()
            now_unix_s = START_UNIX_S + self._now
            self._scheduler.process_due_events(self._now, now_unix_s)
            began_s = time.process_time()
            self._planner.plan(self._now, now_unix_s)
            self.planning_s += time.process_time() - began_s
            for run in self._scheduler.commit(self._scheduler.take_batch(), self._now):
                self._start(run)
            for run in self._scheduler.take_pending_stops():
                self._ends[run] = (1.0, self._now, "stopped")
            self._now += STEP_S
        return self

    def _mean_work_s(self):
        """Return the mean core-seconds of a job, from jobs that are not submitted."""
        state = self._random.getstate()
        jobs = [self._make_job() for _ in range(400)]
        self._random.setstate(state)
        return statistics.mean(
            step.count * step.processors * step.estimate_s / 1000
            for job in jobs
            for step in job.steps
        ) * statistics.mean(len(job.steps) for job in jobs)

    def _make_job(self):
        numbers = self._random
        is_hot = self._is_hot and HOT_FROM_S <= self._now < HOT_UNTIL_S
        rack = ""
        if is_hot and numbers.random() < HOT_SHARE:
            rack = "r1"
        elif numbers.random() < self._rack_share:
            rack = f"r{numbers.randrange(RACK_COUNT)}"
        kind = numbers.choices(("single", "coupled", "gang"), (8, 1, 1))[0]
        count = numbers.randint(1, 4) if kind == "single" else 4
        steps = [
            model.Step(
                count=count,
                processors=numbers.choice((1000, 2000)),
                memory=1000,
                accelerators=0,
                estimate_s=numbers.choice((0.4, 0.8, 1.6)),
                depends_on=(0,) if number else (),
                rack=rack,
                is_coupled=kind == "coupled",
                is_gang=kind == "gang",
            )
            for number in range(numbers.choice((1, 1, 2)))
        ]
        return model.Job(
            id=f"{len(self._jobs):016x}",
            queue="queue",
            service="pool",
            spec="work",
            steps=steps,
            accepted_at=START_UNIX_S + self._now,
        )

    def _submit(self):
        job = self._make_job()
        self._jobs.append(job)
        self._scheduler.add_job(job, START_UNIX_S + self._now)
        for task in job.tasks():
            error = self._random.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)
            self._error_by_task[task.name] = 1 + error

    def _is_remote(self, run):
        task = run.task
        rack = self._scheduler.executors[run.executor].rack
        if task.step.rack:
            return rack != task.step.rack
        if not (task.step.is_coupled or task.step.is_gang):
            return False
        racks = {
            self._scheduler.executors[other.executor].rack
            for member in task.occurrence.tasks[task.step_number]
            for other in member.runs
        }
        return len(racks) > 1

    def _start(self, run):
        run.deadline_ms = 1
        self._scheduler.on_run_started(run, self._now)
        length_s = run.task.step.estimate_s * self._error_by_task[run.task.name]
        self.started_count += 1
        if self._is_remote(run):
            self.remote_count += 1
            length_s *= self._factor
        self._ends[run] = (length_s, self._now + length_s, "done")

    def _list_runs(self):
        for number, executor in enumerate(self._executors):
            offset_s = number / len(self._executors) * PROGRESS_INTERVAL_S
            phase_s = (self._now + offset_s) % PROGRESS_INTERVAL_S
            is_progress_listed = phase_s < STEP_S
            running, finished = [], []
            for run in executor.runs.values():
                if run not in self._ends:
                    continue
                length_s, end_at, how = self._ends[run]
                if end_at <= self._now:
                    end_number = executor.received_end_number + len(finished) + 1
                    finished.append(
                        types.SimpleNamespace(
                            number=end_number,
                            task=run.task.name,
                            run=run.number,
                            how=how,
                            checkpoint="",
                        )
                    )
                    continue
                percent = run.progress_percent
                if is_progress_listed:
                    percent = int(100 * (1 - (end_at - self._now) / length_s))
                running.append(
                    types.SimpleNamespace(
                        task=run.task.name,
                        run=run.number,
                        checkpoint="",
                        progress_percent=percent,
                        load=0,
                    )
                )
            if finished or is_progress_listed:
                self._scheduler.on_runs_listed(
                    executor,
                    types.SimpleNamespace(
                        running=running, finished=finished, are_ends_complete=True
                    ),
                    requested_at=self._now,
                    now=self._now,
                    now_unix_s=START_UNIX_S + self._now,
                )

    @property
    def in_time_share(self):
        """Share of the jobs that met their objective."""
        return statistics.mean(
            job.ended_at is not None
            and self._elapsed_s(job) <= ordering.objective_s(job, self._rules)
            for job in self._jobs
        )

    @property
    def mean_stretch(self):
        """Mean of the time of a job, as a multiple of its objective."""
        return statistics.mean(
            self._elapsed_s(job) / ordering.objective_s(job, self._rules)
            for job in self._jobs
        )

    def _elapsed_s(self, job):
        ended_at = job.ended_at or START_UNIX_S + DURATION_S
        return ended_at - job.accepted_at

    @property
    def counts(self):
        """Counters of the planner's decisions."""
        return self._scheduler.event_counts


def replay(policy, options, **values):
    """Return the replays of all seeds."""
    return [
        Replay(policy=policy, seed=seed, **values).run()
        for seed in range(1, options.seeds + 1)
    ]


def mean(replays, read):
    """Return the mean of a figure over replays."""
    return statistics.mean(read(replay) for replay in replays)


def compare(options):
    """Print a line for each factor, load and share of jobs that want a rack."""
    print("in time (mean time / objective, share of remote runs) by policy")
    print("| factor | load | jobs with a rack | " + " | ".join(POLICIES) + " |")
    print("|---" * (3 + len(POLICIES)) + "|")
    for factor in FACTORS:
        for load in LOADS:
            for rack_share in (*RACK_SHARES, "hot"):
                is_hot = rack_share == "hot"
                cells = []
                for policy in POLICIES:
                    replays = replay(
                        policy,
                        options,
                        factor=factor,
                        load=load,
                        rack_share=RACK_SHARES[0] if is_hot else rack_share,
                        is_hot=is_hot,
                    )
                    in_time = mean(replays, lambda r: r.in_time_share)
                    stretch = mean(replays, lambda r: r.mean_stretch)
                    remote = mean(replays, lambda r: r.remote_count / r.started_count)
                    cells.append(f"{in_time:.3f} ({stretch:.2f}, {remote:.2f})")
                row = [f"{factor:g}", f"{load:g}", str(rack_share), *cells]
                print("| " + " | ".join(row) + " |", flush=True)


def planning_ms(policy, options, rack_share):
    """Return the processor milliseconds of planning of all seeds, and the runs."""
    replays = replay(
        policy, options, factor=3.0, load=0.8, rack_share=rack_share, is_hot=True
    )
    planning_s = sum(r.planning_s for r in replays)
    return 1000 * planning_s, sum(r.started_count for r in replays)


def measure_before(directory, options, rack_share):
    """Return the figures of :func:`planning_ms` of an earlier version."""
    command = [sys.executable, str(pathlib.Path(__file__).resolve()), "--single"]
    command += [str(rack_share), "--seeds", str(options.seeds)]
    environment = os.environ | {"PYTHONPATH": str(directory)}
    result = subprocess.run(
        command, env=environment, cwd=directory, check=True, capture_output=True
    )
    milliseconds, count = result.stdout.split()
    return float(milliseconds), int(count)


def measure_cost(options):
    """Print the least processor time of some rounds, with all ways in turn."""
    print("jobs with a rack  way  planning_ms  runs  us_a_run  ratio")
    for rack_share in (0.0, *RACK_SHARES):
        ways = (
            ["today", "expected"] if options.before is None else ["before", "expected"]
        )
        least = {}
        for _ in range(COST_ROUNDS):
            for way in ways:
                if way == "before":
                    found = measure_before(options.before, options, rack_share)
                else:
                    found = planning_ms(way, options, rack_share)
                least[way] = min(least.get(way, found), found)
        for way in ways:
            milliseconds, count = least[way]
            print(
                f"{rack_share:16} {way:9} {milliseconds:9.0f} {count:6} "
                f"{1000 * milliseconds / count:8.0f} "
                f"{milliseconds / least[ways[0]][0]:.2f}",
                flush=True,
            )


def main():
    """Compare policies, or measure the cost of planning."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--before", type=pathlib.Path)
    parser.add_argument("--single", type=float, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.single is not None:
        print(*planning_ms("today", options, options.single))
    elif options.cost:
        measure_cost(options)
    else:
        compare(options)


if __name__ == "__main__":
    main()
