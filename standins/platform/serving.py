"""HTTP server on asyncio.

Long polls keep many connections open at the same time, so that a thread for each would
be expensive.
"""

import asyncio
import collections
import contextlib
import json
import urllib.parse

import h11

READ_SIZE_BYTES = 64 * 1024
# Connections that may wait to be accepted; all entry instances connect at once.
LISTEN_BACKLOG = 512


class Request:
    """An HTTP request with its whole body.

    Parameters
    ----------
    method, target : str
        Parts of the request line.
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

    def json_object(self):
        """Return the JSON object in the body; empty without a body."""
        return json.loads(self.body or b"{}")


class Server:
    """An HTTP server on one port.

    Parameters
    ----------
    application : callable
        Coroutine function that takes a :class:`Request` and returns status and body:
        bytes, or a dict that is sent as JSON. It raises ``ConnectionResetError`` to
        close the connection without a response.

    Attributes
    ----------
    request_counts : collections.Counter
        Number of requests by path.
    """

    def __init__(self, *, application):
        self._application = application
        self._server = None
        self._writers = set()
        self.request_counts = collections.Counter()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, 0, backlog=LISTEN_BACKLOG
        )

    def close(self):
        """Accept no more connections."""
        self._server.close()

    def drop_connections(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_connection(self, reader, writer):
        self._writers.add(writer)
        # Tests kill clients and break connections, so these errors are expected.
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
            await self._serve_requests(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve_requests(self, reader, writer):
        protocol = h11.Connection(h11.SERVER)
        while True:
            request = await self._read_request(protocol, reader)
            if request is None:
                return
            self.request_counts[request.path] += 1
            status, body = await self._application(request)
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            headers = [
                ("content-type", "application/json"),
                ("content-length", str(len(data))),
            ]
            head = h11.Response(status_code=status, headers=headers)
            writer.write(
                protocol.send(head)
                + protocol.send(h11.Data(data=data))
                + protocol.send(h11.EndOfMessage())
            )
            await writer.drain()
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    async def _read_request(self, protocol, reader):
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
