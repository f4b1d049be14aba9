"""Requests through one entry instance against calling the backend server directly.

Run ``python -m bench.entry_instance``. It also gives the appends used per request, and
the idle processor time and the memory of a daemon among 8. Every process is a stand-in
or a daemon on loopback; the run ends by itself in about a minute.
"""

import dataclasses
import os
import pathlib
import time

from bench import load
from standins import calls, fleet, sheets

CONNECTION_COUNTS = (1, 16, 64)
REQUEST_COUNT = 3000
KEYED_COUNT = 1000
IDLE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HEADERS = [("Desk", "ranches")]
DEPLOYMENT = fleet.ROOT / "deployments" / "brazos"
SERVICE = "front-desk"


def make_read():
    """Return a request that may be repeated."""
    return "GET", f"/{SERVICE}/quotes/1", HEADERS, b""


def make_direct_read():
    """Return the same request as the backend server gets it."""
    return "GET", "/quotes/1", HEADERS, b""


def make_charge():
    """Return a request that must not be repeated."""
    headers = [*HEADERS, ("Idempotency-Key", calls.new_uuid7())]
    return "POST", f"/{SERVICE}/charges", headers, b'{"amount": 1}'


def publish(running):
    """Put the sheets of the deployment in force."""
    entry = running.entries[0]
    for publisher, authority in sheets.PUBLISHER_AUTHORITIES.items():
        copy = running.directory / f"{authority}.csv"
        source = DEPLOYMENT / f"{authority}.csv"
        sheets.copy_sheet(
            source, copy, without=(*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        )
        result = running.run_tool(
            "sheet",
            "publish",
            str(copy),
            "--instance",
            f"127.0.0.1:{entry.port}",
            "--log",
            f"127.0.0.1:{running.log_service_port}",
            "--publisher",
            publisher,
            "--key-file",
            str(running.publisher_key_path(publisher)),
        )
        if result.returncode:
            raise RuntimeError(result.stderr)


def wait_serving(running):
    """Wait until each instance answers for the service."""
    for entry in running.entries:
        calls.wait_until(
            lambda entry=entry: (
                entry.send("GET", f"/{SERVICE}/quotes/1", headers=dict(HEADERS)).status
                == 200
            ),
            30.0,
            lambda: "the service is served",
        )


def show(name, connections, figures, appends=None, processor_ms=None):
    """Print one row of the table."""
    extra = " | " if appends is None else f"{appends:.3f} | {processor_ms:.2f}"
    print(
        f"| {name} | {connections} | {figures.requests_per_s:.0f} | "
        f"{figures.median_ms:.2f} | {figures.p99_ms:.2f} | {extra} |",
        flush=True,
    )
    if set(figures.outcomes) - {"answered", "200"}:
        print(f"  outcomes: {figures.outcomes}")


def measure_kind(running, name, make_request, count):
    """Measure one kind of request at each number of connections."""
    ports = [running.entries[0].port]
    for connections in CONNECTION_COUNTS:
        before = running.log_service_state()["appends"]
        pid = running.entries[0].process.pid
        usage = read_usage(pid)
        started = time.monotonic()
        figures = load.measure(
            ports,
            make_request,
            connection_count=connections,
            request_count=count,
        )
        heartbeats = (time.monotonic() - started) / 2 * len(running.entries)
        appends = running.log_service_state()["appends"] - before - heartbeats
        processor_s = read_usage(pid).processor_s - usage.processor_s
        show(
            name,
            connections,
            figures,
            max(0.0, appends) / count,
            processor_s / count * 1000,
        )


def measure_requests():
    """Print the table of requests for one entry instance."""
    print(
        "| path | connections | requests/s | median ms | 99th ms | appends/request "
        "| processor ms/request |"
    )
    print("|---|---|---|---|---|---|---|")
    with fleet.Fleet(options=fleet.Options(entry_count=1)) as running:
        publish(running)
        wait_serving(running)
        port = running.instance_ports[f"{SERVICE}-1"]
        for connections in CONNECTION_COUNTS:
            figures = load.measure(
                [port],
                make_direct_read,
                connection_count=connections,
                request_count=REQUEST_COUNT,
            )
            show("backend server directly", connections, figures)
        measure_kind(running, "GET", make_read, REQUEST_COUNT)
        measure_kind(running, "POST with key", make_charge, KEYED_COUNT)


@dataclasses.dataclass(kw_only=True, slots=True)
class Usage:
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
    return Usage(
        processor_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_mb=sizes["Rss"],
        private_mb=sizes["Private_Dirty"] + sizes["Private_Clean"],
    )


def measure_idle():
    """Print idle processor time and memory of a daemon among 8."""
    with fleet.Fleet(options=fleet.Options(entry_count=8)) as running:
        publish(running)
        wait_serving(running)
        pids = [entry.process.pid for entry in running.entries]
        before = [read_usage(pid) for pid in pids]
        time.sleep(IDLE_S)
        after = [read_usage(pid) for pid in pids]
        shares = [
            (new.processor_s - old.processor_s) / IDLE_S * 100
            for old, new in zip(before, after, strict=True)
        ]
        print(
            f"idle among 8: {min(shares):.1f} to {max(shares):.1f} % of a core, "
            f"resident {max(one.resident_mb for one in after):.1f} MB, "
            f"private {max(one.private_mb for one in after):.1f} MB"
        )


def main():
    """Run everything."""
    measure_requests()
    measure_idle()


if __name__ == "__main__":
    main()
