"""Tests of :mod:`cranberryport.observability.histograms`."""

import unittest

from cranberryport.observability import histograms


class HistogramsTest(unittest.TestCase):
    """Figures of the summary, and the limit on the number of desks."""

    def record(self, recorder, desk="sulina", latency_s=0.01):
        recorder.record(
            desk=desk, request_class="rush", outcome="answered", latency_s=latency_s
        )

    def test_summary_gives_counts_and_percentiles(self):
        """Guards against percentiles that differ from the recorded latencies."""
        recorder = histograms.Histograms()
        for number in range(1, 101):
            self.record(recorder, latency_s=number / 1000)
        expected = {"count": 100, "p50_ms": 50, "p99_ms": 99, "max_ms": 100}
        summary = recorder.summary()
        self.assertEqual(summary["desks"], {"sulina": expected})
        self.assertEqual(summary["classes"], {"rush": expected})
        self.assertEqual(summary["outcomes"], {"answered": expected})

    def test_latencies_out_of_range_are_clipped_and_counted(self):
        """Guards against requests that are missing in the counts."""
        recorder = histograms.Histograms()
        for latency_s in (-1.0, 0.0, 500.0):
            self.record(recorder, latency_s=latency_s)
        figures = recorder.summary()["desks"]["sulina"]
        self.assertEqual((figures["count"], figures["max_ms"]), (3, 120_000))
        self.assertEqual(figures["p50_ms"], 1)

    def test_number_of_desks_is_limited(self):
        """Guards against callers that use up the memory with new desk names."""
        recorder = histograms.Histograms()
        for number in range(histograms.DESKS_LIMIT + 10):
            self.record(recorder, desk=f"d{number}")
        self.record(recorder, desk="d0")
        desks = recorder.summary()["desks"]
        self.assertEqual(len(desks), histograms.DESKS_LIMIT + 1)
        self.assertEqual(desks[histograms.OTHER_DESKS]["count"], 10)
        self.assertEqual(desks["d0"]["count"], 2)
