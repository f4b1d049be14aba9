"""Prints job latencies and the log volume of a run, for example of a simulated day.

Usage: ``python tools/day_figures.py FILE [FROM_S TO_S]``. FILE holds the log lines of
all entry instances of a run. FROM_S and TO_S bound a time window, in seconds after the
first line; without them the whole run is used.
"""

import pathlib
import statistics
import sys

from cranberryport.command_line import explaining


def median_and_95th(values):
    """Return the median and the 95th percentile, or None for fewer than two values."""
    if len(values) < 2:
        return None
    return statistics.median(values), statistics.quantiles(values, n=20)[-1]


def compute_figures(lines, from_s=0.0, to_s=float("inf")):
    """Return the figures of a time window.

    Parameters
    ----------
    lines : list of str
        Log lines of all entry instances, in any order.
    from_s, to_s : float
        Start and end of the window, in seconds after the first line.

    Returns
    -------
    dict of str to object
        Figures by name; None for a latency with fewer than two values.
    """
    events = sorted(
        explaining.parse_log_lines(lines), key=lambda fields: fields["time"]
    )
    first_time = events[0]["time"]
    window = [f for f in events if from_s <= f["time"] - first_time < to_s]
    submitted_at, started, start_delays_ms, accept_latencies_ms = {}, set(), [], []
    for fields in window:
        request = fields.get("request")
        if fields["event"] == "job accepted":
            accept_latencies_ms.append(fields["ms"])
            submitted_at[request] = fields["time"] - fields["ms"] / 1000
        elif fields["event"] in ("step start", "run start") and request not in started:
            started.add(request)
            if request in submitted_at:
                start_delays_ms.append((fields["time"] - submitted_at[request]) * 1000)
    span_s = max(1e-9, window[-1]["time"] - window[0]["time"])
    line_lengths = [len(line) for line in lines if "{" in line]
    return {
        "jobs": len(accept_latencies_ms),
        "submission to response, ms (median, 95th percentile)": median_and_95th(
            accept_latencies_ms
        ),
        "submission to first start, ms (median, 95th percentile)": median_and_95th(
            start_delays_ms
        ),
        "log lines per second": round(len(window) / span_s, 1),
        "characters per log line": round(statistics.mean(line_lengths), 1),
    }


def main(arguments):
    """Print the figures of a log file, one on each line.

    Parameters
    ----------
    arguments : list of str
        Arguments of the command line: the file and optionally the window.
    """
    lines = pathlib.Path(arguments[0]).read_text(errors="replace").splitlines()
    bounds = [float(text) for text in arguments[1:3]]
    for name, value in compute_figures(lines, *bounds).items():
        print(f"{name}: {value}")


if __name__ == "__main__":
    main(sys.argv[1:])
