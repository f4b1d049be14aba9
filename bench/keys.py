"""Measure the cost of looking up an API key, by number of keys.

The cost must be the same for 100 and 10,000 keys. The table also shows how long a new
version of the configuration takes until its keys are in force.

Usage: python -m bench.keys
"""

import json
import statistics
import time

from cranberryport.callers import api_keys
from cranberryport.platform import configuration

KEY_COUNTS = (100, 10_000)
KEYS_PER_ORGANISATION = 5
LOOK_UPS = 20_000
# The median of several runs, as other programs may use the machine.
RUNS = 9


def make_configuration(key_count):
    """Return a record of the configuration with a number of keys of 40 characters."""
    keys = [f"{number:040x}" for number in range(key_count)]
    rows = [
        {"Name": f"o{first}", "ApiKeys": keys[first : first + KEYS_PER_ORGANISATION]}
        for first in range(0, key_count, KEYS_PER_ORGANISATION)
    ]
    return json.dumps({"Version": 1, "Routes": [], "Tenants": rows}).encode()


def measure_look_up_s(table, keys):
    """Return the seconds that a look-up with its digest takes in the mean."""
    started_at = time.perf_counter()
    for key in keys:
        table.find_organisation(api_keys.digest(key))
    return (time.perf_counter() - started_at) / len(keys)


def main():
    """Print the table."""
    print("keys    known key, us    unknown key, us    new version, ms")
    for count in KEY_COUNTS:
        value = make_configuration(count)
        durations = []
        for _ in range(RUNS):
            started_at = time.perf_counter()
            table = configuration.parse(value).key_table
            durations.append(time.perf_counter() - started_at)
        known = [f"{number % count:040x}".encode() for number in range(LOOK_UPS)]
        unknown = [f"{number:040x}x".encode() for number in range(LOOK_UPS)]
        medians = [
            statistics.median(measure_look_up_s(table, keys) for _ in range(RUNS))
            for keys in (known, unknown)
        ]
        print(
            f"{count:6}  {medians[0] * 1e6:13.2f}  {medians[1] * 1e6:17.2f}"
            f"  {statistics.median(durations) * 1e3:17.2f}"
        )


if __name__ == "__main__":
    main()
