"""Measure goodput in a fleet of 8 entry instances with stand-ins on loopback.

Goodput counts the requests that are answered within their deadline. The loads go up to
5 times the capacity of the service; it is part ``fleet`` of ``bench.policy``.
"""

import collections
import concurrent.futures
import threading
import time

from standins import calls, deployments, fleet, sheets

SERVICE = "sizing"
WORK_MS = 400
CAPACITY_SLOTS = 48
DEADLINE_S = 3.0
RUN_DURATION_S = 6.0
LOAD_FACTORS = (1, 2, 5)
FLEET_MAX_RUNTIME_S = 150.0
# Each request in flight takes a thread; at 5 times the capacity this many may wait.
MAX_CALLER_THREADS = 400


def _send_request(entry, request_class, deadline_s, send_until):
    """Send a request and wait for its response.

    Parameters
    ----------
    entry : fleet.Entry
        Entry instance.
    request_class : str
        Class of the request.
    deadline_s : float
        Time from now to its deadline, in seconds.
    send_until : float
        Monotonic time after which the request is not sent any more.

    Returns
    -------
    tuple of (str, str, float, float)
        Class, outcome, latency in seconds, and monotonic time of the end. The outcome
        is ``late`` for an answer after the deadline, ``none`` for a response without
        ``Request-Outcome``, and ``not sent`` after ``send_until``.
    """
    started_at = time.monotonic()
    if started_at > send_until:
        # All threads were waiting for responses when the request was due.
        return request_class, "not sent", 0.0, started_at
    headers = {
        "Desk": "front-desk",
        "Request-Class": request_class,
        "Request-Deadline": f"{time.time() + deadline_s:.3f}",
        "Test-Delay-Ms": str(WORK_MS),
    }
    response = entry.send(
        "GET", f"/{SERVICE}/fit", headers=headers, timeout_s=deadline_s + 5
    )
    ended_at = time.monotonic()
    latency_s = ended_at - started_at
    outcome = response.headers.get("request-outcome", "none")
    if outcome == "answered" and latency_s > deadline_s:
        outcome = "late"
    return request_class, outcome, latency_s, ended_at


def _send_at_rates(running_fleet, rates, duration_s, *, is_first_entry_only=False):
    """Send requests at constant rates.

    Parameters
    ----------
    running_fleet : fleet.Fleet
        Running fleet.
    rates : dict
        For each class a tuple of requests a second and deadline in seconds.
    duration_s : float
        How long requests are sent.
    is_first_entry_only : bool, default=False
        Whether all go to the first entry instance instead of to all in turn.

    Returns
    -------
    tuple of (list, float)
        Results of the requests as returned by :func:`_send_request`, and the seconds
        from the start to the last response.
    """
    entries = (
        running_fleet.entries[:1] if is_first_entry_only else running_fleet.entries
    )
    results, lock = [], threading.Lock()

    def record_result(future):
        with lock:
            results.append(future.result())

    with concurrent.futures.ThreadPoolExecutor(MAX_CALLER_THREADS) as callers:
        started_at = time.monotonic()
        sent_counts = collections.Counter()
        while (elapsed_s := time.monotonic() - started_at) < duration_s:
            for request_class, (rate, deadline_s) in rates.items():
                while sent_counts[request_class] < rate * elapsed_s:
                    entry = entries[sent_counts.total() % len(entries)]
                    sent_counts[request_class] += 1
                    future = callers.submit(
                        _send_request,
                        entry,
                        request_class,
                        deadline_s,
                        started_at + duration_s,
                    )
                    future.add_done_callback(record_result)
            time.sleep(0.005)
    return results, max(ended_at for _, _, _, ended_at in results) - started_at


def _summarize(name, measured):
    results, duration_s = measured
    counts = collections.Counter(outcome for _, outcome, _, _ in results)
    latencies_s = sorted(
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
        **{
            outcome: counts[outcome]
            for outcome in ("answered", "late", "not-run", "unknown")
        },
        "none": counts["none"],
        "rush p50": latencies_s[len(latencies_s) // 2] if latencies_s else None,
        "rush p99": latencies_s[int(0.99 * len(latencies_s))] if latencies_s else None,
    }


def _publish_sheets(running_fleet):
    for authority, publisher in (("owner", "owner"), ("team", "planner")):
        sheet_file = running_fleet.directory / f"{authority}.csv"
        source = fleet.ROOT / "deployments" / "brazos" / f"{authority}.csv"
        left_out_settings = (*sheets.TIME_OF_DAY_SETTINGS, "maintenance")
        sheets.copy_sheet(source, sheet_file, without=left_out_settings)
        result = running_fleet.publish(publisher, sheet_file)
        if result.returncode:
            raise RuntimeError(result.stdout + result.stderr)


def _wait_until_served(running_fleet):
    def read_service_status(entry):
        return entry.send("GET", f"/{SERVICE}/fit", headers={"Desk": "sizing"}).status

    for entry in running_fleet.entries:
        calls.wait_until(
            lambda entry=entry: read_service_status(entry) == 200, 20, entry.name
        )


def measure():
    """Run all loads on one fleet.

    Returns
    -------
    tuple of (list of dict, int, int)
        Figures of each load; overruns recorded by the backend servers; the highest
        number of requests that ran at once on a backend server.
    """
    options = fleet.Options(
        deployment=deployments.BRAZOS,
        log_level="WARNING",
        max_seconds=FLEET_MAX_RUNTIME_S,
    )
    rate = CAPACITY_SLOTS * 1000 / WORK_MS
    rows = []
    with fleet.Fleet(options=options) as running_fleet:
        _publish_sheets(running_fleet)
        _wait_until_served(running_fleet)
        running_fleet.control_backend_servers(clear=True)
        for load_factor in LOAD_FACTORS:
            rates = {"interactive": (load_factor * rate, DEADLINE_S)}
            measured = _send_at_rates(running_fleet, rates, RUN_DURATION_S)
            rows.append(_summarize(f"{load_factor}x", measured))
        rates = {"batch": (3 * rate, 10.0), "rush": (0.1 * rate, DEADLINE_S)}
        measured = _send_at_rates(running_fleet, rates, RUN_DURATION_S)
        rows.append(_summarize("rush, batch at 3x", measured))
        rates = {"interactive": (0.5 * rate, DEADLINE_S)}
        measured = _send_at_rates(
            running_fleet, rates, RUN_DURATION_S, is_first_entry_only=True
        )
        rows.append(_summarize("0.5x at one entry instance", measured))
        states = running_fleet.backend_server_states().values()
        overruns = sum(state["overruns"] for state in states)
        max_concurrency = max(state["max_concurrency"] for state in states)
    return rows, overruns, max_concurrency
