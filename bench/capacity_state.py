"""Measure the memory and processor time of a control state; print them as JSON.

``bench.capacity`` starts this module once for each size: in one process the memory
freed after one size would be used again by the next and not show as growth.
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


def read_resident_kb():
    """Return the resident memory of this process in KB."""
    text = pathlib.Path("/proc/self/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    return int(fields["Rss"].split()[0])


def min_processor_time_s(call):
    """Return the least processor time of repeated calls, in seconds."""
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        call()
        times.append(time.process_time() - start)
    return min(times)


def measure(size):
    """Return the figures of a control state.

    Parameters
    ----------
    size : control_records.Size
        Numbers of the objects in the state.

    Returns
    -------
    dict
        The fields of the size, and the figures with their unit at the end of the key.
    """
    bodies = _make_bodies_in_child(size)
    body_bytes = sum(len(body) for body in bodies)
    gc.collect()
    before_kb = read_resident_kb()
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
    state_kb = read_resident_kb() - before_kb
    bodies, writers = control_records.make_stream(size)
    record_figures = _measure_records(state, size, bodies, writers)
    pass_figures = _measure_passes(state, size)
    return {
        **dataclasses.asdict(size),
        "records": record_count,
        "stream_bytes": body_bytes,
        "fold_us_per_record": folded_s / record_count * 1e6,
        "state_kb": state_kb,
        **record_figures,
        **pass_figures,
        **_measure_snapshot(state),
    }


def _make_bodies_in_child(size):
    # Making the stream in this process would leave freed memory that the state then
    # uses, so that the state would seem to take less.
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(_make_bodies, size).result()


def _make_bodies(size):
    return control_records.make_stream(size)[0]


def _measure_snapshot(state):
    chunks = snapshot.make_chunks(state, snapshot="bench")
    publishers = control_records.PUBLISHERS
    before_kb = read_resident_kb()
    encode_s = min_processor_time_s(
        lambda: snapshot.make_chunks(state, snapshot="bench")
    )
    peak_kb = read_resident_kb() - before_kb
    return {
        "snapshot_bytes": sum(len(chunk.data) for chunk in chunks),
        "snapshot_encode_ms": encode_s * 1e3,
        "snapshot_peak_kb": peak_kb,
        "snapshot_restore_ms": 1e3
        * min_processor_time_s(lambda: snapshot.restore(chunks, publishers=publishers)),
    }


def _measure_records(state, size, bodies, writers):
    """Return the milliseconds that folding one record takes, for some kinds of records.

    Parameters
    ----------
    state : fold.State
        State after the records of ``bodies``; changes with each measurement.
    size : control_records.Size
        Size of the state.
    bodies : list of bytes
        Envelopes folded so far; the writers append to it.
    writers : list of control_records.EnvelopeWriter
        Writers of the open sessions.
    """

    def measure_fold(writer, *records):
        writer.write(*records)
        start = time.process_time()
        outcomes = fold.apply_envelope(state, len(bodies) - 1, bodies[-1])
        elapsed_ms = (time.process_time() - start) * 1e3
        for outcome in outcomes:
            if getattr(outcome, "reason", ""):
                raise SystemExit(f"rejected: {outcome.reason}")
        return elapsed_ms, outcomes

    def make_next_publication():
        version = state.sheets.get("owner").version
        return control_records.make_publication(size, expected_version=version)

    def make_status_change(number):
        next_status = "leaving" if number % 2 else "live"
        return control_records.make_observation(size, 0, next_status)

    first_writer = writers[0]
    costs = {
        "publication_ms": min(
            measure_fold(first_writer, make_next_publication())[0]
            for _ in range(REPEATS)
        ),
        "observation_ms": min(
            measure_fold(first_writer, make_status_change(number))[0]
            for number in range(1, 2 * REPEATS + 1)
        ),
    }
    # The last publication is followed by the envelopes of 2 * REPEATS observations.
    publication_bytes = len(bodies[-2 * REPEATS - 1])
    claim_costs_ms, answer_costs_ms = [], []
    for number in range(10**6, 10**6 + REPEATS):
        claim_costs_ms.append(
            measure_fold(
                first_writer, control_records.make_claim(number, first_writer.name)
            )[0]
        )
        answer_costs_ms.append(
            measure_fold(
                first_writer, control_records.make_answer(number, first_writer.name)
            )[0]
        )
    session_costs_ms = []
    for number in range(REPEATS):
        name = f"late-{number}"
        writer = control_records.EnvelopeWriter(name=name, bodies=bodies)
        record = messages.SessionOpened(
            session=name, instance=name, data_centre="dc0", host="127.0.0.1", port=1
        )
        session_costs_ms.append(measure_fold(writer, record)[0])
        measure_fold(writer, messages.SessionClosed(session=name))
    return {
        **costs,
        "publication_bytes": publication_bytes,
        "claim_and_answer_ms": min(claim_costs_ms) + min(answer_costs_ms),
        "session_opened_ms": min(session_costs_ms),
    }


def _measure_passes(state, size):
    """Return the milliseconds that passes of an entry instance over the state take.

    Some passes are periodic, some answer a request for a status page.
    """
    session = state.sessions.live_ids()[0]
    follower = types.SimpleNamespace(
        state=state, has_dispatch_right=True, contact_age_s=0.0, is_state_lost=False
    )
    session_keeper = types.SimpleNamespace(session=session, is_open=True, rank=0)
    platform_list = _make_instance_list(follower, session_keeper, size)
    peers = types.SimpleNamespace(statuses=dict)
    control_view = view.View(
        follower=follower,
        session_keeper=session_keeper,
        instance_list=platform_list,
        peers=peers,
        usable_units=lambda name: state.held_units(session, name),
    )
    job_manager = jobs.JobManager(
        follower=follower,
        session_keeper=session_keeper,
        instance_list=platform_list,
        timers=None,
        client=None,
    )
    status_pages = _make_status_component(
        follower, session_keeper, platform_list, peers, control_view, job_manager
    )
    response_body = _make_list_body(size)
    passes = {
        "planner_pass": lambda: planner.next_operations(
            state, now=0.0, local_time=LOCAL_TIME
        ),
        "view_servers": lambda: control_view.servers("service-0"),
        "status_page": lambda: json.dumps(status_pages.status()),
        "pools_page": lambda: json.dumps(status_pages.pools()),
        "job_placing_view": lambda: job_manager.workers,
        "share_tick": lambda: state.surplus(session),
        "list_poll": lambda: _load_list_body(platform_list, response_body),
    }
    costs = {
        f"{name}_ms": min_processor_time_s(call) * 1e3 for name, call in passes.items()
    }
    return {**costs, "list_bytes": len(response_body)}


def _make_instance_list(follower, session_keeper, size):
    platform_list = instance_list.InstanceList(
        client=None,
        timers=None,
        settings=None,
        follower=follower,
        session_keeper=session_keeper,
    )
    _load_list_body(platform_list, _make_list_body(size))
    return platform_list


def _make_list_body(size):
    """Return the platform's instance list as the body of its response.

    It holds one backend server and one worker for each instance of the size.
    """
    entries = []
    for number in range(size.instances):
        record = control_records.make_observation(size, number)
        values = dataclasses.asdict(record)
        name = values.pop("instance")
        entries.append({"name": name, "kind": "backend_server", **values})
        values.pop("slots")
        # 840 workers have 940 accelerators in all.
        worker_size = {
            "processors": 64,
            "memory_mb": 262_144,
            "accelerators": 1 + (number < 100),
        }
        entries.append(
            {"name": f"worker-{number}", "kind": "worker", **values, **worker_size}
        )
    return json.dumps({"as_of": 1e9, "instances": entries}).encode()


def _load_list_body(platform_list, response_body):
    # The same steps as InstanceList after a successful poll, without the connection.
    entries = json.loads(response_body)["instances"]
    platform_list._entries = {entry["name"]: entry for entry in entries}
    platform_list._received_at = time.monotonic()
    return list(platform_list._needed_observations())


def _make_status_component(
    follower, session_keeper, platform_list, peers, control_view, job_manager
):
    writer = types.SimpleNamespace(append_count=0, record_count=0)
    control = types.SimpleNamespace(
        follower=follower,
        writer=writer,
        session_keeper=session_keeper,
        instance_list=platform_list,
        peers=peers,
        view=control_view,
        relay=types.SimpleNamespace(relayed_count=0),
    )
    return status.Status(
        settings=types.SimpleNamespace(instance="bench", data_centre="dc0"),
        control=control,
        dispatcher=types.SimpleNamespace(request_count=0),
        recorder=types.SimpleNamespace(counts={}),
        jobs=job_manager,
        histograms=types.SimpleNamespace(summary=dict),
        publishers=control_records.PUBLISHERS,
    )


def main():
    """Measure the size given by the flags; print the figures as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for field in dataclasses.fields(control_records.Size):
        name = field.name
        parser.add_argument(f"--{name}", type=int, default=field.default)
    options = parser.parse_args()
    size = control_records.Size(**vars(options))
    # The daemon is imported so that its modules are in memory before the state is made.
    assert daemon.Daemon
    print(json.dumps(measure(size)))


if __name__ == "__main__":
    main()
