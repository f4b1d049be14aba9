"""Bounded queue of one service: strict classes, weighted fair queueing over desks.

The classes are served in strict order. Batch therefore gets nothing while rush and
interactive requests take every slot: its entries expire and are told so. This is the
owner's order of priorities, and no ageing softens it. Within a class no desk starves:
an entry of a desk with the smallest weight is overtaken by a bounded number of entries.

Desks share a class by self-clocked fair queueing (Golestani, 1994). Each entry costs
one unit whatever its size, so a desk that splits a request into several pays for each
of them, and a desk that pauses keeps the finish time that it has used up.
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
HEAP_SLACK = 64


@dataclasses.dataclass(kw_only=True, slots=True)
class Queued:
    """The entry waits.

    Attributes
    ----------
    displaced : object or None
        Entry of a lower class that had to leave for it.
    """

    displaced: object = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Refused:
    """The entry does not wait.

    Attributes
    ----------
    reason : str
        One clear sentence.
    retry_after_s : float
        Seconds after which a repeat is sensible.
    """

    reason: str
    retry_after_s: float


class ServiceTime:
    """Exponentially weighted mean of the time that a request takes a slot.

    Parameters
    ----------
    initial_s : float, default=0.05
        Used until something was observed.
    """

    __slots__ = ("_mean_s",)

    def __init__(self, *, initial_s=0.05):
        self._mean_s = initial_s

    @property
    def mean_s(self):
        """Mean in seconds."""
        return self._mean_s

    def observe(self, duration_s):
        """Take one more duration into the mean."""
        self._mean_s += EWMA_WEIGHT * (duration_s - self._mean_s)


def estimate_wait(*, entries_ahead, slots_in_use, slots_total, service_time_s):
    """Return the expected time in the queue.

    Parameters
    ----------
    entries_ahead : int
        Entries that will start earlier.
    slots_in_use, slots_total : int
        Slots of the service at this entry instance.
    service_time_s : float
        Mean time that a request takes a slot.

    Returns
    -------
    float
        Seconds; 0 without slots, since nothing is known about when some will come.
    """
    if slots_total <= 0:
        return 0.0
    waiting = entries_ahead + 1 - max(0, slots_total - slots_in_use)
    return max(0.0, waiting * service_time_s / slots_total)


def may_start(request_class, slots_in_use, slots_total, reserved_percent):
    """Return whether a request of a class may take a slot now.

    Parameters
    ----------
    request_class : {'rush', 'interactive', 'batch'}
        Priority class.
    slots_in_use, slots_total : int
        Slots of the service at this entry instance.
    reserved_percent : float
        Part of the slots that is kept free for rush requests. It is rounded up, but
        one slot stays usable by all classes, or a share of one slot would serve rush
        requests only.

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


class _Desk:
    """Entries of one desk in one class, oldest first, and its virtual time."""

    __slots__ = ("entries", "start")

    def __init__(self):
        self.entries = collections.OrderedDict()
        self.start = 0.0


class _Class:
    """Entries of one class."""

    __slots__ = ("_active", "_arrivals", "_idle", "_virtual_time", "_weight")

    def __init__(self, *, weight):
        self._weight = weight
        self._arrivals = collections.OrderedDict()
        self._active = {}
        self._idle = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._arrivals)

    @property
    def newest(self):
        """The entry that came last."""
        return next(reversed(self._arrivals))

    def add(self, entry):
        """Append an entry."""
        name = entry.desk
        desk = self._active.get(name)
        if desk is None:
            desk = self._idle.pop(name, None) or _Desk()
            desk.start = max(desk.start, self._virtual_time)
            self._active[name] = desk
        self._arrivals[entry] = None
        desk.entries[entry] = None

    def remove(self, entry):
        """Drop an entry that has not started; its desk pays nothing."""
        del self._arrivals[entry]
        desk = self._active[entry.desk]
        del desk.entries[entry]
        self._settle(entry.desk, desk)

    @property
    def first(self):
        """The entry that :meth:`take` returns."""
        return next(iter(self._active[self._find_first()].entries))

    def take(self):
        """Remove and return the first entry of the desk with the earliest finish."""
        name = self._find_first()
        desk = self._active[name]
        finish = self._finish(name)
        entry, _ = desk.entries.popitem(last=False)
        del self._arrivals[entry]
        desk.start = finish
        self._virtual_time = max(self._virtual_time, finish)
        self._settle(name, desk)
        return entry

    def entries_ahead(self, name):
        """Return how many entries start before a new one of a desk."""
        desk = self._active.get(name)
        own = len(desk.entries) if desk is not None else 0
        weight = self._weight(name)
        total = sum(self._weight(other) for other in self._active if other != name)
        rounds = (own + 1) / weight
        return min(len(self), own + math.floor(rounds * total))

    def _find_first(self):
        # Finish times come from the present weights, so a changed weight acts at once.
        return min(self._active, key=self._finish)

    def _finish(self, name):
        return self._active[name].start + 1.0 / self._weight(name)

    def _settle(self, name, desk):
        if desk.entries:
            return
        del self._active[name]
        self._idle[name] = desk
        if len(self._idle) > 2 * len(self._active) + HEAP_SLACK:
            now = self._virtual_time
            self._idle = {
                key: idle for key, idle in self._idle.items() if idle.start > now
            }


class AdmissionQueue:
    """Waiting entries of one service.

    An entry is any hashable object with ``request_class``, ``desk`` and ``deadline``
    (monotonic seconds).

    Parameters
    ----------
    capacity : int
        Entries that can wait.
    weight : callable
        Returns the present weight (1..100) of a desk's name.
    """

    __slots__ = (
        "_capacity",
        "_classes",
        "_deadlines",
        "_members",
        "_order",
        "_overdue",
    )

    def __init__(self, *, capacity, weight):
        self._capacity = capacity
        self._classes = {
            name: _Class(weight=weight) for name in requests.REQUEST_CLASSES
        }
        self._members = set()
        self._deadlines = []
        self._order = itertools.count()
        self._overdue = []

    def __len__(self):
        return len(self._members)

    @property
    def next_deadline(self):
        """Earliest deadline of a waiting entry, or None."""
        while self._deadlines and self._deadlines[0][2] not in self._members:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def entries_ahead(self, entry):
        """Return how many entries would start before a new entry.

        A desk's own backlog counts, not the backlog of a desk that floods the class.
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

    def check(self, entry, now, estimated_wait_s, *, others=0):
        """Return why an entry would be refused, without queueing it.

        Parameters
        ----------
        entry : object
            New entry.
        now, estimated_wait_s : float
            Monotonic seconds; seconds from :func:`estimate_wait`.
        others : int
            Entries that will be offered soon and count as waiting.

        Returns
        -------
        Refused or None
            None if the entry would wait.
        """
        if entry.deadline < now + estimated_wait_s or entry.deadline <= now:
            return Refused(
                reason=f"the queue's wait of about {estimated_wait_s:.1f} s ends after "
                "the deadline",
                retry_after_s=_bounded(estimated_wait_s),
            )
        is_full = len(self) + others >= self._capacity
        if is_full and self._find_displaced(entry) is None:
            return Refused(
                reason=f"the queue is full with {self._capacity} requests",
                retry_after_s=_bounded(estimated_wait_s),
            )
        return None

    def offer(self, entry, now, estimated_wait_s):
        """Queue an entry or refuse it.

        A full queue refuses the newest entry of the lowest class: either the new one
        or a waiting one, which then is in :attr:`Queued.displaced`.

        Parameters
        ----------
        entry : object
            New entry.
        now, estimated_wait_s : float
            Monotonic seconds; seconds from :func:`estimate_wait`.

        Returns
        -------
        Queued or Refused
            What became of the entry.
        """
        refused = self.check(entry, now, estimated_wait_s)
        if refused is not None:
            return refused
        displaced = None
        if len(self) >= self._capacity:
            displaced = self._find_displaced(entry)
            self.cancel(displaced)
        self._members.add(entry)
        self._classes[entry.request_class].add(entry)
        heapq.heappush(self._deadlines, (entry.deadline, next(self._order), entry))
        return Queued(displaced=displaced)

    def peek(self, now, *, min_time_left_s=0.0):
        """Return the entry that :meth:`take` would return for every class."""
        for members in self._classes.values():
            while members:
                entry = members.first
                if self._is_in_time(entry, now, min_time_left_s, len(self) - 1):
                    return entry
                members.take()
                self._forget(entry)
                self._overdue.append(entry)
        return None

    def take(self, now, *, rush_only=False, min_time_left_s=0.0):
        """Remove and return the entry that starts next.

        Parameters
        ----------
        now : float
            Monotonic seconds; entries past their deadline are left to :meth:`expire`.
        rush_only : bool
            Whether only a rush request may start.
        min_time_left_s : float
            Time that a request probably needs. While others wait, an entry with less
            left does not start: its work would be abandoned at the deadline, and its
            slot would stay taken for some time after that.

        Returns
        -------
        object or None
            None if no entry may start.
        """
        names = ("rush",) if rush_only else requests.REQUEST_CLASSES
        for name in names:
            members = self._classes[name]
            while members:
                entry = members.take()
                self._forget(entry)
                if self._is_in_time(entry, now, min_time_left_s, len(self)):
                    return entry
                self._overdue.append(entry)
        return None

    def expire(self, now):
        """Remove and return all entries past their deadline."""
        expired, self._overdue = self._overdue, []
        while (deadline := self.next_deadline) is not None and deadline <= now:
            entry = heapq.heappop(self._deadlines)[2]
            self.cancel(entry)
            expired.append(entry)
        return expired

    def cancel(self, entry):
        """Remove a waiting entry in constant time.

        Returns
        -------
        bool
            Whether the entry was waiting.
        """
        if entry not in self._members:
            return False
        self._classes[entry.request_class].remove(entry)
        self._forget(entry)
        return True

    def _is_in_time(self, entry, now, min_time_left_s, others):
        return entry.deadline > now + (min_time_left_s if others else 0.0)

    def _forget(self, entry):
        self._members.remove(entry)
        if len(self._deadlines) > 2 * len(self._members) + HEAP_SLACK:
            self._deadlines = [
                item for item in self._deadlines if item[2] in self._members
            ]
            heapq.heapify(self._deadlines)

    def _find_displaced(self, entry):
        for name in reversed(requests.REQUEST_CLASSES):
            if name == entry.request_class:
                return None
            if self._classes[name]:
                return self._classes[name].newest
        return None


def _bounded(seconds):
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
