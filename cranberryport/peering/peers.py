"""Full mesh of connections between the entry instances."""

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
    """A peer sent a message other than its greeting or status.

    Parameters
    ----------
    session : str
        Session id of the peer.
    message : object
        Instance of a class in :mod:`cranberryport.generated.messages`.
    """


class _Peer:
    """What is known of a peer from its own messages."""

    __slots__ = ("link", "received_at", "status")

    def __init__(self, *, link):
        self.link = link
        self.received_at = time.monotonic()
        self.status = None


class Peers(BaseComponent):
    """Keeps a link to every live session and exchanges status messages.

    Of two sessions the one with the lower id dials, so that a pair has one connection.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the sockets.
    timers : cranberryport.timers.Timers
        For the regular status.
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
        self._dialling = {}
        self._sessions = {}
        self._session = ""
        self._make_status = None

    @property
    def port(self):
        """TCP port that peers connect to."""
        return self._listener.port

    def set_callbacks(self, *, sessions, own_session, make_status):
        """Set where the mesh reads the control state from.

        Parameters
        ----------
        sessions : callable
            Returns a dict of live session ids to pairs of host and port.
        own_session : callable
            Returns the own session id, or an empty string.
        make_status : callable
            Returns the own ``PeerStatus``.
        """
        self._sessions = sessions
        self._session = own_session
        self._make_status = make_status

    def is_silent(self, session):
        """Return whether nothing was heard from a session lately."""
        peer = self._peers.get(session)
        if peer is None:
            return True
        return time.monotonic() - peer.received_at > SILENT_AFTER_S

    def statuses(self):
        """Return the recent statuses of the peers by session id."""
        return {
            session: peer.status
            for session, peer in sorted(self._peers.items())
            if peer.status is not None and not self.is_silent(session)
        }

    def send(self, session, message):
        """Send a message to a session; return whether there is an open link."""
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
        own = self._session()
        if not own:
            return
        wanted = self._sessions()
        self._drop_ended(wanted)
        for session, (host, port) in wanted.items():
            if session <= own or session in self._peers or session in self._dialling:
                continue
            self._dial(session, host, port)
        status = self._make_status()
        for session in list(self._peers):
            self.send(session, status)

    def _drop_ended(self, wanted):
        for session in set(self._peers) - set(wanted):
            self._peers.pop(session).link.close()

    def _dial(self, session, host, port):
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
            self._dialling[session] = link

    def _on_accepted(self, sock):
        peer_link.accept(
            watcher=self._watcher,
            sock=sock,
            on_message=self._on_message,
            on_open=lambda link: None,
            on_closed=self._on_closed,
        )

    def _on_open(self, link):
        self._dialling.pop(link.session, None)
        self._peers[link.session] = _Peer(link=link)
        hello = messages.PeerHello(session=self._session(), instance=self._instance)
        link.send(hello)
        link.send(self._make_status())

    def _on_closed(self, link):
        self._dialling.pop(link.session, None)
        peer = self._peers.get(link.session)
        if peer is not None and peer.link is link:
            del self._peers[link.session]

    def _on_message(self, link, message):
        if isinstance(message, messages.PeerHello):
            self._greet(link, message)
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

    def _greet(self, link, hello):
        if link.session is not None:
            if hello.session != link.session:
                link.close()
            return
        # Session ids are random and known only to readers of the control stream.
        if hello.session not in self._sessions():
            _logger.warning("a peer greeted with the unknown session %s", hello.session)
            link.close()
            return
        previous = self._peers.get(hello.session)
        link.session = hello.session
        self._peers[hello.session] = _Peer(link=link)
        if previous is not None and previous.link is not link:
            previous.link.close()
        link.send(messages.PeerHello(session=self._session(), instance=self._instance))
        link.send(self._make_status())
