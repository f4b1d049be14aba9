"""Sends HTTP requests over reused connections and reports results to callbacks.

Load pattern: all open connections to an address go silent without being reset, while
new ones work. A request that times out shows it, and the idle connections from before
it are not used any more; otherwise one request after the other would time out on them.
"""

import collections
import itertools
import time

from circuits import BaseComponent, handler

from cranberryport.http import connection

# Idle connections to one address; more are closed.
IDLE_CONNECTIONS_LIMIT = 8


class ConnectionPool(BaseComponent):
    """Sends requests over idle connections, or over new ones if none is idle.

    Each connection has one request in flight, so the number of connections is not
    limited.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Component that watches the sockets of the connections.
    name : str
        Part of the channel name that identifies the pool in the process.
    is_reset_on_close : bool, default=False
        Whether a request without an answer is withdrawn, see
        :meth:`connection.Client.connect`.
    """

    _numbers = itertools.count(1)

    def __init__(self, *, client, name, is_reset_on_close=False):
        super().__init__(channel=f"pool-{name}-{next(self._numbers)}")
        self._client = client
        self._is_reset_on_close = is_reset_on_close
        self._idle = collections.defaultdict(list)

    def send(
        self,
        address,
        method,
        target,
        *,
        callback,
        timeout_s,
        body=b"",
        headers=(),
        may_send=None,
        response_limit_bytes=connection.RESPONSE_BODY_LIMIT_BYTES,
    ):
        """Send a request.

        Parameters
        ----------
        address : tuple of (str, int)
            IP address and port.
        method, target : str
            Request line.
        callback : callable
            Called once with a ``Response`` or an ``ExchangeFailure``.
        timeout_s : float
            Seconds until the response must be complete, connecting included.
        body : bytes
            Complete body.
        headers : list of (bytes, bytes)
            Headers besides ``Host`` and ``Content-Length``.
        may_send : callable or None
            Called without arguments immediately before the first byte is sent; False
            fails the request as ``refused`` before anything is sent.
        response_limit_bytes : int
            Largest body of a response.
        """
        exchange = connection.Exchange(
            method=method,
            target=target,
            headers=headers,
            body=body,
            deadline=time.monotonic() + timeout_s,
            reply_channel=self.channel,
            context=callback,
            may_send=may_send,
            response_limit_bytes=response_limit_bytes,
        )
        self._send(address, exchange)

    def _send(self, address, exchange):
        idle = self._idle[address]
        while idle:
            held, _ = idle.pop()
            if held.is_idle and not held.close_if_stale():
                held.send(exchange)
                return
        new = self._client.connect(
            host=address[0], port=address[1], is_reset_on_close=self._is_reset_on_close
        )
        new.send(exchange)

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        ended, result = exchange.connection, exchange.result
        if ended.is_idle:
            idle = self._idle[ended.address]
            if len(idle) < IDLE_CONNECTIONS_LIMIT:
                idle.append((ended, time.monotonic()))
            else:
                ended.close()
        is_failure = isinstance(result, connection.ExchangeFailure)
        if is_failure and result.reason == "timeout":
            self._close_idle(ended.address, idle_before=exchange.started_at)
        exchange.context(result)

    def _close_idle(self, address, *, idle_before):
        """Close the connections to an address that have been idle since a time."""
        kept = []
        for held, idle_since in self._idle[address]:
            if idle_since > idle_before:
                kept.append((held, idle_since))
            else:
                held.close()
        self._idle[address] = kept
