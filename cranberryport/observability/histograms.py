"""Latency histograms of requests by desk, by request class and by outcome."""

from hdrh import histogram

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 120_000
SIGNIFICANT_FIGURES = 2
# With four bytes per counter a histogram takes about 6 KB.
COUNTER_SIZE_BYTES = 4
DESKS_LIMIT = 256
# Name of the histogram of all further desks.
OTHER_DESKS = "other"
PERCENTILES = (50, 99)


class Histograms:
    """Records the latencies of finished requests."""

    __slots__ = ("_classes", "_desks", "_outcomes")

    def __init__(self):
        self._desks = {}
        self._classes = {}
        self._outcomes = {}

    def record(self, *, desk, request_class, outcome, latency_s):
        """Record the latency of a finished request.

        Parameters
        ----------
        desk : str
            Tenant. Callers choose this name, so memory is bounded: only the first
            `DESKS_LIMIT` names get a histogram of their own, and all others share
            the one named ``other``.
        request_class : {'rush', 'interactive', 'batch'}
            Priority class.
        outcome : {'answered', 'not-run', 'unknown'}
            Name of the outcome.
        latency_s : float
            Seconds from arrival to outcome, recorded in whole milliseconds and
            clipped to between 1 ms and 120 s.
        """
        if desk not in self._desks and len(self._desks) >= DESKS_LIMIT:
            desk = OTHER_DESKS
        latency_ms = round(latency_s * 1000)
        latency_ms = min(max(latency_ms, LOWEST_LATENCY_MS), HIGHEST_LATENCY_MS)
        _get_histogram(self._desks, desk).record_value(latency_ms)
        _get_histogram(self._classes, request_class).record_value(latency_ms)
        _get_histogram(self._outcomes, outcome).record_value(latency_ms)

    def summary(self):
        """Return counts and latencies as data for JSON.

        Returns
        -------
        dict
            ``desks``, ``classes`` and ``outcomes``; each maps a name to a dict of
            ``count``, ``p50_ms``, ``p99_ms`` and ``max_ms``.
        """
        return {
            "desks": _summarize_all(self._desks),
            "classes": _summarize_all(self._classes),
            "outcomes": _summarize_all(self._outcomes),
        }


def _get_histogram(group, name):
    if name not in group:
        group[name] = histogram.HdrHistogram(
            LOWEST_LATENCY_MS,
            HIGHEST_LATENCY_MS,
            SIGNIFICANT_FIGURES,
            word_size=COUNTER_SIZE_BYTES,
        )
    return group[name]


def _summarize_all(group):
    return {name: _summarize(group[name]) for name in sorted(group)}


def _summarize(recorded):
    # One call for both percentiles, since each call goes through all counters.
    values = recorded.get_percentile_to_value_dict(PERCENTILES)
    # get_max_value() would round up to the end of the counter's range, above any
    # recorded value.
    largest = recorded.max_value
    figures = {f"p{part}_ms": min(values[part], largest) for part in PERCENTILES}
    return {"count": recorded.get_total_count(), **figures, "max_ms": largest}
