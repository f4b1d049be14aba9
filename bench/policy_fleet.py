"""Goodput against real processes: 8 entry instances and the stand-ins on loopback."""

import collections
import concurrent.futures
import threading
import time

from standins import calls, deployments, fleet, sheets

SERVICE = "sizing"
WORK_MS = 400
CAPACITY = 48
DEADLINE_S = 3.0
STEP_S = 6.0
LOADS = (1, 2, 5)
LIFE_S = 150.0
# Blocked callers are threads; this many can wait for answers at 5 times the capacity.
MAX_CALLERS = 400


def _send(entry, request_class, deadline_s, send_by):
    """Return the class, outcome, latency in seconds and end of one request."""
    began = time.monotonic()
    if began > send_by:
        # All callers were waiting for answers.
        return request_class, "not sent", 0.0, began
    headers = {
        "Desk": "front-desk",
        "Request-Class": request_class,
        "Request-Deadline": f"{time.time() + deadline_s:.3f}",
        "Test-Delay-Ms": str(WORK_MS),
    }
    response = entry.send(
        "GET", f"/{SERVICE}/fit", headers=headers, timeout_s=deadline_s + 5
    )
    ended = time.monotonic()
    latency_s = ended - began
    outcome = response.headers.get("request-outcome", "none")
    if outcome == "answered" and latency_s > deadline_s:
        outcome = "late"
    return request_class, outcome, latency_s, ended


def _load(running, rates, duration_s, *, only_first=False):
    """Send at constant rates by class; return the results and the seconds taken."""
    entries = running.entries[:1] if only_first else running.entries
    results, lock = [], threading.Lock()

    def note(future):
        with lock:
            results.append(future.result())

    with concurrent.futures.ThreadPoolExecutor(MAX_CALLERS) as callers:
        begin = time.monotonic()
        sent = collections.Counter()
        while (passed_s := time.monotonic() - begin) < duration_s:
            for request_class, (rate, deadline_s) in rates.items():
                while sent[request_class] < rate * passed_s:
                    entry = entries[sent.total() % len(entries)]
                    sent[request_class] += 1
                    future = callers.submit(
                        _send, entry, request_class, deadline_s, begin + duration_s
                    )
                    future.add_done_callback(note)
            time.sleep(0.005)
    return results, max(ended for _, _, _, ended in results) - begin


def _summarize(name, measured):
    results, duration_s = measured
    counts = collections.Counter(outcome for _, outcome, _, _ in results)
    rush = sorted(
        latency_s
        for request_class, outcome, latency_s, _ in results
        if request_class == "rush" and outcome == "answered"
    )
    return {
        "run": name,
        "requests": len(results) - counts["not sent"],
        "not sent": counts["not sent"],
        "seconds": duration_s,
        "goodput/s": counts["answered"] / duration_s,
        **{key: counts[key] for key in ("answered", "late", "not-run", "unknown")},
        "none": counts["none"],
        "rush p50": rush[len(rush) // 2] if rush else None,
        "rush p99": rush[int(0.99 * len(rush))] if rush else None,
    }


def _publish(running):
    for authority, publisher in (("owner", "owner"), ("team", "planner")):
        path = running.directory / f"{authority}.csv"
        source = fleet.ROOT / "deployments" / "brazos" / f"{authority}.csv"
        without = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        sheets.copy_sheet(source, path, without=without)
        result = running.publish(publisher, path)
        if result.returncode:
            raise RuntimeError(result.stdout + result.stderr)


def _wait_serving(running):
    def is_served(entry):
        return entry.send("GET", f"/{SERVICE}/fit", headers={"Desk": "sizing"}).status

    for entry in running.entries:
        calls.wait_until(lambda entry=entry: is_served(entry) == 200, 20, entry.name)


def measure():
    """Return rows of figures, the overruns and the highest concurrency."""
    options = fleet.Options(
        deployment=deployments.BRAZOS, log_level="WARNING", max_seconds=LIFE_S
    )
    rate = CAPACITY * 1000 / WORK_MS
    rows = []
    with fleet.Fleet(options=options) as running:
        _publish(running)
        _wait_serving(running)
        running.control_backend_servers(clear=True)
        for load in LOADS:
            rates = {"interactive": (load * rate, DEADLINE_S)}
            measured = _load(running, rates, STEP_S)
            rows.append(_summarize(f"{load}x", measured))
        rates = {"batch": (3 * rate, 10.0), "rush": (0.1 * rate, DEADLINE_S)}
        measured = _load(running, rates, STEP_S)
        rows.append(_summarize("rush, batch at 3x", measured))
        rates = {"interactive": (0.5 * rate, DEADLINE_S)}
        measured = _load(running, rates, STEP_S, only_first=True)
        rows.append(_summarize("0.5x at one entry instance", measured))
        states = running.backend_server_states().values()
        overruns = sum(state["overruns"] for state in states)
        highest = max(state["max_concurrency"] for state in states)
    return rows, overruns, highest
