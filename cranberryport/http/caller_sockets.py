"""Sockets of callers: limits their number, writes all data, and closes safely.

The server of circuits may reset a connection before the caller has read its response,
and may write a late response to a new connection with the same file descriptor.
"""

import socket

from circuits import Event, handler
from circuits.net import events as net_events
from circuits.net import sockets

LINGER_S = 1.0


class flush(Event):
    """Asks to send the data that is queued for a socket.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    """


class CallerSockets(sockets.TCPServer):
    """Listening socket and the sockets of all callers.

    Unlike the base class it ignores writes to a socket that has been closed, so that
    a late response cannot reach a new connection with the same file descriptor.

    Parameters
    ----------
    bind : tuple of (str, int)
        IP address and TCP port to listen on.
    timers : cranberryport.timers.Timers
        Closes sockets ``LINGER_S`` after their last data.
    max_connections : int
        Number of connections above which a new one is closed at once.
    on_written : callable
        Called with the socket when all its data has been passed to the kernel.
    channel : str
        Channel of the server.
    on_half_closed : callable or None
        Called with the socket when the caller has shut down its sending side; returns
        whether responses have yet to be sent. Without it, or if it returns False, the
        connection is closed after the data that is already queued.
    """

    def __init__(
        self, *, bind, timers, max_connections, on_written, channel, on_half_closed=None
    ):
        super().__init__(bind, channel=channel)
        self._on_half_closed = on_half_closed
        self._timers = timers
        self._max_connections = max_connections
        self._on_written = on_written
        self._lingering = set()
        # Faster to search than the list of the base class.
        self._open_sockets = set()

    def _on_accept_done(self, sock, fire_connect_event=True):
        if len(self._clients) >= self._max_connections:
            sock.close()
            return
        self._open_sockets.add(sock)
        super()._on_accept_done(sock, fire_connect_event)

    def _close(self, sock):
        self._lingering.discard(sock)
        self._open_sockets.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)

    def _read(self, sock):
        if sock not in self._open_sockets:
            return
        try:
            data = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError:
            self._close(sock)
            return
        if data:
            self.fire(net_events.read(sock, data))
        elif self._on_half_closed is not None and self._on_half_closed(sock):
            # The caller sends no more and still waits for responses.
            self._poller.removeReader(sock)
        elif self._buffers.get(sock):
            # The caller sends no more and still reads a response that is queued.
            self._poller.removeReader(sock)
            self.close(sock)
        else:
            self._close(sock)

    @handler("write", override=True)
    def write(self, sock, data):
        """Queue data for an open socket."""
        if sock not in self._open_sockets or sock in self._lingering:
            return
        # The flush is handled after all writes of a response, whose events are already
        # queued. The poller is used only if the kernel does not take all data.
        if not self._buffers[sock]:
            self.fire(flush(sock))
        self._buffers[sock].append(data)

    @handler("close", override=True)
    def close(self, sock=None):
        """Close a socket after its queued data; without one, close the whole server."""
        if sock is None:
            super().close()
        elif sock not in self._open_sockets or sock in self._lingering:
            return
        elif not self._buffers.get(sock):
            self._linger(sock)
        elif sock not in self._closeq:
            self._closeq.append(sock)

    def stop_accepting(self):
        """Close the listening socket; connections stay open."""
        if self._sock is not None:
            self._close(self._sock)

    def close_now(self, sock):
        """Close a socket at once and discard its queued data."""
        self._close(sock)

    def _linger(self, sock):
        # Shuts down the sending side first and closes ``LINGER_S`` later. Closing while
        # the caller still sends would reset the connection, and the caller could lose
        # an error response that it has not read yet.
        self._lingering.add(sock)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(sock)
            return
        self._timers.after(LINGER_S, lambda: self._close(sock))

    @handler("flush", "_write", override=True)
    def _on_write(self, sock):
        if sock not in self._open_sockets:
            return
        buffer = self._buffers[sock]
        if buffer:
            data = b"".join(buffer)
            buffer.clear()
            self._write(sock, data)
        if sock not in self._open_sockets:
            return
        if buffer:
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
            return
        if self._poller.isWriting(sock):
            self._poller.removeWriter(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
            self._linger(sock)
        else:
            self._on_written(sock)
