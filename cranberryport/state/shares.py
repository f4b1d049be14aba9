"""Shares of slots and connections of the live sessions."""

import dataclasses
import zlib

from cranberryport.state import plain

SLOTS_PREFIX = "slots/"
CONNECTIONS_PREFIX = "connections/"


def slots_resource(instance):
    """Return the name of the resource for an instance's slots."""
    return SLOTS_PREFIX + instance


def connections_resource(service):
    """Return the name of the resource for a service's connections."""
    return CONNECTIONS_PREFIX + service


@dataclasses.dataclass(kw_only=True, slots=True)
class Resource:
    """A limit that the sessions share.

    Attributes
    ----------
    capacity : int
        Units in all; 0 for a resource that is going away.
    held : dict of str to int
        Session to units, without zeros; ended sessions keep theirs until fenced.
    """

    capacity: int
    held: dict[str, int] = dataclasses.field(default_factory=dict)


def fair_target(name, capacity, rank, session_count):
    """Return the units that a session is entitled to.

    Parameters
    ----------
    name : str
        Resource; it decides where the remainder starts, so that the same session does
        not get the odd unit of every resource.
    capacity : int
        Units in all.
    rank : int
        Place of the session among the live ones, from 0.
    session_count : int
        Number of live sessions, at least 1.

    Returns
    -------
    int
        Units; the targets of all live sessions add up to the capacity.
    """
    share, remainder = divmod(capacity, session_count)
    turn = (rank - zlib.crc32(name.encode())) % session_count
    return share + (turn < remainder)


class Shares:
    """Units of every resource by session."""

    __slots__ = ("_resources",)

    def __init__(self):
        self._resources = {}

    @property
    def resources(self):
        """Map of name to :class:`Resource`."""
        return self._resources

    def held_units(self, session, resource):
        """Return the units that a session holds of a resource."""
        entry = self._resources.get(resource)
        return entry.held.get(session, 0) if entry else 0

    def capacity(self, resource):
        """Return the units of a resource in all; 0 if it is unknown."""
        entry = self._resources.get(resource)
        return entry.capacity if entry else 0

    def surplus(self, session, live):
        """Return the units above a session's target.

        Parameters
        ----------
        session : str
            Session id.
        live : list of str
            Live sessions in order of opening.

        Returns
        -------
        dict of str to int
            Resource to units that the session stops using and then releases.
        """
        if session not in live:
            return {}
        rank = live.index(session)
        result = {}
        for name, entry in sorted(self._resources.items()):
            target = fair_target(name, entry.capacity, rank, len(live))
            excess = entry.held.get(session, 0) - target
            if excess > 0:
                result[name] = excess
        return result

    def release(self, record, live):
        """Take units back from a live session and pass them on."""
        held = self.held_units(record.session, record.resource)
        if not 1 <= record.units <= held:
            return (
                f"cannot release {record.units} units of {record.resource!r}; "
                f"session {record.session!r} holds {held}"
            )
        self._reduce(record.session, record.resource, record.units)
        self._rebalance(record.resource, live)
        return ""

    def drop_session(self, session, live):
        """Free the units of a fenced or closed session."""
        for name in sorted(self._resources):
            held = self._resources[name].held.get(session, 0)
            if held:
                self._reduce(session, name, held)
        self.rebalance(live)

    def set_capacity(self, name, capacity, live):
        """Change one capacity; a resource without capacity goes once nobody holds it.

        A smaller capacity takes nothing away by itself: the holders see a surplus and
        release it, and nothing is given out before the sum is below the capacity.
        """
        entry = self._resources.get(name)
        if entry is None:
            if capacity <= 0:
                return
            entry = self._resources[name] = Resource(capacity=0)
        if entry.capacity == capacity:
            return
        entry.capacity = max(0, capacity)
        self._rebalance(name, live)

    def rebalance(self, live):
        """Give free units of every resource to live sessions below their target."""
        for name in sorted(self._resources):
            self._rebalance(name, live)

    def to_plain(self):
        """Return plain values that :meth:`from_plain` takes."""
        return plain.to_plain(self._resources)

    @classmethod
    def from_plain(cls, value):
        """Return the shares for plain values."""
        shares = cls()
        shares._resources = plain.from_plain(value, dict[str, Resource])
        return shares

    def _reduce(self, session, name, units):
        entry = self._resources[name]
        rest = entry.held[session] - units
        if rest:
            entry.held[session] = rest
        else:
            del entry.held[session]

    def _rebalance(self, name, live):
        entry = self._resources[name]
        free = entry.capacity - sum(entry.held.values())
        missing = self._missing(name, live) if free > 0 else []
        while free > 0 and missing:
            # Even parts in each pass, so that no session waits for the surplus of
            # others while another already has its whole target.
            part = max(1, free // len(missing))
            still_missing = []
            for session, units in missing:
                given = min(part, units, free)
                if given:
                    entry.held[session] = entry.held.get(session, 0) + given
                free -= given
                if units > given:
                    still_missing.append((session, units - given))
            missing = still_missing
        if not entry.capacity and not entry.held:
            del self._resources[name]

    def _missing(self, name, live):
        """Return sessions below target with their deficit, least held first."""
        entry = self._resources[name]
        missing = []
        for rank, session in enumerate(live):
            target = fair_target(name, entry.capacity, rank, len(live))
            held = entry.held.get(session, 0)
            if held < target:
                missing.append((held, rank, session, target - held))
        missing.sort()
        return [(session, deficit) for _, _, session, deficit in missing]
