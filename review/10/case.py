"""Jobs wait for an executor that refuses all starts, and do not count as pending.

Eleven of twelve executors are full of tasks that last. The last one has room, but is
unhealthy: it answers each start with 503, which does nothing.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2  # noqa: E402

EXECUTORS = 12
JOBS = 4
UNHEALTHY_S = 6.5
# The rule counts jobs that were accepted more than ``visible_ms`` + 2 s before.
VISIBLE_S = 3.0
ASKED_AFTER_S = VISIBLE_S + 2.0 + 0.3
LASTING_MS = 600_000


async def case(fleet, has_trouble):
    """Fill all executors but one, submit jobs, and ask how many of them are pending."""
    await fleet.start({"desk": EXECUTORS})
    platform = fleet.platform
    lasting = {
        "count": EXECUTORS - 1,
        "cpu": 60_000,
        "mem": 100_000,
        "ms": LASTING_MS,
        "lasts": True,
        "fields": {"LongRunning": True, "AntiAffinity": 1, "EstimateMs": 700},
    }
    body = fleet_2.make_job(lasting)
    if not await fleet.submit(fleet.entries[0], "desk", fleet_2.new_id(), body):
        raise fleet_2.CannotRun("the lasting job was not accepted")
    for _ in range(100):
        if len(platform.starts) == EXECUTORS - 1:
            break
        await asyncio.sleep(0.1)
    else:
        raise fleet_2.CannotRun("the lasting tasks have not started")
    await asyncio.sleep(2.0)
    (free,) = [worker for worker in platform.workers.values() if not worker.runs]
    if has_trouble:
        free.refuses_starts = 503
        platform.record.add(f"the executor of {free.machine} is unhealthy")
    step = {"count": 1, "cpu": 6000, "mem": 1000, "ms": 800}
    jobs = [fleet_2.new_id() for _ in range(JOBS)]
    for job_id in jobs:
        body = fleet_2.make_job(step)
        if not await fleet.submit(fleet.entries[0], "desk", job_id, body):
            raise fleet_2.CannotRun("a job was not accepted")
    accepted_at = platform.record.now
    await asyncio.sleep(ASKED_AFTER_S)
    for entry in fleet.entries:
        status, fields = await entry.request("GET", "/desk/")
        begun = {task.partition(".")[0] for _, task, _, _ in platform.starts}
        waiting = [job_id for job_id in jobs if job_id not in begun]
        if status == 200 and fields["Pending"] < len(waiting) / 2:
            age_s = platform.record.now - accepted_at
            platform.violation(
                f"{entry.name} gives {fields['Pending']} as `Pending`; {len(waiting)} "
                f"jobs, accepted {age_s:.1f} s before or earlier, have not begun"
            )
    await asyncio.sleep(max(0.0, accepted_at + UNHEALTHY_S - platform.record.now))
    free.refuses_starts = None
    await asyncio.sleep(4.0)
    for job_id in jobs:
        await fleet.state("desk", job_id)


fleet_2.main(case, __file__)
