"""Loopback proxy that injects faults into connections of an entry instance."""

import asyncio
import contextlib
import threading

PASS = "pass"
DELAY = "delay"
RESET = "reset"
# Data to the service, or from it, is held back; the other direction still works.
CUT_UP = "cut_up"
CUT_DOWN = "cut_down"
SILENT = "silent"
MODES = (PASS, DELAY, RESET, CUT_UP, CUT_DOWN, SILENT)
# Delay of each chunk of data in the mode ``DELAY``.
CHUNK_DELAY_S = 0.3
READ_SIZE_BYTES = 64 * 1024


class Proxy:
    """Forwards the connections of one listening port to one service.

    Parameters
    ----------
    host : str
        Host of the service.
    port : int
        Port of the service.
    """

    def __init__(self, *, host, port):
        self._upstream = (host, port)
        self._mode = PASS
        self._may_forward = asyncio.Event()
        self._writers = set()
        self._server = None

    @property
    def port(self):
        """Port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self):
        """Start to listen on a free loopback port."""
        self._may_forward.set()
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )

    def set_mode(self, mode):
        """Set how open and new connections are treated.

        Parameters
        ----------
        mode : str
            One of ``MODES``. Data that was held back is sent once the new mode does not
            hold it back.
        """
        self._mode = mode
        if mode == RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        previous, self._may_forward = self._may_forward, asyncio.Event()
        if mode == PASS:
            self._may_forward.set()
        # Wakes the waiting directions, which check the new mode.
        previous.set()

    def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _handle_connection(self, reader, writer):
        if self._mode == RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        await asyncio.gather(
            self._forward(reader, upstream_writer, {SILENT, CUT_UP}),
            self._forward(upstream_reader, writer, {SILENT, CUT_DOWN}),
        )
        self._writers -= {writer, upstream_writer}

    async def _forward(self, reader, writer, holding_modes):
        # Errors are expected: either end may be killed, and RESET aborts connections.
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_SIZE_BYTES):
                while self._mode in holding_modes:
                    await self._may_forward.wait()
                if self._mode == DELAY:
                    await asyncio.sleep(CHUNK_DELAY_S)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class ProxyThread:
    """Runs the proxies on an event loop in a thread, for the synchronous soak."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._proxies = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add_proxy(self, address):
        """Start a proxy in front of ``host:port`` and return it."""
        host, _, port = address.rpartition(":")
        proxy = Proxy(host=host, port=int(port))
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        self._proxies.append(proxy)
        return proxy

    def set_mode(self, proxy, mode):
        """Set the mode of a proxy; one of ``MODES``."""
        self._loop.call_soon_threadsafe(proxy.set_mode, mode)

    def stop(self):
        """Stop all proxies and the thread."""
        asyncio.run_coroutine_threadsafe(self._stop_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _stop_all(self):
        for proxy in self._proxies:
            proxy.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
