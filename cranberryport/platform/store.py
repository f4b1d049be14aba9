"""Client of the platform's metadata store."""

import base64
import dataclasses
import struct
import urllib.parse

from cranberryport.http import connection
from cranberryport.platform import bodies

# The store keeps the newest record of each key only in topics with this prefix.
OPERATOR_TOPIC = "keyed.op"
EXECUTOR_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
JOB_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
CONTROL_TOPIC = "control"
LONG_POLL_MARGIN_S = 1.0
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Appended:
    """An append is stored.

    Attributes
    ----------
    offset, end : int
        First offset of its records, and the end of the partition after them.
    """

    offset: int
    end: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Refused:
    """The store did nothing.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        ``fenced`` if a later epoch was used, ``seq`` for another number of sequence.
    expected_sequence : int or None
        Expected sequence number, with the reason ``seq``.
    """

    status: int
    reason: str = ""
    expected_sequence: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NoResponse:
    """No answer came; the store may have done it, or may do it later.

    Attributes
    ----------
    detail : str
        What happened to the connection.
    was_sent : bool
        False if no byte of the call left this process, so that nothing was done.
    """

    detail: str
    was_sent: bool = True


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Records:
    """Records of a partition.

    Attributes
    ----------
    first, end : int
        First retained offset, and the end of the partition.
    next : int
        Offset to read from next.
    records : list of (str, bytes)
        Keys and values in order; the value is empty if the key was dropped.
    """

    first: int
    end: int
    next: int
    records: list[tuple[str, bytes]]


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Expired:
    """The records wanted are no longer retained.

    Attributes
    ----------
    first : int
        First retained offset.
    """

    first: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NewestRecords:
    """The newest record of every key.

    Attributes
    ----------
    records : list of (str, bytes)
        Keys and values.
    end : int
        Offset from which a reader misses nothing that is not in ``records``.
    """

    records: list[tuple[str, bytes]]
    end: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class GroupMembership:
    """Answer to a join.

    Attributes
    ----------
    generation : int
        Rises with each change of the group.
    partitions : frozenset of int
        Partitions of the topic that belong to the member.
    """

    generation: int
    partitions: frozenset[int]


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class LeftGroup:
    """A member has left its group."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PartitionOwners:
    """Owners of a topic's partitions.

    Attributes
    ----------
    members : dict of int to str
        Member by partition.
    """

    members: dict[int, str]


def pack(records):
    """Return keyed records in the store's framing.

    Parameters
    ----------
    records : list of (str, bytes)
        Keys and values; an empty value drops the key.

    Returns
    -------
    bytes
        Body of an append.
    """
    parts = []
    for key, value in records:
        name = key.encode()
        content = bytes([len(name)]) + name + value
        parts += [_LENGTH.pack(len(content)), content]
    return b"".join(parts)


def unpack(data):
    """Return first retained offset, end and keyed records of a read's body.

    Raises
    ------
    ValueError
        If the body is cut short.
    """
    if len(data) < _READ_HEAD.size:
        raise ValueError(f"{len(data)} bytes; a read has {_READ_HEAD.size} or more")
    end, first = _READ_HEAD.unpack_from(data)
    position = _READ_HEAD.size
    records = []
    while position < len(data):
        (size,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + size]
        if len(content) != size:
            raise ValueError(f"a record of {size} bytes is cut short")
        position += size
        records.append(_split(content))
    return first, end, records


def _split(content):
    # A record from another writer may not have the form of the topic.
    if not content or len(content) < 1 + content[0]:
        return "", b""
    size = content[0]
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return key, bytes(content[1 + size :])


class StoreClient:
    """Calls of the store; results come to callbacks as the types of this module.

    Parameters
    ----------
    pool : cranberryport.http.connection_pool.ConnectionPool
        Connections.
    address : tuple of (str, int)
        IP address and port.
    """

    __slots__ = ("_address", "_calls", "_pool")

    def __init__(self, *, pool, address):
        self._pool = pool
        self._address = address
        self._calls = 0

    @property
    def call_count(self):
        """Calls made so far."""
        return self._calls

    def append(
        self, topic, records, *, callback, timeout_s, producer=None, partition=0
    ):
        """Append keyed records to a partition of a topic.

        Parameters
        ----------
        topic : str
            Name of the topic.
        records : list of (str, bytes)
            Keys and values.
        callback : callable
            Called with ``Appended``, ``Refused`` or ``NoResponse``.
        timeout_s : float
            Seconds.
        producer : tuple of (str, int, int) or None
            Name, epoch and sequence number; a lower epoch is refused.
        partition : int, default=0
            Number of the partition.
        """
        query = {"Topic": topic, "part": partition}
        if producer is not None:
            query |= {
                "Producer": producer[0],
                "epoch": producer[1],
                "Sequence": producer[2],
            }
        target = "/api/log-append?" + urllib.parse.urlencode(query)
        self._send(
            "POST",
            target,
            pack(records),
            timeout_s,
            lambda result: callback(_read_append(result)),
        )

    def read(self, topic, position, *, callback, wait_s, partition=0):
        """Read keyed records, waiting for one; gives Records, Expired or failures."""
        query = {"Topic": topic, "part": partition, "From": position}
        query["WaitMs"] = int(wait_s * 1000)
        target = "/api/log-read?" + urllib.parse.urlencode(query)

        def finish(result):
            callback(_read_records(result, position))

        self._send("GET", target, b"", wait_s + LONG_POLL_MARGIN_S, finish)

    def read_newest(self, topic, *, callback, timeout_s, partition=0):
        """Read the newest record of each key; gives ``NewestRecords`` or a failure."""
        found = []
        ends = []

        def ask(after):
            query = {"Topic": topic, "part": partition}
            if after is not None:
                # The field that names dependencies elsewhere holds the last key here.
                query["DependsOn"] = after
            target = "/api/log-newest?" + urllib.parse.urlencode(query)
            self._send("GET", target, b"", timeout_s, finish)

        def finish(result):
            status, fields = bodies.read_response(result)
            if status != 200:
                callback(_failure(result, status, fields))
                return
            items = fields.get("items") or []
            try:
                found.extend(_read_items(items))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                callback(NoResponse(detail=f"broken list of records: {error!r}"))
                return
            # Pages are no snapshot; what changed after the first page is read again.
            ends.append(bodies.integer(fields, "EndOffset"))
            if fields.get("HasMore") and items:
                ask(items[-1]["Key"])
            else:
                callback(NewestRecords(records=found, end=ends[0]))

        ask(None)

    def join(self, group, member, topic, *, ttl_s, generation, callback, timeout_s):
        """Join a group or stay in it; gives ``GroupMembership`` or a failure."""
        body = {
            "group": group,
            "Member": member,
            "Topics": [topic],
            "TtlMs": int(ttl_s * 1000),
            "Generation": generation,
        }

        def finish(result):
            status, fields = bodies.read_response(result)
            if status != 200:
                callback(_failure(result, status, fields))
                return
            rows = fields.get("parts") or []
            owned = frozenset(row[1] for row in rows if row[0] == topic)
            number = bodies.integer(fields, "Generation")
            callback(GroupMembership(generation=number, partitions=owned))

        self._send("POST", "/api/log-join", bodies.encode(body), timeout_s, finish)

    def leave(self, group, member, *, callback, timeout_s):
        """Leave a group, so others get the partitions; gives ``LeftGroup``."""
        body = bodies.encode({"group": group, "Member": member})

        def finish(result):
            status, fields = bodies.read_response(result)
            left = LeftGroup() if status == 200 else _failure(result, status, fields)
            callback(left)

        self._send("POST", "/api/log-leave", body, timeout_s, finish)

    def list_owners(self, group, *, callback, timeout_s):
        """Ask who holds a group's partitions; gives ``PartitionOwners``."""
        target = "/api/log-owners?" + urllib.parse.urlencode({"group": group})

        def finish(result):
            status, fields = bodies.read_response(result)
            rows = _rows(fields)
            if status != 200 or rows is None:
                callback(_failure(result, status, fields))
                return
            callback(PartitionOwners(members={row[1]: row[2] for row in rows}))

        self._send("GET", target, b"", timeout_s, finish)

    def _send(self, method, target, body, timeout_s, finish):
        self._calls += 1
        headers = bodies.JSON_HEADERS
        if target.startswith("/api/log-append"):
            headers = ((b"content-type", b"application/octet-stream"),)
        self._pool.send(
            self._address,
            method,
            target,
            callback=finish,
            timeout_s=timeout_s,
            body=body,
            headers=headers if method == "POST" else (),
            response_limit_bytes=ANSWER_LIMIT_BYTES,
        )


def _read_items(items):
    return [(item["Key"], base64.b64decode(item.get("Value") or "")) for item in items]


def _rows(fields):
    # The name of the list of rows is not given for this call, so the only list counts.
    for value in fields.values():
        if isinstance(value, list):
            return value
    return None


def _failure(result, status, fields):
    if isinstance(result, connection.ExchangeFailure):
        detail = f"{result.reason}: {result.detail}"
        return NoResponse(detail=detail, was_sent=result.bytes_sent > 0)
    return Refused(status=status, reason=bodies.text(fields, "Reason"))


def _read_append(result):
    status, fields = bodies.read_response(result)
    if status == 200:
        return Appended(
            offset=bodies.integer(fields, "Offset"),
            end=bodies.integer(fields, "EndOffset"),
        )
    if status == 0:
        return _failure(result, status, fields)
    expected = fields.get("Sequence")
    return Refused(
        status=status, reason=bodies.text(fields, "Reason"), expected_sequence=expected
    )


def _read_records(result, position):
    if isinstance(result, connection.Response) and result.status == 410:
        _, fields = bodies.read_response(result)
        return Expired(first=bodies.integer(fields, "FirstOffset"))
    if not isinstance(result, connection.Response) or result.status != 200:
        return _failure(result, getattr(result, "status", 0), {})
    try:
        first, end, records = unpack(result.body)
    except (ValueError, struct.error) as error:
        return NoResponse(detail=f"broken read: {error}")
    return Records(first=first, end=end, next=position + len(records), records=records)
