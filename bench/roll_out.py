"""Measure the roll-out of publications, and the last requests to leaving servers.

Run with ``python -m bench.roll_out``. It starts a fleet on loopback and ends it. The
roll-out time of a publication runs from the moment at which the operator's tool can
report "accepted" until every running entry instance shows it on its status page. For a
backend server that the instance list shows as leaving, it measures the time until the
last new request reaches it.
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

PUBLICATION_COUNT = 20
OUTAGE_PUBLICATION_COUNT = 20
OUTAGE_S = 2.0
LEAVING_SERVER_COUNT = 5
LEAVING_OBSERVATION_S = 6.0
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.005
DAY_S = 86_400.0


def publish_sheet(running_fleet, sheet):
    """Publish a sheet and return its version when it has been read back as accepted."""
    log = client.Address(host=fleet.HOST, port=running_fleet.log_service_port)
    instance = client.Address(host=fleet.HOST, port=running_fleet.entries[0].port)
    publication = publishing.make_publication(
        sheet=sheet,
        publisher="planner",
        key=settings.read_publisher_key(running_fleet.publisher_key_path("planner")),
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


def measure_roll_out_s(entries, version):
    """Wait until entry instances show a version of the team's sheet.

    Parameters
    ----------
    entries : list of fleet.Entry
        Entry instances to wait for.
    version : int
        Version that each must show, or a later one.

    Returns
    -------
    float
        Seconds waited.
    """
    started_at = time.monotonic()
    pending_entries = list(entries)
    while pending_entries:
        pending_entries = [
            entry for entry in pending_entries if _shown_version(entry) < version
        ]
        if time.monotonic() - started_at > TIMEOUT_S:
            raise RuntimeError(
                f"not in force at {[entry.name for entry in pending_entries]}"
            )
        if pending_entries:
            time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def _shown_version(entry):
    return (entry.sheet_versions or (0, 0))[1]


def measure_healthy(running_fleet, sheet, entries):
    """Return the roll-out times of consecutive publications while all is well."""
    return [
        measure_roll_out_s(entries, publish_sheet(running_fleet, sheet))
        for _ in range(PUBLICATION_COUNT)
    ]


def measure_frozen(running_fleet, sheet):
    """Return the roll-out times at the others while one entry instance is frozen.

    The process is stopped and resumed afterwards.
    """
    frozen_entry = running_fleet.entries[-1]
    frozen_entry.process.freeze()
    try:
        return measure_healthy(running_fleet, sheet, running_fleet.entries[:-1])
    finally:
        frozen_entry.process.resume()


def measure_outage(running_fleet, sheet):
    """Return the roll-out times of publications that were sent during a log outage.

    Each outage ends while the operator's tool waits for its publication to be accepted.
    """
    times_s = []
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        for _ in range(OUTAGE_PUBLICATION_COUNT):
            running_fleet.control_log_service(mode="down")
            future = executor.submit(publish_sheet, running_fleet, sheet)
            time.sleep(OUTAGE_S)
            running_fleet.control_log_service(mode="up")
            times_s.append(measure_roll_out_s(running_fleet.entries, future.result()))
    return times_s


def measure_leaving(running_fleet, service):
    """Measure how long backend servers receive new requests once they are leaving.

    Parameters
    ----------
    running_fleet : fleet.Fleet
        Running fleet.
    service : str
        Service whose servers leave, one after another, while it gets requests.

    Returns
    -------
    list of float
        For each server the seconds from the moment at which the list shows it as
        leaving to the start of its last new request.
    """
    times_s = []
    for number in range(1, LEAVING_SERVER_COUNT + 1):
        server = f"{service}-{number}"
        traffic = observers.Traffic(
            fleet=running_fleet, services=[service], delay_ms=20
        )
        try:
            calls.wait_until(
                lambda server=server: running_fleet.executions(server=server),
                TIMEOUT_S,
                f"{server} gets work",
            )
            time.sleep(1.0)
            listed_at = time.time() + running_fleet.instance_list_state()["lag_s"]
            running_fleet.control_instance_list(status={server: "leaving"})
            time.sleep(LEAVING_OBSERVATION_S)
        finally:
            traffic.close()
        last_started_at = max(
            row["start"] for row in running_fleet.executions(server=server)
        )
        times_s.append(last_started_at - listed_at)
        running_fleet.control_instance_list(status={server: "live"})
        time.sleep(3.0)
    return times_s


def summarize(times_s):
    """Return count, median and maximum of times in seconds."""
    return {
        "count": len(times_s),
        "median_s": round(statistics.median(times_s), 3),
        "maximum_s": round(max(times_s), 3),
    }


def main():
    """Run all measurements; print one line of JSON for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=4)
    arguments = parser.parse_args()
    options = fleet.Options(entry_count=arguments.entries, max_seconds=280.0)
    source = fleet.ROOT / "deployments" / deployments.BRAZOS.name
    with fleet.Fleet(options=options) as running_fleet:
        for name in ("owner", "team"):
            sheet_file = running_fleet.directory / f"{name}.csv"
            left_out_settings = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
            sheets.copy_sheet(
                source / f"{name}.csv", sheet_file, without=left_out_settings
            )
            publisher = "owner" if name == "owner" else "planner"
            running_fleet.publish(publisher, sheet_file)
        sheet = reader.read_sheet(sheet_file)
        results = {
            "healthy": measure_healthy(running_fleet, sheet, running_fleet.entries),
            "one instance frozen": measure_frozen(running_fleet, sheet),
        }
        running_fleet.wait_until_ready(running_fleet.entries[-1])
        results["after a log outage"] = measure_outage(running_fleet, sheet)
        results["last new request at a leaving server"] = measure_leaving(
            running_fleet, "cutting"
        )
    for name, times_s in results.items():
        print(json.dumps({"measured": name, **summarize(times_s)}))


if __name__ == "__main__":
    main()
