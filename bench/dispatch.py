"""Cost of a request through dispatcher, pool and connection.

Run ``python -m bench.dispatch``. A backend server in a process of its own answers each
request at once, so that the figures are the cost of this side. Keyed requests go
through the real key table, and a log that confirms every record at once.
"""

import argparse
import multiprocessing
import random
import selectors
import socket
import statistics
import time
import types

from circuits import BaseComponent, Event, Manager, handler
from circuits.core import pollers

from cranberryport import timers
from cranberryport.callers import backend_pool, dispatcher, requests
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.state import fold_outcomes, keys
from cranberryport.stream import log_writer_events

IN_FLIGHT = (1, 16, 64)
SERVERS = 6
DEADLINE_S = 10.0
LIMIT_S = 120.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: %s\r\n\r\nok"


def serve(listener):
    """Answer every request on a listener at once, for a bounded time."""
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        for key, _ in selector.select(1.0):
            if key.fileobj is listener:
                selector.register(listener.accept()[0], selectors.EVENT_READ)
                continue
            data = key.fileobj.recv(65536)
            if not data:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                continue
            lowered = data.lower()
            start = lowered.index(b"request-id: ") + len(b"request-id: ")
            key.fileobj.sendall(ANSWER % data[start : data.index(b"\r", start)])


class View:
    """Control state with enough shares for every request."""

    session = "bench"
    has_dispatch_right = True
    is_key_history_lost = False

    def __init__(self, port):
        self.keys = keys.IdempotencyKeys()
        self._servers = [
            types.SimpleNamespace(
                name=f"b{number}",
                host="127.0.0.1",
                port=port,
                data_centre="north",
                slots_share=12,
                is_usable=True,
            )
            for number in range(SERVERS)
        ]

    def servers(self, _service):
        """Return all servers."""
        return self._servers

    def connections_share(self, _service):
        """Return the share of connections."""
        return 80

    def configuration(self):
        """Return itself."""
        return self

    def desk(self, _name):
        """Return a desk's settings."""
        return types.SimpleNamespace(weight=1)

    def service(self, _name):
        """Return a service's settings."""
        return types.SimpleNamespace(reserved_rush_percent=0)

    def key(self, key):
        """Return a key's record."""
        return self.keys.get(key)


class Log(BaseComponent):
    """Confirms every record at once."""

    channel = "log_writer"

    def __init__(self, view):
        super().__init__()
        self._fold = {
            messages.KeyClaimed: view.keys.claim,
            messages.KeyFinished: view.keys.finish,
            messages.KeyReleased: view.keys.release,
        }

    @handler("append")
    def _on_append(self, record, ticket):
        if reason := self._fold[type(record)](record):
            raise RuntimeError(reason)
        outcome = fold_outcomes.Accepted(
            record=record, offset=0, writer="bench", sequence=1, index=0
        )
        self.fire(log_writer_events.decided(ticket, outcome), ticket.reply_channel)


class Callers(BaseComponent):
    """Keeps a number of requests in flight and measures each."""

    channel = "frontend"

    def __init__(self, *, count, in_flight, is_keyed):
        super().__init__()
        self._left = count
        self._in_flight = in_flight
        self._is_keyed = is_keyed
        self._number = 0
        self.durations_s = []
        self.failures = 0

    @handler("started", channel="*")
    def _on_started(self, *_):
        for _ in range(self._in_flight):
            self._submit()

    @handler("outcome")
    def _on_outcome(self, request, outcome):
        self.durations_s.append(time.monotonic() - request.arrived)
        self.failures += type(outcome).__name__ != "Answered"
        if self._left:
            self._submit()
        elif len(self.durations_s) == self._number:
            self.root.stop()

    def _submit(self):
        self._left -= 1
        self._number += 1
        now = time.monotonic()
        key = f"01930000-0000-7000-8000-{self._number:012x}"
        request = requests.CallerRequest(
            id=str(self._number),
            service="sizing",
            desk=f"d{self._number % 4}",
            request_class="interactive",
            method="POST",
            target="/plans",
            headers=[(b"Content-Type", b"text/plain")],
            body=b"x" * 200,
            deadline=now + DEADLINE_S,
            arrived=now,
            key=key if self._is_keyed else None,
        )
        self.fire(requests.submit(request), "dispatcher")


def measure(port, *, count, in_flight, is_keyed):
    """Print one line of figures."""
    manager = Manager()
    pollers.EPoll().register(manager)
    clock = timers.Timers().register(manager)
    client = connection.Client(timers=clock).register(manager)
    view = View(port)
    Log(view).register(manager)
    pool = backend_pool.BackendPool(client=client, timers=clock, view=view)
    pool.register(manager)
    dispatcher.Dispatcher(
        timers=clock,
        pool=pool,
        view=view,
        data_centre="north",
        random=random.Random(1),
    ).register(manager)
    callers = Callers(count=count, in_flight=in_flight, is_keyed=is_keyed)
    callers.register(manager)
    clock.after(LIMIT_S, manager.stop)
    started = time.monotonic()
    cpu_started = time.process_time()
    manager.run()
    elapsed_s = time.monotonic() - started
    cpu_s = time.process_time() - cpu_started
    manager.fire(Event.create("stopped", manager), "*")
    durations_ms = sorted(1000 * duration for duration in callers.durations_s)
    print(
        f"keyed={'yes' if is_keyed else 'no':3} in flight {in_flight:3}: "
        f"{len(durations_ms) / elapsed_s:6.0f} requests/s, "
        f"median {statistics.median(durations_ms):6.2f} ms, "
        f"99th percentile {durations_ms[int(0.99 * len(durations_ms))]:6.2f} ms, "
        f"CPU {1e6 * cpu_s / len(durations_ms):4.0f} us/request, "
        f"failures {callers.failures}"
    )


def main():
    """Measure without and with keys."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=5000)
    count = parser.parse_args().count
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    backend = multiprocessing.Process(target=serve, args=(listener,), daemon=True)
    backend.start()
    try:
        for is_keyed in (False, True):
            for in_flight in IN_FLIGHT:
                measure(
                    listener.getsockname()[1],
                    count=count,
                    in_flight=in_flight,
                    is_keyed=is_keyed,
                )
    finally:
        backend.terminate()
        backend.join()
        listener.close()


if __name__ == "__main__":
    main()
