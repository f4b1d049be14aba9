"""Measure how the cost of the control plane grows with its size, and fit lines to it.

Run with ``make capacity``, or ``python -m bench.capacity --part PART``. A sweep varies
one size and keeps the others fixed; each of its rows holds the figures measured at one
size. For each figure a line is fitted to the rows, so that its slope gives the cost of
one more instance, pool, key and so on.

Rows and fits go to ``docs/data/capacity-PART.json`` and plots to
``docs/plots/capacity-PART.svg``. At most 25 processes run at once; the whole run takes
less than ten minutes.
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
DATA_DIRECTORY = ROOT / "docs" / "data"
PLOTS_DIRECTORY = ROOT / "docs" / "plots"
CHILD_TIMEOUT_S = 120
INSTANCE_COUNTS = (60, 200, 420, 840)
POOL_COUNTS = (5, 20, 45, 70)
KEY_COUNTS = (1_000, 3_000, 6_000, 12_000)
JOB_COUNTS = (500, 1_000, 2_500, 5_000)
REBOOT_COUNTS = (20, 210, 420, 840)
SESSION_COUNTS = (2, 4, 8, 16)
ENTRY_COUNTS = (2, 4, 8, 16)
LOG_RECORD_COUNTS = (1_000, 5_000, 10_000, 20_000)
RUSH_JOB_COUNTS = (1, 8, 16, 32)
ACTION_COUNTS = {
    "configuration": (5, 10, 20, 40),
    "observation": (30, 60, 120, 180),
    "request": (50, 100, 200, 400),
    "keyed_request": (50, 100, 200, 400),
}
# Each instance is maintained once in 6 weeks: of 840 instances 20 a day.
DAILY_MAINTENANCE = {"reboots": 20}
LARGEST_FLEET = {"instances": 840, "pools": 70}
# Name of the size that varies: its values, and the sizes that stay fixed.
STATE_SWEEPS = {
    "instances": (INSTANCE_COUNTS, {"pools": 70, **DAILY_MAINTENANCE}),
    "pools": (POOL_COUNTS, {"instances": 840, **DAILY_MAINTENANCE}),
    "sessions": (SESSION_COUNTS, {**LARGEST_FLEET, **DAILY_MAINTENANCE}),
    "reboots": (REBOOT_COUNTS, LARGEST_FLEET),
    "keys": (KEY_COUNTS, DAILY_MAINTENANCE),
    "jobs": (JOB_COUNTS, DAILY_MAINTENANCE),
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


def fit_line(rows, size, figure):
    """Fit a least-squares line to a figure as a function of a size.

    Parameters
    ----------
    rows : list of dict
        Measurements, one for each value of the size.
    size, figure : str
        Keys of the size and the figure in the rows.

    Returns
    -------
    dict
        The keys ``size`` and ``figure``, the ``slope`` and ``intercept`` of the line,
        and ``residual``, the root mean square distance of the measurements from the
        line in the figure's unit.
    """
    sizes = [row[size] for row in rows]
    values = [row[figure] for row in rows]
    line = statistics.linear_regression(sizes, values)
    distances = [
        value - line.intercept - line.slope * size_value
        for size_value, value in zip(sizes, values, strict=True)
    ]
    return {
        "size": size,
        "figure": figure,
        "slope": line.slope,
        "intercept": line.intercept,
        "residual": statistics.fmean(d * d for d in distances) ** 0.5,
    }


def measure_state():
    """Return the sweeps of the control state; each size runs in its own process."""
    return [
        {
            "sweep": name,
            "size": name,
            "rows": [
                _measure_state_of_size({**fixed, name: value}) for value in values
            ],
            "figures": STATE_FIGURES,
        }
        for name, (values, fixed) in STATE_SWEEPS.items()
    ]


def _measure_state_of_size(size):
    arguments = [f"--{name}={value}" for name, value in size.items()]
    command = [sys.executable, "-m", "bench.capacity_state", *arguments]
    return json.loads(_run_child(command))


def measure_idle():
    """Return the sweep of idle fleets by number of entry instances."""
    rows = [capacity_fleet.measure_idle(count) for count in ENTRY_COUNTS]
    return [
        {"sweep": "entries", "size": "entries", "rows": rows, "figures": IDLE_FIGURES}
    ]


def measure_actions():
    """Return a sweep for each kind of action by number of actions."""
    return [
        {
            "sweep": kind,
            "size": "count",
            "rows": capacity_fleet.measure_actions(kind, counts),
            "figures": ("first_processor_s", "second_processor_s", "appends"),
        }
        for kind, counts in ACTION_COUNTS.items()
    ]


def measure_rush_jobs():
    """Return the sweep of the start of rush jobs by number submitted at once."""
    rows = capacity_fleet.measure_rush_jobs(RUSH_JOB_COUNTS)
    figures = ("median_s", "slowest_s")
    return [{"sweep": "rush jobs", "size": "jobs", "rows": rows, "figures": figures}]


def measure_start():
    """Return the sweeps of an entry instance's start by number of log records.

    One sweep starts from a log with a snapshot, the other from one without.
    """
    return [
        {
            "sweep": "snapshot" if with_snapshot else "no snapshot",
            "size": "records",
            "rows": [
                capacity_fleet.measure_start(count, with_snapshot=with_snapshot)
                for count in LOG_RECORD_COUNTS
            ],
            "figures": START_FIGURES,
        }
        for with_snapshot in (False, True)
    ]


def measure_imports():
    """Return the memory of a daemon's imports, without fitted lines.

    The first sweep measures after each import, the second all imports together: without
    and with compiled modules in the cache, and with docstrings left out (``-OO``).
    """
    with tempfile.TemporaryDirectory() as folder:
        cached_environment = {
            "PYTHONPYCACHEPREFIX": folder,
            "PYTHONDONTWRITEBYTECODE": "",
        }
        uncached_environment = {
            "PYTHONPYCACHEPREFIX": "/dev/null",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        start_modes = {
            "nothing compiled before": (uncached_environment, []),
            "all compiled before": (cached_environment, []),
            "all compiled before, -OO": (cached_environment, ["-OO"]),
        }
        total_rows = [
            {"way": mode, **_run_import_child(environment, flags, ["--total"])[-1]}
            for mode, (environment, flags) in start_modes.items()
        ]
        rows = _run_import_child(cached_environment, [], [])
    return [
        {"sweep": "imports", "size": "modules", "rows": rows, "figures": ()},
        {"sweep": "ways", "size": "modules", "rows": total_rows, "figures": ()},
    ]


def _run_import_child(environment, flags, arguments):
    command = [sys.executable, *flags, "-m", "bench.capacity_imports", *arguments]
    # The first run fills the cache of compiled modules; the second is measured.
    for _ in range(2):
        output = _run_child(command, environment)
    return json.loads(output)


def _run_child(command, environment=None):
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
    "urgent": measure_rush_jobs,
    "actions": measure_actions,
    "idle": measure_idle,
}


def write_results(part, sweeps, elapsed_s):
    """Fit lines to the sweeps of a part, and write the data file and the plot.

    Parameters
    ----------
    part : str
        One of ``PARTS``.
    sweeps : list of dict
        ``sweep`` (name), ``size`` (key of the size), ``rows`` and ``figures`` (keys to
        fit). ``figures`` is replaced by ``fits``.
    elapsed_s : float
        Duration of the measurement.
    """
    for sweep in sweeps:
        size, rows = sweep["size"], sweep["rows"]
        sweep["fits"] = [
            fit_line(rows, size, figure) for figure in sweep.pop("figures")
        ]
    data = {
        "command": f"python -m bench.capacity --part {part}",
        "machine": f"{platform.machine()}, {os.cpu_count()} cores",
        "python": platform.python_version(),
        "elapsed_s": round(elapsed_s, 1),
        "sweeps": sweeps,
    }
    DATA_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = DATA_DIRECTORY / f"capacity-{part}.json"
    path.write_text(json.dumps(_round_floats(data), indent=1) + "\n")
    if sweeps[0]["fits"]:
        _plot_part(part, sweeps)


def _round_floats(value):
    if isinstance(value, float):
        return float(f"{value:.6g}")
    if isinstance(value, dict):
        return {key: _round_floats(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_round_floats(item) for item in value]
    return value


def _plot_part(part, sweeps):
    figures = [entry["figure"] for entry in sweeps[0]["fits"]]
    column_count = 3
    row_count = -(-len(figures) // column_count)
    # With a fixed salt and no date the same figures give the same file.
    matplotlib.rcParams.update(
        {"svg.hashsalt": "capacity", "svg.fonttype": "none", "font.size": 7}
    )
    plot, axes = pyplot.subplots(
        row_count,
        column_count,
        figsize=(9, 2.1 * row_count),
        squeeze=False,
        layout="constrained",
    )
    for axis in axes.flat[len(figures) :]:
        axis.set_visible(False)
    for axis, figure in zip(axes.flat, figures, strict=False):
        for sweep in sweeps:
            _plot_sweep(axis, sweep, figure)
        axis.set_title(figure)
        axis.set_ylim(bottom=min(0.0, axis.get_ylim()[0]))
    axes.flat[0].legend(fontsize=5)
    PLOTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    plot.savefig(PLOTS_DIRECTORY / f"capacity-{part}.svg", metadata={"Date": None})
    pyplot.close(plot)


def _plot_sweep(axis, sweep, figure):
    # Sweeps of a part share an axis but differ in units: sizes are drawn as fractions
    # of the largest.
    largest = max(row[sweep["size"]] for row in sweep["rows"])
    sizes = [row[sweep["size"]] / largest for row in sweep["rows"]]
    label = f"{sweep['sweep']} (1 is {largest})"
    axis.plot(sizes, [row[figure] for row in sweep["rows"]], "o-", ms=2, label=label)


def print_fits(part, sweeps):
    """Print the fits of a part as a table, or its rows if nothing was fitted."""
    if not sweeps[0]["fits"]:
        for sweep in sweeps:
            print(*sweep["rows"], sep="\n")
        return
    print(f"\n{part}\n\n| against | figure | slope | intercept | residual |")
    print("|---|---|---|---|---|")
    for sweep in sweeps:
        for entry in sweep["fits"]:
            values = [entry[name] for name in ("slope", "intercept", "residual")]
            cells = " | ".join(f"{number:.4g}" for number in values)
            print(f"| {sweep['sweep']} | {entry['figure']} | {cells} |")


def main():
    """Measure the parts chosen on the command line; without a choice, all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--part", choices=PARTS, action="append")
    options = parser.parse_args()
    for part in options.part or PARTS:
        start = time.monotonic()
        sweeps = PARTS[part]()
        write_results(part, sweeps, time.monotonic() - start)
        print_fits(part, sweeps)


if __name__ == "__main__":
    main()
