"""The store is down while ended jobs are deleted; then the controller is killed."""

import pathlib
import time

from review import support
from standins.platform import local_deployment

# Seconds for which the state of an ended job has to be kept in this case; the
# deployments of the pages have 120 s, which do not fit into the time of a script.
STATUS_KEPT_S = 15.0
# Ended jobs are deleted at this interval, once their state is this much older than has
# to be kept (DELETION_INTERVAL_S and DELETION_MARGIN_S of the controller).
DELETION_INTERVAL_S = 10.0
DELETION_MARGIN_S = 30.0
DOWN_S = 4.5
# Two of the tasks fill an executor, so that the job needs all of them.
TASKS = 12
PROCESSORS = 7000
OBSERVATION_S = 12.0


def play(case):
    """Complete jobs, wait until they are deleted, and replace the controller."""
    ready_at = case.logged("controller ready")[-1]["time"]
    entry = case.entries[0]
    job_id, body = local_deployment.make_job_request(
        {"count": TASKS, "processors": PROCESSORS, "memory": 10, "ms": 1000}
    )
    case.call(entry, "POST", job_id, body)
    if case.wait_for_state(entry, job_id, ("completed",), 10.0) != "completed":
        raise RuntimeError(f"{job_id} is not completed")
    starts = case.start_count()
    case.note(f"{starts} starts so far")
    expires_at = time.time() + STATUS_KEPT_S + DELETION_MARGIN_S
    next_deletion_at = ready_at
    while next_deletion_at < expires_at:
        next_deletion_at += DELETION_INTERVAL_S
    time.sleep(max(0.0, next_deletion_at - DOWN_S / 2 - time.time()))
    if case.has_trouble:
        case.note(f"the store is down for {DOWN_S} s")
        case.deployment.send_order("store", is_down=True)
    time.sleep(DOWN_S)
    case.deployment.send_order("store")
    time.sleep(3.0)
    case.state(entry, job_id, is_noted=True)
    if case.has_trouble:
        leader = case.leader()
        case.note(f"the process of the controller, {leader.name}, is killed")
        leader.process.kill()
        leader.process.start()
    time.sleep(OBSERVATION_S)
    case.state(entry, job_id, is_noted=True)
    case.note(f"{case.start_count()} starts in all")
    return [f"TWICE: {finding}" for finding in case.deployment.findings()["violations"]]


if __name__ == "__main__":
    support.run(
        support.Case(
            folder=pathlib.Path(__file__).parent,
            settings={"status_kept_s": STATUS_KEPT_S},
        ),
        play,
    )
