"""Runs the soak for one seed or several and prints one line for each."""

import argparse
import heapq
import itertools
import pathlib
import sys
import tempfile
import time

from soak import callers, faults, plan, proxy
from standins.platform import local_deployment

# Instances by pool, entry instances and callers: a dozen processes and threads, so that
# several runs fit on a machine.
POOLS = {"one": 4, "two": 3, "spare": 3}
ENTRIES = 3
CALLERS = 4
# Everything has to be well again this long after the last fault: takeover, lapse of a
# lease, restart of what was lost, and the tasks that had waited.
RECOVERY_S = 25.0
# Seconds between two looks while things recover.
POLL_S = 0.2
# Violations of a seed that are printed; the rest are mostly the same.
PRINTED_VIOLATIONS = 10


class Run:
    """One run.

    Parameters
    ----------
    seed : int
        Seed of its faults and its callers.
    seconds : float
        Length of the time with faults.
    directory : pathlib.Path
        For settings and logs.
    """

    def __init__(self, *, seed, seconds, directory):
        self._seed = seed
        self._seconds = seconds
        self._directory = directory
        self._proxies = proxy.ProxyThread()
        self._links = {}
        self._deployment = local_deployment.LocalDeployment(
            directory=directory,
            pools=POOLS,
            entry_count=ENTRIES,
            make_settings=self._make_settings,
        )
        self._callers = []
        self.violations = []
        self.plan = []
        # Jobs handed in and accepted, and starts at executors.
        self.jobs = 0
        self.accepted = 0
        self.starts = 0

    def _make_settings(self, name, addresses):
        settings = {}
        for service in ("store", "cloud"):
            link = self._proxies.add(addresses[service])
            self._links[f"{name}/{service}"] = link
            settings[service] = f"127.0.0.1:{link.port}"
        return settings

    def report(self, invariant, detail):
        """Note a violation."""
        self.violations.append(f"{invariant}: {detail}")

    def play(self):
        """Play the plan, and check everything after it."""
        try:
            self._deployment.start()
            self._play_faults()
            self._check_end()
        finally:
            self._deployment.stop()
            self._proxies.stop()

    def _play_faults(self):
        instances = [f"m{n}" for n in range(1, sum(POOLS.values()) + 1)]
        entries = [entry.name for entry in self._deployment.entries]
        self.plan = plan.draw(
            self._seed, seconds=self._seconds, entries=entries, instances=instances
        )
        (self._directory / "plan").write_text("".join(f"{f}\n" for f in self.plan))
        injector = faults.Injector(
            deployment=self._deployment,
            proxies=self._proxies,
            links=self._links,
            instances=instances,
        )
        ports = [entry.front_port for entry in self._deployment.entries]
        for number in range(1, CALLERS + 1):
            caller = callers.Caller(
                number=number,
                seed=self._seed,
                ports=ports,
                pools=[pool for pool in POOLS if pool != "spare"],
                report=self.report,
            )
            self._callers.append(caller)
            caller.start()
        began, numbers = time.monotonic(), itertools.count()
        coming = [(fault.at, next(numbers), fault) for fault in self.plan]
        while coming:
            at, _, action = heapq.heappop(coming)
            time.sleep(max(0.0, began + at - time.monotonic()))
            if isinstance(action, plan.Fault):
                end = injector.begin(action)
                heapq.heappush(coming, (at + action.length_s, next(numbers), end))
            else:
                action()
        injector.restore()

    def _check_end(self):
        for caller in self._callers:
            caller.finish()
        for caller in self._callers:
            caller.join(callers.TRIES * (callers.DEADLINE_S + 1) + RECOVERY_S)
        deadline = time.monotonic() + RECOVERY_S
        jobs = [(caller, job) for caller in self._callers for job in caller.jobs]
        waiting = [(c, job) for c, job in jobs if job.is_accepted and not job.lasts]
        while waiting and time.monotonic() < deadline:
            waiting = [(c, j) for c, j in waiting if c.look(j) not in callers.ENDED]
            time.sleep(POLL_S)
        for _, job in waiting:
            self.report("accepted job does not end", f"{job.id} {job.states[-3:]}")
        self._check_lasting([job for _, job in jobs if job.lasts], deadline)
        found = self._deployment.findings()
        self.violations += [
            f"{b['invariant']}: {b['detail']}" for b in found["violations"]
        ]
        started = set(found["started_jobs"])
        for _, job in jobs:
            if job.is_refused and job.id in started:
                self.report("refused job has run", f"{job.id} {job.answers}")
        self.jobs = len(jobs)
        self.accepted = sum(job.is_accepted for _, job in jobs)
        self.starts = found["starts"]

    def _check_lasting(self, jobs, deadline):
        """Check that the tasks of lasting jobs are at work, and cancelled ones not."""
        while True:
            running = self._deployment.findings()["running"]
            wrong = []
            for job in jobs:
                count = sum(task.startswith(job.id) for task in running)
                if not job.is_accepted:
                    continue
                if not job.is_cancelled and count != job.tasks:
                    wrong.append(f"{job.id} {count} of {job.tasks} at work")
            if not wrong or time.monotonic() > deadline:
                break
            time.sleep(POLL_S)
        for detail in wrong:
            self.report("lasting job is not at work", detail)


def main():
    """Run the seeds; the exit code is 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0, help="time with faults")
    parser.add_argument("--logs", type=pathlib.Path, help="directory for the logs")
    options = parser.parse_args()
    is_violated = False
    for seed in range(options.seed, options.seed + options.count):
        directory = options.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        directory = directory / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        run = Run(seed=seed, seconds=options.seconds, directory=directory)
        run.play()
        is_violated = is_violated or bool(run.violations)
        print(
            f"seed {seed}: {len(run.plan)} faults, {run.jobs} jobs, "
            f"{run.accepted} accepted, {run.starts} starts, "
            f"{len(run.violations)} violations; logs in {directory}",
            flush=True,
        )
        for detail in run.violations[:PRINTED_VIOLATIONS]:
            print(f"  {detail}", flush=True)
    return 1 if is_violated else 0


if __name__ == "__main__":
    sys.exit(main())
