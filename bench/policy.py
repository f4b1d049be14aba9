"""Compare the decisions under load with simpler policies.

Run ``python -m bench.policy``. It has three parts: a model of each policy, false
removals of backend servers by number of signals, and a fleet of real processes. The
tables go between the markers of ``docs/policy.md`` and the plots to ``docs/plots``;
``--only`` limits the run to a part.
"""

import argparse
import json
import math
import multiprocessing
import pathlib
import statistics

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from bench import policy_fleet, policy_model, policy_signals

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE_FILE = ROOT / "docs" / "policy.md"
PLOTS_DIRECTORY = ROOT / "docs" / "plots"
RESULTS_FILE = ROOT / "build" / "policy.json"
SEEDS = (1, 2, 3)
# With 5 processes the model alone takes 9 min 38 s; all parts together have 10 minutes.
PROCESS_COUNT = 8
SCENARIOS = (*policy_model.FAULTS, policy_model.LASTING_PEAK)
PARTS = ("model", "signals", "fleet")
# Key of the figure in a run, heading of its column, and factor to the column's unit.
COLUMNS = (
    ("good", "good %", 100),
    ("rush", "rush %", 100),
    ("interactive", "inter. %", 100),
    ("batch", "batch %", 100),
    ("worst desk", "worst desk %", 100),
    ("late", "late %", 100),
    ("lateness p99", "lateness p99 s", 1),
    ("refused", "refused %", 100),
    ("unknown", "unknown %", 100),
    ("retries", "retries/1000", 1000),
    ("unsafe retries", "unsafe repeats", 1),
    ("overruns", "overruns", 1),
    ("use", "slots used %", 100),
    ("idle spare", "buffer cost %", 100),
    ("roll-out", "roll-out s", 1),
    ("moves", "moves", 1),
)


def _run_model(run_arguments):
    deployment, policy, fault, seed = run_arguments
    return policy_model.Model(
        deployment=deployment, policy=policy, fault=fault, seed=seed
    ).run()


def measure_model():
    """Run the model for every deployment, scenario, policy and seed.

    Returns
    -------
    dict
        For each tuple of the names of deployment, scenario and policy a list of
        figures, one for each seed.
    """
    all_arguments = [
        (deployment, policy, fault, seed)
        for deployment in policy_model.DEPLOYMENTS
        for fault in SCENARIOS
        for policy in policy_model.POLICIES
        for seed in SEEDS
    ]
    results = {}
    with multiprocessing.Pool(PROCESS_COUNT) as pool:
        for run_arguments, figures in zip(
            all_arguments,
            pool.imap(_run_model, all_arguments, chunksize=1),
            strict=True,
        ):
            deployment, policy, fault, _ = run_arguments
            results.setdefault((deployment.name, fault, policy.name), []).append(
                figures
            )
    return results


def _format_row(cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _format_table(head, rows):
    lines = [
        _format_row(head),
        _format_row("---" for _ in head),
        *(_format_row(row) for row in rows),
    ]
    return "\n".join(lines)


def _format_number(value):
    if value is None or (isinstance(value, float) and math.isnan(value)):
        return "-"
    return f"{value:.0f}" if abs(value) >= 100 or value == 0 else f"{value:.3g}"


def _mean_figure(runs, key, factor):
    values = [run[key] for run in runs if not math.isnan(run[key])]
    return statistics.mean(values) * factor if values else None


def format_model(results):
    """Return the tables of the model, by deployment and scenario.

    Parameters
    ----------
    results : dict
        Figures as returned by :func:`measure_model`.
    """
    parts = []
    for deployment in policy_model.DEPLOYMENTS:
        for fault in SCENARIOS:
            rows = []
            for policy in policy_model.POLICIES:
                runs = results[deployment.name, fault, policy.name]
                good = [100 * run["good"] for run in runs]
                cells = [
                    _format_number(_mean_figure(runs, key, factor))
                    for key, _, factor in COLUMNS
                ]
                cells[0] += f" ({min(good):.1f}-{max(good):.1f})"
                rows.append([policy.name, *cells])
            head = ["policy", *(name for _, name, _ in COLUMNS)]
            parts.append(
                f"{deployment.name}, fault: {fault}\n\n{_format_table(head, rows)}"
            )
        parts.append(
            f"{deployment.name}, good % by desk, no fault\n\n"
            f"{_format_desks(results, deployment)}"
        )
    return "\n\n".join(parts)


def _format_desks(results, deployment):
    rows = []
    for policy in policy_model.POLICIES:
        runs = results[deployment.name, "none", policy.name]
        names = sorted(runs[0]["desks"])
        means = [statistics.mean(run["desks"][name] for run in runs) for name in names]
        rows.append([policy.name, *(_format_number(100 * mean) for mean in means)])
    return _format_table(["policy", *names], rows)


def format_signals(rows):
    """Return the table of false removals.

    Parameters
    ----------
    rows : list of tuple
        Rows as returned by :func:`policy_signals.measure`.
    """
    lines = []
    for name, totals, times in rows:
        one_signal, two_signals = totals["one"], totals["two"]
        reduction = "-"
        if one_signal["false"]:
            reduction = (
                f"{100 * (1 - two_signals['false'] / one_signal['false']):.0f} %"
            )
        means_s = [statistics.mean(part) if part else None for part in times.values()]
        maxima_s = [max(part, default=None) for part in times.values()]
        lines.append(
            [
                name,
                one_signal["false"],
                two_signals["false"],
                reduction,
                one_signal["failures"],
                one_signal["missed"],
                two_signals["missed"],
                *(
                    f"{_format_number(mean_s)} / {_format_number(max_s)}"
                    for mean_s, max_s in zip(means_s, maxima_s, strict=True)
                ),
            ]
        )
    head = ["faults", "false, one signal", "false, two signals", "fewer"]
    head += ["real failures", "missed, one", "missed, two"]
    head += ["s to removal, one (mean / max)", "s to removal, two (mean / max)"]
    return _format_table(head, lines)


def format_fleet(measured):
    """Return the table of the fleet of real processes.

    Parameters
    ----------
    measured : tuple
        Rows, overruns and concurrency as returned by :func:`policy_fleet.measure`.
    """
    rows, overruns, max_concurrency = measured
    head = list(rows[0])
    table = _format_table(
        head,
        [
            [row["run"], *(_format_number(row[name]) for name in head[1:])]
            for row in rows
        ],
    )
    return (
        f"{table}\n\nOverruns recorded by the backend servers: {overruns}; most "
        f"executions at once on one server: {max_concurrency} of 8 slots."
    )


def plot_model(results):
    """Plot the ratio of requests answered in time by scenario and policy.

    Parameters
    ----------
    results : dict
        Figures as returned by :func:`measure_model`.
    """
    PLOTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    for deployment in policy_model.DEPLOYMENTS:
        figure, axes = pyplot.subplots(figsize=(9, 4))
        width = 0.8 / len(policy_model.POLICIES)
        for index, policy in enumerate(policy_model.POLICIES):
            means = [
                _mean_figure(results[deployment.name, fault, policy.name], "good", 100)
                for fault in SCENARIOS
            ]
            bar_positions = [
                position + index * width for position in range(len(SCENARIOS))
            ]
            axes.bar(bar_positions, means, width, label=policy.name)
        axes.set_xticks(
            [position + 0.4 for position in range(len(SCENARIOS))], SCENARIOS
        )
        axes.set_ylabel("answered in time, %")
        axes.set_title(f"{deployment.name}: {len(SEEDS)} seeds each")
        axes.legend(fontsize=7, ncol=2)
        figure.tight_layout()
        name = f"policy-{deployment.name.lower()}.svg"
        figure.savefig(PLOTS_DIRECTORY / name, metadata={"Date": None})
        pyplot.close(figure)


def _replace_section(text, part, content):
    begin, end = f"<!-- {part}: begin -->", f"<!-- {part}: end -->"
    head, _, rest = text.partition(begin)
    _, found_end, tail = rest.partition(end)
    if not found_end:
        raise SystemExit(f"{PAGE_FILE} has no markers {begin!r} and {end!r}")
    return f"{head}{begin}\n\n{content}\n\n{end}{tail}"


def main():
    """Measure the chosen parts, print their tables and write them into the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=PARTS, action="append")
    chosen_parts = parser.parse_args().only or PARTS
    matplotlib.rcParams["svg.hashsalt"] = "policy"
    for part in chosen_parts:
        if part == "model":
            results = measure_model()
            plot_model(results)
            content = format_model(results)
            RESULTS_FILE.parent.mkdir(exist_ok=True)
            RESULTS_FILE.write_text(
                json.dumps({" / ".join(key): runs for key, runs in results.items()})
            )
        elif part == "signals":
            content = format_signals(policy_signals.measure(SEEDS))
        else:
            content = format_fleet(policy_fleet.measure())
        print(content, flush=True)
        text = _replace_section(PAGE_FILE.read_text(encoding="utf-8"), part, content)
        PAGE_FILE.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
