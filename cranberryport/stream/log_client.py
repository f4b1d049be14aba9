"""HTTP client of the platform's log service."""

import dataclasses

import cbor2

from cranberryport.http import connection

CLIENT_NAME_HEADER = b"client-name"
# A record can have 1 MiB. If the response that contains it were refused for its size,
# every instance would repeat the same read for ever, and one large record would stop
# the whole fleet.
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(kw_only=True, slots=True)
class Batch:
    """Response to a read of a stream.

    Attributes
    ----------
    first : int
        Earliest offset that the log still retains.
    end : int
        Offset after the last record of the stream.
    records : list of (int, bytes)
        Offsets and bodies of the records read, in order.
    """

    first: int
    end: int
    records: list[tuple[int, bytes]]


class LogClient:
    """Sends appends and reads, each over a connection of its own.

    A connection is replaced when it is closed or still busy.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    host : str
        IP address of the log service.
    port : int
        TCP port of the log service.
    stream : str
        Name of the stream.
    name : str
        Name of this entry instance, sent in a header of each request.
    """

    __slots__ = ("_client", "_connections", "_host", "_name", "_port", "_stream")

    def __init__(self, *, client, host, port, stream, name):
        self._client = client
        self._host = host
        self._port = port
        self._stream = stream
        self._name = name
        # Connection by purpose: "append" or "read".
        self._connections = {}

    def append(self, body, *, deadline, reply_channel):
        """Append a record; the result arrives as an ``exchange_done`` event.

        Parameters
        ----------
        body : bytes
            Body of the record, at most 1 MiB.
        deadline : float
            Monotonic time after which the request fails; the record may still have been
            appended.
        reply_channel : str
            Channel on which the event is fired.
        """
        target = f"/streams/{self._stream}/records"
        self._send("append", "POST", target, body, deadline, reply_channel)

    def read(self, position, *, limit, wait_ms, deadline, reply_channel):
        """Read records; the result arrives as an ``exchange_done`` event.

        Parameters
        ----------
        position : int
            Offset of the first record to read.
        limit : int
            Largest number of records to read.
        wait_ms : int
            Time in milliseconds for which the service waits for a record if there is
            none at the position yet.
        deadline : float
            Monotonic time after which the request fails.
        reply_channel : str
            Channel on which the event is fired.
        """
        target = f"/streams/{self._stream}/records"
        target += f"?from={position}&limit={limit}&wait_ms={wait_ms}"
        self._send("read", "GET", target, b"", deadline, reply_channel)

    def _send(self, purpose, method, target, body, deadline, reply_channel):
        log_connection = self._connections.get(purpose)
        if log_connection is None or not log_connection.is_idle:
            log_connection = self._client.connect(host=self._host, port=self._port)
            self._connections[purpose] = log_connection
        exchange = connection.Exchange(
            method=method,
            target=target,
            headers=[(CLIENT_NAME_HEADER, self._name.encode())],
            body=body,
            deadline=deadline,
            reply_channel=reply_channel,
            context=purpose,
            response_limit_bytes=ANSWER_LIMIT_BYTES,
        )
        log_connection.send(exchange)


def parse_batch(result):
    """Return the records of a read.

    Parameters
    ----------
    result : connection.Response or connection.ExchangeFailure
        Result of the exchange.

    Returns
    -------
    Batch or None
        None if the request failed or the response is invalid.
    """
    if not isinstance(result, connection.Response) or result.status != 200:
        return None
    try:
        fields = cbor2.loads(result.body)
        records = [(int(offset), bytes(body)) for offset, body in fields["records"]]
        return Batch(first=fields["first"], end=fields["next"], records=records)
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError):
        return None


def is_appended(result):
    """Return whether the result of an exchange confirms an append."""
    return isinstance(result, connection.Response) and result.status == 200
