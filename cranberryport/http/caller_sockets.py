"""Sockets of callers: limits on connections, lingering close, whole writes."""

import socket

from circuits import Event, handler
from circuits.net import events as net_events
from circuits.net import sockets

LINGER_S = 1.0


class flush(Event):
    """Send the data that is queued for a socket.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    """


class CallerSockets(sockets.TCPServer):
    """Callers' sockets.

    Unlike its base class it ignores writes to a socket that has been closed, so that
    a late response cannot reach a connection with the same file descriptor.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address.
    timers : cranberryport.timers.Timers
        For lingering.
    max_connections : int
        Limit above which a connection is closed at once.
    on_written : callable
        Called with the socket when all its data is with the kernel.
    channel : str
        Channel of the server.
    on_half_closed : callable or None
        Called with the socket when the caller has shut down its sending side; returns
        whether responses are still owed. None closes such a connection.
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
        # The base class keeps a list, which is slow to search.
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
            # The caller sent everything and still waits for its responses.
            self._poller.removeReader(sock)
        elif self._buffers.get(sock):
            # The caller sent everything and still reads its response.
            self._poller.removeReader(sock)
            self.close(sock)
        else:
            self._close(sock)

    @handler("write", override=True)
    def write(self, sock, data):
        """Queue data for an open socket."""
        if sock not in self._open_sockets or sock in self._lingering:
            return
        # One flush follows all writes of a response, which are already in the queue;
        # the poller is asked only if the kernel does not take everything.
        if not self._buffers[sock]:
            self.fire(flush(sock))
        self._buffers[sock].append(data)

    @handler("close", override=True)
    def close(self, sock=None):
        """Close one socket after its data, or the server with all sockets."""
        if sock is None:
            super().close()
        elif sock not in self._open_sockets or sock in self._lingering:
            return
        elif not self._buffers.get(sock):
            self._linger(sock)
        elif sock not in self._closeq:
            self._closeq.append(sock)

    def stop_accepting(self):
        """Close the listening socket; open connections stay."""
        if self._sock is not None:
            self._close(self._sock)

    def close_now(self, sock):
        """Close a socket at once, without its data."""
        self._close(sock)

    def _linger(self, sock):
        # Closing while the caller still sends would reset the connection, and the
        # caller could lose the error response that it has not read yet.
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
