"""Read-only view of the control state for the components that handle requests.

It adds to the folded state what this process knows from its peers and from the
platform's list. Both can show that an instance is leaving while the log cannot be
written.
"""

import dataclasses

from cranberryport.state import fleet, shares

# A peer whose last contact is older than this cannot read the log, since a read takes
# up to 1 s.
OUTAGE_CONTACT_AGE_S = 3.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class BackendServer:
    """A backend server of a service's pools.

    Attributes
    ----------
    name, host, port, data_centre
        As in the platform's list.
    slots_share : int
        Slots that this process's session may use.
    is_usable : bool
        Whether new requests may be sent to it.
    """

    name: str
    host: str
    port: int
    data_centre: str
    slots_share: int
    is_usable: bool


class View:
    """The control state as it applies to this process's session.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state and its age.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session.
    instance_list : cranberryport.fleet.instance_list.InstanceList
        Source of the leaving instances of the platform's latest list.
    peers : cranberryport.peering.peers.Peers
        Source of the peers' statuses: the age of their contact with the log, and the
        leaving instances that they know.
    usable_units : callable
        Takes a resource's name and returns the units of it that this process may use.
    """

    __slots__ = (
        "_follower",
        "_instance_list",
        "_instances_by_service",
        "_instances_state_position",
        "_peers",
        "_session_keeper",
        "_usable_units",
    )

    def __init__(self, *, follower, session_keeper, instance_list, peers, usable_units):
        self._follower = follower
        self._session_keeper = session_keeper
        self._instance_list = instance_list
        self._peers = peers
        self._usable_units = usable_units
        # Cache of the instances by service, and the state and position for which it is
        # valid. Each request reads it three times; without the cache, filtering all
        # instances took a seventh of the processor time of a request.
        self._instances_by_service = {}
        self._instances_state_position = None

    @property
    def session(self):
        """Id of this process's session; empty while none is open."""
        return self._session_keeper.session

    @property
    def has_dispatch_right(self):
        """Whether requests may be sent to backend servers now."""
        if not self._session_keeper.is_open:
            return False
        return self._follower.has_dispatch_right or self._is_outage_for_all()

    @property
    def is_key_history_lost(self):
        """Whether a key may have been claimed without a trace in this state.

        This is so after records were deleted from the log before they were read, until
        all keys that were issued before the loss was found have expired.
        """
        state_lost_at = self._follower.state_lost_at
        return (
            state_lost_at is not None
            and self._follower.state.keys.expiry < state_lost_at
        )

    def configuration(self):
        """Return the configuration in force."""
        return self._follower.state.configuration

    def servers(self, service):
        """Return each :class:`BackendServer` of a service's pools, ordered by name."""
        leaving = self._leaving_instances()
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
            for entry in self._service_instances(service)
        ]

    def connections_share(self, service):
        """Return the number of connections that this session may open to a service."""
        return self._usable_units(shares.connections_resource(service))

    def key(self, key):
        """Return the entry of an idempotency key, or None."""
        return self._follower.state.keys.get(key)

    def _service_instances(self, service):
        state = self._follower.state
        if self._instances_state_position != (state, state.position):
            self._instances_state_position = (state, state.position)
            self._instances_by_service = {}
        if service not in self._instances_by_service:
            pools = self.configuration().pools.values()
            names = {pool.name for pool in pools if pool.service == service}
            self._instances_by_service[service] = [
                entry
                for _, entry in sorted(state.fleet.instances.items())
                if entry.pool in names
            ]
        return self._instances_by_service[service]

    def _leaving_instances(self):
        leaving = set(self._instance_list.leaving)
        for status in self._peers.statuses().values():
            leaving.update(status.leaving)
        return leaving

    def _is_outage_for_all(self):
        """Return whether a majority of the live sessions cannot reach the log.

        In that case no shares can be granted and no session can be ended by votes, so
        that it is safe to go on with an old state. A peer that is counted here can vote
        against this session at the earliest 6 s after it has reached the log again; by
        then its status counts no more.
        """
        if self._follower.contact_age_s == float("inf"):
            return False
        live = self._follower.state.sessions.live_ids()
        count = 1
        for session, status in self._peers.statuses().items():
            if session not in live or self.session in status.suspected:
                continue
            if status.contact_age_s > OUTAGE_CONTACT_AGE_S:
                count += 1
        return count > len(live) // 2
