"""Sends counters, timers and gauges to a statsd server over UDP."""

import logging

import statsd

PREFIX = "cranberryport"

_logger = logging.getLogger(__name__)


class Metrics:
    """Sends metrics to statsd; without an address it does nothing.

    Parameters
    ----------
    address : tuple of (str, int) or None
        IP address and port of the statsd server; None to send no metrics.
    prefix : str, default='cranberryport'
        First part of the names of all metrics.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address, prefix=PREFIX):
        self._client = None
        if address is not None:
            self._client = _make_client(address, prefix)

    @property
    def is_enabled(self):
        """Whether metrics are sent."""
        return self._client is not None

    def count_request(self, *, request_class, outcome, latency_s):
        """Send the counter and the timer of a finished request.

        Parameters
        ----------
        request_class : {'rush', 'interactive', 'batch'}
            Priority class.
        outcome : {'answered', 'not-run', 'unknown'}
            Name of the outcome.
        latency_s : float
            Seconds from arrival to outcome.
        """
        if self._client is None:
            return
        name = f"requests.{request_class}.{outcome}"
        # Both in one datagram. The statsd client ignores errors of sending.
        with self._client.pipeline() as pipeline:
            pipeline.incr(name)
            pipeline.timing(name, latency_s * 1000)

    def count(self, name, number=1):
        """Add a number to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name, value):
        """Set a gauge to a value."""
        if self._client is not None:
            self._client.gauge(name, value)

    def close(self):
        """Close the socket; later calls do nothing."""
        client, self._client = self._client, None
        if client is not None:
            client.close()


def _make_client(address, prefix):
    host, port = address
    try:
        return statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)
    except OSError as error:
        # The daemon has to serve requests, so it starts without metrics.
        _logger.warning("cannot send metrics to %s:%s: %s", host, port, error.strerror)
        return None
