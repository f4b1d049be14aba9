"""Measure the processor time of a controller by number of executors and tasks a second.

Starts one entry instance against the stand-ins of the platform and submits jobs at a
constant rate. The single instance is therefore the controller.

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
# Time until the controller has received the first list of runs from each executor.
SETTLE_S = 2.0
# The stand-ins open one file descriptor for each connection.
MAX_OPEN_FILES = 4096
PROFILE_LINES = 45
STEP = {"count": 8, "ms": 800, "processors": 1500, "memory": 1500}


def submit_job(port, pool, answers):
    """Submit a job of two steps, and append status and latency of the answer.

    Parameters
    ----------
    port : int
        Port of the entry instance.
    pool : str
        Pool that runs the job.
    answers : list
        Receives a tuple of status and latency in seconds.
    """
    job, body = local_deployment.make_job_request(
        STEP, {**STEP, "after": [0], "count": 5}
    )
    started_at = time.monotonic()
    answer = calls.send_request(
        port, "POST", f"/{pool}/{job}", headers=HEADERS, body=body
    )
    answers.append((answer.status, time.monotonic() - started_at))


def measure(stand_ins, options):
    """Submit jobs at a constant rate and print one line of figures.

    Parameters
    ----------
    stand_ins : local_deployment.LocalDeployment
        Stand-ins of the platform and one entry instance, which is the controller.
    options : argparse.Namespace
        Options of the command line.
    """
    entry = stand_ins.entries[0]
    time.sleep(SETTLE_S)
    answers, threads = [], []
    start_processor_s, started_at = (
        capacity_fleet.processor_s(entry.process.pid),
        time.monotonic(),
    )
    for number in range(int(options.jobs * options.seconds)):
        time.sleep(max(0.0, started_at + number / options.jobs - time.monotonic()))
        pool = POOLS[number % len(POOLS)]
        threads.append(
            threading.Thread(target=submit_job, args=(entry.front_port, pool, answers))
        )
        threads[-1].start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - started_at
    used_s = capacity_fleet.processor_s(entry.process.pid) - start_processor_s
    findings = stand_ins.findings()
    latencies_s = sorted(latency_s for status, latency_s in answers if status == 200)
    median_ms = (
        1000 * latencies_s[len(latencies_s) // 2] if latencies_s else float("nan")
    )
    print(
        f"executors {options.executors}  tasks/s {findings['starts'] / elapsed_s:.0f}  "
        f"cores {used_s / elapsed_s:.3f}  "
        f"ms a task {1000 * used_s / max(1, findings['starts']):.2f}  "
        f"accepted {len(latencies_s)} of {len(answers)}  median {median_ms:.0f} ms  "
        f"violations {findings['violations'][:3]}  calls {findings['store_calls']}"
    )


def main():
    """Measure, and print the controller's profile if ``--profile`` is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--executors", type=int, default=180)
    parser.add_argument("--jobs", type=float, default=20.0, help="a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    pools = dict.fromkeys(POOLS, options.executors // 5)
    pools["spare"] = options.executors - sum(pools.values())
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_OPEN_FILES, MAX_OPEN_FILES))
    with tempfile.TemporaryDirectory(prefix="controller-") as directory_name:
        directory = pathlib.Path(directory_name)
        profile = directory / "profile" if options.profile else None
        stand_ins = local_deployment.LocalDeployment(
            directory=directory, pools=pools, profile=profile
        )
        try:
            stand_ins.start()
            measure(stand_ins, options)
        finally:
            stand_ins.stop()
        if profile is not None:
            stats = pstats.Stats(str(profile)).sort_stats("tottime")
            stats.print_stats(PROFILE_LINES)


if __name__ == "__main__":
    main()
