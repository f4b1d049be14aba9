"""Counters, gauges and duration histograms of a node, rendered as text."""

import bisect
import collections

# Upper bounds of the histograms' buckets in seconds; one more bucket has no bound.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class NodeMetrics:
    """Counters, gauges and duration histograms of one process."""

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self):
        self._counters = collections.Counter()
        self._gauges = {}
        self._histograms = {}

    def count(self, name, number=1):
        """Add a number to a counter."""
        self._counters[name] += number

    def gauge(self, name, value):
        """Set a gauge to a value."""
        self._gauges[name] = value

    def replace_gauges(self, prefix, values):
        """Set gauges, and remove the others with the same prefix.

        Parameters
        ----------
        prefix : str
            Beginning of their names.
        values : dict of str to float
            Values by the rest of the name.
        """
        for name in [name for name in self._gauges if name.startswith(prefix)]:
            del self._gauges[name]
        self._gauges |= {f"{prefix}{name}": value for name, value in values.items()}

    def observe(self, name, seconds):
        """Add a duration to a histogram."""
        buckets = self._histograms.setdefault(name, [0] * (len(BUCKETS_S) + 1))
        buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1

    def render(self):
        """Return all metrics as lines of name and value.

        Buckets are cumulative: ``NAME.le.BOUND`` counts the durations up to the bound.
        """
        lines = [f"{name} {value}" for name, value in sorted(self._counters.items())]
        lines += [f"{name} {value}" for name, value in sorted(self._gauges.items())]
        for name, buckets in sorted(self._histograms.items()):
            bounds = [*map(str, BUCKETS_S), "inf"]
            lines += [
                f"{name}.le.{bound} {sum(buckets[: i + 1])}"
                for i, bound in enumerate(bounds)
            ]
        return "\n".join(lines) + "\n"
