"""Measure what the shares of organisations cost a decision.

The same waiting jobs and runs belong to none, 20 or 2,000 organisations, half of the
jobs to one of them. The table shows the processor time of one measurement of the
shares, of ordering a pool's occurrences, of a whole decision of the planner, and of the
answer to one submission while the sums are fresh.

Usage: python -m bench.organisation_shares
"""

import time

from cranberryport.scheduling import organisation_shares
from tests import organisation_load

ORGANISATION_COUNTS = (0, 20, 2_000)
EXECUTOR_COUNT = 30
JOB_COUNT = 2_000
REPETITIONS = 20


def make_replay(organisation_count):
    """Return a replay whose pool is full while most of the jobs wait."""
    weights = {f"o{number}": 1 for number in range(organisation_count)}
    replay = organisation_load.Replay(weights=weights, executor_count=EXECUTOR_COUNT)
    arrivals = [
        organisation_load.Arrival(
            at=0.0,
            organisation=f"o{number % max(1, organisation_count) * (number % 2)}",
            count=2,
            actual_s=60.0,
        )
        for number in range(JOB_COUNT)
    ]
    return replay.run(arrivals, until_s=organisation_load.TICK_S)


def measure_ms(call):
    """Return the mean processor time of a call in milliseconds."""
    started_at = time.process_time()
    for _ in range(REPETITIONS):
        call()
    return (time.process_time() - started_at) * 1000 / REPETITIONS


def measure(organisation_count):
    """Return milliseconds of measuring, ordering, deciding and admitting."""
    replay = make_replay(organisation_count)
    occurrences = [
        occurrence
        for job in replay.scheduler.open_jobs.values()
        for occurrence in job.occurrences.values()
    ]
    unix_s = organisation_load.START_UNIX_S + 0.1

    def pass_time():
        replay.now += organisation_shares.UPDATE_INTERVAL_S

    def update():
        pass_time()
        replay.shares.update(replay.now, unix_s)

    def plan():
        pass_time()
        replay.planner.plan(replay.now, unix_s)

    processors = EXECUTOR_COUNT * 16_000
    return (
        measure_ms(update),
        measure_ms(lambda: replay.shares.order(occurrences, processors, unix_s)),
        measure_ms(plan),
        measure_ms(lambda: replay.ask_admission("o1")),
    )


def main():
    """Print a row for each number of organisations."""
    print("organisations  measure ms  order ms  decision ms  submission ms")
    for organisation_count in ORGANISATION_COUNTS:
        row = measure(organisation_count)
        print(f"{organisation_count:13d}" + "".join(f"  {ms:10.3f}" for ms in row))


if __name__ == "__main__":
    main()
