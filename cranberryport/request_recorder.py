"""Records how requests ended in the histograms and the metrics."""

import functools
import time

from circuits import BaseComponent, handler

from cranberryport import outcomes


class RequestRecorder(BaseComponent):
    """Receives ``request_finished`` of the dispatcher.

    Parameters
    ----------
    histograms : cranberryport.histograms.Histograms
        Latencies shown by the administration paths.
    metrics : cranberryport.metrics.Metrics
        Connection to the statsd server.
    """

    channel = "metrics"

    def __init__(self, *, histograms, metrics):
        super().__init__()
        self._histograms = histograms
        self._metrics = metrics

    @handler("request_finished")
    def _on_request_finished(self, request, outcome, *_):
        figures = {
            "request_class": request.request_class,
            "outcome": name_outcome(outcome),
            "latency_s": time.monotonic() - request.arrived,
        }
        self._histograms.record(desk=request.desk, **figures)
        self._metrics.count_request(**figures)


@functools.singledispatch
def name_outcome(outcome):
    """Return the value of ``Request-Outcome`` for an outcome."""
    raise TypeError(f"no outcome: {type(outcome).__name__}")


@name_outcome.register
def _name_answered(outcome: outcomes.Answered):
    return outcomes.ANSWERED


@name_outcome.register
def _name_not_run(outcome: outcomes.NotRun):
    return outcomes.NOT_RUN


@name_outcome.register
def _name_unknown(outcome: outcomes.Unknown):
    return outcomes.UNKNOWN
