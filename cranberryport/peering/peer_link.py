"""A websocket connection between two entry instances.

The protocol is the Sans-I/O layer of ``websockets``; the socket is watched by the
process's only poller.
"""

import errno
import socket

import cbor2
from websockets import client, exceptions, frames, http11, server, uri

from cranberryport import codec

MESSAGE_LIMIT_BYTES = 2 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024
OUTGOING_LIMIT_BYTES = 8 * 1024 * 1024
BACKLOG = 64
PATH = "/peer"


def dial(*, watcher, host, port, on_message, on_open, on_closed):
    """Return a link to a peer that listens.

    Parameters
    ----------
    watcher : cranberryport.http.connection.Client
        Watches the socket.
    host : str
        IP address.
    port : int
        TCP port.
    on_message, on_open, on_closed : callable
        Called with the link, and with the message for ``on_message``.

    Returns
    -------
    PeerLink
        Link whose handshake is under way.
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
    """Return a link for an accepted socket; parameters as for :func:`dial`."""
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
    """One websocket connection; use :func:`dial` or :func:`accept`."""

    __slots__ = (
        "_is_closed",
        "_is_connecting",
        "_is_open",
        "_on_closed",
        "_on_message",
        "_on_open",
        "_outgoing",
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
        self._outgoing = bytearray()
        self._is_connecting = False
        self._is_open = False
        self._is_closed = False
        self.session = None

    @property
    def is_open(self):
        """Whether messages can be sent."""
        return self._is_open and not self._is_closed

    @property
    def is_closed(self):
        """Whether the socket is closed."""
        return self._is_closed

    def start_connecting(self, address):
        """Connect the socket of a dialled link."""
        self._is_connecting = True
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self._sock.connect_ex(address)
        self._watcher.watch(self._sock, self)
        if code not in (0, errno.EINPROGRESS):
            self.close()

    def send(self, message):
        """Send a message; one that cannot be sent is dropped with the link.

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
        """Close the socket and tell the owner once."""
        if self._is_closed:
            return
        self._is_closed = True
        self._watcher.unwatch(self._sock)
        self._sock.close()
        self._on_closed(self)

    def on_readable(self):
        """Read and handle what has arrived."""
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
        """Finish connecting, or send what is waiting."""
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
        """Handle an error or hang-up told by the poller."""
        self.close()

    def _handle_events(self):
        for event in self._protocol.events_received():
            if isinstance(event, http11.Request):
                self._protocol.send_response(self._protocol.accept(event))
                self._opened()
            elif isinstance(event, http11.Response):
                if self._protocol.handshake_exc is not None:
                    raise self._protocol.handshake_exc
                self._opened()
            elif isinstance(event, frames.Frame):
                self._handle_frame(event)

    def _opened(self):
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
            self._outgoing += data
        if len(self._outgoing) > OUTGOING_LIMIT_BYTES:
            # The peer has stopped reading; its session is judged by its heartbeats.
            self.close()
            return
        try:
            count = self._sock.send(self._outgoing) if self._outgoing else 0
        except BlockingIOError:
            count = 0
        except OSError:
            self.close()
            return
        del self._outgoing[:count]
        if self._outgoing:
            self._watcher.start_writing(self._sock)
        else:
            self._watcher.stop_writing(self._sock)


class Listener:
    """Accepts peers' connections."""

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
        """TCP port."""
        return self._sock.getsockname()[1]

    def start(self):
        """Begin to accept."""
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
        """Do nothing; a listening socket is never written to."""

    def on_disconnected(self):
        """Do nothing; the socket is closed with the process."""

    close = on_disconnected
