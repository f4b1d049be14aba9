"""Measure the cost of a request in the dispatcher, the backend pool and the connection.

Run ``python -m bench.dispatch``. A backend server in a process of its own answers each
request immediately, so that the figures are the cost of the entry instance's side.
Requests with an idempotency key also go through the real key table and a log writer
that confirms each record immediately.
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

IN_FLIGHT_COUNTS = (1, 16, 64)
SERVER_COUNT = 6
DEADLINE_S = 10.0
MAX_RUNTIME_S = 120.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: %s\r\n\r\nok"


def serve_at_once(listener):
    """Answer every request on a listener immediately, until ``MAX_RUNTIME_S``."""
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    end_at = time.monotonic() + MAX_RUNTIME_S
    while time.monotonic() < end_at:
        for key, _ in selector.select(1.0):
            if key.fileobj is listener:
                selector.register(listener.accept()[0], selectors.EVENT_READ)
                continue
            data = key.fileobj.recv(65536)
            if not data:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                continue
            lowercase = data.lower()
            start = lowercase.index(b"request-id: ") + len(b"request-id: ")
            key.fileobj.sendall(RESPONSE % data[start : data.index(b"\r", start)])


class StaticView:
    """Control view of fixed servers, with enough shares for every request.

    Parameters
    ----------
    port : int
        Port of the backend server that stands for all servers.
    """

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
            for number in range(SERVER_COUNT)
        ]

    def servers(self, _service):
        """Return all servers, which belong to each service."""
        return self._servers

    def connections_share(self, _service):
        """Return the number of connections that this instance may open."""
        return 80

    def configuration(self):
        """Return this object, which also holds the settings of desks and services."""
        return self

    def desk(self, _name):
        """Return the settings of a desk; all have the same weight."""
        return types.SimpleNamespace(weight=1)

    def service(self, _name):
        """Return the settings of a service; no slots are reserved for rush requests."""
        return types.SimpleNamespace(reserved_rush_percent=0)

    def key(self, key):
        """Return the entry of an idempotency key in the key table, or None."""
        return self.keys.get(key)


class ImmediateLogWriter(BaseComponent):
    """Stand-in of the log writer that confirms every record immediately.

    Parameters
    ----------
    view : StaticView
        Its key table is changed by the records.
    """

    channel = "log_writer"

    def __init__(self, view):
        super().__init__()
        self._apply_by_type = {
            messages.KeyClaimed: view.keys.claim,
            messages.KeyFinished: view.keys.finish,
            messages.KeyReleased: view.keys.release,
        }

    @handler("append")
    def _on_append(self, record, ticket):
        if reason := self._apply_by_type[type(record)](record):
            raise RuntimeError(reason)
        outcome = fold_outcomes.Accepted(
            record=record, offset=0, writer="bench", sequence=1, index=0
        )
        self.fire(log_writer_events.decided(ticket, outcome), ticket.reply_channel)


class Callers(BaseComponent):
    """Keeps a number of requests in flight and records the duration of each.

    Parameters
    ----------
    count : int
        Requests in all.
    in_flight : int
        Requests at a time.
    is_keyed : bool
        Whether the requests carry idempotency keys.
    """

    channel = "frontend"

    def __init__(self, *, count, in_flight, is_keyed):
        super().__init__()
        self._remaining_count = count
        self._in_flight = in_flight
        self._is_keyed = is_keyed
        self._submitted_count = 0
        self.durations_s = []
        self.failure_count = 0

    @handler("started", channel="*")
    def _on_started(self, *_):
        for _ in range(self._in_flight):
            self._submit_next()

    @handler("outcome")
    def _on_outcome(self, request, outcome):
        self.durations_s.append(time.monotonic() - request.arrived)
        self.failure_count += type(outcome).__name__ != "Answered"
        if self._remaining_count:
            self._submit_next()
        elif len(self.durations_s) == self._submitted_count:
            self.root.stop()

    def _submit_next(self):
        self._remaining_count -= 1
        self._submitted_count += 1
        now = time.monotonic()
        key = f"01930000-0000-7000-8000-{self._submitted_count:012x}"
        request = requests.CallerRequest(
            id=str(self._submitted_count),
            service="sizing",
            desk=f"d{self._submitted_count % 4}",
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
    """Run requests and print one line of figures.

    Parameters
    ----------
    port : int
        Port of the backend server.
    count, in_flight : int
        Requests in all and at a time.
    is_keyed : bool
        Whether the requests carry idempotency keys.
    """
    manager = Manager()
    pollers.EPoll().register(manager)
    clock = timers.Timers().register(manager)
    client = connection.Client(timers=clock).register(manager)
    view = StaticView(port)
    ImmediateLogWriter(view).register(manager)
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
    clock.after(MAX_RUNTIME_S, manager.stop)
    started_at = time.monotonic()
    processor_started_s = time.process_time()
    manager.run()
    elapsed_s = time.monotonic() - started_at
    processor_s = time.process_time() - processor_started_s
    manager.fire(Event.create("stopped", manager), "*")
    durations_ms = sorted(1000 * duration for duration in callers.durations_s)
    print(
        f"keyed={'yes' if is_keyed else 'no':3} in flight {in_flight:3}: "
        f"{len(durations_ms) / elapsed_s:6.0f} requests/s, "
        f"median {statistics.median(durations_ms):6.2f} ms, "
        f"99th percentile {durations_ms[int(0.99 * len(durations_ms))]:6.2f} ms, "
        f"CPU {1e6 * processor_s / len(durations_ms):4.0f} us/request, "
        f"failures {callers.failure_count}"
    )


def main():
    """Measure requests without and with idempotency keys."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=5000)
    count = parser.parse_args().count
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    backend = multiprocessing.Process(
        target=serve_at_once, args=(listener,), daemon=True
    )
    backend.start()
    try:
        for is_keyed in (False, True):
            for in_flight in IN_FLIGHT_COUNTS:
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
