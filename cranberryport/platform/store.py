"""Client of the platform's metadata store.

The store keeps topics, each divided into partitions of records with offsets, and
assigns the partitions of a topic to the members of a group.
"""

import base64
import dataclasses
import logging
import struct
import urllib.parse

import msgspec

from cranberryport.http import connection
from cranberryport.platform import bodies

# The store keeps the newest record of each key only in topics with the prefix
# ``keyed.``.
OPERATOR_TOPIC = "keyed.op"
EXECUTOR_TOPIC = "keyed.servers"
# Responses above 499 that promise that a call was not carried out.
NOTHING_DONE_STATUSES = (503, 507)
STATUS_TOPIC = "keyed.status"
JOB_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
CONTROL_TOPIC = "control"
# Added to the waiting time of a long poll to get the timeout of the call.
LONG_POLL_MARGIN_S = 1.0
RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Appended:
    """The records of an append are stored.

    Attributes
    ----------
    offset, end : int
        Offset of its first record, and the offset after its last one.
    """

    offset: int
    end: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Refused:
    """The store refused the call and did nothing.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    reason : str
        ``fenced`` if the producer has used a later epoch, ``seq`` if the sequence
        number is not the next one; else as the store sends it.
    expected_sequence : int or None
        Next sequence number, with the reason ``seq``.
    """

    status: int
    reason: str = ""
    expected_sequence: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NoResponse:
    """No usable response came; the call may have been or may still be carried out.

    Attributes
    ----------
    reason : str
        What happened to the connection, or what is wrong with the response.
    was_sent : bool
        False if no byte of the call was sent, so that it was certainly not carried out.
    """

    reason: str
    was_sent: bool = True


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Records:
    """Result of a read of a partition.

    Attributes
    ----------
    first, end : int
        Offset of the first retained record, and of the next record to be stored.
    next : int
        Offset at which to go on reading.
    records : list of (str, bytes)
        Keys and values in order; the value is empty if the key was deleted.
    """

    first: int
    end: int
    next: int
    records: list[tuple[str, bytes]]


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Expired:
    """The records to read are no longer retained.

    Attributes
    ----------
    first : int
        Offset of the first retained record.
    """

    first: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NewestRecords:
    """The newest record of each key of a partition.

    Attributes
    ----------
    records : list of (str, bytes)
        Keys and values.
    end : int
        Offset at which to go on reading so that no later change is missed.
    """

    records: list[tuple[str, bytes]]
    end: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class GroupMembership:
    """Membership of a group after a join.

    Attributes
    ----------
    generation : int
        Increases with each change of the group.
    partitions : frozenset of int
        Partitions of the topic that the group assigns to this member.
    """

    generation: int
    partitions: frozenset[int]


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class LeftGroup:
    """The member has left its group."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PartitionOwners:
    """Members of a group that own its partitions.

    Attributes
    ----------
    members : dict of int to str
        Name of the member by partition.
    """

    members: dict[int, str]


def encode_records(records):
    """Encode keyed records in the store's framing.

    Parameters
    ----------
    records : list of (str, bytes)
        Keys and values; an empty value deletes the key.

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


def record_size(key, value):
    """Return the number of bytes that a record takes in an append."""
    return _LENGTH.size + 1 + len(key.encode()) + len(value)


def decode_records(data):
    """Decode the body of a response to a read.

    Parameters
    ----------
    data : bytes
        The body.

    Returns
    -------
    tuple of (int, int, list of (str, bytes))
        Offset of the first retained record, end of the partition, keys and values.

    Raises
    ------
    ValueError
        If the body is truncated.
    """
    if len(data) < _READ_HEADER.size:
        raise ValueError(f"{len(data)} bytes; a read has {_READ_HEADER.size} or more")
    end, first = _READ_HEADER.unpack_from(data)
    position = _READ_HEADER.size
    records = []
    while position < len(data):
        (size,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + size]
        if len(content) != size:
            raise ValueError(f"a record of {size} bytes is truncated")
        position += size
        records.append(_split_key(content))
    return first, end, records


def _split_key(content):
    # Records of other writers may have no key, or one that is no text.
    if not content or len(content) < 1 + content[0]:
        return "", b""
    size = content[0]
    try:
        key = content[1 : 1 + size].decode()
    except UnicodeDecodeError:
        _logger.warning("record with an unreadable key left out")
        return "", b""
    return key, bytes(content[1 + size :])


class _Item(msgspec.Struct, kw_only=True, frozen=True):
    key: str = msgspec.field(name="Key")
    value: str | None = msgspec.field(name="Value", default=None)


class _Page(msgspec.Struct, kw_only=True, frozen=True):
    """A page of the newest records of a partition."""

    items: list[_Item] | None = None
    has_more: bool = msgspec.field(name="HasMore", default=False)
    end: int = msgspec.field(name="EndOffset", default=0)


_decode_page = bodies.make_decoder(_Page)


class StoreClient:
    """Calls the store; each call passes its result to its callback.

    A callback is called once: with the result of its call, with ``Refused``, or with
    ``NoResponse``.

    Parameters
    ----------
    connections : cranberryport.http.connection_pool.ConnectionPool
        Connections to the store.
    address : tuple of (str, int)
        IP address and port of the store.
    """

    __slots__ = ("_address", "_call_count", "_connections")

    def __init__(self, *, connections, address):
        self._connections = connections
        self._address = address
        self._call_count = 0

    @property
    def call_count(self):
        """Number of calls made so far."""
        return self._call_count

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
            Seconds after which the call fails.
        producer : tuple of (str, int, int) or None
            Name, epoch and sequence number of the append. The store refuses an epoch
            lower than the last one, and stores a repeated sequence number only once.
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
            encode_records(records),
            timeout_s,
            lambda result: callback(_parse_append(result)),
        )

    def read(self, topic, position, *, callback, wait_s, partition=0):
        """Read keyed records of a partition from an offset.

        Parameters
        ----------
        topic : str
            Name of the topic.
        position : int
            Offset of the first record to read.
        callback : callable
            Called with ``Records``, ``Expired``, ``Refused`` or ``NoResponse``.
        wait_s : float
            Seconds for which the store may delay its response if there is no record.
        partition : int, default=0
            Number of the partition.
        """
        query = {"Topic": topic, "part": partition, "From": position}
        query["WaitMs"] = int(wait_s * 1000)
        target = "/api/log-read?" + urllib.parse.urlencode(query)

        def on_result(result):
            callback(_parse_records(result, position))

        self._send("GET", target, b"", wait_s + LONG_POLL_MARGIN_S, on_result)

    def read_newest(self, topic, *, callback, timeout_s, partition=0):
        """Read the newest record of each key; the result is ``NewestRecords``."""
        records = []
        page_ends = []

        def request_page(after):
            query = {"Topic": topic, "part": partition}
            if after is not None:
                # The store names the last key of the previous page so here.
                query["DependsOn"] = after
            target = "/api/log-newest?" + urllib.parse.urlencode(query)
            self._send("GET", target, b"", timeout_s, on_page)

        def on_page(result):
            if bodies.read_status(result) != 200:
                callback(_parse_failure(result))
                return
            page = _decode_page(result.body)
            try:
                found = _parse_page(page)
            except ValueError as error:
                # Without some of its records a topic would seem to be shorter.
                callback(NoResponse(reason=f"malformed list of records: {error}"))
                return
            records.extend(found)
            # The pages are not one snapshot, so reading has to go on from the end that
            # the first page gives: records may have changed since.
            page_ends.append(page.end)
            if page.has_more:
                request_page(page.items[-1].key)
            else:
                callback(NewestRecords(records=records, end=page_ends[0]))

        request_page(None)

    def join(self, group, member, topic, *, ttl_s, generation, callback, timeout_s):
        """Join a group, or renew the membership.

        Parameters
        ----------
        group, member : str
            Name of the group and of the member.
        topic : str
            Topic whose partitions the group assigns.
        ttl_s : float
            Seconds without a renewal after which the membership ends.
        generation : int
            Newest generation that the member knows; 0 for none.
        callback : callable
            Called with ``GroupMembership``, ``Refused`` or ``NoResponse``.
        timeout_s : float
            Seconds after which the call fails.
        """
        body = {
            "group": group,
            "Member": member,
            "Topics": [topic],
            "TtlMs": int(ttl_s * 1000),
            "Generation": generation,
        }

        def on_result(result):
            status, fields = bodies.read_response(result)
            if status != 200:
                callback(_parse_failure(result))
                return
            rows = fields.get("parts") or []
            number = bodies.get_integer(fields, "Generation")
            try:
                owned = frozenset(row[1] for row in rows if row[0] == topic)
                is_valid = number > 0 and all(isinstance(part, int) for part in owned)
            except (IndexError, KeyError, TypeError):
                is_valid = False
            if not is_valid:
                reason = f"malformed membership {number}, {bodies.quote(rows)}"
                callback(NoResponse(reason=reason))
                return
            callback(GroupMembership(generation=number, partitions=owned))

        self._send("POST", "/api/log-join", bodies.encode(body), timeout_s, on_result)

    def leave(self, group, member, *, callback, timeout_s):
        """Leave a group, which frees its partitions; the result is ``LeftGroup``."""
        body = bodies.encode({"group": group, "Member": member})

        def on_result(result):
            has_left = bodies.read_status(result) == 200
            callback(LeftGroup() if has_left else _parse_failure(result))

        self._send("POST", "/api/log-leave", body, timeout_s, on_result)

    def list_owners(self, group, *, callback, timeout_s):
        """Ask who owns a group's partitions; the result is ``PartitionOwners``."""
        target = "/api/log-owners?" + urllib.parse.urlencode({"group": group})

        def on_result(result):
            status, fields = bodies.read_response(result)
            rows = _first_list(fields)
            if status != 200 or rows is None:
                callback(_parse_failure(result))
                return
            found = bodies.select_rows(
                rows, (object, int, str), "malformed rows of owners"
            )
            members = {partition: member for _, partition, member, *_ in found}
            callback(PartitionOwners(members=members))

        self._send("GET", target, b"", timeout_s, on_result)

    def _send(self, method, target, body, timeout_s, callback):
        self._call_count += 1
        headers = bodies.JSON_HEADERS
        if target.startswith("/api/log-append"):
            headers = ((b"content-type", b"application/octet-stream"),)
        self._connections.send(
            self._address,
            method,
            target,
            callback=callback,
            timeout_s=timeout_s,
            body=body,
            headers=headers if method == "POST" else (),
            response_limit_bytes=RESPONSE_LIMIT_BYTES,
        )


def _parse_page(page):
    """Return keys and values of a page; raise ValueError if it is not usable."""
    if isinstance(page, bodies.Invalid):
        raise ValueError(page.reason)
    if page.has_more and not page.items:
        raise ValueError("no records, but more to come")
    return [(item.key, base64.b64decode(item.value or "")) for item in page.items or ()]


def _first_list(fields):
    # The protocol does not name the field of the rows in this response, so the first
    # list is used.
    for value in fields.values():
        if isinstance(value, list):
            return value
    return None


def _parse_failure(result):
    if isinstance(result, connection.ExchangeFailure):
        reason = f"{result.reason}: {result.detail}"
        return NoResponse(reason=reason, was_sent=result.bytes_sent > 0)
    status, fields = bodies.read_response(result)
    return Refused(status=status, reason=bodies.get_text(fields, "Reason"))


def _parse_append(result):
    status = bodies.read_status(result)
    if status == 0:
        return _parse_failure(result)
    if status >= 500 and status not in NOTHING_DONE_STATUSES:
        return NoResponse(reason=f"status {status} does not say whether it is stored")
    fields = bodies.decode(result.body)
    if status != 200:
        fields = fields or {}
        return Refused(
            status=status,
            reason=bodies.get_text(fields, "Reason"),
            expected_sequence=bodies.get_integer(fields, "Sequence", None),
        )
    if fields is None:
        return NoResponse(reason="unreadable answer to an append")
    return Appended(
        offset=bodies.get_integer(fields, "Offset"),
        end=bodies.get_integer(fields, "EndOffset"),
    )


def _parse_records(result, position):
    status = bodies.read_status(result)
    if status == 410:
        _, fields = bodies.read_response(result)
        return Expired(first=bodies.get_integer(fields, "FirstOffset"))
    if status != 200:
        return _parse_failure(result)
    try:
        first, end, records = decode_records(result.body)
    except (ValueError, struct.error) as error:
        return NoResponse(reason=f"malformed body of a read: {error}")
    return Records(first=first, end=end, next=position + len(records), records=records)
