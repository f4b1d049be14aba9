"""The daemon: one entry instance between callers and backend servers."""

import argparse
import logging
import pathlib
import random
import signal
import sys
import time

from circuits import BaseComponent, handler
from circuits.core import pollers

from cranberryport import settings, timers
from cranberryport.callers import backend_pool, dispatcher, frontend
from cranberryport.fleet import jobs, jobs_api
from cranberryport.http import connection, server
from cranberryport.http import limits as http_limits
from cranberryport.observability import (
    admin,
    histograms,
    logs,
    metrics,
    request_recorder,
    status,
)
from cranberryport.peering import health_exchange, loan_exchange
from cranberryport.stream import control_plane

BAD_SETTINGS_EXIT_CODE = 2
DRAIN_POLL_S = 0.1
# The longest request, and time to write its outcome.
DRAIN_LIMIT_S = 35.0
CLOSE_LIMIT_S = 5.0

_logger = logging.getLogger(__name__)


class Daemon(BaseComponent):
    """Puts the components of an entry instance together.

    Parameters
    ----------
    loaded : cranberryport.generated.settings.Settings
        Checked settings.
    """

    channel = "daemon"

    def __init__(self, *, loaded):
        super().__init__()
        self._loaded = loaded
        pollers.EPoll().register(self)
        self._timers = timers.Timers().register(self)
        self._control = control_plane.ControlPlane(
            root=self,
            timers=self._timers,
            loaded=loaded,
            count_in_flight=lambda instance: self._pool.slots_in_use(instance),
            count_in_use=lambda resource: self._pool.units_in_use(resource),
            failed_servers=lambda: self._requests.failed_servers(),
        )
        self._make_data_path()
        self._make_jobs()
        self._make_reports()
        self._server = server.StrictServer(
            timers=self._timers,
            host=loaded.listen.host,
            port=loaded.listen.port,
            limits=_caller_limits(loaded.limits),
        ).register(self)
        self._stop_by = None

    @property
    def port(self):
        """TCP port for callers."""
        return self._server.port

    def _make_data_path(self):
        view = self._control.view
        self._pool = backend_pool.BackendPool(
            client=connection.Client(
                timers=self._timers, channel="backend_sockets"
            ).register(self),
            timers=self._timers,
            view=view,
            abandoned_slot_hold_s=self._loaded.limits.abandoned_slot_hold_s,
        ).register(self)
        # circuits' manager has an attribute named _dispatcher of its own.
        self._requests = dispatcher.Dispatcher(
            timers=self._timers,
            pool=self._pool,
            view=view,
            data_centre=self._loaded.data_centre,
            random=random.Random(),
            queue_capacity=self._loaded.limits.queue_length,
        ).register(self)
        frontend.FrontEnd(control=view).register(self)
        loan_exchange.LoanExchange(
            peers=self._control.peers,
            timers=self._timers,
            pool=self._pool,
            view=view,
            queue_length=self._requests.queue_length,
            random=random.Random(),
        ).register(self)
        health_exchange.HealthExchange(
            peers=self._control.peers, dispatcher=self._requests, timers=self._timers
        ).register(self)

    def _make_jobs(self):
        control = self._control
        self._jobs = jobs.JobManager(
            follower=control.follower,
            session_keeper=control.session_keeper,
            instance_list=control.instance_list,
            timers=self._timers,
            client=control.client,
        ).register(self)
        jobs_api.JobsApi(
            follower=control.follower,
            session_keeper=control.session_keeper,
            jobs=self._jobs,
        ).register(self)

    def _make_reports(self):
        measured = histograms.Histograms()
        address = self._loaded.statsd
        self._metrics = metrics.Metrics(
            address=(address.host, address.port) if address else None,
            prefix=address.prefix if address else metrics.PREFIX,
        )
        recorded = request_recorder.RequestRecorder(
            histograms=measured, metrics=self._metrics
        ).register(self)
        self._status = status.Status(
            settings=self._loaded,
            control=self._control,
            dispatcher=self._requests,
            recorder=recorded,
            jobs=self._jobs,
            histograms=measured,
            publishers=settings.load_publishers(self._loaded),
        )
        admin.Admin(providers=self._status.providers()).register(self)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, number, stack):
        event.stop()
        if number not in (signal.SIGTERM, signal.SIGINT) or self._stop_by is not None:
            return
        _logger.info("stopping after signal %d", number)
        self._stop_by = time.monotonic() + DRAIN_LIMIT_S
        self._status.is_stopping = True
        self._server.stop_accepting()
        self._wait_for_requests()

    def _wait_for_requests(self):
        is_over = time.monotonic() > self._stop_by
        # Slots of abandoned requests count, too: closing the session passes its shares
        # on at once, while a server may still be running such a request.
        is_busy = self._requests.request_count or self._pool.slots_in_use_count
        if is_busy and not is_over:
            self._timers.after(DRAIN_POLL_S, self._wait_for_requests)
            return
        if is_busy:
            # The others end the session and wait before they pass its shares on.
            _logger.warning("stopping with slots in use; the session stays open")
            self.stop()
            return
        self._stop_by = time.monotonic() + CLOSE_LIMIT_S
        self._control.session_keeper.close()
        self._wait_for_close()

    def _wait_for_close(self):
        is_over = time.monotonic() > self._stop_by
        if not self._control.session_keeper.is_closed and not is_over:
            self._timers.after(DRAIN_POLL_S, self._wait_for_close)
            return
        _logger.info("stopped")
        self.stop()


def _caller_limits(limits):
    return http_limits.Limits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        body_timeout_s=limits.body_timeout_s,
        pipelined_requests=limits.pipelined_requests,
        connections=limits.connections,
    )


def main(arguments=None):
    """Run the daemon until it is told to stop.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None for those of the process.

    Returns
    -------
    int
        Exit code; 2 for settings with errors, which are all printed.
    """
    parser = argparse.ArgumentParser(prog="cranberryportd", description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    options = parser.parse_args(arguments)
    try:
        loaded = settings.load_file(options.settings)
    except settings.SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return BAD_SETTINGS_EXIT_CODE
    logs.configure(instance=loaded.instance, level=loaded.logging.level)
    daemon = Daemon(loaded=loaded)
    _logger.info("listening on %s port %d", loaded.listen.host, daemon.port)
    daemon.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
