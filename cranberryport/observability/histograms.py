"""Latency histograms per desk, per class and per outcome."""

from hdrh import histogram

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 120_000
SIGNIFICANT_FIGURES = 2
# Four bytes a counter keep a histogram at about 6 KB.
COUNTER_SIZE_BYTES = 4
DESKS_LIMIT = 256
OTHER_DESKS = "other"
PERCENTILES = (50, 99)


class Histograms:
    """Records latencies of finished requests."""

    __slots__ = ("_classes", "_desks", "_outcomes")

    def __init__(self):
        self._desks = {}
        self._classes = {}
        self._outcomes = {}

    def record(self, *, desk, request_class, outcome, latency_s):
        """Count one finished request.

        Parameters
        ----------
        desk : str
            Tenant. Callers choose this name, so only the first `DESKS_LIMIT` names
            get a histogram of their own; the rest are counted together as ``other``.
        request_class : {'rush', 'interactive', 'batch'}
            Priority class.
        outcome : {'answered', 'not-run', 'unknown'}
            Name of the outcome.
        latency_s : float
            Seconds from arrival to outcome, counted in whole milliseconds within
            1 ms and 120 s.
        """
        if desk not in self._desks and len(self._desks) >= DESKS_LIMIT:
            desk = OTHER_DESKS
        latency_ms = round(latency_s * 1000)
        latency_ms = min(max(latency_ms, LOWEST_LATENCY_MS), HIGHEST_LATENCY_MS)
        _find(self._desks, desk).record_value(latency_ms)
        _find(self._classes, request_class).record_value(latency_ms)
        _find(self._outcomes, outcome).record_value(latency_ms)

    def summary(self):
        """Return the figures as plain data.

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


def _find(group, name):
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


def _summarize(one):
    # One pass for both percentiles: each pass walks over all counters.
    values = one.get_percentile_to_value_dict(PERCENTILES)
    # get_max_value() rounds up to the end of the counter, above any recorded value.
    largest = one.max_value
    figures = {f"p{part}_ms": min(values[part], largest) for part in PERCENTILES}
    return {"count": one.get_total_count(), **figures, "max_ms": largest}
