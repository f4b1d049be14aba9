"""Client of the platform's log service."""

import dataclasses

import cbor2

from cranberryport.http import connection

CLIENT_NAME_HEADER = b"client-name"
# A record can have 1 MiB. If its answer were refused for its size, every instance would
# ask for the same record for ever, and one large record would stop the whole fleet.
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(kw_only=True, slots=True)
class Batch:
    """Records read from a stream.

    Attributes
    ----------
    first : int
        Earliest retained offset.
    end : int
        Offset after the last record of the stream.
    records : list of (int, bytes)
        Offsets and bodies in order.
    """

    first: int
    end: int
    records: list[tuple[int, bytes]]


class LogClient:
    """Sends appends and reads over two connections that are made again when lost.

    Parameters
    ----------
    client : cranberryport.http.connection.Client
        Owner of the sockets.
    host : str
        IP address of the log service.
    port : int
        TCP port.
    stream : str
        Name of the stream.
    name : str
        Name of this entry instance, sent with each request.
    """

    __slots__ = ("_client", "_connections", "_host", "_name", "_port", "_stream")

    def __init__(self, *, client, host, port, stream, name):
        self._client = client
        self._host = host
        self._port = port
        self._stream = stream
        self._name = name
        self._connections = {}

    def append(self, body, *, deadline, reply_channel):
        """Append a record; the result comes as ``exchange_done``.

        Parameters
        ----------
        body : bytes
            At most 1 MiB.
        deadline : float
            Monotonic time after which the append fails with unknown result.
        reply_channel : str
            Channel of the event.
        """
        target = f"/streams/{self._stream}/records"
        self._send("append", "POST", target, body, deadline, reply_channel)

    def read(self, position, *, limit, wait_ms, deadline, reply_channel):
        """Read records; the result comes as ``exchange_done``.

        Parameters
        ----------
        position : int
            Offset of the first record wanted.
        limit : int
            Largest number of records.
        wait_ms : int
            Time for which the service may wait for a record, in milliseconds.
        deadline : float
            Monotonic time after which the read fails.
        reply_channel : str
            Channel of the event.
        """
        target = f"/streams/{self._stream}/records"
        target += f"?from={position}&limit={limit}&wait_ms={wait_ms}"
        self._send("read", "GET", target, b"", deadline, reply_channel)

    def _send(self, purpose, method, target, body, deadline, reply_channel):
        held = self._connections.get(purpose)
        if held is None or not held.is_idle:
            held = self._client.connect(host=self._host, port=self._port)
            self._connections[purpose] = held
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
        held.send(exchange)


def parse_batch(result):
    """Return the records of a finished read.

    Parameters
    ----------
    result : Response or ExchangeFailure
        Result of the exchange.

    Returns
    -------
    Batch or None
        None if the read failed.
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
    """Return whether a finished append was confirmed by the service."""
    return isinstance(result, connection.Response) and result.status == 200
