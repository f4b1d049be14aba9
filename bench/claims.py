"""Cost of claims of idempotency keys through the log.

Run ``python -m bench.claims``. Keyed requests run as in ``bench.dispatch``, but each
claim and each answer goes through the log writer, a stand-in of the log service in a
process of its own, and the fold. Group commit is compared with a writer whose groups
hold one record. The stand-in grants several hundred appends a second.
"""

import argparse
import logging
import multiprocessing
import pathlib
import random
import socket
import statistics
import tempfile
import time

from circuits import BaseComponent, Manager, handler
from circuits.core import pollers

from bench import dispatch
from cranberryport import timers
from cranberryport.callers import backend_pool, dispatcher
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.stream import log_client, log_follower, log_writer
from standins import processes

IN_FLIGHT = (1, 16, 64)
APPENDS_PER_SECOND = 400.0
LIMIT_S = 60.0
# The log service stand-in expires nothing within a run.
RETENTION_S = 3600.0
OPEN_TIMEOUT_S = 10.0


class LoggedView(dispatch.View):
    """View with the keys of the folded state and without limits of shares."""

    def __init__(self, port, follower, session):
        super().__init__(port)
        self._follower = follower
        self.session = session

    def key(self, key):
        """Return a key's record."""
        return self._follower.state.keys.get(key)


class Session(BaseComponent):
    """Opens the session and starts the callers when it is open."""

    channel = "bench_session"

    def __init__(self, *, name, writer, callers):
        super().__init__()
        self._name = name
        self._writer = writer
        self._callers = callers
        self.started = None

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._writer.start_session(self._name)
        record = messages.SessionOpened(
            session=self._name,
            instance="bench",
            data_centre="north",
            host="127.0.0.1",
            port=1,
        )
        ticket = dispatch.log_writer_events.Ticket(
            reply_channel=self.channel,
            context=None,
            deadline=time.monotonic() + OPEN_TIMEOUT_S,
        )
        self.fire(dispatch.log_writer_events.append(record, ticket), "log_writer")

    @handler("decided")
    def _on_decided(self, _ticket, outcome):
        if type(outcome).__name__ != "Accepted":
            raise RuntimeError(f"the session was not opened: {outcome}")
        self.started = time.monotonic()
        self._callers.begin()


class Callers(dispatch.Callers):
    """Begin when the session is open instead of at once."""

    @handler("started", channel="*", override=True)
    def _on_started(self, *_):
        pass

    def begin(self):
        """Send the first requests."""
        for _ in range(self._in_flight):
            self._submit()


def measure(ports, stream, *, count, in_flight, is_keyed):
    """Run requests and return the figures.

    Parameters
    ----------
    ports : tuple of int
        Ports of the backend server and the log service.
    stream : str
        Stream of the log, used by this run only.
    count, in_flight : int
        Requests in all and at a time.
    is_keyed : bool
        Whether the requests carry keys.

    Returns
    -------
    dict
        Requests, appends and records a second; latencies in milliseconds.
    """
    manager = Manager()
    pollers.EPoll().register(manager)
    clock = timers.Timers().register(manager)
    client = connection.Client(timers=clock).register(manager)
    log = log_client.LogClient(
        client=client, host="127.0.0.1", port=ports[1], stream=stream, name="bench"
    )
    follower = log_follower.LogFollower(client=log, timers=clock, publishers=())
    follower.register(manager)
    writer = log_writer.LogWriter(client=log, timers=clock).register(manager)
    view = LoggedView(ports[0], follower, session=stream)
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
    session = Session(name=stream, writer=writer, callers=callers).register(manager)
    clock.after(LIMIT_S, manager.stop)
    manager.run()
    elapsed_s = time.monotonic() - session.started
    client.fire(dispatch.Event.create("stopped", manager), "*")
    manager.flush()
    durations_ms = sorted(1000 * duration for duration in callers.durations_s)
    return {
        "requests": len(durations_ms) / elapsed_s,
        "appends": writer.append_count / elapsed_s,
        "records": writer.record_count / elapsed_s,
        "median": statistics.median(durations_ms),
        "high": durations_ms[int(0.99 * len(durations_ms))],
        "failures": callers.failures + count - len(durations_ms),
    }


def measure_all(ports, count):
    """Print a table with one line for each case."""
    print(
        "| commit | in flight | requests/s | appends/s | records/s | median ms "
        "| 99th percentile ms | added median ms | added 99th ms | failures |\n"
        "|---|---|---|---|---|---|---|---|---|---|"
    )
    group_records = log_writer.GROUP_RECORDS
    for in_flight in IN_FLIGHT:
        base = None
        for name, limit in (("no key", 1), ("group", group_records), ("single", 1)):
            log_writer.GROUP_RECORDS = limit
            figures = measure(
                ports,
                f"{name.replace(' ', '-')}-{in_flight}",
                count=count,
                in_flight=in_flight,
                is_keyed=name != "no key",
            )
            base = base or figures
            print(
                f"| {name} | {in_flight} | {figures['requests']:.0f} "
                f"| {figures['appends']:.0f} | {figures['records']:.0f} "
                f"| {figures['median']:.1f} | {figures['high']:.1f} "
                f"| {figures['median'] - base['median']:.1f} "
                f"| {figures['high'] - base['high']:.1f} | {figures['failures']} |",
                flush=True,
            )
    log_writer.GROUP_RECORDS = group_records


def main():
    """Measure without keys, with group commit and with single appends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1500)
    count = parser.parse_args().count
    # Each run closes its connections while the follower reads.
    logging.disable(logging.WARNING)
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    backend = multiprocessing.Process(
        target=dispatch.serve, args=(listener,), daemon=True
    )
    with tempfile.TemporaryDirectory() as directory:
        log = processes.ChildProcess(
            name="log_service",
            arguments=["-m", "standins.log_service", "--host", "127.0.0.1"]
            + ["--retention-s", RETENTION_S, "--max-seconds", dispatch.LIMIT_S]
            + ["--appends-per-second", APPENDS_PER_SECOND],
            directory=pathlib.Path(directory),
        )
        backend.start()
        log.start()
        try:
            ports = (listener.getsockname()[1], log.read_announcement()["port"])
            measure_all(ports, count)
        finally:
            log.terminate()
            backend.terminate()
            backend.join()
            listener.close()


if __name__ == "__main__":
    main()
