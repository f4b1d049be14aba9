"""Tests of :mod:`cranberryport.observability.request_recorder`."""

import time
import types
import unittest

from circuits import BaseComponent, Event

from cranberryport import outcomes
from cranberryport.observability import histograms, metrics, request_recorder


class RequestRecorderTest(unittest.TestCase):
    """Each finished request is recorded under its outcome, desk and class."""

    def test_each_outcome_is_counted_under_its_name(self):
        """Guards against an unknown outcome that is shown as answered or not run."""
        root = BaseComponent()
        recorded = histograms.Histograms()
        request_recorder.RequestRecorder(
            histograms=recorded, metrics=metrics.Metrics(address=None)
        ).register(root)
        request = types.SimpleNamespace(
            id="r1",
            service="sulina",
            desk="sulina",
            request_class="batch",
            arrived=time.monotonic(),
        )
        for outcome in (
            outcomes.Answered(status=200, headers=[], body=b""),
            outcomes.NotRun(status=503, reason="r"),
            outcomes.Unknown(status=504, reason="r"),
        ):
            event = Event.create("request_finished", request, outcome, 1, None)
            root.fire(event, "metrics")
        while len(root):
            root.flush()
        summary = recorded.summary()
        counts = {name: part["count"] for name, part in summary["outcomes"].items()}
        self.assertEqual(counts, {"answered": 1, "not-run": 1, "unknown": 1})
        self.assertEqual(summary["desks"]["sulina"]["count"], 3)
        self.assertEqual(list(summary["classes"]), ["batch"])
