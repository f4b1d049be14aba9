"""Records finished requests in histograms, metrics and the log."""

import functools
import logging
import time

from circuits import BaseComponent, handler

from cranberryport import outcomes

_logger = logging.getLogger(__name__)


@functools.singledispatch
def outcome_name(outcome):
    """Return the name of an outcome."""
    raise TypeError(f"no outcome: {type(outcome).__name__}")


@outcome_name.register
def _(outcome: outcomes.Answered):
    return outcomes.ANSWERED


@outcome_name.register
def _(outcome: outcomes.NotRun):
    return outcomes.NOT_RUN


@outcome_name.register
def _(outcome: outcomes.Unknown):
    return outcomes.UNKNOWN


class Recorder(BaseComponent):
    """Listens to the ends of requests.

    Parameters
    ----------
    histograms : cranberryport.histograms.Histograms
        Latencies.
    metrics : cranberryport.metrics.Metrics
        Counters and timers.
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
        """Finished requests by outcome, and the attempts that they took."""
        return {**self._counts, "attempts": self._attempts}

    @handler("request_finished")
    def _on_request_finished(self, request, outcome, attempts, server):
        name = outcome_name(outcome)
        latency_s = time.monotonic() - request.arrived
        self._counts[name] += 1
        self._attempts += attempts
        self._histograms.record(
            desk=request.desk,
            request_class=request.request_class,
            outcome=name,
            latency_s=latency_s,
        )
        self._metrics.count_request(
            request_class=request.request_class, outcome=name, latency_s=latency_s
        )
        if name == outcomes.UNKNOWN:
            _logger.warning(
                "unknown outcome of a request to %s at %s: %s",
                request.service,
                server,
                outcome.reason,
                extra={"request": request.id},
            )
