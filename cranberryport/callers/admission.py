"""Bounded request queue of one service, with priority classes and fair queueing.

Classes are served in strict priority order: rush, interactive, batch. While rush and
interactive requests use every slot, batch requests wait until they expire and are then
refused. This is intended: the owner sets the priorities, and there is no ageing. Within
a class no desk (tenant) starves: even an entry of a desk with the smallest weight is
overtaken by a bounded number of entries only.

Within a class, desks are served by self-clocked fair queueing (Golestani, 1994). Each
entry costs one unit whatever its size, so a desk gains nothing by splitting a request.
An idle desk keeps the virtual finish time of its last entry, so it gains nothing by
emptying its queue.
"""

import collections
import dataclasses
import heapq
import itertools
import math

from cranberryport.callers import requests

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
EWMA_WEIGHT = 0.1
# Stale items kept beyond one for each current item, so that clean-up is rare.
STALE_ITEMS_LIMIT = 64


@dataclasses.dataclass(kw_only=True, slots=True)
class Queued:
    """The entry was queued.

    Attributes
    ----------
    displaced : object or None
        Entry of a lower class that was removed from the full queue to make room.
    """

    displaced: object = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Refused:
    """The entry was not queued.

    Attributes
    ----------
    reason : str
        Sentence for the caller.
    retry_after_s : float
        Seconds that the caller should wait before it repeats the request.
    """

    reason: str
    retry_after_s: float


class ServiceTime:
    """Exponentially weighted mean of the time that a request occupies a slot.

    Parameters
    ----------
    initial_s : float, default=0.05
        Mean before the first observation, in seconds.
    """

    __slots__ = ("_mean_s",)

    def __init__(self, *, initial_s=0.05):
        self._mean_s = initial_s

    @property
    def mean_s(self):
        """Mean in seconds."""
        return self._mean_s

    def observe(self, duration_s):
        """Add a duration to the mean."""
        self._mean_s += EWMA_WEIGHT * (duration_s - self._mean_s)


def estimate_wait(*, entries_ahead, slots_in_use, slots_total, service_time_s):
    """Return the expected time that a new entry waits in the queue.

    Parameters
    ----------
    entries_ahead : int
        Waiting entries that will start before the new one.
    slots_in_use, slots_total : int
        Slots that this entry instance uses and may use for the service.
    service_time_s : float
        Mean time that a request occupies a slot.

    Returns
    -------
    float
        Seconds; 0 if there are no slots, because it is not known when some will be
        available.
    """
    if slots_total <= 0:
        return 0.0
    waiting = entries_ahead + 1 - max(0, slots_total - slots_in_use)
    return max(0.0, waiting * service_time_s / slots_total)


def may_start(request_class, slots_in_use, slots_total, reserved_percent):
    """Return whether a request of a class may use a slot now.

    Parameters
    ----------
    request_class : {'rush', 'interactive', 'batch'}
        Priority class.
    slots_in_use, slots_total : int
        Slots that this entry instance uses and may use for the service.
    reserved_percent : float
        Percentage of the slots that is reserved for rush requests. The number of slots
        is rounded up, but at least one slot stays usable by all classes; otherwise an
        entry instance with a single slot would serve rush requests only.

    Returns
    -------
    bool
        Whether the request may start.
    """
    if request_class == "rush":
        return slots_in_use < slots_total
    reserved = math.ceil(slots_total * reserved_percent / 100)
    reserved = min(reserved, slots_total - 1)
    return slots_in_use < slots_total - reserved


class _DeskQueue:
    """Entries of one desk in one class, oldest first.

    ``virtual_start`` is the virtual time at which the service of its next entry starts.
    """

    __slots__ = ("entries", "virtual_start")

    def __init__(self):
        self.entries = collections.OrderedDict()
        self.virtual_start = 0.0


class _ClassQueue:
    """Entries of one class, served by self-clocked fair queueing over the desks."""

    __slots__ = ("_busy_desks", "_entries", "_idle_desks", "_virtual_time", "_weight")

    def __init__(self, *, weight):
        self._weight = weight
        self._entries = collections.OrderedDict()
        self._busy_desks = {}
        self._idle_desks = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._entries)

    @property
    def newest(self):
        """The entry that was added last."""
        return next(reversed(self._entries))

    def add(self, entry):
        """Append an entry."""
        name = entry.desk
        desk = self._busy_desks.get(name)
        if desk is None:
            desk = self._idle_desks.pop(name, None) or _DeskQueue()
            desk.virtual_start = max(desk.virtual_start, self._virtual_time)
            self._busy_desks[name] = desk
        self._entries[entry] = None
        desk.entries[entry] = None

    def remove(self, entry):
        """Remove an entry without starting it; the virtual time does not change."""
        del self._entries[entry]
        desk = self._busy_desks[entry.desk]
        del desk.entries[entry]
        self._move_if_idle(entry.desk, desk)

    @property
    def next_entry(self):
        """The entry that :meth:`pop_next` would return."""
        return next(iter(self._busy_desks[self._find_next_desk()].entries))

    def pop_next(self):
        """Remove and return the next entry of the desk that finishes first."""
        name = self._find_next_desk()
        desk = self._busy_desks[name]
        finish = self._virtual_finish(name)
        entry, _ = desk.entries.popitem(last=False)
        del self._entries[entry]
        desk.virtual_start = finish
        self._virtual_time = max(self._virtual_time, finish)
        self._move_if_idle(name, desk)
        return entry

    def entries_ahead(self, name):
        """Return how many waiting entries would start before a new entry of a desk."""
        desk = self._busy_desks.get(name)
        own = len(desk.entries) if desk is not None else 0
        weight = self._weight(name)
        total = sum(self._weight(other) for other in self._busy_desks if other != name)
        rounds = (own + 1) / weight
        return min(len(self), own + math.floor(rounds * total))

    def _find_next_desk(self):
        # Finish times are computed from the current weights, so that a changed weight
        # takes effect at once.
        return min(self._busy_desks, key=self._virtual_finish)

    def _virtual_finish(self, name):
        return self._busy_desks[name].virtual_start + 1.0 / self._weight(name)

    def _move_if_idle(self, name, desk):
        if desk.entries:
            return
        del self._busy_desks[name]
        self._idle_desks[name] = desk
        if len(self._idle_desks) > 2 * len(self._busy_desks) + STALE_ITEMS_LIMIT:
            now = self._virtual_time
            self._idle_desks = {
                key: idle
                for key, idle in self._idle_desks.items()
                if idle.virtual_start > now
            }


class AdmissionQueue:
    """Queue of the requests that wait for a slot of one service.

    An entry is any hashable object with ``request_class``, ``desk`` and ``deadline``
    (monotonic seconds).

    Parameters
    ----------
    capacity : int
        Largest number of waiting entries.
    weight : callable
        Called with the name of a desk; returns its current weight, 1 to 100.
    """

    __slots__ = (
        "_capacity",
        "_classes",
        "_deadline_heap",
        "_overdue",
        "_tie_breaker",
        "_waiting",
    )

    def __init__(self, *, capacity, weight):
        self._capacity = capacity
        self._classes = {
            name: _ClassQueue(weight=weight) for name in requests.REQUEST_CLASSES
        }
        self._waiting = set()
        self._deadline_heap = []
        self._tie_breaker = itertools.count()
        self._overdue = []

    def __len__(self):
        return len(self._waiting)

    @property
    def next_deadline(self):
        """Earliest deadline of the waiting entries, or None."""
        while self._deadline_heap and self._deadline_heap[0][2] not in self._waiting:
            heapq.heappop(self._deadline_heap)
        return self._deadline_heap[0][0] if self._deadline_heap else None

    def entries_ahead(self, entry):
        """Return how many waiting entries would start before a new entry.

        All entries of higher classes count. In the entry's own class, the backlog of
        its own desk counts in full and the backlog of the other desks only up to their
        fair share.
        """
        ahead = 0
        for name, members in self._classes.items():
            if name == entry.request_class:
                return ahead + members.entries_ahead(entry.desk)
            ahead += len(members)
        valid = ", ".join(self._classes)
        raise ValueError(
            f"unknown request class {entry.request_class!r}; valid: {valid}"
        )

    def check_admission(self, entry, now, estimated_wait_s, *, expected_entries=0):
        """Return whether :meth:`offer` would refuse an entry, without queueing it.

        Parameters
        ----------
        entry : object
            New entry.
        now, estimated_wait_s : float
            Monotonic seconds; seconds from :func:`estimate_wait`.
        expected_entries : int
            Entries that will be offered soon; they count as waiting.

        Returns
        -------
        Refused or None
            None if the entry would be queued.
        """
        if entry.deadline < now + estimated_wait_s or entry.deadline <= now:
            return Refused(
                reason=f"the queue's wait of about {estimated_wait_s:.1f} s ends after "
                "the deadline",
                retry_after_s=_clamp_retry_after(estimated_wait_s),
            )
        is_full = len(self) + expected_entries >= self._capacity
        if is_full and self._find_displaced(entry) is None:
            return Refused(
                reason=f"the queue is full with {self._capacity} requests",
                retry_after_s=_clamp_retry_after(estimated_wait_s),
            )
        return None

    def offer(self, entry, now, estimated_wait_s):
        """Queue an entry or refuse it.

        If the queue is full, the newest entry of the lowest class has to go: either the
        new entry is refused, or a waiting one is removed and returned in
        :attr:`Queued.displaced`.

        Parameters
        ----------
        entry : object
            New entry.
        now, estimated_wait_s : float
            Monotonic seconds; seconds from :func:`estimate_wait`.

        Returns
        -------
        Queued or Refused
            Whether the entry was queued.
        """
        refused = self.check_admission(entry, now, estimated_wait_s)
        if refused is not None:
            return refused
        displaced = None
        if len(self) >= self._capacity:
            displaced = self._find_displaced(entry)
            self.cancel(displaced)
        self._waiting.add(entry)
        self._classes[entry.request_class].add(entry)
        heapq.heappush(
            self._deadline_heap, (entry.deadline, next(self._tie_breaker), entry)
        )
        return Queued(displaced=displaced)

    def peek(self, now, *, min_time_left_s=0.0):
        """Return the entry that :meth:`take` would return, without removing it.

        Entries that :meth:`take` would skip are set aside for :meth:`expire`.
        """
        for members in self._classes.values():
            while members:
                entry = members.next_entry
                if self._has_time_left(entry, now, min_time_left_s, len(self) - 1):
                    return entry
                members.pop_next()
                self._forget_waiting(entry)
                self._overdue.append(entry)
        return None

    def take(self, now, *, rush_only=False, min_time_left_s=0.0):
        """Remove and return the entry that starts next.

        Entries past their deadline, or with too little time left, are set aside for
        :meth:`expire`.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        rush_only : bool
            Whether only a rush request may start.
        min_time_left_s : float
            Time that a request probably needs. An entry with less time to its deadline
            does not start while other entries wait: its work would be abandoned at the
            deadline, and its slot would stay occupied for some time after that.

        Returns
        -------
        object or None
            None if no entry may start.
        """
        names = ("rush",) if rush_only else requests.REQUEST_CLASSES
        for name in names:
            members = self._classes[name]
            while members:
                entry = members.pop_next()
                self._forget_waiting(entry)
                if self._has_time_left(entry, now, min_time_left_s, len(self)):
                    return entry
                self._overdue.append(entry)
        return None

    def expire(self, now):
        """Remove and return the entries past their deadline and those set aside."""
        expired, self._overdue = self._overdue, []
        while (deadline := self.next_deadline) is not None and deadline <= now:
            entry = heapq.heappop(self._deadline_heap)[2]
            self.cancel(entry)
            expired.append(entry)
        return expired

    def cancel(self, entry):
        """Remove a waiting entry.

        Returns
        -------
        bool
            Whether the entry was waiting.
        """
        if entry not in self._waiting:
            return False
        self._classes[entry.request_class].remove(entry)
        self._forget_waiting(entry)
        return True

    def _has_time_left(self, entry, now, min_time_left_s, other_count):
        return entry.deadline > now + (min_time_left_s if other_count else 0.0)

    def _forget_waiting(self, entry):
        self._waiting.remove(entry)
        if len(self._deadline_heap) > 2 * len(self._waiting) + STALE_ITEMS_LIMIT:
            self._deadline_heap = [
                item for item in self._deadline_heap if item[2] in self._waiting
            ]
            heapq.heapify(self._deadline_heap)

    def _find_displaced(self, entry):
        for name in reversed(requests.REQUEST_CLASSES):
            if name == entry.request_class:
                return None
            if self._classes[name]:
                return self._classes[name].newest
        return None


def _clamp_retry_after(seconds):
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
