"""Divides the slots of instances and the connections of services among sessions.

Every entry instance limits its own use to the units that its session holds, so that
all of them together never exceed a capacity. Units pass from one session to another
only through the log: released by their holder, or freed when it is fenced or closed.
"""

import dataclasses
import zlib

from cranberryport.state import plain

SLOTS_PREFIX = "slots/"
CONNECTIONS_PREFIX = "connections/"


def slots_resource(instance):
    """Return the resource name for the slots of an instance."""
    return SLOTS_PREFIX + instance


def connections_resource(service):
    """Return the resource name for the connections of a service."""
    return CONNECTIONS_PREFIX + service


@dataclasses.dataclass(kw_only=True, slots=True)
class Resource:
    """A number of units that is divided among sessions.

    Attributes
    ----------
    capacity : int
        Total units; 0 for a resource that is removed once no session holds any.
    held : dict of str to int
        Session id to units held, without zeros. Ended sessions hold theirs until they
        are fenced.
    """

    capacity: int
    held: dict[str, int] = dataclasses.field(default_factory=dict)


def fair_target(name, capacity, rank, session_count):
    """Return the number of units of a resource that a session is entitled to.

    Parameters
    ----------
    name : str
        Name of the resource. Its hash selects the sessions that get one unit more when
        the capacity cannot be divided evenly, so that these differ by resource.
    capacity : int
        Total units.
    rank : int
        Position of the session among the live ones, from 0.
    session_count : int
        Number of live sessions, at least 1.

    Returns
    -------
    int
        Units; the targets of all live sessions add up to the capacity.
    """
    share, remainder = divmod(capacity, session_count)
    position = (rank - zlib.crc32(name.encode())) % session_count
    return share + (position < remainder)


class Shares:
    """All resources and the units of each that sessions hold."""

    __slots__ = ("_resources",)

    def __init__(self):
        self._resources = {}

    @property
    def resources(self):
        """Map of resource name to :class:`Resource`."""
        return self._resources

    def held_units(self, session, resource):
        """Return the units that a session holds of a resource."""
        entry = self._resources.get(resource)
        return entry.held.get(session, 0) if entry else 0

    def capacity(self, resource):
        """Return the total units of a resource, 0 for an unknown one."""
        entry = self._resources.get(resource)
        return entry.capacity if entry else 0

    def surplus(self, session, live):
        """Return the units that a session holds above its fair target.

        Parameters
        ----------
        session : str
            Session id.
        live : list of str
            Ids of the live sessions in order of opening.

        Returns
        -------
        dict of str to int
            Resource name to the units that the session has to release.
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
        """Release units of a live session and distribute them to others."""
        held = self.held_units(record.session, record.resource)
        if not 1 <= record.units <= held:
            return (
                f"cannot release {record.units} units of {record.resource!r}; "
                f"session {record.session!r} holds {held}"
            )
        self._take_units(record.session, record.resource, record.units)
        self._rebalance_resource(record.resource, live)
        return ""

    def free_session_units(self, session, live):
        """Release all units of a fenced or closed session and distribute them."""
        for name in sorted(self._resources):
            held = self._resources[name].held.get(session, 0)
            if held:
                self._take_units(session, name, held)
        self.rebalance(live)

    def set_capacity(self, name, capacity, live):
        """Set the capacity of a resource; one without capacity or holders is removed.

        A smaller capacity takes no units from their holders. The holders find a surplus
        and release it, and no units are distributed until their sum is below the
        capacity.
        """
        entry = self._resources.get(name)
        if entry is None:
            if capacity <= 0:
                return
            entry = self._resources[name] = Resource(capacity=0)
        if entry.capacity == capacity:
            return
        entry.capacity = max(0, capacity)
        self._rebalance_resource(name, live)

    def rebalance(self, live):
        """Distribute free units of every resource to sessions below their targets."""
        for name in sorted(self._resources):
            self._rebalance_resource(name, live)

    def to_plain(self):
        """Return the resources as maps, lists and scalars, for a snapshot."""
        return plain.to_plain(self._resources)

    @classmethod
    def from_plain(cls, value):
        """Return the shares that :meth:`to_plain` converted."""
        shares = cls()
        shares._resources = plain.from_plain(value, dict[str, Resource])
        return shares

    def _take_units(self, session, name, units):
        entry = self._resources[name]
        rest = entry.held[session] - units
        if rest:
            entry.held[session] = rest
        else:
            del entry.held[session]

    def _rebalance_resource(self, name, live):
        entry = self._resources[name]
        free = entry.capacity - sum(entry.held.values())
        deficits = self._find_deficits(name, live) if free > 0 else []
        while free > 0 and deficits:
            # Each pass gives all sessions equal parts, so that no session must wait for
            # released units while another already has its whole target.
            part = max(1, free // len(deficits))
            remaining = []
            for session, units in deficits:
                given = min(part, units, free)
                if given:
                    entry.held[session] = entry.held.get(session, 0) + given
                free -= given
                if units > given:
                    remaining.append((session, units - given))
            deficits = remaining
        if not entry.capacity and not entry.held:
            del self._resources[name]

    def _find_deficits(self, name, live):
        """Return pairs of a session below its target and the units it lacks.

        The session that holds least comes first.
        """
        entry = self._resources[name]
        deficits = []
        for rank, session in enumerate(live):
            target = fair_target(name, entry.capacity, rank, len(live))
            held = entry.held.get(session, 0)
            if held < target:
                deficits.append((held, rank, session, target - held))
        deficits.sort()
        return [(session, deficit) for _, _, session, deficit in deficits]
