"""Requests with callbacks over kept connections."""

import collections
import itertools
import time

from circuits import BaseComponent, handler

from cranberryport.http import connection

# More idle connections than this to one address are closed.
IDLE_CONNECTIONS_LIMIT = 8


class ConnectionPool(BaseComponent):
    """Sends requests over kept connections, one request in flight on each.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    name : str
        Distinguishes the pools of a process.
    """

    _numbers = itertools.count(1)

    def __init__(self, *, client, name):
        super().__init__(channel=f"pool-{name}-{next(self._numbers)}")
        self._client = client
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
            Seconds for everything, connecting included.
        body : bytes
            The whole body.
        headers : list of (bytes, bytes)
            Further headers.
        response_limit_bytes : int
            Largest body of an answer.
        """
        exchange = connection.Exchange(
            method=method,
            target=target,
            headers=headers,
            body=body,
            deadline=time.monotonic() + timeout_s,
            reply_channel=self.channel,
            context=callback,
            response_limit_bytes=response_limit_bytes,
        )
        self._send(address, exchange)

    def _send(self, address, exchange):
        idle = self._idle[address]
        while idle:
            held = idle.pop()
            if held.is_idle and not held.close_if_stale():
                held.send(exchange)
                return
        self._client.connect(host=address[0], port=address[1]).send(exchange)

    @handler("exchange_done")
    def _on_exchange_done(self, exchange):
        ended = exchange.connection
        if ended.is_idle:
            idle = self._idle[ended.address]
            if len(idle) < IDLE_CONNECTIONS_LIMIT:
                idle.append(ended)
            else:
                ended.close()
        exchange.context(exchange.result)
