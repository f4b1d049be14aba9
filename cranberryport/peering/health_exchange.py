"""Passes peers' reports about unreachable backend servers to the dispatcher."""

from circuits import BaseComponent, handler

TICK_INTERVAL_S = 1.0


class HealthExchange(BaseComponent):
    """Reports to the dispatcher which servers the peers cannot connect to.

    Parameters
    ----------
    peers : cranberryport.peering.peers.Peers
        Statuses of the peers, which name the servers that they cannot connect to.
    dispatcher : cranberryport.callers.dispatcher.Dispatcher
        Combines a report with the results of its own connections.
    timers : cranberryport.timers.Timers
        Schedules the periodic check.
    """

    channel = "health_exchange"

    def __init__(self, *, peers, dispatcher, timers):
        super().__init__()
        self._peers = peers
        # circuits.Manager, a base class, has a method named _dispatcher.
        self._request_dispatcher = dispatcher
        self._timers = timers

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._timers.after(TICK_INTERVAL_S, self._tick)

    def _tick(self):
        self._timers.after(TICK_INTERVAL_S, self._tick)
        for session, status in self._peers.statuses().items():
            for server in status.failed:
                self._request_dispatcher.record_peer_report(server, session)
