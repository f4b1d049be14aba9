"""Processor time of a controller by number of executors and tasks a second.

Starts one entry instance against the stand-ins of the platform and hands in jobs at a
steady rate.

Usage: python -m bench.controller [--executors 180] [--jobs 20] [--seconds 20]
[--profile]
"""

import argparse
import pathlib
import pstats
import resource
import tempfile
import threading
import time

from bench import capacity_fleet
from standins import calls
from standins.platform import local_deployment

POOLS = ("one", "two", "three", "four")
HEADERS = {"Host": "fleet.example", "Deadline-Ms": "3000"}
# Seconds after which the first lists of all executors have come.
SETTLE_S = 2.0
# The stand-ins hold a descriptor for each connection.
DESCRIPTORS = 4096
PROFILE_LINES = 45
STEP = {"count": 8, "ms": 800, "processors": 1500, "memory": 1500}


def hand_in(port, pool, answers):
    """Hand in a job and note status and time of the answer."""
    job, body = local_deployment.make_job_request(
        STEP, {**STEP, "after": [0], "count": 5}
    )
    began = time.monotonic()
    answer = calls.send_request(
        port, "POST", f"/{pool}/{job}", headers=HEADERS, body=body
    )
    answers.append((answer.status, time.monotonic() - began))


def measure(found, options):
    """Hand in jobs and print one line of figures.

    Parameters
    ----------
    found : local_deployment.LocalDeployment
        Stand-ins and one entry instance, which is the controller.
    options : argparse.Namespace
        Options of the command line.
    """
    entry = found.entries[0]
    time.sleep(SETTLE_S)
    answers, threads = [], []
    processor_s, began = capacity_fleet.processor_s(entry.process.pid), time.monotonic()
    for number in range(int(options.jobs * options.seconds)):
        time.sleep(max(0.0, began + number / options.jobs - time.monotonic()))
        pool = POOLS[number % len(POOLS)]
        threads.append(
            threading.Thread(target=hand_in, args=(entry.front_port, pool, answers))
        )
        threads[-1].start()
    for thread in threads:
        thread.join()
    spent_s = time.monotonic() - began
    used_s = capacity_fleet.processor_s(entry.process.pid) - processor_s
    seen = found.findings()
    times = sorted(t for status, t in answers if status == 200)
    median_ms = 1000 * times[len(times) // 2] if times else float("nan")
    print(
        f"executors {options.executors}  tasks/s {seen['starts'] / spent_s:.0f}  "
        f"cores {used_s / spent_s:.3f}  "
        f"ms a task {1000 * used_s / max(1, seen['starts']):.2f}  "
        f"accepted {len(times)} of {len(answers)}  median {median_ms:.0f} ms  "
        f"violations {seen['violations'][:3]}  calls {seen['store_calls']}"
    )


def main():
    """Measure, and print a profile if asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--executors", type=int, default=180)
    parser.add_argument("--jobs", type=float, default=20.0, help="a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    pools = dict.fromkeys(POOLS, options.executors // 5)
    pools["spare"] = options.executors - sum(pools.values())
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    with tempfile.TemporaryDirectory(prefix="controller-") as name:
        directory = pathlib.Path(name)
        profile = directory / "profile" if options.profile else None
        found = local_deployment.LocalDeployment(
            directory=directory, pools=pools, profile=profile
        )
        try:
            found.start()
            measure(found, options)
        finally:
            found.stop()
        if profile is not None:
            stats = pstats.Stats(str(profile)).sort_stats("tottime")
            stats.print_stats(PROFILE_LINES)


if __name__ == "__main__":
    main()
