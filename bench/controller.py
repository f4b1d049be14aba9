"""Processor time of a controller by number of executors and tasks a second.

Starts one entry instance against the stand-ins of the platform and hands in jobs at a
steady rate.

Usage: python -m bench.controller [--executors 180] [--jobs 20] [--seconds 20]
"""

import argparse
import pathlib
import pstats
import resource
import tempfile
import threading
import time

from standins.platform import deployment

POOLS = ("one", "two", "three", "four")
HOST = (("Host", "fleet.example"), ("Deadline-Ms", "3000"))
STEP = {"count": 8, "ms": 800, "processors": 1500, "memory": 1500}


def read_processor_s(pid):
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def hand_in(port, pool, answers):
    """Hand in a job and note status and time of the answer."""
    job, body = deployment.make_job(STEP, {**STEP, "after": [0], "count": 5})
    began = time.monotonic()
    try:
        status, _ = deployment.request(
            port, "POST", f"/{pool}/{job}", body, headers=HOST, timeout_s=3.0
        )
    except OSError:
        status = 0
    answers.append((status, time.monotonic() - began))


def main():
    """Print one line of figures, and a profile if asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--executors", type=int, default=180)
    parser.add_argument("--jobs", type=float, default=20.0, help="a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    directory = pathlib.Path(tempfile.mkdtemp(prefix="controller-"))
    profile = directory / "profile" if options.profile else None
    pools = dict.fromkeys(POOLS, options.executors // 5)
    pools["spare"] = options.executors - sum(pools.values())
    found = deployment.Deployment(
        directory=directory,
        pools=pools,
        profile=profile,
    )
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
    found.start()
    entry = found.entries[0]
    time.sleep(2.0)
    answers, threads = [], []
    processor_s, began = read_processor_s(entry.child.pid), time.monotonic()
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
    used_s = read_processor_s(entry.child.pid) - processor_s
    starts = found.findings()
    times = sorted(t for status, t in answers if status == 200)
    print(
        f"executors {options.executors}  tasks/s {starts['starts'] / spent_s:.0f}  "
        f"cores {used_s / spent_s:.3f}  "
        f"ms a task {1000 * used_s / max(1, starts['starts']):.2f}  "
        f"accepted {len(times)} of {len(answers)}  "
        f"median {1000 * times[len(times) // 2]:.0f} ms  "
        f"broken {starts['broken'][:3]}  calls {starts['store_calls']}"
    )
    found.stop()
    if profile is not None:
        pstats.Stats(str(profile)).sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    main()
