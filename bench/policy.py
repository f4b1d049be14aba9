"""Measure the decisions under load against plain baselines.

Run ``python -m bench.policy``. It writes its tables between the markers of
``docs/policy.md`` and the plots to ``docs/plots``. ``--only`` limits it to a part.
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
PAGE = ROOT / "docs" / "policy.md"
PLOTS = ROOT / "docs" / "plots"
FIGURES = ROOT / "build" / "policy.json"
SEEDS = (1, 2, 3)
# With 5 processes the model alone took 9 min 38 s of the ten minutes for all parts.
PROCESSES = 8
SCENARIOS = (*policy_model.FAULTS, policy_model.LASTING)
PARTS = ("model", "signals", "fleet")
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


def _run_model(job):
    site, policy, fault, seed = job
    return policy_model.Model(site=site, policy=policy, fault=fault, seed=seed).run()


def measure_model():
    """Return the figures of every run by site, scenario and policy."""
    jobs = [
        (site, policy, fault, seed)
        for site in policy_model.SITES
        for fault in SCENARIOS
        for policy in policy_model.POLICIES
        for seed in SEEDS
    ]
    found = {}
    with multiprocessing.Pool(PROCESSES) as pool:
        for job, figures in zip(
            jobs, pool.imap(_run_model, jobs, chunksize=1), strict=True
        ):
            site, policy, fault, _ = job
            found.setdefault((site.name, fault, policy.name), []).append(figures)
    return found


def _row(cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _table(head, rows):
    lines = [_row(head), _row("---" for _ in head), *(_row(row) for row in rows)]
    return "\n".join(lines)


def _number(value):
    if value is None or (isinstance(value, float) and math.isnan(value)):
        return "-"
    return f"{value:.0f}" if abs(value) >= 100 or value == 0 else f"{value:.3g}"


def _mean(runs, key, factor):
    values = [run[key] for run in runs if not math.isnan(run[key])]
    return statistics.mean(values) * factor if values else None


def format_model(found):
    """Return the tables of the model."""
    parts = []
    for site in policy_model.SITES:
        for fault in SCENARIOS:
            rows = []
            for policy in policy_model.POLICIES:
                runs = found[site.name, fault, policy.name]
                good = [100 * run["good"] for run in runs]
                cells = [
                    _number(_mean(runs, key, factor)) for key, _, factor in COLUMNS
                ]
                cells[0] += f" ({min(good):.1f}-{max(good):.1f})"
                rows.append([policy.name, *cells])
            head = ["policy", *(name for _, name, _ in COLUMNS)]
            parts.append(f"{site.name}, fault: {fault}\n\n{_table(head, rows)}")
        parts.append(f"{site.name}, good % by desk, no fault\n\n{_desks(found, site)}")
    return "\n\n".join(parts)


def _desks(found, site):
    rows = []
    for policy in policy_model.POLICIES:
        runs = found[site.name, "none", policy.name]
        names = sorted(runs[0]["desks"])
        means = [statistics.mean(run["desks"][name] for run in runs) for name in names]
        rows.append([policy.name, *(_number(100 * mean) for mean in means)])
    return _table(["policy", *names], rows)


def format_signals(rows):
    """Return the table of false removals."""
    lines = []
    for name, totals, times in rows:
        one, two = totals["one"], totals["two"]
        fewer = "-"
        if one["false"]:
            fewer = f"{100 * (1 - two['false'] / one['false']):.0f} %"
        mean = [statistics.mean(part) if part else None for part in times.values()]
        highest = [max(part, default=None) for part in times.values()]
        lines.append(
            [
                name,
                one["false"],
                two["false"],
                fewer,
                one["failures"],
                one["missed"],
                two["missed"],
                *(
                    f"{_number(a)} / {_number(b)}"
                    for a, b in zip(mean, highest, strict=True)
                ),
            ]
        )
    head = ["faults", "false, one signal", "false, two signals", "fewer"]
    head += ["real failures", "missed, one", "missed, two"]
    head += ["s to removal, one (mean / max)", "s to removal, two (mean / max)"]
    return _table(head, lines)


def format_fleet(measured):
    """Return the table of the run against real processes."""
    rows, overruns, highest = measured
    head = list(rows[0])
    table = _table(
        head,
        [[row["run"], *(_number(row[name]) for name in head[1:])] for row in rows],
    )
    return (
        f"{table}\n\nOverruns recorded by the backend servers: {overruns}; most "
        f"executions at once on one server: {highest} of 8 slots."
    )


def plot_model(found):
    """Draw good requests by scenario and policy."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    for site in policy_model.SITES:
        figure, axes = pyplot.subplots(figsize=(9, 4))
        width = 0.8 / len(policy_model.POLICIES)
        for index, policy in enumerate(policy_model.POLICIES):
            means = [
                _mean(found[site.name, fault, policy.name], "good", 100)
                for fault in SCENARIOS
            ]
            places = [place + index * width for place in range(len(SCENARIOS))]
            axes.bar(places, means, width, label=policy.name)
        axes.set_xticks([place + 0.4 for place in range(len(SCENARIOS))], SCENARIOS)
        axes.set_ylabel("answered in time, %")
        axes.set_title(f"{site.name}: {len(SEEDS)} seeds each")
        axes.legend(fontsize=7, ncol=2)
        figure.tight_layout()
        name = f"policy-{site.name.lower()}.svg"
        figure.savefig(PLOTS / name, metadata={"Date": None})
        pyplot.close(figure)


def _replace(text, part, content):
    begin, end = f"<!-- {part}: begin -->", f"<!-- {part}: end -->"
    head, _, rest = text.partition(begin)
    _, found, tail = rest.partition(end)
    if not found:
        raise SystemExit(f"{PAGE} has no markers {begin!r} and {end!r}")
    return f"{head}{begin}\n\n{content}\n\n{end}{tail}"


def main():
    """Measure, print, and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=PARTS, action="append")
    chosen = parser.parse_args().only or PARTS
    matplotlib.rcParams["svg.hashsalt"] = "policy"
    for part in chosen:
        if part == "model":
            found = measure_model()
            plot_model(found)
            content = format_model(found)
            FIGURES.parent.mkdir(exist_ok=True)
            FIGURES.write_text(
                json.dumps({" / ".join(key): runs for key, runs in found.items()})
            )
        elif part == "signals":
            content = format_signals(policy_signals.measure(SEEDS))
        else:
            content = format_fleet(policy_fleet.measure())
        print(content, flush=True)
        text = _replace(PAGE.read_text(encoding="utf-8"), part, content)
        PAGE.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
