"""HTTP on asyncio, for many connections that wait for long."""

import asyncio
import collections
import contextlib
import json
import urllib.parse

import h11

READ_SIZE_BYTES = 64 * 1024
# Connections that wait to be accepted; all entry instances connect at once.
LISTEN_BACKLOG = 512


class Request:
    """A whole request.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : dict of str to str
        Headers with names in lower case.
    body : bytes
        The whole body.
    """

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, *, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.body = body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))

    def fields(self):
        """Return the map of the body."""
        return json.loads(self.body or b"{}")


class Server:
    """Answers the requests of one port.

    Parameters
    ----------
    application : callable
        Coroutine function: takes a :class:`Request`, returns status and body (bytes, or
        a map for JSON).
    """

    def __init__(self, *, application):
        self._application = application
        self._server = None
        self._writers = set()
        self.counts = collections.Counter()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, backlog=LISTEN_BACKLOG
        )

    def drop_connections(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        # Clients are killed and connections are broken on purpose.
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
            await self._serve_requests(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve_requests(self, reader, writer):
        protocol = h11.Connection(h11.SERVER)
        while True:
            request = await self._read(protocol, reader)
            if request is None:
                return
            self.counts[request.path] += 1
            status, body = await self._application(request)
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            headers = [
                ("content-type", "application/json"),
                ("content-length", str(len(data))),
            ]
            answer = h11.Response(status_code=status, headers=headers)
            writer.write(
                protocol.send(answer)
                + protocol.send(h11.Data(data=data))
                + protocol.send(h11.EndOfMessage())
            )
            await writer.drain()
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    async def _read(self, protocol, reader):
        head, body = None, []
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_SIZE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Request(
                    method=head.method.decode(),
                    target=head.target.decode(),
                    headers={k.decode(): v.decode() for k, v in head.headers},
                    body=b"".join(body),
                )
            else:
                return None
