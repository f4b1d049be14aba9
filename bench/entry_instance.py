"""Compare requests through an entry instance with direct calls of a backend server.

Run ``python -m bench.entry_instance``. It also measures the log appends per request,
and the processor time and memory of each of 8 idle daemons. Every process is a daemon
or a stand-in of the platform, on loopback; a run takes about a minute.
"""

import dataclasses
import os
import pathlib
import time

from bench import load
from standins import calls, fleet, sheets

CONNECTION_COUNTS = (1, 16, 64)
REQUEST_COUNT = 3000
KEYED_REQUEST_COUNT = 1000
IDLE_INTERVAL_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HEADERS = [("Desk", "ranches")]
DEPLOYMENT = fleet.ROOT / "deployments" / "brazos"
SERVICE = "front-desk"


def make_read_request():
    """Return a request that may be repeated, with method, target, headers and body."""
    return "GET", f"/{SERVICE}/quotes/1", HEADERS, b""


def make_direct_read_request():
    """Return the same request with the target that the backend server receives."""
    return "GET", "/quotes/1", HEADERS, b""


def make_charge_request():
    """Return a request that must not run twice, with a new idempotency key."""
    headers = [*HEADERS, ("Idempotency-Key", calls.new_uuid7())]
    return "POST", f"/{SERVICE}/charges", headers, b'{"amount": 1}'


def publish_sheets(running_fleet):
    """Publish the sheets of the deployment, without maintenance and time limits."""
    entry = running_fleet.entries[0]
    for publisher, authority in sheets.PUBLISHER_AUTHORITIES.items():
        copy = running_fleet.directory / f"{authority}.csv"
        source = DEPLOYMENT / f"{authority}.csv"
        sheets.copy_sheet(
            source, copy, without=(*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        )
        result = running_fleet.run_tool(
            "sheet",
            "publish",
            str(copy),
            "--instance",
            f"127.0.0.1:{entry.port}",
            "--log",
            f"127.0.0.1:{running_fleet.log_service_port}",
            "--publisher",
            publisher,
            "--key-file",
            str(running_fleet.publisher_key_path(publisher)),
        )
        if result.returncode:
            raise RuntimeError(result.stderr)


def wait_until_served(running_fleet):
    """Wait until each entry instance answers requests for the service."""
    for entry in running_fleet.entries:
        calls.wait_until(
            lambda entry=entry: (
                entry.send("GET", f"/{SERVICE}/quotes/1", headers=dict(HEADERS)).status
                == 200
            ),
            30.0,
            lambda: "the service is served",
        )


def print_row(name, connection_count, figures, appends=None, processor_ms=None):
    """Print one row of the table of requests.

    Parameters
    ----------
    name : str
        Path that the requests take.
    connection_count : int
        Connections in all.
    figures : load.Figures
        Throughput, latency and outcomes.
    appends, processor_ms : float, optional
        Log appends and processor time of the entry instance for each request.
    """
    cost_cells = " | " if appends is None else f"{appends:.3f} | {processor_ms:.2f}"
    print(
        f"| {name} | {connection_count} | {figures.requests_per_s:.0f} | "
        f"{figures.median_ms:.2f} | {figures.p99_ms:.2f} | {cost_cells} |",
        flush=True,
    )
    if set(figures.outcomes) - {"answered", "200"}:
        print(f"  outcomes: {figures.outcomes}")


def measure_request_kind(running_fleet, name, make_request, count):
    """Measure one kind of request at each number of connections; print the rows."""
    ports = [running_fleet.entries[0].port]
    for connection_count in CONNECTION_COUNTS:
        appends_before = running_fleet.log_service_state()["appends"]
        pid = running_fleet.entries[0].process.pid
        usage_before = read_usage(pid)
        started_at = time.monotonic()
        figures = load.measure(
            ports,
            make_request,
            connection_count=connection_count,
            request_count=count,
        )
        # Each entry instance appends a heartbeat every 2 s.
        heartbeats = (time.monotonic() - started_at) / 2 * len(running_fleet.entries)
        appends = (
            running_fleet.log_service_state()["appends"] - appends_before - heartbeats
        )
        processor_s = read_usage(pid).processor_s - usage_before.processor_s
        print_row(
            name,
            connection_count,
            figures,
            max(0.0, appends) / count,
            processor_s / count * 1000,
        )


def measure_requests():
    """Print the table of requests: directly, through the instance, and with keys."""
    print(
        "| path | connections | requests/s | median ms | 99th ms | appends/request "
        "| processor ms/request |"
    )
    print("|---|---|---|---|---|---|---|")
    with fleet.Fleet(options=fleet.Options(entry_count=1)) as running_fleet:
        publish_sheets(running_fleet)
        wait_until_served(running_fleet)
        port = running_fleet.instance_ports[f"{SERVICE}-1"]
        for connection_count in CONNECTION_COUNTS:
            figures = load.measure(
                [port],
                make_direct_read_request,
                connection_count=connection_count,
                request_count=REQUEST_COUNT,
            )
            print_row("backend server directly", connection_count, figures)
        measure_request_kind(running_fleet, "GET", make_read_request, REQUEST_COUNT)
        measure_request_kind(
            running_fleet, "POST with key", make_charge_request, KEYED_REQUEST_COUNT
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class ProcessUsage:
    """Processor time and memory of a process.

    Attributes
    ----------
    processor_s : float
        Processor time since its start, in seconds.
    resident_mb, private_mb : float
        Resident memory, and the part that it shares with no other process.
    """

    processor_s: float
    resident_mb: float
    private_mb: float


def read_usage(pid):
    """Return the usage of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    sizes = {}
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, size, *_ = line.split()
        sizes[name.rstrip(":")] = int(size) / 1024
    return ProcessUsage(
        processor_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_mb=sizes["Rss"],
        private_mb=sizes["Private_Dirty"] + sizes["Private_Clean"],
    )


def measure_idle():
    """Print the range of processor time and the highest memory among 8 idle daemons."""
    with fleet.Fleet(options=fleet.Options(entry_count=8)) as running_fleet:
        publish_sheets(running_fleet)
        wait_until_served(running_fleet)
        pids = [entry.process.pid for entry in running_fleet.entries]
        usages_before = [read_usage(pid) for pid in pids]
        time.sleep(IDLE_INTERVAL_S)
        usages_after = [read_usage(pid) for pid in pids]
        shares = [
            (second.processor_s - first.processor_s) / IDLE_INTERVAL_S * 100
            for first, second in zip(usages_before, usages_after, strict=True)
        ]
        print(
            f"idle among 8: {min(shares):.1f} to {max(shares):.1f} % of a core, "
            f"resident {max(usage.resident_mb for usage in usages_after):.1f} MB, "
            f"private {max(usage.private_mb for usage in usages_after):.1f} MB"
        )


def main():
    """Measure requests, then idle daemons."""
    measure_requests()
    measure_idle()


if __name__ == "__main__":
    main()
