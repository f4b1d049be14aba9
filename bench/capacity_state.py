"""Measure the control state of one size in a process of its own; print JSON.

``bench.capacity`` starts this once for each size, so that the resident memory of one
size does not hide that of another.
"""

import argparse
import concurrent.futures
import dataclasses
import gc
import json
import multiprocessing
import pathlib
import time
import types

from bench import control_records
from cranberryport import daemon
from cranberryport.fleet import instance_list, jobs, planner
from cranberryport.generated import messages
from cranberryport.observability import status
from cranberryport.state import fold, snapshot
from cranberryport.stream import view

REPEATS = 5
LOCAL_TIME = "12:00"


def resident_kb():
    """Return the resident memory of this process in KB."""
    text = pathlib.Path("/proc/self/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    return int(fields["Rss"].split()[0])


def fastest_s(function):
    """Return the least processor time of some calls, in seconds."""
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        function()
        times.append(time.process_time() - start)
    return min(times)


def measure(size):
    """Return the figures for one size."""
    bodies = _make_bodies_elsewhere(size)
    body_bytes = sum(len(body) for body in bodies)
    gc.collect()
    before_kb = resident_kb()
    state = fold.State(publishers=control_records.PUBLISHERS)
    start = time.process_time()
    record_count = 0
    for offset, body in enumerate(bodies):
        outcomes = fold.apply_envelope(state, offset, body)
        record_count += len(outcomes)
        for outcome in outcomes:
            if getattr(outcome, "reason", ""):
                raise SystemExit(f"rejected: {outcome.reason}")
    folded_s = time.process_time() - start
    gc.collect()
    state_kb = resident_kb() - before_kb
    bodies, writers = control_records.make_stream(size)
    records = _cost_of_records(state, size, bodies, writers)
    passes = _cost_of_passes(state, size)
    return {
        **dataclasses.asdict(size),
        "records": record_count,
        "stream_bytes": body_bytes,
        "fold_us_per_record": folded_s / record_count * 1e6,
        "state_kb": state_kb,
        **records,
        **passes,
        **_cost_of_snapshot(state),
    }


def _make_bodies_elsewhere(size):
    # Made here, the stream would leave freed memory behind that the state then uses.
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(_make_bodies, size).result()


def _make_bodies(size):
    return control_records.make_stream(size)[0]


def _cost_of_snapshot(state):
    parts = snapshot.make_chunks(state, snapshot="bench")
    publishers = control_records.PUBLISHERS
    before_kb = resident_kb()
    encode_s = fastest_s(lambda: snapshot.make_chunks(state, snapshot="bench"))
    peak_kb = resident_kb() - before_kb
    return {
        "snapshot_bytes": sum(len(part.data) for part in parts),
        "snapshot_encode_ms": encode_s * 1e3,
        "snapshot_peak_kb": peak_kb,
        "snapshot_restore_ms": 1e3
        * fastest_s(lambda: snapshot.restore(parts, publishers=publishers)),
    }


def _cost_of_records(state, size, bodies, writers):
    """Return milliseconds to fold one record of some kinds."""

    def cost(writer, *records):
        writer.write(*records)
        start = time.process_time()
        outcomes = fold.apply_envelope(state, len(bodies) - 1, bodies[-1])
        elapsed_ms = (time.process_time() - start) * 1e3
        for outcome in outcomes:
            if getattr(outcome, "reason", ""):
                raise SystemExit(f"rejected: {outcome.reason}")
        return elapsed_ms, outcomes

    def publish():
        version = state.sheets.get("owner").version
        return control_records.publication(size, expected_version=version)

    def observe(number):
        flip = "leaving" if number % 2 else "live"
        return control_records.observation(size, 0, flip)

    first = writers[0]
    costs = {
        "publication_ms": min(cost(first, publish())[0] for _ in range(REPEATS)),
        "observation_ms": min(
            cost(first, observe(number))[0] for number in range(1, 2 * REPEATS + 1)
        ),
    }
    publication_bytes = len(bodies[-2 * REPEATS - 1])
    claims, answers = [], []
    for number in range(10**6, 10**6 + REPEATS):
        claims.append(cost(first, control_records.claim(number, first.name))[0])
        answers.append(cost(first, control_records.answer(number, first.name))[0])
    opened = []
    for number in range(REPEATS):
        name = f"late-{number}"
        writer = control_records.Writer(name=name, bodies=bodies)
        record = messages.SessionOpened(
            session=name, instance=name, data_centre="dc0", host="127.0.0.1", port=1
        )
        opened.append(cost(writer, record)[0])
        cost(writer, messages.SessionClosed(session=name))
    return {
        **costs,
        "publication_bytes": publication_bytes,
        "claim_and_answer_ms": min(claims) + min(answers),
        "session_opened_ms": min(opened),
    }


def _cost_of_passes(state, size):
    """Return milliseconds of the regular passes of an entry instance."""
    session = state.sessions.live_ids()[0]
    follower = types.SimpleNamespace(
        state=state, has_dispatch_right=True, contact_age_s=0.0, is_state_lost=False
    )
    session_keeper = types.SimpleNamespace(session=session, is_open=True, rank=0)
    instances = _instance_list(follower, session_keeper, size)
    peers = types.SimpleNamespace(statuses=dict)
    control_view = view.View(
        follower=follower,
        session_keeper=session_keeper,
        instance_list=instances,
        peers=peers,
        usable_units=lambda name: state.held_units(session, name),
    )
    placer = jobs.JobManager(
        follower=follower,
        session_keeper=session_keeper,
        instance_list=instances,
        timers=None,
        client=None,
    )
    page = _status(follower, session_keeper, instances, peers, control_view, placer)
    listing = _listing(size)
    passes = {
        "planner_pass": lambda: planner.next_operations(
            state, now=0.0, local_time=LOCAL_TIME
        ),
        "view_servers": lambda: control_view.servers("service-0"),
        "status_page": lambda: json.dumps(page.status()),
        "pools_page": lambda: json.dumps(page.pools()),
        "job_placing_view": lambda: placer.workers,
        "share_tick": lambda: state.surplus(session),
        "list_poll": lambda: _take_listing(instances, listing),
    }
    costs = {f"{name}_ms": fastest_s(call) * 1e3 for name, call in passes.items()}
    return {**costs, "list_bytes": len(listing)}


def _instance_list(follower, session_keeper, size):
    made = instance_list.InstanceList(
        client=None,
        timers=None,
        settings=None,
        follower=follower,
        session_keeper=session_keeper,
    )
    _take_listing(made, _listing(size))
    return made


def _listing(size):
    """Return the platform's answer: one backend server and one worker each."""
    rows = []
    for number in range(size.instances):
        record = control_records.observation(size, number)
        values = dataclasses.asdict(record)
        name = values.pop("instance")
        rows.append({"name": name, "kind": "backend_server", **values})
        values.pop("slots")
        # At 840 workers this gives 940 accelerators.
        sizes = {
            "processors": 64,
            "memory_mb": 262_144,
            "accelerators": 1 + (number < 100),
        }
        rows.append({"name": f"worker-{number}", "kind": "worker", **values, **sizes})
    return json.dumps({"as_of": 1e9, "instances": rows}).encode()


def _take_listing(instances, listing):
    # As in InstanceList after a good poll, without the socket.
    entries = json.loads(listing)["instances"]
    instances._entries = {entry["name"]: entry for entry in entries}
    instances._received_at = time.monotonic()
    return list(instances._needed_observations())


def _status(follower, session_keeper, instances, peers, control_view, placer):
    writer = types.SimpleNamespace(append_count=0, record_count=0)
    control = types.SimpleNamespace(
        follower=follower,
        writer=writer,
        session_keeper=session_keeper,
        instance_list=instances,
        peers=peers,
        view=control_view,
        relay=types.SimpleNamespace(relayed_count=0),
    )
    return status.Status(
        settings=types.SimpleNamespace(instance="bench", data_centre="dc0"),
        control=control,
        dispatcher=types.SimpleNamespace(request_count=0),
        recorder=types.SimpleNamespace(counts={}),
        jobs=placer,
        histograms=types.SimpleNamespace(summary=dict),
        publishers=control_records.PUBLISHERS,
    )


def main():
    """Print the figures as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for field in dataclasses.fields(control_records.Size):
        name = field.name
        parser.add_argument(f"--{name}", type=int, default=field.default)
    options = parser.parse_args()
    size = control_records.Size(**vars(options))
    # Imported for its memory: the state is measured on top of a whole daemon.
    assert daemon.Daemon
    print(json.dumps(measure(size)))


if __name__ == "__main__":
    main()
