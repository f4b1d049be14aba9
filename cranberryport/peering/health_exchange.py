"""Passes on which backend servers peers cannot connect to."""

from circuits import BaseComponent, handler

TICK_S = 1.0


class HealthExchange(BaseComponent):
    """Gives the reports of the peers to the dispatcher.

    Parameters
    ----------
    peers : cranberryport.peering.peers.Peers
        Their statuses name the servers that they cannot connect to.
    dispatcher : cranberryport.callers.dispatcher.Dispatcher
        Weighs a report with its own evidence.
    timers : cranberryport.timers.Timers
        For the regular check.
    """

    channel = "health_exchange"

    def __init__(self, *, peers, dispatcher, timers):
        super().__init__()
        self._peers = peers
        # circuits' manager has attributes named _dispatcher and _timers of its own.
        self._requests = dispatcher
        self._clock = timers

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._clock.after(TICK_S, self._tick)

    def _tick(self):
        self._clock.after(TICK_S, self._tick)
        for session, status in self._peers.statuses().items():
            for server in status.failed:
                self._requests.record_peer_report(server, session)
