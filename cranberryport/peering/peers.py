"""Keeps a full mesh of connections between the entry instances.

Entry instances exchange their statuses and other messages directly, so that they learn
of each other even while the log cannot be reached.
"""

import logging
import time

from circuits import BaseComponent, Event, handler

from cranberryport.generated import messages
from cranberryport.peering import peer_link

STATUS_INTERVAL_S = 1.0
SILENT_AFTER_S = 3.0
BACKLOG = 64

_logger = logging.getLogger(__name__)


class peer_message(Event):
    """A peer has sent a message other than ``PeerHello`` or ``PeerStatus``.

    Parameters
    ----------
    session : str
        Session id of the peer.
    message : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    """


class _Peer:
    """Link to a peer, its last status, and when its last message was received."""

    __slots__ = ("link", "received_at", "status")

    def __init__(self, *, link):
        self.link = link
        self.received_at = time.monotonic()
        self.status = None


class Peers(BaseComponent):
    """Keeps a link to every live session and exchanges status messages.

    Of two sessions, the one with the lower id connects to the other, so that there is
    one connection between them.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the sockets.
    timers : cranberryport.timers.Timers
        Schedules the periodic check and status messages.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    instance : str
        Name of this entry instance.
    """

    channel = "peers"

    def __init__(self, *, watcher, timers, host, port, instance):
        super().__init__()
        self._watcher = watcher
        self._timers = timers
        self._instance = instance
        self._listener = peer_link.Listener(
            watcher=watcher, host=host, port=port, on_accepted=self._on_accepted
        )
        self._peers = {}
        self._dialled_links = {}
        self._get_sessions = {}
        self._get_own_session = ""
        self._make_own_status = None

    @property
    def port(self):
        """TCP port that peers connect to."""
        return self._listener.port

    def set_callbacks(self, *, sessions, own_session, make_status):
        """Set the functions that supply the control state.

        Parameters
        ----------
        sessions : callable
            Returns the live sessions of the other entry instances: a dict of session id
            to pair of host and port.
        own_session : callable
            Returns the id of the own session, or an empty string if none is open.
        make_status : callable
            Returns the ``PeerStatus`` to send.
        """
        self._get_sessions = sessions
        self._get_own_session = own_session
        self._make_own_status = make_status

    def is_silent(self, session):
        """Return whether no message was received from a session recently."""
        peer = self._peers.get(session)
        if peer is None:
            return True
        return time.monotonic() - peer.received_at > SILENT_AFTER_S

    def statuses(self):
        """Return the last status of each peer that is not silent, by session id."""
        return {
            session: peer.status
            for session, peer in sorted(self._peers.items())
            if peer.status is not None and not self.is_silent(session)
        }

    def send(self, session, message):
        """Send a message to a session; return False if there is no open link to it."""
        peer = self._peers.get(session)
        if peer is None or not peer.link.is_open:
            return False
        peer.link.send(message)
        return True

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._listener.start()
        self._timers.after(STATUS_INTERVAL_S, self._tick)

    def _tick(self):
        self._timers.after(STATUS_INTERVAL_S, self._tick)
        own = self._get_own_session()
        if not own:
            return
        live_sessions = self._get_sessions()
        self._close_links_of_ended_sessions(live_sessions)
        for session, (host, port) in live_sessions.items():
            if (
                session <= own
                or session in self._peers
                or session in self._dialled_links
            ):
                continue
            self._dial_peer(session, host, port)
        status = self._make_own_status()
        for session in list(self._peers):
            self.send(session, status)

    def _close_links_of_ended_sessions(self, live_sessions):
        for session in set(self._peers) - set(live_sessions):
            self._peers.pop(session).link.close()

    def _dial_peer(self, session, host, port):
        link = peer_link.dial(
            watcher=self._watcher,
            host=host,
            port=port,
            on_message=self._on_message,
            on_open=self._on_open,
            on_closed=self._on_closed,
        )
        link.session = session
        if not link.is_closed:
            self._dialled_links[session] = link

    def _on_accepted(self, sock):
        peer_link.accept(
            watcher=self._watcher,
            sock=sock,
            on_message=self._on_message,
            on_open=lambda link: None,
            on_closed=self._on_closed,
        )

    def _on_open(self, link):
        self._dialled_links.pop(link.session, None)
        self._peers[link.session] = _Peer(link=link)
        hello = messages.PeerHello(
            session=self._get_own_session(), instance=self._instance
        )
        link.send(hello)
        link.send(self._make_own_status())

    def _on_closed(self, link):
        self._dialled_links.pop(link.session, None)
        peer = self._peers.get(link.session)
        if peer is not None and peer.link is link:
            del self._peers[link.session]

    def _on_message(self, link, message):
        if isinstance(message, messages.PeerHello):
            self._handle_hello(link, message)
            return
        peer = self._peers.get(link.session)
        if peer is None or peer.link is not link:
            link.close()
            return
        peer.received_at = time.monotonic()
        if isinstance(message, messages.PeerStatus):
            peer.status = message
        else:
            self.fire(peer_message(link.session, message), "*")

    def _handle_hello(self, link, hello):
        if link.session is not None:
            if hello.session != link.session:
                link.close()
            return
        # Session ids are random, and only readers of the control stream know them, so
        # a known id shows that the peer belongs to the deployment.
        if hello.session not in self._get_sessions():
            _logger.warning("rejected a peer with unknown session %s", hello.session)
            link.close()
            return
        previous = self._peers.get(hello.session)
        link.session = hello.session
        self._peers[hello.session] = _Peer(link=link)
        if previous is not None and previous.link is not link:
            previous.link.close()
        link.send(
            messages.PeerHello(session=self._get_own_session(), instance=self._instance)
        )
        link.send(self._make_own_status())
