"""More ends wait at an executor than it lists in one answer, while the store is down.

1,000 small tasks of one job run on an executor and end within about three seconds, as
the later ones are shorter. The store is down meanwhile, so that no end can be stored
and acknowledged, and the executor lists the first 500 ends only.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2  # noqa: E402

TASKS = 1000
FIRST_TASK_MS = 9000
LAST_TASK_MS = 5500
STORE_DOWN_S = 4.2


async def case(fleet, has_trouble):
    """Submit the job, stop the store for some seconds, and look for repeated runs."""
    await fleet.start({"desk": 6})
    platform = fleet.platform
    job_id = fleet_2.new_id()
    step = {
        "count": TASKS,
        "cpu": 60,
        "mem": 100,
        "ms": FIRST_TASK_MS,
        "spread_ms": LAST_TASK_MS - FIRST_TASK_MS,
    }
    if not await fleet.submit(fleet.entries[0], "desk", job_id, fleet_2.make_job(step)):
        raise fleet_2.CannotRun("the job was not accepted")
    for _ in range(100):
        if len({task for _, task, _, _ in platform.starts}) == TASKS:
            break
        await asyncio.sleep(0.1)
    else:
        raise fleet_2.CannotRun("the tasks have not started")
    while not sum(worker.end_number for worker in platform.workers.values()):
        await asyncio.sleep(0.02)
    if has_trouble:
        platform.store.is_down = True
        platform.record.add("the store is down")
        await asyncio.sleep(STORE_DOWN_S)
        platform.store.is_down = False
        ended = sum(worker.end_number for worker in platform.workers.values())
        platform.record.add(f"the store is back; {ended} tasks have ended meanwhile")
    state = None
    for _ in range(40):
        await asyncio.sleep(0.5)
        state = await fleet.state("desk", job_id)
        if state == "completed":
            break
    # Ends that are listed late are taken note of.
    await asyncio.sleep(4.0)
    platform.record.add(f"the job is {state}; {len(platform.starts)} starts")
    repeats = platform.find_repeats()
    if repeats:
        first = next(iter(repeats))
        platform.violation(
            f"{len(repeats)} tasks were started again after an end `done` that was "
            f"taken note of, the first {first}: {repeats[first]}"
        )


fleet_2.main(case, __file__)
