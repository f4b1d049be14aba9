"""A websocket connection between two entry instances.

The protocol is handled by the Sans-I/O layer of ``websockets``, so that the socket can
be watched by the single poller of the process.
"""

import logging
import socket

import cbor2
from websockets import client, exceptions, frames, http11, server, uri

from cranberryport import codec
from cranberryport.http import addresses

MESSAGE_LIMIT_BYTES = 2 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024
OUTGOING_BUFFER_LIMIT_BYTES = 8 * 1024 * 1024
BACKLOG = 64
PATH = "/peer"

_logger = logging.getLogger(__name__)


def dial(*, watcher, host, port, on_message, on_open, on_closed):
    """Connect to a peer and return the link.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the socket and calls the link when it is readable or writable.
    host : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    on_message : callable
        Called with the link and each received message.
    on_open, on_closed : callable
        Called with the link after the handshake and after the socket was closed.

    Returns
    -------
    PeerLink
        Link that is still connecting, or already closed if connecting failed at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    protocol = client.ClientProtocol(
        uri.parse_uri(f"ws://{host}:{port}{PATH}"), max_size=MESSAGE_LIMIT_BYTES
    )
    link = PeerLink(
        watcher=watcher,
        sock=sock,
        protocol=protocol,
        on_message=on_message,
        on_open=on_open,
        on_closed=on_closed,
    )
    link.start_connecting((host, port))
    return link


def accept(*, watcher, sock, on_message, on_open, on_closed):
    """Return a link for an accepted socket; see :func:`dial` for the parameters."""
    sock.setblocking(False)
    link = PeerLink(
        watcher=watcher,
        sock=sock,
        protocol=server.ServerProtocol(max_size=MESSAGE_LIMIT_BYTES),
        on_message=on_message,
        on_open=on_open,
        on_closed=on_closed,
    )
    watcher.watch(sock, link)
    return link


class PeerLink:
    """One websocket connection; create it with :func:`dial` or :func:`accept`.

    ``session`` is for the owner, to note which session the peer has.
    """

    __slots__ = (
        "_is_closed",
        "_is_connecting",
        "_is_open",
        "_on_closed",
        "_on_message",
        "_on_open",
        "_outgoing_buffer",
        "_protocol",
        "_sock",
        "_watcher",
        "session",
    )

    def __init__(self, *, watcher, sock, protocol, on_message, on_open, on_closed):
        self._watcher = watcher
        self._sock = sock
        self._protocol = protocol
        self._on_message = on_message
        self._on_open = on_open
        self._on_closed = on_closed
        self._outgoing_buffer = bytearray()
        self._is_connecting = False
        self._is_open = False
        self._is_closed = False
        self.session = None

    @property
    def is_open(self):
        """Whether the handshake is complete and the socket is open."""
        return self._is_open and not self._is_closed

    @property
    def is_closed(self):
        """Whether the socket is closed."""
        return self._is_closed

    def start_connecting(self, address):
        """Start connecting the socket to the address of the peer."""
        self._is_connecting = True
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watcher.watch(self._sock, self)
        try:
            addresses.start_connecting(self._sock, address)
        except OSError as error:
            _logger.warning(
                "cannot connect to a peer",
                extra={"address": str(address), "reason": str(error)},
            )
            self.close()

    def send(self, message):
        """Send a message; it is dropped if the link is not open or closes before.

        Parameters
        ----------
        message : object
            Instance of a class in :mod:`cranberryport.generated.messages`.
        """
        if not self.is_open:
            return
        self._protocol.send_binary(codec.encode(message))
        self._flush()

    def close(self):
        """Close the socket and call ``on_closed``; repeated calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        self._watcher.unwatch(self._sock)
        self._sock.close()
        self._on_closed(self)

    def on_readable(self):
        """Read from the socket and handle the received messages."""
        if self._is_connecting:
            return
        try:
            data = self._sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._protocol.receive_data(data)
        try:
            self._handle_events()
        except (codec.DecodeError, cbor2.CBORDecodeError, exceptions.InvalidHandshake):
            self.close()
            return
        self._flush()

    def on_writable(self):
        """Finish connecting, or send buffered data."""
        if not self._is_connecting:
            self._flush()
            return
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close()
            return
        self._is_connecting = False
        self._protocol.send_request(self._protocol.connect())
        self._flush()

    def on_disconnected(self):
        """Handle an error or hang-up reported by the poller."""
        self.close()

    def _handle_events(self):
        for event in self._protocol.events_received():
            if isinstance(event, http11.Request):
                self._protocol.send_response(self._protocol.accept(event))
                self._on_handshake_done()
            elif isinstance(event, http11.Response):
                if self._protocol.handshake_exc is not None:
                    raise self._protocol.handshake_exc
                self._on_handshake_done()
            elif isinstance(event, frames.Frame):
                self._handle_frame(event)

    def _on_handshake_done(self):
        self._is_open = True
        self._on_open(self)

    def _handle_frame(self, frame):
        if frame.opcode is frames.Opcode.BINARY and frame.fin:
            self._on_message(self, codec.decode(bytes(frame.data)))
        elif frame.opcode is frames.Opcode.CLOSE:
            self.close()

    def _flush(self):
        if self._is_closed:
            return
        for data in self._protocol.data_to_send():
            self._outgoing_buffer += data
        if len(self._outgoing_buffer) > OUTGOING_BUFFER_LIMIT_BYTES:
            # The peer has stopped reading. Whether its session is still alive is judged
            # by its heartbeats, not here.
            self.close()
            return
        try:
            count = (
                self._sock.send(self._outgoing_buffer) if self._outgoing_buffer else 0
            )
        except BlockingIOError:
            count = 0
        except OSError:
            self.close()
            return
        del self._outgoing_buffer[:count]
        if self._outgoing_buffer:
            self._watcher.start_writing(self._sock)
        else:
            self._watcher.stop_writing(self._sock)


class Listener:
    """Listening socket for the connections of peers.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the socket.
    host, port : str and int
        IP address and TCP port to listen on.
    on_accepted : callable
        Called with the socket of each accepted connection.
    """

    __slots__ = ("_on_accepted", "_sock", "_watcher")

    def __init__(self, *, watcher, host, port, on_accepted):
        self._watcher = watcher
        self._on_accepted = on_accepted
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, port))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)

    @property
    def port(self):
        """TCP port that the socket listens on."""
        return self._sock.getsockname()[1]

    def start(self):
        """Start accepting connections."""
        self._watcher.watch(self._sock, self)
        self._watcher.stop_writing(self._sock)

    def on_readable(self):
        """Accept one connection."""
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        self._on_accepted(sock)

    def on_writable(self):
        """Do nothing, because a listening socket is never written to."""

    def on_disconnected(self):
        """Do nothing, because the socket stays open until the process ends."""

    close = on_disconnected
