"""Runs one entry instance, which passes callers' requests on to backend servers.

The daemon creates the components of the instance, connects them and runs until SIGTERM
or SIGINT. It then stops accepting requests, waits for those in progress, and closes its
session, so that the other instances get its share of the slots at once.
"""

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
# Requests take at most 30 s; the rest is for writing their outcomes to the log.
DRAIN_LIMIT_S = 35.0
CLOSE_LIMIT_S = 5.0

_logger = logging.getLogger(__name__)


class Daemon(BaseComponent):
    """Creates the components of an entry instance and stops them in order.

    Parameters
    ----------
    loaded : cranberryport.generated.settings.Settings
        Settings from :func:`cranberryport.settings.load_file`.
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
            failed_servers=lambda: self._request_dispatcher.failed_servers(),
        )
        self._create_request_components()
        self._create_job_components()
        self._create_monitoring_components()
        self._server = server.StrictServer(
            timers=self._timers,
            host=loaded.listen.host,
            port=loaded.listen.port,
            limits=_caller_limits(loaded.limits),
        ).register(self)
        # Time at which the current phase of stopping ends; None while running.
        self._phase_deadline = None

    @property
    def port(self):
        """TCP port on which the daemon accepts callers."""
        return self._server.port

    def _create_request_components(self):
        """Create the components that pass callers' requests to backend servers."""
        view = self._control.view
        self._pool = backend_pool.BackendPool(
            client=connection.Client(
                timers=self._timers, channel="backend_sockets"
            ).register(self),
            timers=self._timers,
            view=view,
            abandoned_slot_hold_s=self._loaded.limits.abandoned_slot_hold_s,
        ).register(self)
        # Not named _dispatcher, which is an attribute of the circuits base class.
        self._request_dispatcher = dispatcher.Dispatcher(
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
            queue_length=self._request_dispatcher.queue_length,
            random=random.Random(),
        ).register(self)
        health_exchange.HealthExchange(
            peers=self._control.peers,
            dispatcher=self._request_dispatcher,
            timers=self._timers,
        ).register(self)

    def _create_job_components(self):
        """Create the components that place jobs on workers."""
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

    def _create_monitoring_components(self):
        """Create metrics, histograms and the pages for operators."""
        request_histograms = histograms.Histograms()
        address = self._loaded.statsd
        self._metrics = metrics.Metrics(
            address=(address.host, address.port) if address else None,
            prefix=address.prefix if address else metrics.PREFIX,
        )
        recorder = request_recorder.RequestRecorder(
            histograms=request_histograms, metrics=self._metrics
        ).register(self)
        self._status = status.Status(
            settings=self._loaded,
            control=self._control,
            dispatcher=self._request_dispatcher,
            recorder=recorder,
            jobs=self._jobs,
            histograms=request_histograms,
            publishers=settings.load_publishers(self._loaded),
        )
        admin.Admin(providers=self._status.providers()).register(self)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, number, stack):
        event.stop()
        if (
            number not in (signal.SIGTERM, signal.SIGINT)
            or self._phase_deadline is not None
        ):
            return
        _logger.info("stopping after signal %d", number)
        self._phase_deadline = time.monotonic() + DRAIN_LIMIT_S
        self._status.is_stopping = True
        self._server.stop_accepting()
        self._close_session_when_idle()

    def _close_session_when_idle(self):
        is_time_up = time.monotonic() > self._phase_deadline
        # Slots of requests that timed out count as well: closing the session gives its
        # shares to other instances at once, while a server may still be executing such
        # a request.
        is_busy = (
            self._request_dispatcher.request_count or self._pool.slots_in_use_count
        )
        if is_busy and not is_time_up:
            self._timers.after(DRAIN_POLL_S, self._close_session_when_idle)
            return
        if is_busy:
            # The other instances end the session when its heartbeats stop, and reassign
            # its shares only when it is fenced, some seconds later.
            _logger.warning("stopping with slots in use; the session stays open")
            self.stop()
            return
        self._phase_deadline = time.monotonic() + CLOSE_LIMIT_S
        self._control.session_keeper.close()
        self._stop_when_session_closed()

    def _stop_when_session_closed(self):
        is_time_up = time.monotonic() > self._phase_deadline
        if not self._control.session_keeper.is_closed and not is_time_up:
            self._timers.after(DRAIN_POLL_S, self._stop_when_session_closed)
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
    """Run the daemon until it gets SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; by default those of the process.

    Returns
    -------
    int
        Exit code: 0, or 2 if the settings file has errors, which are printed.
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
