"""Stand-in of the platform's metadata store.

The store keeps topics of append-only partitions. Topics with the prefix ``keyed.`` also
keep the newest record of each key. Members of a group share the partitions of a topic.
"""

import asyncio
import base64
import collections
import struct
import time

# Time that an append takes (AppendMs of the deployments).
APPEND_DURATION_S = 0.004
# Interval at which expired members are removed; short compared to the least TTL, 1 s.
MEMBER_CHECK_INTERVAL_S = 0.05
# Largest number of keys in a response of log-newest (platform's protocol).
PAGE_LIMIT_KEYS = 500
# Largest record, and largest body of an append (RecordBytes and CallBytes of the
# deployments).
RECORD_LIMIT_BYTES = 262_144
CALL_LIMIT_BYTES = 2_097_152
# Responses to the latest appends of a producer that are kept, to answer a repeated
# append in the same way.
KEPT_RESPONSES_PER_PRODUCER = 5
_LENGTH = struct.Struct(">I")


class Partition:
    """Records of one partition of a topic.

    Attributes
    ----------
    records : list of bytes
        Retained records.
    first_offset : int
        Offset of the first retained record.
    newest : dict of str to (bytes, int)
        Newest value of each key and its offset; only in a keyed topic.
    appended : asyncio.Event
        Set at the next append, and then replaced; waiting reads wait for it.
    lock : asyncio.Lock
        Held during an append.
    producers : dict of str to dict
        Epoch, next sequence number and latest responses of each producer.
    """

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.newest = {}
        self.appended = asyncio.Event()
        self.lock = asyncio.Lock()
        self.producers = {}

    @property
    def end_offset(self):
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, records, *, is_keyed):
        """Append records and wake up waiting reads.

        Parameters
        ----------
        records : list of bytes
            In a keyed topic each is the length of the key in one byte, the key and the
            value. An empty value deletes the key.
        is_keyed : bool
            Whether the topic is keyed.
        """
        for record in records:
            if is_keyed:
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    self.newest[key] = (value, self.end_offset)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()

    def drop_oldest(self, keep):
        """Remove the oldest records so that at most ``keep`` are left."""
        surplus = max(0, len(self.records) - keep)
        del self.records[:surplus]
        self.first_offset += surplus


class Member:
    """A member of a group.

    Attributes
    ----------
    expires_at : float
        Monotonic time at which it is removed unless it joins again.
    owned : set of int
        Partitions that it owns.
    """

    def __init__(self):
        self.expires_at = 0.0
        self.owned = set()


class Group:
    """Divides the partitions of a topic evenly among its members.

    Parameters
    ----------
    partitions : int
        Number of partitions of the topic.

    Attributes
    ----------
    generation : int
        Number of assignments made so far.
    members : dict of str to Member
        Members by name.
    assigned_members : dict of int to str
        Name of the member that each partition is assigned to. It becomes the owner when
        the previous owner has given the partition up.
    first_member : int
        Place of the member with partition 0 in the order of the names, modulo the
        number of members.
    """

    def __init__(self, *, partitions):
        self._partitions = partitions
        self.generation = 0
        self.first_member = 0
        self.members = {}
        self.assigned_members = {}

    def join(self, name, *, ttl_s):
        """Add a member or extend its time to live.

        Returns
        -------
        tuple of (int, list of int)
            Generation, and the partitions that the member owns now.
        """
        now = time.monotonic()
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member()
            self.reassign()
        member.expires_at = now + ttl_s
        # The previous owner of a reassigned partition gives it up when it joins again
        # and learns so from the response. Only then the new owner gets it.
        member.owned &= self.assigned_partitions(name)
        for number in self.assigned_partitions(name):
            if not any(number in other.owned for other in self.members.values()):
                member.owned.add(number)
        return self.generation, sorted(member.owned)

    def reassign(self):
        """Assign all partitions again, in a new generation."""
        self.generation += 1
        names = sorted(self.members)
        self.assigned_members = {}
        for number in range(self._partitions):
            if names:
                place = (number + self.first_member) % len(names)
                self.assigned_members[number] = names[place]

    def assigned_partitions(self, name):
        """Return the partitions that are assigned to a member."""
        return {
            number for number, owner in self.assigned_members.items() if owner == name
        }

    @property
    def settled_member_count(self):
        """Number of members; 0 while a partition has not got to its next owner."""
        is_settled = all(
            name in self.members and number in self.members[name].owned
            for number, name in self.assigned_members.items()
        )
        return len(self.members) if is_settled else 0

    def remove_member(self, name):
        """Remove a member and reassign the partitions."""
        if self.members.pop(name, None) is not None:
            self.reassign()

    def remove_expired_members(self):
        """Remove the members that did not join again within their time to live."""
        now = time.monotonic()
        for name, member in list(self.members.items()):
            if member.expires_at < now:
                self.remove_member(name)


class Store:
    """The metadata store, as the application of a server.

    Parameters
    ----------
    partitions : int
        Number of partitions of each topic.

    Attributes
    ----------
    is_down : bool
        Whether all requests are answered with 503.
    delay_s : float
        Delay of each request.
    answers_to_lose : int
        Number of coming appends that are carried out but get no response.
    down_at_snapshot_of : str
        Topic at whose next snapshot the store goes down instead of answering; empty for
        none.
    on_going_down : callable
        Called without arguments when that happens.
    """

    def __init__(self, *, partitions):
        self._topics = collections.defaultdict(
            lambda: [Partition() for _ in range(partitions)]
        )
        self._groups = collections.defaultdict(lambda: Group(partitions=partitions))
        self.is_down = False
        self.delay_s = 0.0
        self.answers_to_lose = 0
        self.down_at_snapshot_of = ""
        self.on_going_down = None

    def partition(self, topic, number=0):
        """Return a partition of a topic, which is created if needed."""
        return self._topics[topic][number]

    def put(self, topic, key, value):
        """Append a record to a keyed topic without delay, on behalf of the platform."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic).append([record], is_keyed=True)

    def rebalance(self, *, is_rotated=False):
        """Reassign the partitions of all groups.

        Parameters
        ----------
        is_rotated : bool, default=False
            Whether each partition is assigned to the next member.
        """
        for group in self._groups.values():
            group.first_member += is_rotated
            group.reassign()

    def settled_member_count(self, group):
        """Return the number of members of a group, see :class:`Group`."""
        return self._groups[group].settled_member_count

    def expire_history(self, keep):
        """Remove the oldest records of each partition so that ``keep`` are left."""
        for partitions in self._topics.values():
            for partition in partitions:
                partition.drop_oldest(keep)

    async def expire_members(self):
        """Remove expired members of all groups at regular intervals, without end."""
        while True:
            await asyncio.sleep(MEMBER_CHECK_INTERVAL_S)
            if self.is_down:
                continue
            for group in self._groups.values():
                group.remove_expired_members()

    async def handle(self, request):
        """Answer a request."""
        if self._goes_down_at(request):
            self.is_down = True
            self.down_at_snapshot_of = ""
            self.on_going_down()
        if self.is_down:
            return 503, {}
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        response = await self._route(request)
        if self.answers_to_lose and request.path == "/api/log-append":
            self.answers_to_lose -= 1
            raise ConnectionResetError
        return response

    def _goes_down_at(self, request):
        topic = self.down_at_snapshot_of
        is_snapshot = request.path == "/api/log-newest"
        return topic and is_snapshot and request.query["Topic"] == topic

    async def _route(self, request):
        if request.path == "/api/log-append":
            return await self._handle_append(request)
        if request.path == "/api/log-read":
            return await self._handle_read(request)
        if request.path == "/api/log-newest":
            return self._handle_newest(request)
        if request.path == "/api/log-join":
            return self._handle_join(request.json_object())
        if request.path == "/api/log-leave":
            fields = request.json_object()
            self._groups[fields["group"]].remove_member(fields["Member"])
            return 200, {}
        if request.path == "/api/log-owners":
            group = self._groups[request.query["group"]]
            rows = [
                ["control", number, name, 0]
                for name, member in group.members.items()
                for number in member.owned
            ]
            return 200, {"Owners": rows}
        return 404, {}

    def _handle_join(self, fields):
        group = self._groups[fields["group"]]
        generation, owned = group.join(
            fields["Member"],
            ttl_s=fields["TtlMs"] / 1000,
        )
        topic = fields["Topics"][0]
        rows = [[topic, number, 0] for number in owned]
        return 200, {"Generation": generation, "parts": rows}

    async def _handle_append(self, request):
        query = request.query
        topic = query["Topic"]
        partition = self.partition(topic, int(query.get("part", 0)))
        async with partition.lock:
            producer, early_response = self._check_producer(partition, query)
            if early_response is not None:
                return early_response
            if len(request.body) > CALL_LIMIT_BYTES:
                return 413, {"Reason": "call"}
            records = list(_split_records(request.body))
            if any(len(record) > RECORD_LIMIT_BYTES for record in records):
                return 413, {"Reason": "record"}
            if records:
                await asyncio.sleep(APPEND_DURATION_S)
            offset = partition.end_offset
            partition.append(records, is_keyed=topic.startswith("keyed."))
            response = 200, {"Offset": offset, "EndOffset": partition.end_offset}
            if producer is not None:
                producer["answers"].append((int(query["Sequence"]), response))
                producer["next"] = int(query["Sequence"]) + 1
            return response

    def _check_producer(self, partition, query):
        """Return the state of the append's producer and a response, or None for each.

        A response means that nothing is to be appended: the append is a repeat, or its
        epoch or sequence number is refused. Without a producer both are None.
        """
        if "Producer" not in query:
            return None, None
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        producer = partition.producers.get(query["Producer"])
        if producer is None or epoch > producer["epoch"]:
            producer = {
                "epoch": epoch,
                "next": sequence,
                "answers": collections.deque(maxlen=KEPT_RESPONSES_PER_PRODUCER),
            }
            partition.producers[query["Producer"]] = producer
        if epoch < producer["epoch"]:
            return producer, (409, {"Reason": "fenced"})
        for number, response in producer["answers"]:
            if number == sequence:
                return producer, response
        if sequence != producer["next"]:
            return producer, (409, {"Reason": "seq", "Sequence": producer["next"]})
        return producer, None

    async def _handle_read(self, request):
        query = request.query
        partition = self.partition(query["Topic"], int(query.get("part", 0)))
        position = int(query["From"])
        wait_end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while position >= partition.end_offset:
            left_s = wait_end - time.monotonic()
            if left_s <= 0:
                break
            appended = partition.appended
            try:
                await asyncio.wait_for(appended.wait(), left_s)
            except TimeoutError:
                break
        if self.is_down:
            return 503, {}
        if position < partition.first_offset:
            return 410, {"FirstOffset": partition.first_offset}
        records = partition.records[position - partition.first_offset :]
        parts = [struct.pack(">QQ", partition.end_offset, partition.first_offset)]
        for record in records:
            parts += [_LENGTH.pack(len(record)), record]
        return 200, b"".join(parts)

    def _handle_newest(self, request):
        query = request.query
        partition = self.partition(query["Topic"], int(query.get("part", 0)))
        after = query.get("DependsOn", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:PAGE_LIMIT_KEYS]:
            value, offset = partition.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        has_more = len(keys) > PAGE_LIMIT_KEYS
        return 200, {
            "items": items,
            "HasMore": has_more,
            "EndOffset": partition.end_offset,
        }


def _split_records(body):
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + size]
        position += size
