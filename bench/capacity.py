"""Measure how the cost of the control plane grows, and fit straight lines.

Run with ``make capacity``, or ``python -m bench.capacity --part PART``. Rows and fits
go to ``docs/data/capacity-PART.json`` and plots to ``docs/plots/capacity-PART.svg``. At
most 25 processes run at once; the whole run takes under ten minutes.
"""

import argparse
import json
import os
import pathlib
import platform
import statistics
import subprocess
import sys
import tempfile
import time

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from bench import capacity_fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "data"
PLOTS = ROOT / "docs" / "plots"
CHILD_TIMEOUT_S = 120
INSTANCES = (60, 200, 420, 840)
POOLS = (5, 20, 45, 70)
KEYS = (1_000, 3_000, 6_000, 12_000)
JOBS = (500, 1_000, 2_500, 5_000)
REBOOTS = (20, 210, 420, 840)
SESSIONS = (2, 4, 8, 16)
ENTRIES = (2, 4, 8, 16)
LOG_RECORDS = (1_000, 5_000, 10_000, 20_000)
URGENT_JOBS = (1, 8, 16, 32)
ACTIONS = {
    "configuration": (5, 10, 20, 40),
    "observation": (30, 60, 120, 180),
    "request": (50, 100, 200, 400),
    "keyed_request": (50, 100, 200, 400),
}
# Every instance is maintained once in 6 weeks, which is 20 of 840 a day.
ORDINARY_DAY = {"reboots": 20}
LARGEST = {"instances": 840, "pools": 70}
STATE_SWEEPS = {
    "instances": (INSTANCES, {"pools": 70, **ORDINARY_DAY}),
    "pools": (POOLS, {"instances": 840, **ORDINARY_DAY}),
    "sessions": (SESSIONS, {**LARGEST, **ORDINARY_DAY}),
    "reboots": (REBOOTS, LARGEST),
    "keys": (KEYS, ORDINARY_DAY),
    "jobs": (JOBS, ORDINARY_DAY),
}
STATE_FIGURES = (
    "state_kb",
    "snapshot_bytes",
    "snapshot_peak_kb",
    "snapshot_encode_ms",
    "snapshot_restore_ms",
    "fold_us_per_record",
    "publication_bytes",
    "publication_ms",
    "observation_ms",
    "claim_and_answer_ms",
    "session_opened_ms",
    "planner_pass_ms",
    "view_servers_ms",
    "status_page_ms",
    "pools_page_ms",
    "job_placing_view_ms",
    "share_tick_ms",
    "list_poll_ms",
    "list_bytes",
)
IDLE_FIGURES = (
    "processor_percent",
    "rss_kb",
    "private_kb",
    "log_appends_per_s",
    "log_reads_per_s",
    "log_bytes_read_per_s",
    "log_socket_bytes_per_s",
    "list_socket_bytes_per_s",
    "peers_socket_bytes_per_s",
    "workers_socket_bytes_per_s",
    "control_bytes_per_s",
    "peer_messages_per_s",
)
START_FIGURES = ("ready_s", "processor_s", "bytes_read", "rss_kb")


def fit(rows, size, figure):
    """Return the least-squares line of a figure against a size.

    Parameters
    ----------
    rows : list of dict
        Measurements.
    size, figure : str
        Keys of the rows.

    Returns
    -------
    dict
        ``slope``, ``intercept`` and ``residual``, the root mean square distance of the
        measurements from the line, in the figure's unit.
    """
    sizes = [row[size] for row in rows]
    values = [row[figure] for row in rows]
    line = statistics.linear_regression(sizes, values)
    distances = [
        value - line.intercept - line.slope * at
        for at, value in zip(sizes, values, strict=True)
    ]
    return {
        "size": size,
        "figure": figure,
        "slope": line.slope,
        "intercept": line.intercept,
        "residual": statistics.fmean(d * d for d in distances) ** 0.5,
    }


def measure_state():
    """Return sweeps of the control state, each size in a process of its own."""
    return [
        {
            "sweep": name,
            "size": name,
            "rows": [_state_row({**fixed, name: value}) for value in values],
            "figures": STATE_FIGURES,
        }
        for name, (values, fixed) in STATE_SWEEPS.items()
    ]


def _state_row(size):
    arguments = [f"--{name}={value}" for name, value in size.items()]
    command = [sys.executable, "-m", "bench.capacity_state", *arguments]
    return json.loads(_run(command))


def measure_idle():
    """Return the sweep of idle fleets."""
    rows = [capacity_fleet.measure_idle(count) for count in ENTRIES]
    return [
        {"sweep": "entries", "size": "entries", "rows": rows, "figures": IDLE_FIGURES}
    ]


def measure_actions():
    """Return a sweep for each kind of action."""
    return [
        {
            "sweep": kind,
            "size": "count",
            "rows": capacity_fleet.measure_actions(kind, counts),
            "figures": ("first_processor_s", "second_processor_s", "appends"),
        }
        for kind, counts in ACTIONS.items()
    ]


def measure_urgent():
    """Return the sweep of rush jobs submitted at once."""
    rows = capacity_fleet.measure_urgent(URGENT_JOBS)
    figures = ("median_s", "slowest_s")
    return [{"sweep": "rush jobs", "size": "jobs", "rows": rows, "figures": figures}]


def measure_start():
    """Return the sweeps of the start with and without a snapshot."""
    return [
        {
            "sweep": "snapshot" if with_snapshot else "no snapshot",
            "size": "records",
            "rows": [
                capacity_fleet.measure_start(count, with_snapshot=with_snapshot)
                for count in LOG_RECORDS
            ],
            "figures": START_FIGURES,
        }
        for with_snapshot in (False, True)
    ]


def measure_imports():
    """Return the memory of the imports, one by one and for ways to start Python."""
    with tempfile.TemporaryDirectory() as folder:
        cached = {"PYTHONPYCACHEPREFIX": folder, "PYTHONDONTWRITEBYTECODE": ""}
        empty = {"PYTHONPYCACHEPREFIX": "/dev/null", "PYTHONDONTWRITEBYTECODE": "1"}
        ways = {
            "nothing compiled before": (empty, []),
            "all compiled before": (cached, []),
            "all compiled before, -OO": (cached, ["-OO"]),
        }
        totals = [
            {"way": way, **_import_rows(environment, flags, ["--total"])[-1]}
            for way, (environment, flags) in ways.items()
        ]
        rows = _import_rows(cached, [], [])
    return [
        {"sweep": "imports", "size": "modules", "rows": rows, "figures": ()},
        {"sweep": "ways", "size": "modules", "rows": totals, "figures": ()},
    ]


def _import_rows(environment, flags, arguments):
    command = [sys.executable, *flags, "-m", "bench.capacity_imports", *arguments]
    # The first run fills the cache of compiled modules.
    for _ in range(2):
        output = _run(command, environment)
    return json.loads(output)


def _run(command, environment=None):
    result = subprocess.run(
        command,
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        capture_output=True,
        text=True,
        timeout=CHILD_TIMEOUT_S,
        check=False,
    )
    if result.returncode:
        raise SystemExit(result.stderr)
    return result.stdout


PARTS = {
    "imports": measure_imports,
    "state": measure_state,
    "start": measure_start,
    "urgent": measure_urgent,
    "actions": measure_actions,
    "idle": measure_idle,
}


def write(part, sweeps, elapsed_s):
    """Write the rows, the fits and the plots of a part."""
    for sweep in sweeps:
        size, rows = sweep["size"], sweep["rows"]
        sweep["fits"] = [fit(rows, size, figure) for figure in sweep.pop("figures")]
    data = {
        "command": f"python -m bench.capacity --part {part}",
        "machine": f"{platform.machine()}, {os.cpu_count()} cores",
        "python": platform.python_version(),
        "elapsed_s": round(elapsed_s, 1),
        "sweeps": sweeps,
    }
    DATA.mkdir(parents=True, exist_ok=True)
    path = DATA / f"capacity-{part}.json"
    path.write_text(json.dumps(_rounded(data), indent=1) + "\n")
    if sweeps[0]["fits"]:
        _plot(part, sweeps)


def _rounded(value):
    if isinstance(value, float):
        return float(f"{value:.6g}")
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    return value


def _plot(part, sweeps):
    figures = [entry["figure"] for entry in sweeps[0]["fits"]]
    columns = 3
    lines = -(-len(figures) // columns)
    # Fixed salt and no date: a run with the same figures writes the same file.
    matplotlib.rcParams.update(
        {"svg.hashsalt": "capacity", "svg.fonttype": "none", "font.size": 7}
    )
    whole, axes = pyplot.subplots(
        lines, columns, figsize=(9, 2.1 * lines), squeeze=False, layout="constrained"
    )
    for axis in axes.flat[len(figures) :]:
        axis.set_visible(False)
    for axis, figure in zip(axes.flat, figures, strict=False):
        for sweep in sweeps:
            _plot_sweep(axis, sweep, figure)
        axis.set_title(figure)
        axis.set_ylim(bottom=min(0.0, axis.get_ylim()[0]))
    axes.flat[0].legend(fontsize=5)
    PLOTS.mkdir(parents=True, exist_ok=True)
    whole.savefig(PLOTS / f"capacity-{part}.svg", metadata={"Date": None})
    pyplot.close(whole)


def _plot_sweep(axis, sweep, figure):
    # Sweeps of one part have different units; the largest size is 1.
    largest = max(row[sweep["size"]] for row in sweep["rows"])
    sizes = [row[sweep["size"]] / largest for row in sweep["rows"]]
    label = f"{sweep['sweep']} (1 is {largest})"
    axis.plot(sizes, [row[figure] for row in sweep["rows"]], "o-", ms=2, label=label)


def report(part, sweeps):
    """Print the fits of a part as a table."""
    if not sweeps[0]["fits"]:
        for sweep in sweeps:
            print(*sweep["rows"], sep="\n")
        return
    print(f"\n{part}\n\n| against | figure | slope | intercept | residual |")
    print("|---|---|---|---|---|")
    for sweep in sweeps:
        for entry in sweep["fits"]:
            numbers = [entry[name] for name in ("slope", "intercept", "residual")]
            cells = " | ".join(f"{number:.4g}" for number in numbers)
            print(f"| {sweep['sweep']} | {entry['figure']} | {cells} |")


def main():
    """Measure the chosen parts."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--part", choices=PARTS, action="append")
    options = parser.parse_args()
    for part in options.part or PARTS:
        start = time.monotonic()
        sweeps = PARTS[part]()
        write(part, sweeps, time.monotonic() - start)
        report(part, sweeps)


if __name__ == "__main__":
    main()
