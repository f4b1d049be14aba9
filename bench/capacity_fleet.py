"""Measure the entry instances of a running fleet, for ``bench.capacity``.

The fleet consists of real processes on loopback with stand-ins of the platform. It
gives the cost of an idle instance and of single actions, the time until rush jobs
start, and the time and memory that an instance's start takes.
"""

import concurrent.futures
import contextlib
import functools
import http.client
import json
import pathlib
import re
import statistics
import subprocess
import time

from bench import control_records
from cranberryport import codec
from cranberryport.callers import idempotency
from cranberryport.generated import messages
from cranberryport.sheet import signing
from cranberryport.state import fold, snapshot
from standins import calls, sheets
from standins import fleet as fleets

# Time after the start of a fleet until only its periodic work is left.
SETTLE_S = 8.0
IDLE_INTERVAL_S = 15.0
# Longer than the lag of the instance list, one poll of it and the append that follows.
OBSERVE_WAIT_S = 3.0
# Records that the log keeps if there is a snapshot: the snapshot and those after it.
RETAINED_RECORDS = 500
UNLIMITED_APPENDS_PER_S = 1e6
RUSH_JOB = {
    "processors": 1,
    "memory_mb": 64,
    "accelerators": 0,
    "runtime_s": 30,
    "payload": '{"seconds": 30}',
    "class": "rush",
}
FLEET_MAX_RUNTIME_S = 240.0


def processor_s(pid):
    """Return the processor time of a process in seconds.

    It is the sum of ``schedstat`` over the threads: the ticks of ``/proc/PID/stat`` are
    10 ms long, which is more than a short run takes.
    """
    files = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text().split()[0]) for file in files) / 1e9


def memory_kb(pid):
    """Return resident, private and proportional memory of a process in KB."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    numbers = {name: int(value.split()[0]) for name, value in fields.items()}
    return {
        "rss_kb": numbers["Rss"],
        "private_kb": numbers["Private_Clean"] + numbers["Private_Dirty"],
        "pss_kb": numbers["Pss"],
    }


def socket_bytes(pids):
    """Return the bytes sent and received by the open TCP sockets of processes.

    Returns
    -------
    dict
        For each process id a dict of (local address, remote address) to bytes, as
        reported by ``ss``.
    """
    output = subprocess.run(
        ["ss", "-tinpOH"], capture_output=True, text=True, check=True
    ).stdout
    bytes_by_pid = {pid: {} for pid in pids}
    for line in output.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner is None or int(owner[1]) not in bytes_by_pid:
            continue
        sent = re.search(r"bytes_sent:(\d+)", line)
        received = re.search(r"bytes_received:(\d+)", line)
        columns = line.split()
        total = sum(int(match[1]) for match in (sent, received) if match)
        bytes_by_pid[int(owner[1])][(columns[3], columns[4])] = total
    return bytes_by_pid


def measure_idle(entry_count):
    """Return the figures of one idle entry instance, as the mean over a fleet."""
    with fleets.Fleet(options=_fleet_options(entry_count)) as fleet:
        time.sleep(SETTLE_S)
        pids = [entry.process.pid for entry in fleet.entries]
        ports = {
            fleet.log_service_port: "log",
            fleet.instance_list_port: "list",
            **dict.fromkeys(fleet.instance_ports.values(), "workers"),
        }
        before = _read_counters(fleet, pids)
        time.sleep(IDLE_INTERVAL_S)
        after = _read_counters(fleet, pids)
        memory = [memory_kb(pid) for pid in pids]
    elapsed_s = after["sampled_at"] - before["sampled_at"]
    entry_seconds = elapsed_s * entry_count
    counts = {
        name: (after["log"][name] - before["log"][name]) / entry_seconds
        for name in ("appends", "reads", "bytes_appended", "bytes_read")
    }
    traffic = _socket_growth(before["sockets"], after["sockets"], ports)
    used_processor_s = sum(after["processor"]) - sum(before["processor"])
    return {
        "entries": entry_count,
        "processor_percent": used_processor_s / entry_seconds * 100,
        **{
            name: sum(usage[name] for usage in memory) / entry_count
            for name in memory[0]
        },
        **{f"log_{name}_per_s": value for name, value in counts.items()},
        **{
            f"{name}_socket_bytes_per_s": traffic[name] / entry_seconds
            for name in traffic
        },
        "control_bytes_per_s": sum(traffic.values()) / entry_seconds,
        # Computed: one status a second sent to each peer, and one received from it.
        "peer_messages_per_s": 2.0 * (entry_count - 1),
    }


def _fleet_options(entry_count, **options):
    return fleets.Options(
        entry_count=entry_count,
        log_level="WARNING",
        max_seconds=FLEET_MAX_RUNTIME_S,
        **options,
    )


def _read_counters(fleet, pids):
    return {
        "log": fleet.log_service_state(),
        "processor": [processor_s(pid) for pid in pids],
        "sockets": socket_bytes(pids),
        "sampled_at": time.monotonic(),
    }


def _socket_growth(before, after, ports):
    """Return the growth of the sockets' bytes by kind of remote end.

    A socket with no address among the known ports connects two entry instances.
    """
    totals = dict.fromkeys([*ports.values(), "peers"], 0)
    kind_by_suffix = {f":{port}": kind for port, kind in ports.items()}
    for pid, sockets in after.items():
        for addresses, count in sockets.items():
            growth = count - before[pid].get(addresses, 0)
            port_suffixes = [re.search(r":\d+$", address)[0] for address in addresses]
            kinds = [
                kind_by_suffix[suffix]
                for suffix in port_suffixes
                if suffix in kind_by_suffix
            ]
            totals[kinds[0] if kinds else "peers"] += growth
    return totals


def measure_actions(kind, counts):
    """Return the processor time of 2 entry instances for numbers of actions.

    Parameters
    ----------
    kind : {'configuration', 'observation', 'request', 'keyed_request'}
        Kind of action. The cost of claiming an idempotency key is the difference of the
        last two.
    counts : list of int
        Numbers of actions.

    Returns
    -------
    list of dict
        One row for each count. The processor time of the same time of idling is
        subtracted.
    """
    with fleets.Fleet(options=_fleet_options(2)) as fleet:
        perform = {
            "configuration": _make_publish_action,
            "observation": _make_observe_action,
            "request": functools.partial(_make_send_action, path="/back-office/quotes"),
            "keyed_request": functools.partial(
                _make_send_action, path="/back-office/charges"
            ),
        }[kind](fleet)
        time.sleep(SETTLE_S)
        pids = [entry.process.pid for entry in fleet.entries]
        idle = _read_counters(fleet, pids)
        time.sleep(IDLE_INTERVAL_S / 2)
        idle_end = _read_counters(fleet, pids)
        idle_s = idle_end["sampled_at"] - idle["sampled_at"]
        rows = []
        for count in counts:
            before = _read_counters(fleet, pids)
            perform(count)
            time.sleep(1.0)
            after = _read_counters(fleet, pids)
            elapsed_s = after["sampled_at"] - before["sampled_at"]
            row = {"kind": kind, "count": count, "elapsed_s": elapsed_s}
            for number, name in enumerate(("first", "second")):
                used_processor_s = (
                    after["processor"][number] - before["processor"][number]
                )
                idle_processor_s = (
                    idle_end["processor"][number] - idle["processor"][number]
                )
                # Subtract what the instance would have used while idle.
                row[f"{name}_processor_s"] = (
                    used_processor_s - idle_processor_s * elapsed_s / idle_s
                )
            row["appends"] = after["log"]["appends"] - before["log"]["appends"]
            rows.append(row)
    return rows


def _make_publish_action(fleet):
    """Return a function that publishes a sheet of 840 instances a number of times."""
    size = control_records.Size(instances=840, pools=70)
    key = bytes.fromhex(fleet.publisher_key_path("owner").read_text())
    publisher = signing.Publisher(name="owner", authority="owner", key=key)
    version = 0
    writer = "bench-publisher"
    sequence = 0

    def perform(count):
        nonlocal version, sequence
        with _log_connection(fleet) as log:
            for _ in range(count):
                sequence += 1
                record = control_records.make_publication(
                    size, expected_version=version, publisher=publisher
                )
                maps = [codec.to_map(record)]
                envelope = messages.Envelope(
                    writer=writer, sequence=sequence, records=maps
                )
                # A sheet's version is the offset of its record plus one.
                version = _append_body(log, codec.encode(envelope)) + 1
        calls.wait_until(
            lambda: all(entry.sheet_versions[0] == version for entry in fleet.entries),
            20,
            "both instances have read the last publication",
        )

    return perform


def _make_observe_action(fleet):
    """Return a function that makes a number of status changes in the instance list.

    The changes are spread evenly over the backend servers.
    """
    names = list(fleet.instance_ports)
    names = [name for name in names if "worker" not in name]
    status = "live"

    def perform(count):
        nonlocal status
        for _ in range(count // len(names)):
            status = "leaving" if status == "live" else "live"
            fleet.control_instance_list(status=dict.fromkeys(names, status))
            time.sleep(OBSERVE_WAIT_S)

    return perform


def _make_send_action(fleet, *, path):
    """Return a function that sends requests through the first entry instance.

    Requests for a charge carry an idempotency key.
    """
    entry = fleet.entries[0]
    _publish_sheets(fleet)

    def perform(count):
        for _ in range(count):
            headers = {"Desk": "bench"}
            if path.endswith("charges"):
                headers["Idempotency-Key"] = idempotency.new_key()
            answer = entry.send("POST", path, headers=headers, body=b"{}")
            if answer.status != 200:
                raise SystemExit(answer.describe())

    return perform


def _publish_sheets(fleet):
    for publisher, authority in sheets.PUBLISHER_AUTHORITIES.items():
        source = fleets.ROOT / "deployments" / "brazos" / f"{authority}.csv"
        target = fleet.directory / source.name
        # Maintenance would take backend servers out of service during the run.
        sheets.copy_sheet(
            source, target, without=("maintenance", *sheets.TIME_OF_DAY_SETTINGS)
        )
        result = fleet.publish(publisher, target)
        if result.returncode:
            raise SystemExit(result.stdout + result.stderr)


def measure_rush_jobs(counts):
    """Return the seconds from the submission of rush jobs to the start of their tasks.

    Parameters
    ----------
    counts : list of int
        Numbers of rush jobs that are submitted at once, spread over 8 entry instances.

    Returns
    -------
    list of dict
        One row for each count.
    """
    with fleets.Fleet(options=_fleet_options(8)) as fleet:
        _publish_sheets(fleet)
        time.sleep(SETTLE_S)
        return [_submit_rush_jobs(fleet, count) for count in counts]


def _submit_rush_jobs(fleet, count):
    submitted = {}

    def submit(number):
        entry = fleet.entries[number % len(fleet.entries)]
        at = time.monotonic()
        answer = entry.send(
            "POST",
            "/jobs/back-office",
            headers={"Desk": "bench"},
            body=json.dumps(RUSH_JOB).encode(),
        )
        if answer.status != 202:
            raise SystemExit(answer.describe())
        submitted[answer.json["job"]] = at

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        list(pool.map(submit, range(count)))
    started = {}

    def are_all_started():
        states = fleet.worker_states()
        now = time.monotonic()
        for state in states.values():
            for task in state["tasks"]:
                started.setdefault(task["id"], now - task["runtime_s"])
        return submitted.keys() <= started.keys()

    calls.wait_until(are_all_started, RUSH_JOB["runtime_s"], "all tasks have started")
    delays = sorted(started[job] - at for job, at in submitted.items())
    # Cancel the jobs, so that the workers have room for those of the next row.
    for job in submitted:
        fleet.entries[0].send("DELETE", f"/jobs/{job}")
    return {
        "jobs": count,
        "median_s": statistics.median(delays),
        "slowest_s": delays[-1],
    }


def measure_start(record_count, *, with_snapshot):
    """Return time, reads and memory of the start of one entry instance.

    Parameters
    ----------
    record_count : int
        Records appended to the log before.
    with_snapshot : bool
        Whether the log holds a snapshot and only the records after it.
    """
    size = control_records.Size(instances=60, sessions=1, keys=0)
    options = _fleet_options(1, appends_per_second=UNLIMITED_APPENDS_PER_S)
    fleet = fleets.Fleet(options=options)
    try:
        fleet._watchdog.start()
        fleet.start_platform()
        _fill_log(fleet, size, record_count, with_snapshot=with_snapshot)
        stream = fleet.log_service_state()["streams"].get(
            "control", {"first": 0, "next": 0}
        )
        before = fleet.log_service_state()["bytes_read"]
        start = time.monotonic()
        fleet.start_entries()
        ready_s = time.monotonic() - start
        pid = fleet.entries[0].process.pid
        return {
            "records": record_count,
            "with_snapshot": with_snapshot,
            "retained": stream["next"] - stream["first"],
            "ready_s": ready_s,
            "processor_s": processor_s(pid),
            "bytes_read": fleet.log_service_state()["bytes_read"] - before,
            **memory_kb(pid),
        }
    finally:
        fleet.close()


def _fill_log(fleet, size, record_count, *, with_snapshot):
    """Append heartbeats and keyed requests until the log has the number of records."""
    bodies, writers = control_records.make_stream(size)
    writer = writers[0]
    number = 0
    while len(bodies) < record_count - RETAINED_RECORDS:
        # One of ten rounds writes a claim and its answer, the others a heartbeat.
        if number % 10 == 0:
            writer.write(control_records.make_claim(number, writer.name))
            writer.write(control_records.make_answer(number, writer.name))
        else:
            heartbeat = messages.SessionHeartbeat(
                session=writer.name, position=len(bodies)
            )
            writer.write(heartbeat)
        number += 1
    first_retained = len(bodies)
    if with_snapshot:
        state = fold.State(publishers=control_records.PUBLISHERS)
        for offset, body in enumerate(bodies):
            fold.apply_envelope(state, offset, body)
        for part in snapshot.make_chunks(state, snapshot="bench"):
            writer.write(part)
    while len(bodies) < record_count - 1:
        writer.write(
            messages.SessionHeartbeat(session=writer.name, position=len(bodies))
        )
    writer.write(messages.SessionClosed(session=writer.name))
    with _log_connection(fleet) as log:
        for body in bodies:
            _append_body(log, body)
    if with_snapshot:
        fleet.control_log_service(expire_before=first_retained, stream="control")


@contextlib.contextmanager
def _log_connection(fleet):
    connection = http.client.HTTPConnection(
        fleets.HOST, fleet.log_service_port, timeout=30
    )
    with contextlib.closing(connection):
        yield connection


def _append_body(connection, body):
    """Append a body and return its offset."""
    connection.request("POST", "/streams/control/records", body=body)
    response = connection.getresponse()
    text = response.read()
    if response.status != 200:
        raise SystemExit(f"the log answered {response.status}: {text!r}")
    return json.loads(text)["offset"]
