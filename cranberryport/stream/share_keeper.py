"""Gives back shares of slots and connections that other sessions are entitled to."""

from circuits import BaseComponent, handler

from cranberryport.generated import messages
from cranberryport.stream import log_writer_events

TICK_S = 0.25
APPEND_LIFETIME_S = 5.0


class ShareKeeper(BaseComponent):
    """Stops using surplus units first, and then releases them through the log.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Own session.
    timers : cranberryport.timers.Timers
        For the regular check.
    count_in_use : callable
        Takes a resource's name; units of it in use by this process.
    """

    channel = "share_keeper"

    def __init__(self, *, follower, session_keeper, timers, count_in_use):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._timers = timers
        self._count_in_use = count_in_use
        self._withheld = {}
        self._pending = set()

    def usable(self, resource):
        """Return the units of a resource that may be used now.

        Units that are about to be released are not used any more, also while the
        outcome of the release is open.
        """
        held = self._follower.state.held_units(self._session_keeper.session, resource)
        return max(0, held - self._withheld.get(resource, 0))

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_S, self._tick)

    def _tick(self):
        self._timers.after(TICK_S, self._tick)
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            return
        surplus = self._follower.state.surplus(self._session_keeper.session)
        for resource in set(self._withheld) - set(surplus) - self._pending:
            del self._withheld[resource]
        for resource, units in surplus.items():
            if resource not in self._pending:
                self._withheld[resource] = units
                self._release(resource, units)

    def _release(self, resource, surplus):
        session = self._session_keeper.session
        held = self._follower.state.held_units(session, resource)
        units = min(surplus, held - self._count_in_use(resource))
        if units <= 0:
            return
        # While a release is open only the units that are withheld are certain.
        self._withheld[resource] = max(units, self._withheld[resource])
        self._pending.add(resource)
        self._append(
            messages.SharesReleased(session=session, resource=resource, units=units)
        )

    def _append(self, record):
        log_writer_events.propose(
            self, record, context=record, lifetime_s=APPEND_LIFETIME_S
        )

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        record = ticket.context
        if isinstance(outcome, log_writer_events.Undecided):
            # The release may still be folded. A later one of the same writer settles
            # it: its outcome comes after the outcome of everything sent before.
            self._append(record)
            return
        self._pending.discard(record.resource)
        self._withheld.pop(record.resource, None)
