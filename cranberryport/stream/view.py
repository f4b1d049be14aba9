"""What the dispatcher needs to know of the control state."""

import dataclasses

from cranberryport.state import fleet, shares

# Contact older than this means that a peer cannot read the log; reads end after 1 s.
OUTAGE_AGE_S = 3.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class BackendServer:
    """A backend server of a service's pools.

    Attributes
    ----------
    name, host, port, data_centre
        As in the platform's list.
    slots_share : int
        Slots that the own session may use.
    is_usable : bool
        Whether it may get new work.
    """

    name: str
    host: str
    port: int
    data_centre: str
    slots_share: int
    is_usable: bool


class View:
    """The control state as seen by the own session.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Folded state and freshness.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        The own session.
    instance_list : cranberryport.fleet.instance_list.InstanceList
        Tells of leaving instances before the control state does.
    peers : cranberryport.peering.peers.Peers
        Tell what they know of the log and of leaving instances.
    usable_units : callable
        Takes a resource's name; units of it that this process may use.
    """

    __slots__ = (
        "_follower",
        "_instance_list",
        "_session_keeper",
        "_members",
        "_members_state",
        "_peers",
        "_usable_units",
    )

    def __init__(self, *, follower, session_keeper, instance_list, peers, usable_units):
        self._follower = follower
        self._session_keeper = session_keeper
        self._instance_list = instance_list
        self._peers = peers
        self._usable_units = usable_units
        # Members by service as of a state and its position. A request asks three times,
        # and filtering all instances took a seventh of its processor time.
        self._members = {}
        self._members_state = None

    @property
    def session(self):
        """Id of the own session; empty while none is open."""
        return self._session_keeper.session

    @property
    def has_dispatch_right(self):
        """Whether work may be sent to backend servers now."""
        if not self._session_keeper.is_open:
            return False
        return self._follower.has_dispatch_right or self._is_outage_for_all()

    @property
    def is_key_history_lost(self):
        """Whether claims of keys may be missing and can still be repeated.

        The records of claims may have expired unread. A record that expires all keys
        issued until then closes the gap on every instance.
        """
        lost_at = self._follower.lost_at
        return lost_at is not None and self._follower.state.keys.expiry < lost_at

    def configuration(self):
        """Return the configuration in force."""
        return self._follower.state.configuration

    def servers(self, service):
        """Return the backend servers of a service's pools, ordered by name."""
        leaving = self._leaving()
        return [
            BackendServer(
                name=entry.instance,
                host=entry.host,
                port=entry.port,
                data_centre=entry.data_centre,
                slots_share=self._usable_units(shares.slots_resource(entry.instance)),
                is_usable=entry.state == fleet.IN_SERVICE
                and entry.instance not in leaving,
            )
            for entry in self._find_members(service)
        ]

    def connections_share(self, service):
        """Return the connections that the own session may open to a service."""
        return self._usable_units(shares.connections_resource(service))

    def key(self, key):
        """Return the entry of an idempotency key, or None."""
        return self._follower.state.keys.get(key)

    def _find_members(self, service):
        state = self._follower.state
        if self._members_state != (state, state.position):
            self._members_state = (state, state.position)
            self._members = {}
        if service not in self._members:
            pools = self.configuration().pools.values()
            names = {pool.name for pool in pools if pool.service == service}
            self._members[service] = [
                entry
                for _, entry in sorted(state.fleet.instances.items())
                if entry.pool in names
            ]
        return self._members[service]

    def _leaving(self):
        leaving = set(self._instance_list.leaving)
        for status in self._peers.statuses().values():
            leaving.update(status.leaving)
        return leaving

    def _is_outage_for_all(self):
        """Return whether a majority of the live sessions cannot reach the log.

        Nothing can be granted or ended then, so an old view is harmless. A peer that
        answers here votes against this session at the earliest 6 s after it has
        reached the log again, which is longer than an answer counts.
        """
        if self._follower.contact_age_s == float("inf"):
            return False
        live = self._follower.state.sessions.live_ids()
        count = 1
        for session, status in self._peers.statuses().items():
            if session not in live or self.session in status.suspected:
                continue
            if status.contact_age_s > OUTAGE_AGE_S:
                count += 1
        return count > len(live) // 2
