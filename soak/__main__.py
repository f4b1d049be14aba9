"""Runs the soak for one or more seeds and prints one line for each seed."""

import argparse
import collections
import pathlib
import random
import sys
import tempfile
import time

from soak import callers, faults, organisations, plan, proxy
from standins.platform import local_deployment, rig_settings

# Small numbers of instances, entry instances and callers keep a run at about a dozen
# processes and threads, so that several runs fit on a machine.
INSTANCES_BY_POOL = {"one": 4, "two": 3, "spare": 3}
# The same for a run with restarts. Only executors with room are sent starts in the
# short time around a restart.
RESTART_INSTANCES_BY_POOL = {"one": 14, "two": 10, "spare": 2}
# Executors of this pool start what exceeds their capacity.
UNGUARDED_POOL = "two"
ENTRY_COUNT = 3
CALLER_COUNT = 4
# After the last fault the system has this long to recover: takeover of the controller,
# expiry of a lease, restart of lost tasks, and completion of the tasks that had waited.
RECOVERY_TIMEOUT_S = 25.0
# The same for a run with restarts or late calls. What was ordered without an answer may
# still run for up to 28 s after a takeover, and then the two steps of a job with long
# tasks may have to run again.
LATE_RECOVERY_TIMEOUT_S = 70.0
# Probability that the tasks of a job are long in a run with restarts.
LONG_TASK_PROBABILITY = 1 / 3
# Longest leases that the executors of a run may grant, as on the users' deployments.
LEASE_LIMITS_MS = (6_000, 10_000)
POLL_INTERVAL_S = 0.2
# The violations of one seed are mostly repeats of the same one.
MAX_PRINTED_VIOLATIONS = 10


class SoakRun:
    """The run of one seed.

    Parameters
    ----------
    seed : int
        Seed for the faults and the callers' requests.
    seconds : float
        Length of the phase with faults.
    directory : pathlib.Path
        Directory for settings, logs and the plan of the faults.
    has_organisations : bool, default=False
        Whether callers have keys of organisations, which change during the run.
    restarts : {'only', 'too'} or None, default=None
        Whether executors restart under their ids and are cut off soon after, and some
        jobs have long tasks: without other faults, or beside them.
    has_takeovers : bool, default=False
        Whether executors are down for seconds while the controller ends. Some jobs have
        long tasks, and there are no other faults unless ``restarts`` is ``'too'``.
    late_calls : {'one-life', 'any-life'} or None, default=None
        Which calls to executors may be late, see ``plan.draw_late_calls``.
    pools : dict of str to int, optional
        Number of instances by name of the pool, among them ``spare``, which is on
        standby.
    entry_count, caller_count : int
        Numbers of entry instances and of callers.
    """

    def __init__(
        self,
        *,
        seed,
        seconds,
        directory,
        has_organisations=False,
        restarts=None,
        has_takeovers=False,
        late_calls=None,
        pools=None,
        entry_count=ENTRY_COUNT,
        caller_count=CALLER_COUNT,
    ):
        has_restarts = bool(restarts) or has_takeovers
        default_pools = RESTART_INSTANCES_BY_POOL if has_restarts else INSTANCES_BY_POOL
        self._pools = pools or default_pools
        self._caller_count = caller_count
        self._restarts = restarts
        self._has_takeovers = has_takeovers
        self._has_other_faults = restarts == "too" or not has_restarts
        self._long_task_probability = LONG_TASK_PROBABILITY * has_restarts
        self._late_calls = late_calls
        self._recovery_timeout_s = RECOVERY_TIMEOUT_S
        if has_restarts or late_calls:
            self._recovery_timeout_s = LATE_RECOVERY_TIMEOUT_S
        self._seed = seed
        self._seconds = seconds
        self._directory = directory
        self._proxy_thread = proxy.ProxyThread()
        self._service_proxies = {}
        self._organisations = None
        if has_organisations:
            self._organisations = organisations.Organisations(
                send_order=self._send_order, report_violation=self.add_violation
            )
        self._deployment = local_deployment.LocalDeployment(
            directory=directory,
            pools=self._pools,
            entry_count=entry_count,
            unguarded_pools=[UNGUARDED_POOL],
            make_settings=self._make_settings,
            organisations=self._organisations and self._organisations.rows(),
            seed=seed,
            rig=_draw_rig(seed),
        )
        self._callers = []
        self.violations = []
        self.planned_faults = []
        # Numbers of submitted jobs, of accepted jobs, and of runs started at executors.
        self.job_count = 0
        self.accepted_count = 0
        self.start_count = 0

    def _make_settings(self, name, addresses):
        settings = {}
        if self._organisations is not None:
            settings |= organisations.ENTRY_SETTINGS
        for service in ("store", "cloud"):
            service_proxy = self._proxy_thread.add_proxy(addresses[service])
            self._service_proxies[f"{name}/{service}"] = service_proxy
            settings[service] = f"127.0.0.1:{service_proxy.port}"
        return settings

    def _send_order(self, name, **fields):
        self._deployment.send_order(name, **fields)

    def add_violation(self, invariant, detail):
        """Record the violation of an invariant."""
        self.violations.append(f"{invariant}: {detail}")

    def execute(self):
        """Run the callers and the planned faults, then check the invariants."""
        try:
            self._deployment.start()
            if self._organisations is not None:
                self._organisations.on_published(self._organisations.rows())
            self._inject_faults()
            self._check_final_state()
        finally:
            self._deployment.stop()
            self._proxy_thread.stop()

    def _inject_faults(self):
        instances = [f"m{n}" for n in range(1, sum(self._pools.values()) + 1)]
        entries = [entry.name for entry in self._deployment.entries]
        if self._has_other_faults:
            self.planned_faults += plan.draw_faults(
                self._seed, seconds=self._seconds, entries=entries, instances=instances
            )
            self.planned_faults += plan.draw_entries(
                self._seed, seconds=self._seconds, instances=instances
            )
        if self._restarts:
            self.planned_faults += plan.draw_restarts(
                self._seed, seconds=self._seconds, entries=entries, instances=instances
            )
        if self._has_takeovers:
            self.planned_faults += plan.draw_takeovers(
                self._seed, seconds=self._seconds, instances=instances
            )
        if self._late_calls:
            self.planned_faults += plan.draw_late_calls(
                self._seed,
                seconds=self._seconds,
                instances=instances,
                lives=self._late_calls,
            )
        if self._organisations is not None:
            self.planned_faults += organisations.draw_changes(
                self._seed, seconds=self._seconds, entries=entries
            )
        self._write_plan()
        injector = faults.Injector(
            deployment=self._deployment,
            proxy_thread=self._proxy_thread,
            service_proxies=self._service_proxies,
            instances=instances,
            run_organisations=self._organisations,
        )
        ports = [entry.front_port for entry in self._deployment.entries]
        names = list(organisations.WEIGHTS)
        for number in range(1, self._caller_count + 1):
            organisation = ""
            if self._organisations is not None:
                organisation = names[(number - 1) % len(names)]
            caller = callers.Caller(
                number=number,
                seed=self._seed,
                ports=ports,
                pools=[pool for pool in self._pools if pool != "spare"],
                report_violation=self.add_violation,
                long_task_probability=self._long_task_probability,
                organisation=organisation,
                run_organisations=self._organisations,
            )
            self._callers.append(caller)
            caller.start()
        faults.inject(self.planned_faults, injector.begin)
        injector.end_all_faults()
        # Which instance was the controller is known only now.
        self._write_plan()

    def _write_plan(self):
        lines = "".join(f"{fault}\n" for fault in self.planned_faults)
        (self._directory / "plan").write_text(lines)

    def _check_final_state(self):
        for caller in self._callers:
            caller.stop_submitting()
        for caller in self._callers:
            caller.join(
                callers.MAX_ATTEMPTS * (callers.REQUEST_TIMEOUT_S + 1)
                + self._recovery_timeout_s
            )
        deadline = time.monotonic() + self._recovery_timeout_s
        jobs = [(caller, job) for caller in self._callers for job in caller.jobs]
        unfinished = [
            (c, job)
            for c, job in jobs
            if job.is_accepted and (not job.is_long_running or job.is_crashing)
        ]
        while unfinished and time.monotonic() < deadline:
            unfinished = [
                (c, j)
                for c, j in unfinished
                if c.check_state(j) not in callers.FINAL_STATES
            ]
            time.sleep(POLL_INTERVAL_S)
        for _, job in unfinished:
            self.add_violation(
                "accepted job does not end", f"{job.id} {job.states[-3:]}"
            )
        self._check_long_running(
            [j for _, j in jobs if j.is_long_running and not j.is_crashing], deadline
        )
        findings = self._deployment.findings()
        self.violations += [
            f"{violation['invariant']}: {violation['detail']}"
            for violation in findings["violations"]
        ]
        started = set(findings["started_jobs"])
        for _, job in jobs:
            if job.is_refused and job.id in started:
                self.add_violation(
                    "refused job was started", f"{job.id} {job.response_statuses}"
                )
        self.job_count = len(jobs)
        self.accepted_count = sum(job.is_accepted for _, job in jobs)
        self.start_count = findings["starts"]

    def _check_long_running(self, jobs, deadline):
        """Check that accepted long-running jobs run all tasks unless cancelled."""
        while True:
            running = self._deployment.findings()["running"]
            problems = []
            for job in jobs:
                count = sum(task.startswith(job.id) for task in running)
                if not job.is_accepted:
                    continue
                if not job.is_cancelled and count != job.task_count:
                    problems.append(
                        f"{job.id}: {count} of {job.task_count} tasks are running"
                    )
            if not problems or time.monotonic() > deadline:
                break
            time.sleep(POLL_INTERVAL_S)
        for detail in problems:
            self.add_violation("long-running job does not run all its tasks", detail)


def _draw_rig(seed):
    """Return the settings of the platform in the run of a seed."""
    generator = random.Random(f"rig {seed}")
    return rig_settings.RigSettings(
        lease_limit_ms=generator.choice(LEASE_LIMITS_MS),
        are_orders_fenced=generator.choice((True, False)),
    )


def main():
    """Run the soak for each seed.

    Returns
    -------
    int
        Exit code: 1 if an invariant was violated, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="length of the phase with faults"
    )
    parser.add_argument(
        "--pool",
        action="append",
        metavar="NAME=COUNT",
        help="instances of a pool, of which `spare` is on standby",
    )
    parser.add_argument("--entries", type=int, default=ENTRY_COUNT)
    parser.add_argument("--callers", type=int, default=CALLER_COUNT)
    parser.add_argument("--logs", type=pathlib.Path, help="directory for the logs")
    parser.add_argument(
        "--organisations",
        action="store_true",
        help="callers have keys of organisations, which change during the run",
    )
    parser.add_argument(
        "--restarts",
        choices=("only", "too"),
        help="executors restart and are cut off, without other faults or beside them; "
        "some jobs have long tasks",
    )
    parser.add_argument(
        "--takeovers",
        action="store_true",
        help="executors are down for seconds while the controller ends; some jobs have "
        "long tasks; without other faults unless with --restarts too",
    )
    parser.add_argument(
        "--late-calls",
        choices=(plan.ONE_LIFE, plan.ANY_LIFE),
        help="calls to executors that are carried out late without an answer: in the "
        "same life of the executor only, or also in its next life",
    )
    options = parser.parse_args()
    pools = {}
    for text in options.pool or ():
        name, _, count = text.partition("=")
        pools[name] = int(count)
    is_violated = False
    for seed in range(options.seed, options.seed + options.count):
        directory = options.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        directory = directory / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        run = SoakRun(
            seed=seed,
            seconds=options.seconds,
            directory=directory,
            has_organisations=options.organisations,
            restarts=options.restarts,
            has_takeovers=options.takeovers,
            late_calls=options.late_calls,
            pools=pools,
            entry_count=options.entries,
            caller_count=options.callers,
        )
        run.execute()
        is_violated = is_violated or bool(run.violations)
        print(
            f"seed {seed}: {len(run.planned_faults)} faults, {run.job_count} jobs, "
            f"{run.accepted_count} accepted, {run.start_count} starts, "
            f"{len(run.violations)} violations; logs in {directory}",
            flush=True,
        )
        kinds = collections.Counter(v.partition(":")[0] for v in run.violations)
        for invariant, number in kinds.items():
            print(f"  {number} times: {invariant}", flush=True)
        for detail in run.violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"  {detail}", flush=True)
    return 1 if is_violated else 0


if __name__ == "__main__":
    sys.exit(main())
