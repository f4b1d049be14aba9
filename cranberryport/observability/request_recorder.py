"""Records the outcomes and latencies of requests in histograms and metrics."""

import functools
import logging
import time

from circuits import BaseComponent, handler

from cranberryport import outcomes

_logger = logging.getLogger(__name__)


class RequestRecorder(BaseComponent):
    """Handles the event ``request_finished``, which the dispatcher fires.

    Parameters
    ----------
    histograms : cranberryport.observability.histograms.Histograms
        Latency histograms that the administration paths show.
    metrics : cranberryport.observability.metrics.Metrics
        Client of the statsd server.
    """

    channel = "metrics"

    def __init__(self, *, histograms, metrics):
        super().__init__()
        self._histograms = histograms
        self._metrics = metrics
        self._counts = dict.fromkeys(
            (outcomes.ANSWERED, outcomes.NOT_RUN, outcomes.UNKNOWN), 0
        )
        self._attempts = 0

    @property
    def counts(self):
        """Number of finished requests by outcome, and of all their attempts."""
        return {**self._counts, "attempts": self._attempts}

    @handler("request_finished")
    def _on_request_finished(self, request, outcome, attempts, server):
        name = name_outcome(outcome)
        self._counts[name] += 1
        self._attempts += attempts
        if name == outcomes.UNKNOWN:
            _logger.warning(
                "unknown outcome of a request to %s at %s: %s",
                request.service,
                server,
                outcome.reason,
                extra={"request": request.id},
            )
        figures = {
            "request_class": request.request_class,
            "outcome": name,
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
