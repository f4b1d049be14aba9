"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import collections
import struct
import time

# Time of an append in seconds (AppendMs of the deployments).
APPEND_S = 0.004
# Seconds between two looks for silent members; short beside the least TTL of 1 s.
MEMBER_CHECK_S = 0.05
# Records in one page of the newest ones (platform's protocol).
PAGE_RECORDS = 500
# The store keeps the last appends of a producer to answer repeats.
REPEATS_KEPT = 5
_LENGTH = struct.Struct(">I")


class Partition:
    """Records of one partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.producers = {}

    @property
    def end(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, records, *, is_keyed):
        """Add records and wake the readers."""
        for record in records:
            if is_keyed:
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    self.newest[key] = (value, self.end)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self, keep):
        """Drop the oldest records so that at most ``keep`` stay."""
        surplus = max(0, len(self.records) - keep)
        del self.records[:surplus]
        self.first += surplus


class Member:
    """A member of a group."""

    def __init__(self):
        self.expires_at = 0.0
        self.owned = set()


class Group:
    """Assigns the partitions of a topic to its members, evenly.

    Parameters
    ----------
    partitions : int
        Partitions of the topic.
    """

    def __init__(self, *, partitions):
        self._partitions = partitions
        self.generation = 0
        self.members = {}
        self.owners = {}

    def join(self, name, *, ttl_s):
        """Take a join; returns the generation and the member's partitions."""
        now = time.monotonic()
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member()
            self.assign()
        member.expires_at = now + ttl_s
        # A reassigned partition is free once its previous owner knows of it.
        member.owned &= self.target(name)
        for number in self.target(name):
            if not any(number in other.owned for other in self.members.values()):
                member.owned.add(number)
        return self.generation, sorted(member.owned)

    def assign(self):
        """Assign all partitions anew."""
        self.generation += 1
        names = sorted(self.members)
        self.owners = {}
        for number in range(self._partitions):
            if names:
                self.owners[number] = names[number % len(names)]

    def target(self, name):
        """Return the partitions that a member is to have."""
        return {number for number, owner in self.owners.items() if owner == name}

    def leave(self, name):
        """Drop a member."""
        if self.members.pop(name, None) is not None:
            self.assign()

    def expire(self):
        """Drop the members that have been silent."""
        now = time.monotonic()
        for name, member in list(self.members.items()):
            if member.expires_at < now:
                self.leave(name)


class Store:
    """The store's application.

    Parameters
    ----------
    partitions : int
        Partitions of a topic of the system's own.
    """

    def __init__(self, *, partitions):
        self._topics = collections.defaultdict(
            lambda: [Partition() for _ in range(partitions)]
        )
        self._groups = collections.defaultdict(lambda: Group(partitions=partitions))
        self.is_down = False
        self.delay_s = 0.0
        # Calls that are done and whose answer is lost, still to come.
        self.answers_to_lose = 0

    def partition(self, topic, number=0):
        """Return a partition."""
        return self._topics[topic][number]

    def put(self, topic, key, value):
        """Write a record of a keyed topic at once, for the platform itself."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic).append([record], is_keyed=True)

    def rebalance(self):
        """Assign all partitions of all groups anew."""
        for group in self._groups.values():
            group.assign()

    def expire_history(self, keep):
        """Drop all but the newest records of each partition."""
        for partitions in self._topics.values():
            for partition in partitions:
                partition.expire(keep)

    async def watch_members(self):
        """Expire silent members, for ever."""
        while True:
            await asyncio.sleep(MEMBER_CHECK_S)
            if self.is_down:
                continue
            for group in self._groups.values():
                group.expire()

    async def handle(self, request):
        """Answer a request."""
        if self.is_down:
            return 503, {}
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        answer = await self._handle(request)
        if self.answers_to_lose and request.path == "/api/log-append":
            self.answers_to_lose -= 1
            raise ConnectionResetError
        return answer

    async def _handle(self, request):
        if request.path == "/api/log-append":
            return await self._append(request)
        if request.path == "/api/log-read":
            return await self._read(request)
        if request.path == "/api/log-newest":
            return self._newest(request)
        if request.path == "/api/log-join":
            return self._join(request.fields())
        if request.path == "/api/log-leave":
            fields = request.fields()
            self._groups[fields["group"]].leave(fields["Member"])
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

    def _join(self, fields):
        group = self._groups[fields["group"]]
        generation, owned = group.join(
            fields["Member"],
            ttl_s=fields["TtlMs"] / 1000,
        )
        topic = fields["Topics"][0]
        rows = [[topic, number, 0] for number in owned]
        return 200, {"Generation": generation, "parts": rows}

    async def _append(self, request):
        query = request.query
        topic = query["Topic"]
        partition = self.partition(topic, int(query.get("part", 0)))
        async with partition.lock:
            producer, refusal = self._check_producer(partition, query)
            if refusal is not None:
                return refusal
            records = list(_split(request.body))
            if records:
                await asyncio.sleep(APPEND_S)
            offset = partition.end
            partition.append(records, is_keyed=topic.startswith("keyed."))
            answer = 200, {"Offset": offset, "EndOffset": partition.end}
            if producer is not None:
                producer["answers"].append((int(query["Sequence"]), answer))
                producer["next"] = int(query["Sequence"]) + 1
            return answer

    def _check_producer(self, partition, query):
        if "Producer" not in query:
            return None, None
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        known = partition.producers.get(query["Producer"])
        if known is None or epoch > known["epoch"]:
            known = {
                "epoch": epoch,
                "next": sequence,
                "answers": collections.deque(maxlen=REPEATS_KEPT),
            }
            partition.producers[query["Producer"]] = known
        if epoch < known["epoch"]:
            return known, (409, {"Reason": "fenced"})
        for number, answer in known["answers"]:
            if number == sequence:
                return known, answer
        if sequence != known["next"]:
            return known, (409, {"Reason": "seq", "Sequence": known["next"]})
        return known, None

    async def _read(self, request):
        query = request.query
        partition = self.partition(query["Topic"], int(query.get("part", 0)))
        position = int(query["From"])
        ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while position >= partition.end:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            changed = partition.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if self.is_down:
            return 503, {}
        if position < partition.first:
            return 410, {"FirstOffset": partition.first}
        found = partition.records[position - partition.first :]
        parts = [struct.pack(">QQ", partition.end, partition.first)]
        for record in found:
            parts += [_LENGTH.pack(len(record)), record]
        return 200, b"".join(parts)

    def _newest(self, request):
        query = request.query
        partition = self.partition(query["Topic"], int(query.get("part", 0)))
        after = query.get("DependsOn", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:PAGE_RECORDS]:
            value, offset = partition.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        has_more = len(keys) > PAGE_RECORDS
        return 200, {
            "items": items,
            "HasMore": has_more,
            "EndOffset": partition.end,
        }


def _split(body):
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + size]
        position += size
