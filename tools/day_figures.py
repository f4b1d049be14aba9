"""Prints figures of one played day from the log lines of all entry instances.

Usage: python tools/day_figures.py FILE [FROM_S TO_S], where FILE holds the output of a
run with all logs and the times bound the window, in seconds from the first line.
"""

import pathlib
import statistics
import sys

from cranberryport.command_line import explaining


def quantiles(values):
    """Return median and 95th percentile, or None for fewer than two values."""
    if len(values) < 2:
        return None
    return statistics.median(values), statistics.quantiles(values, n=20)[-1]


def figures(lines, from_s=0.0, to_s=float("inf")):
    """Return the figures of a window.

    Parameters
    ----------
    lines : list of str
        Log lines.
    from_s, to_s : float
        Window in seconds from the first line.

    Returns
    -------
    dict of str to object
        Times in milliseconds, rates a second.
    """
    found = sorted(explaining.parse_log_lines(lines), key=lambda fields: fields["time"])
    begin = found[0]["time"]
    window = [f for f in found if from_s <= f["time"] - begin < to_s]
    accepted, started, delays, acknowledged = {}, set(), [], []
    for fields in window:
        request = fields.get("request")
        if fields["event"] == "job accepted":
            acknowledged.append(fields["ms"])
            accepted[request] = fields["time"] - fields["ms"] / 1000
        elif fields["event"] == "run start" and request not in started:
            started.add(request)
            if request in accepted:
                delays.append((fields["time"] - accepted[request]) * 1000)
    span_s = max(1e-9, window[-1]["time"] - window[0]["time"])
    texts = [len(line) for line in lines if "{" in line]
    return {
        "jobs": len(acknowledged),
        "hand-in to answer ms (median, 95th)": quantiles(acknowledged),
        "hand-in to first start ms (median, 95th)": quantiles(delays),
        "log lines a second": round(len(window) / span_s, 1),
        "log bytes a line": round(statistics.mean(texts), 1),
    }


def main(arguments):
    """Print the figures of a file."""
    lines = pathlib.Path(arguments[0]).read_text(errors="replace").splitlines()
    bounds = [float(text) for text in arguments[1:3]]
    for name, value in figures(lines, *bounds).items():
        print(f"{name}: {value}")


if __name__ == "__main__":
    main(sys.argv[1:])
