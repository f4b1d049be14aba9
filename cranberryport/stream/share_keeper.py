"""Releases units of slots and connections that other sessions are entitled to.

The live sessions share the slots of each backend server and the connections to each
service. When a session opens or a capacity shrinks, the others hold a surplus, which
they stop using before they release it, so that no unit is used by two sessions.
"""

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events

CHECK_INTERVAL_S = 0.25
DECISION_TIMEOUT_S = 5.0


class ShareKeeper(BaseComponent):
    """Withholds this session's surplus units from use and releases them in the log.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session.
    timers : cranberryport.timers.Timers
        Timers for the periodic check.
    count_in_use : callable
        Takes a resource's name and returns the units of it that this process uses.
    """

    channel = "share_keeper"

    def __init__(self, *, follower, session_keeper, timers, count_in_use):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._timers = timers
        self._count_in_use = count_in_use
        # Resource to the units that must not be used any more.
        self._withheld = {}
        # Resources with a release whose outcome is not known.
        self._pending_releases = set()

    def usable_units(self, resource):
        """Return the units of a resource that this session may use now.

        These are the units that it holds in the control state, without surplus units
        and without units whose release is not decided yet.
        """
        held = self._follower.state.held_units(self._session_keeper.session, resource)
        return max(0, held - self._withheld.get(resource, 0))

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(CHECK_INTERVAL_S, self._release_surplus)

    def _release_surplus(self):
        self._timers.after(CHECK_INTERVAL_S, self._release_surplus)
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        surplus = self._follower.state.surplus(self._session_keeper.session)
        for resource in set(self._withheld) - set(surplus) - self._pending_releases:
            del self._withheld[resource]
        for resource, units in surplus.items():
            if resource not in self._pending_releases:
                self._withheld[resource] = units
                self._release_units(resource, units)

    def _release_units(self, resource, surplus):
        session = self._session_keeper.session
        held = self._follower.state.held_units(session, resource)
        # Units in use are released by a later check, once they are free.
        units = min(surplus, held - self._count_in_use(resource))
        if units <= 0:
            return
        # Until the release is decided, all its units must stay withheld.
        self._withheld[resource] = max(units, self._withheld[resource])
        self._pending_releases.add(resource)
        self._propose(
            messages.SharesReleased(session=session, resource=resource, units=units)
        )

    def _propose(self, record):
        log_writer_events.propose(
            self, record, context=record, timeout_s=DECISION_TIMEOUT_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        record = ticket.context
        if isinstance(outcome, log_writer_events.Undecided):
            # The release may still be folded. It is proposed again: records of one
            # writer are folded in order, so the outcome of the second proposal comes
            # after the first one took effect or can no longer take effect.
            self._propose(record)
            return
        self._pending_releases.discard(record.resource)
        self._withheld.pop(record.resource, None)
