"""Measure running entry instances: idle cost, cost of an action, and start-up."""

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

SETTLE_S = 8.0
IDLE_S = 15.0
# Longer than the lag of the list, a poll, and the append that follows.
OBSERVE_WAIT_S = 3.0
SHARE_OF_RETAINED = 500
UNLIMITED_APPENDS = 1e6
URGENT_JOB = {
    "processors": 1,
    "memory_mb": 64,
    "accelerators": 0,
    "runtime_s": 30,
    "payload": '{"seconds": 30}',
    "class": "rush",
}
FLEET_LIMIT_S = 240.0


def processor_s(pid):
    """Return the processor time of a process in seconds.

    It is taken from ``schedstat`` of its threads, since the ticks of ``/proc/PID/stat``
    are 10 ms long and a short run costs less.
    """
    files = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text().split()[0]) for file in files) / 1e9


def memory_kb(pid):
    """Return resident and private memory of a process in KB."""
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
        Process id to a dict of socket addresses to bytes, from ``ss``.
    """
    output = subprocess.run(
        ["ss", "-tinpOH"], capture_output=True, text=True, check=True
    ).stdout
    found = {pid: {} for pid in pids}
    for line in output.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner is None or int(owner[1]) not in found:
            continue
        sent = re.search(r"bytes_sent:(\d+)", line)
        received = re.search(r"bytes_received:(\d+)", line)
        parts = line.split()
        total = sum(int(match[1]) for match in (sent, received) if match)
        found[int(owner[1])][(parts[3], parts[4])] = total
    return found


def measure_idle(entry_count):
    """Return the cost of one idle entry instance of a fleet."""
    with fleets.Fleet(options=_options(entry_count)) as fleet:
        time.sleep(SETTLE_S)
        pids = [entry.process.pid for entry in fleet.entries]
        ports = {
            fleet.log_service_port: "log",
            fleet.instance_list_port: "list",
            **dict.fromkeys(fleet.instance_ports.values(), "workers"),
        }
        before = _sample(fleet, pids)
        time.sleep(IDLE_S)
        after = _sample(fleet, pids)
        memory = [memory_kb(pid) for pid in pids]
    elapsed_s = after["at"] - before["at"]
    per_entry = elapsed_s * entry_count
    counts = {
        name: (after["log"][name] - before["log"][name]) / per_entry
        for name in ("appends", "reads", "bytes_appended", "bytes_read")
    }
    traffic = _traffic(before["sockets"], after["sockets"], ports)
    processor = sum(after["processor"]) - sum(before["processor"])
    return {
        "entries": entry_count,
        "processor_percent": processor / per_entry * 100,
        **{name: sum(m[name] for m in memory) / entry_count for name in memory[0]},
        **{f"log_{name}_per_s": value for name, value in counts.items()},
        **{f"{name}_socket_bytes_per_s": traffic[name] / per_entry for name in traffic},
        "control_bytes_per_s": sum(traffic.values()) / per_entry,
        # One status a second to each peer, and one from each.
        "peer_messages_per_s": 2.0 * (entry_count - 1),
    }


def _options(entry_count, **more):
    return fleets.Options(
        entry_count=entry_count,
        log_level="WARNING",
        max_seconds=FLEET_LIMIT_S,
        **more,
    )


def _sample(fleet, pids):
    return {
        "log": fleet.log_service_state(),
        "processor": [processor_s(pid) for pid in pids],
        "sockets": socket_bytes(pids),
        "at": time.monotonic(),
    }


def _traffic(before, after, ports):
    """Return bytes by what is at the other end; peers are the rest."""
    totals = dict.fromkeys([*ports.values(), "peers"], 0)
    names = {f":{port}": name for port, name in ports.items()}
    for pid, sockets in after.items():
        for addresses, count in sockets.items():
            growth = count - before[pid].get(addresses, 0)
            ends = [re.search(r":\d+$", address)[0] for address in addresses]
            known = [names[end] for end in ends if end in names]
            totals[known[0] if known else "peers"] += growth
    return totals


def measure_actions(kind, counts):
    """Return rows of action count and processor seconds of one entry instance.

    Parameters
    ----------
    kind : {'configuration', 'observation', 'request', 'keyed_request'}
        What is done; a claim costs the difference of the last two.
    counts : list of int
        Numbers of actions.
    """
    with fleets.Fleet(options=_options(2)) as fleet:
        acting = {
            "configuration": _publish_many,
            "observation": _observe_many,
            "request": functools.partial(_send_many, path="/back-office/quotes"),
            "keyed_request": functools.partial(_send_many, path="/back-office/charges"),
        }[kind](fleet)
        time.sleep(SETTLE_S)
        pids = [entry.process.pid for entry in fleet.entries]
        idle = _sample(fleet, pids)
        time.sleep(IDLE_S / 2)
        idle_end = _sample(fleet, pids)
        idle_s = idle_end["at"] - idle["at"]
        rows = []
        for count in counts:
            before = _sample(fleet, pids)
            acting(count)
            time.sleep(1.0)
            after = _sample(fleet, pids)
            elapsed_s = after["at"] - before["at"]
            row = {"kind": kind, "count": count, "elapsed_s": elapsed_s}
            for number, name in enumerate(("first", "second")):
                spent = after["processor"][number] - before["processor"][number]
                base = idle_end["processor"][number] - idle["processor"][number]
                # The idle cost is taken off.
                row[f"{name}_processor_s"] = spent - base * elapsed_s / idle_s
            row["appends"] = after["log"]["appends"] - before["log"]["appends"]
            rows.append(row)
    return rows


def _publish_many(fleet):
    """Publish the sheet of the two-year size again and again."""
    size = control_records.Size(instances=840, pools=70)
    key = bytes.fromhex(fleet.publisher_key_path("owner").read_text())
    publisher = signing.Publisher(name="owner", authority="owner", key=key)
    version = 0
    writer = "bench-publisher"
    sequence = 0

    def act(count):
        nonlocal version, sequence
        with _log_connection(fleet) as log:
            for _ in range(count):
                sequence += 1
                record = control_records.publication(
                    size, expected_version=version, publisher=publisher
                )
                maps = [codec.to_map(record)]
                envelope = messages.Envelope(
                    writer=writer, sequence=sequence, records=maps
                )
                # A sheet's version is one more than its offset.
                version = _append(log, codec.encode(envelope)) + 1
        calls.wait_until(
            lambda: all(entry.sheet_versions[0] == version for entry in fleet.entries),
            20,
            "both instances have read the last publication",
        )

    return act


def _observe_many(fleet):
    """Change the status of all instances in the list, a number of times each."""
    names = list(fleet.instance_ports)
    names = [name for name in names if "worker" not in name]
    status = "live"

    def act(count):
        nonlocal status
        for _ in range(count // len(names)):
            status = "leaving" if status == "live" else "live"
            fleet.control_instance_list(status=dict.fromkeys(names, status))
            time.sleep(OBSERVE_WAIT_S)

    return act


def _send_many(fleet, *, path):
    """Send requests through the first entry instance, charges with a key."""
    entry = fleet.entries[0]
    _publish_sheets(fleet)

    def act(count):
        for _ in range(count):
            headers = {"Desk": "bench"}
            if path.endswith("charges"):
                headers["Idempotency-Key"] = idempotency.new_key()
            answer = entry.send("POST", path, headers=headers, body=b"{}")
            if answer.status != 200:
                raise SystemExit(answer.describe())

    return act


def _publish_sheets(fleet):
    for publisher, authority in sheets.PUBLISHER_AUTHORITIES.items():
        source = fleets.ROOT / "deployments" / "brazos" / f"{authority}.csv"
        target = fleet.directory / source.name
        # Maintenance would take servers away during the run.
        sheets.copy_sheet(
            source, target, without=("maintenance", *sheets.TIME_OF_DAY_SETTINGS)
        )
        result = fleet.publish(publisher, target)
        if result.returncode:
            raise SystemExit(result.stdout + result.stderr)


def measure_urgent(counts):
    """Return rows of the time from a caller's submission to the start of its task.

    Parameters
    ----------
    counts : list of int
        Numbers of rush jobs submitted at once through all of 8 entry instances.
    """
    with fleets.Fleet(options=_options(8)) as fleet:
        _publish_sheets(fleet)
        time.sleep(SETTLE_S)
        return [_submit_at_once(fleet, count) for count in counts]


def _submit_at_once(fleet, count):
    submitted = {}

    def submit(number):
        entry = fleet.entries[number % len(fleet.entries)]
        at = time.monotonic()
        answer = entry.send(
            "POST",
            "/jobs/back-office",
            headers={"Desk": "bench"},
            body=json.dumps(URGENT_JOB).encode(),
        )
        if answer.status != 202:
            raise SystemExit(answer.describe())
        submitted[answer.json["job"]] = at

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        list(pool.map(submit, range(count)))
    started = {}

    def is_all_started():
        states = fleet.worker_states()
        now = time.monotonic()
        for state in states.values():
            for task in state["tasks"]:
                started.setdefault(task["id"], now - task["runtime_s"])
        return submitted.keys() <= started.keys()

    calls.wait_until(is_all_started, URGENT_JOB["runtime_s"], "all tasks have started")
    delays = sorted(started[job] - at for job, at in submitted.items())
    # The tasks of the next row must not find the workers full.
    for job in submitted:
        fleet.entries[0].send("DELETE", f"/jobs/{job}")
    return {
        "jobs": count,
        "median_s": statistics.median(delays),
        "slowest_s": delays[-1],
    }


def measure_start(record_count, *, with_snapshot):
    """Return how one entry instance starts against a log of some length."""
    size = control_records.Size(instances=60, sessions=1, keys=0)
    options = _options(1, appends_per_second=UNLIMITED_APPENDS)
    fleet = fleets.Fleet(options=options)
    try:
        fleet._watchdog.start()
        fleet.start_platform()
        _fill(fleet, size, record_count, with_snapshot=with_snapshot)
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


def _fill(fleet, size, record_count, *, with_snapshot):
    """Append heartbeats and keyed requests until the log has some records."""
    bodies, writers = control_records.make_stream(size)
    writer = writers[0]
    number = 0
    while len(bodies) < record_count - SHARE_OF_RETAINED:
        # Of ten envelopes, two carry a claim and its answer.
        if number % 10 == 0:
            writer.write(control_records.claim(number, writer.name))
            writer.write(control_records.answer(number, writer.name))
        else:
            heartbeat = messages.SessionHeartbeat(
                session=writer.name, position=len(bodies)
            )
            writer.write(heartbeat)
        number += 1
    base = len(bodies)
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
            _append(log, body)
    if with_snapshot:
        fleet.control_log_service(expire_before=base, stream="control")


@contextlib.contextmanager
def _log_connection(fleet):
    connection = http.client.HTTPConnection(
        fleets.HOST, fleet.log_service_port, timeout=30
    )
    with contextlib.closing(connection):
        yield connection


def _append(connection, body):
    """Append a body and return its offset."""
    connection.request("POST", "/streams/control/records", body=body)
    response = connection.getresponse()
    text = response.read()
    if response.status != 200:
        raise SystemExit(f"the log answered {response.status}: {text!r}")
    return json.loads(text)["offset"]
