"""Loopback proxy that breaks connections of an entry instance to a service."""

import asyncio
import contextlib
import threading

PASS = "pass"
DELAY = "delay"
RESET = "reset"
# Bytes towards the service, or from it, are held back; the other direction goes on.
CUT_UP = "cut_up"
CUT_DOWN = "cut_down"
SILENT = "silent"
MODES = (PASS, DELAY, RESET, CUT_UP, CUT_DOWN, SILENT)
# Seconds by which each piece of data is delayed.
DELAY_S = 0.3
READ_SIZE_BYTES = 64 * 1024


class Proxy:
    """One listening port in front of one address.

    Parameters
    ----------
    host, port : str and int
        The service.
    """

    def __init__(self, *, host, port):
        self._upstream = (host, port)
        self._mode = PASS
        self._passes = asyncio.Event()
        self._writers = set()
        self._server = None

    @property
    def port(self):
        """Port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self):
        """Listen on loopback."""
        self._passes.set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def set_mode(self, mode):
        """Set what happens to open and new connections.

        Parameters
        ----------
        mode : str
            One of ``MODES``. What was held back is sent once the mode is ``PASS``.
        """
        self._mode = mode
        if mode == RESET:
            for writer in list(self._writers):
                writer.transport.abort()
        passes, self._passes = self._passes, asyncio.Event()
        if mode == PASS:
            self._passes.set()
        passes.set()

    def stop(self):
        """Stop listening and break all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._mode == RESET:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        await asyncio.gather(
            self._copy(reader, up_writer, {SILENT, CUT_UP}),
            self._copy(up_reader, writer, {SILENT, CUT_DOWN}),
        )
        self._writers -= {writer, up_writer}

    async def _copy(self, reader, writer, held_in):
        # Either end may be killed, and connections are reset on purpose.
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_SIZE_BYTES):
                while self._mode in held_in:
                    await self._passes.wait()
                if self._mode == DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class ProxyThread:
    """Runs proxies beside the synchronous code of the soak."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._running = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, address):
        """Start a proxy in front of ``host:port`` and return it."""
        host, _, port = address.rpartition(":")
        proxy = Proxy(host=host, port=int(port))
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        self._running.append(proxy)
        return proxy

    def set_mode(self, proxy, mode):
        """Set the mode of a proxy."""
        self._loop.call_soon_threadsafe(proxy.set_mode, mode)

    def stop(self):
        """End all proxies."""
        asyncio.run_coroutine_threadsafe(self._stop_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _stop_all(self):
        for proxy in self._running:
            proxy.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
