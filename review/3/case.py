"""Another writer adds an entry to the list of executors; the controller is killed."""

import json
import pathlib
import struct
import time

from review import support
from standins import calls
from standins.platform import local_deployment

ADDRESS = "127.0.0.1:99999"
JOBS = 3
# The rule allows 14 s (finish_s) after the end of the traffic.
OBSERVATION_S = 20.0


def play(case):
    """Write the entry, kill the controller, and submit jobs."""
    if case.has_trouble:
        _write_entry(case, "another-writer", ADDRESS)
        time.sleep(1.0)
        leader = case.leader()
        case.note(f"the process of the controller, {leader.name}, is killed")
        leader.process.kill()
        leader.process.start()
    time.sleep(4.0)
    jobs = []
    for _ in range(JOBS):
        job_id, body = local_deployment.make_job_request(
            {"count": 2, "processors": 100, "memory": 10, "ms": 200}
        )
        status, _ = case.call(case.entries[0], "POST", job_id, body)
        if status == 200:
            jobs.append(job_id)
    deadline = time.monotonic() + OBSERVATION_S
    violations = []
    for job_id in jobs:
        limit_s = max(0.0, deadline - time.monotonic())
        state = case.wait_for_state(case.entries[0], job_id, ("completed",), limit_s)
        if state != "completed":
            violations.append(
                f"LOST: {job_id} is {state} after {OBSERVATION_S} s, with six idle "
                "executors"
            )
    return violations


def _write_entry(case, key, address):
    entry = {
        "Service": support.POOL,
        "Address": address,
        "Zone": "a",
        "State": "ready",
        "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
        "Labels": ["a", "rack-0"],
        "born": int(time.time() * 1000),
        "Sequence": 1,
    }
    record = bytes([len(key)]) + key.encode() + json.dumps(entry).encode()
    response = calls.send_request(
        int(case.deployment.addresses["store"].rpartition(":")[2]),
        "POST",
        "/api/log-append?Topic=keyed.servers&part=0",
        body=struct.pack(">I", len(record)) + record,
    )
    case.note(f"another writer stores {entry}: {response.status}")


if __name__ == "__main__":
    support.run(support.Case(folder=pathlib.Path(__file__).parent), play)
