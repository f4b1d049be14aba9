"""Measure the roll-out of publications and how leaving servers lose their work.

Run with ``python -m bench.roll_out``. It starts a fleet on loopback and ends it. The
roll-out is the time from the moment at which the operator's tool may say "accepted"
until every running entry instance shows the publication.
"""

import argparse
import concurrent.futures
import json
import statistics
import time

from cranberryport import settings
from cranberryport.command_line import client, publishing
from cranberryport.sheet import reader
from features import observers
from standins import calls, deployments, fleet, sheets

PUBLICATIONS = 20
OUTAGE_PUBLICATIONS = 20
OUTAGE_S = 2.0
LEAVING_RUNS = 5
LEAVING_OBSERVED_S = 6.0
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.005
DAY_S = 86_400.0


def publish(running, sheet):
    """Publish a sheet and return the publication's version after the read-back."""
    log = client.Address(host=fleet.HOST, port=running.log_service_port)
    instance = client.Address(host=fleet.HOST, port=running.entries[0].port)
    publication = publishing.make_publication(
        sheet=sheet,
        publisher="planner",
        key=settings.read_publisher_key(running.publisher_key_path("planner")),
        day=sheets.publication_day(),
        until=time.time() + DAY_S,
        expected_version=publishing.current_version(instance, sheet.authority),
    )
    outcome = publishing.publish(
        publication,
        log=log,
        stream="control",
        instance=instance,
        timeout_s=TIMEOUT_S,
    )
    if not isinstance(outcome, publishing.Accepted):
        raise RuntimeError(f"the publication was not accepted: {outcome}")
    return outcome.version


def roll_out_s(entries, version):
    """Wait until entry instances show a team's version; return the seconds."""
    start = time.monotonic()
    waiting = list(entries)
    while waiting:
        waiting = [entry for entry in waiting if _version(entry) < version]
        if time.monotonic() - start > TIMEOUT_S:
            raise RuntimeError(f"not in force at {[entry.name for entry in waiting]}")
        if waiting:
            time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start


def _version(entry):
    return (entry.sheet_versions or (0, 0))[1]


def measure_healthy(running, sheet, entries):
    """Return the roll-out times of publications one after another."""
    return [roll_out_s(entries, publish(running, sheet)) for _ in range(PUBLICATIONS)]


def measure_frozen(running, sheet):
    """Return the roll-out times at the others while one entry instance is frozen."""
    frozen = running.entries[-1]
    frozen.process.freeze()
    try:
        return measure_healthy(running, sheet, running.entries[:-1])
    finally:
        frozen.process.resume()


def measure_outage(running, sheet):
    """Return the roll-out times of publications sent during outages of the log."""
    found = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        for _ in range(OUTAGE_PUBLICATIONS):
            running.control_log_service(mode="down")
            future = executor.submit(publish, running, sheet)
            time.sleep(OUTAGE_S)
            running.control_log_service(mode="up")
            found.append(roll_out_s(running.entries, future.result()))
    return found


def measure_leaving(running, service):
    """Return for several servers the seconds from the list to the last new request."""
    found = []
    for number in range(1, LEAVING_RUNS + 1):
        server = f"{service}-{number}"
        traffic = observers.Traffic(fleet=running, services=[service], delay_ms=20)
        try:
            calls.wait_until(
                lambda server=server: running.executions(server=server),
                TIMEOUT_S,
                f"{server} gets work",
            )
            time.sleep(1.0)
            shown = time.time() + running.instance_list_state()["lag_s"]
            running.control_instance_list(status={server: "leaving"})
            time.sleep(LEAVING_OBSERVED_S)
        finally:
            traffic.close()
        last = max(row["start"] for row in running.executions(server=server))
        found.append(last - shown)
        running.control_instance_list(status={server: "live"})
        time.sleep(3.0)
    return found


def describe(values):
    """Return count, median and maximum of seconds."""
    return {
        "count": len(values),
        "median_s": round(statistics.median(values), 3),
        "maximum_s": round(max(values), 3),
    }


def main():
    """Run all measurements and print one line of JSON for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=4)
    arguments = parser.parse_args()
    options = fleet.Options(entry_count=arguments.entries, max_seconds=280.0)
    source = fleet.ROOT / "deployments" / deployments.BRAZOS.name
    with fleet.Fleet(options=options) as running:
        for name in ("owner", "team"):
            path = running.directory / f"{name}.csv"
            without = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
            sheets.copy_sheet(source / f"{name}.csv", path, without=without)
            publisher = "owner" if name == "owner" else "planner"
            running.publish(publisher, path)
        sheet = reader.read_sheet(path)
        results = {
            "healthy": measure_healthy(running, sheet, running.entries),
            "one instance frozen": measure_frozen(running, sheet),
        }
        running.wait_until_ready(running.entries[-1])
        results["after a log outage"] = measure_outage(running, sheet)
        results["last new request at a leaving server"] = measure_leaving(
            running, "cutting"
        )
    for name, values in results.items():
        print(json.dumps({"measured": name, **describe(values)}))


if __name__ == "__main__":
    main()
