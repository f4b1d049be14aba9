"""The process of an entry instance on the users' platform.

Every entry instance accepts callers' requests about jobs. One of them is also the
controller, which schedules all jobs: the member of the group ``controllers`` that
owns the control partition in the store.
"""

import argparse
import dataclasses
import logging
import pathlib
import signal
import sys
import time

from circuits import BaseComponent, handler
from circuits.core import pollers

from cranberryport import boot_clock, node_settings, timers
from cranberryport.callers import configuration_proof
from cranberryport.control import (
    controller,
    controller_client,
    job_writer,
    membership,
    topic_reader,
)
from cranberryport.generated import messages
from cranberryport.http import connection, connection_pool, limits, server
from cranberryport.observability import (
    node_logs,
    node_metrics,
    operator_pages,
    organisation_report,
)
from cranberryport.platform import (
    advice,
    bodies,
    configuration,
    configuration_follower,
    executors,
    front,
    machines,
    store,
)

BAD_SETTINGS_EXIT_CODE = 2
CONFIGURATION_LONG_POLL_S = 1.0
CONFIGURATION_READ_INTERVAL_S = 0.05
# If no read of the store succeeds for this time, the entry instance reports that it is
# not ready, so that the balancer sends callers elsewhere.
STORE_SILENCE_LIMIT_S = 2.5
OPEN_REQUESTS_CHECK_INTERVAL_S = 0.05
# The platform kills the process at the end of the grace period; it exits this long
# before.
GRACE_MARGIN_S = 1.0
# The balancer sends requests until two readiness checks, one a second, have failed.
BALANCER_REMOVAL_S = 2.2
# Beginning of the names of the metrics by organisation.
ORGANISATION_METRICS = "organisations."

_logger = logging.getLogger(__name__)


class ReadinessServer(server.StrictServer):
    """Serves the readiness checks of the load balancer on its own port."""

    channel = "readiness"


class MetricsServer(server.StrictServer):
    """Serves the metrics page on its own port."""

    channel = "metrics"


class Node(BaseComponent):
    """Creates and connects the components of an entry instance.

    Parameters
    ----------
    settings : cranberryport.generated.node_settings.NodeSettings
        Checked settings.
    settings_path : pathlib.Path
        Settings file, read again on SIGHUP.
    """

    channel = "node"

    def __init__(self, *, settings, settings_path):
        super().__init__()
        self._settings = settings
        self._settings_path = settings_path
        self._clock_watch = boot_clock.WallClockWatch()
        self._controller = None
        # Renewals of leases after the last end of the controller role, or None.
        self._lease_handover = None
        # Maintenance waves by number, for a controller in this process.
        self._waves = {}
        self._exit_deadline = None
        pollers.EPoll().register(self)
        self._timers = timers.Timers().register(self)
        self._sockets = connection.Client(timers=self._timers).register(self)
        self._metrics = node_metrics.NodeMetrics()
        self._store = store.StoreClient(
            connections=self._make_connection_pool("store"),
            address=node_settings.parse_address(settings.store, "store"),
        )
        self._executor_client = executors.ExecutorClient(
            connections=self._make_connection_pool("executors", is_reset_on_close=True)
        )
        self._instance_client = None
        if settings.cloud:
            self._instance_client = machines.InstanceClient(
                connections=self._make_connection_pool("instances"),
                address=node_settings.parse_address(settings.cloud, "cloud"),
                holder=settings.instance,
            )
        self._advice_client = None
        if settings.advice:
            self._advice_client = advice.AdviceClient(
                connections=self._make_connection_pool("advice"),
                address=node_settings.parse_address(settings.advice, "advice"),
            )
        self._membership = membership.Membership(
            store_client=self._store,
            timers=self._timers,
            address=f"{settings.peer_host}:{settings.peer_port}",
            ttl_s=max(membership.TTL_S, settings.membership_ttl_least_ms / 1000),
            on_role_gained=self._on_controller_role_gained,
            on_role_lost=self._on_controller_role_lost,
            # The setting counts cores; elsewhere processors are thousandths of a core.
            is_fallback=settings.processors * settings.processor_share
            < membership.CONTROLLER_MIN_CORES,
        )
        self._controller_client = controller_client.ControllerClient(
            watcher=self._sockets,
            timers=self._timers,
            host=settings.peer_host,
            port=settings.peer_port,
            membership=self._membership,
            local_controller=lambda: self._controller,
            append_record=lambda record, **options: self._job_writer.write(
                record, **options
            ),
        )
        self._configuration_reader = topic_reader.TopicReader(
            store_client=self._store,
            timers=self._timers,
            topic=store.OPERATOR_TOPIC,
            on_snapshot=self._on_operator_snapshot,
            on_records=self._on_operator_records,
            long_poll_s=CONFIGURATION_LONG_POLL_S,
            min_interval_s=CONFIGURATION_READ_INTERVAL_S,
        )
        self._proof = configuration_proof.ConfigurationProof(
            limit_s=settings.revocation_limit_ms / 1000,
            last_read_sent_at=lambda: self._configuration_reader.complete_read_sent_at,
        )
        self._follower = configuration_follower.ConfigurationFollower(
            proof=self._proof, on_applied=self._on_configuration_applied
        )
        self._make_servers(settings)

    def _make_connection_pool(self, name, *, is_reset_on_close=False):
        pool = connection_pool.ConnectionPool(
            client=self._sockets, name=name, is_reset_on_close=is_reset_on_close
        )
        return pool.register(self)

    def _make_servers(self, settings):
        self._job_writer = job_writer.JobWriter(
            store_client=self._store,
            partition_count=settings.store_partitions,
            instance=settings.instance,
            owned_partitions=lambda: self._membership.partitions,
            on_stored=self._notify_records_stored,
        )
        self._job_api = front.JobApi(
            configuration=lambda: self._follower.configuration,
            writer=self._job_writer,
            controller_client=self._controller_client,
            timers=self._timers,
            metrics=self._metrics,
            is_store_unreadable=lambda: self._configuration_reader.has_read_failed,
            proof=self._proof,
            limit_overshoot=settings.limit_overshoot,
        ).register(self)
        caller_limits = limits.Limits(connections=settings.connections)
        internal_limits = limits.Limits(connections=32)
        host, port = node_settings.parse_address(settings.front, "front")
        self._server = server.StrictServer(
            timers=self._timers,
            host=host,
            port=port,
            limits=caller_limits,
            answers_half_closed=True,
        ).register(self)
        host, port = node_settings.parse_address(settings.readiness, "readiness")
        ReadinessServer(
            timers=self._timers, host=host, port=port, limits=internal_limits
        ).register(self)
        MetricsServer(
            timers=self._timers,
            host=settings.peer_host,
            port=settings.metrics_port,
            limits=internal_limits,
        ).register(self)

    def _notify_records_stored(self, partition, end):
        self._controller_client.notify(
            messages.RecordsStored(partition=partition, end=end)
        )

    @property
    def is_ready(self):
        """Whether the balancer should send callers to this entry instance."""
        current = self._follower.configuration
        if current is None or self._exit_deadline is not None:
            return False
        if current.has_keyed_routes and not self._proof.is_fresh:
            return False
        last_read_sent_at = self._configuration_reader.last_read_sent_at
        return time.monotonic() - last_read_sent_at < STORE_SILENCE_LIMIT_S

    @handler("started", channel="*")
    def _on_started(self, *_):
        _logger.info("started", extra={"data_centre": self._settings.data_centre})
        self._controller_client.start()
        self._configuration_reader.start()
        self._membership.start()

    def _on_operator_snapshot(self, records):
        self._follower.add_snapshot(records)
        self._add_waves(records)

    def _on_operator_records(self, records):
        self._follower.add_records(records)
        self._add_waves(records)

    def _add_waves(self, records):
        for key, value in records:
            if key.startswith(configuration.WAVE_PREFIX):
                self._add_wave(key, value)

    def _add_wave(self, key, value):
        if not value:
            return
        wave = machines.parse_wave(value, time.monotonic())
        if isinstance(wave, bodies.Invalid):
            _logger.error("unreadable wave", extra={"key": key, "reason": wave.reason})
            return
        if wave.number in self._waves:
            return
        self._waves[wave.number] = wave
        if self._controller is not None:
            self._controller.add_wave(wave.copy())

    def _on_configuration_applied(self, received):
        if self._controller is not None:
            self._controller.set_configuration(received)

    def _on_controller_role_gained(self, epoch):
        self._controller = controller.Controller(
            store_client=self._store,
            timers=self._timers,
            executor_client=self._executor_client,
            epoch=epoch,
            settings=self._settings,
            instance_client=self._instance_client,
            advice_client=self._advice_client,
            is_sole_controller=lambda: self._membership.is_sole_controller,
            is_role_proven=lambda: self._membership.is_role_proven,
            has_clock_stepped=lambda: self._clock_watch.has_stepped,
            on_superseded=self._membership.step_down,
        )
        if self._follower.configuration is not None:
            self._controller.set_configuration(self._follower.configuration)
        for wave in self._waves.values():
            self._controller.add_wave(wave.copy())
        self._controller.start()

    def _on_controller_role_lost(self, may_renew_leases):
        if self._controller is not None:
            self._lease_handover = self._controller.hand_over(may_renew_leases)
            self._controller = None

    @handler("request", channel="readiness")
    def _on_readiness_request(self, request, response):
        response.status = 200 if self.is_ready else 503
        response.body = "ready\n" if self.is_ready else "not ready\n"
        return response

    @handler("request", channel="metrics")
    def _on_metrics_request(self, request, response):
        if request.path in operator_pages.PATHS:
            operator_pages.respond(
                request,
                response,
                controller=self._controller,
                controller_address=self._membership.controller_address,
            )
            return response
        gauges = {}
        state = None if self._controller is None else self._controller.state
        if state is not None:
            report = organisation_report.make_report(
                state, time.monotonic(), self._controller.organisation_statuses
            )
            gauges = report.to_gauges()
        self._metrics.replace_gauges(ORGANISATION_METRICS, gauges)
        self._metrics.gauge("store.calls", self._store.call_count)
        self._metrics.gauge(
            "store.records_not_applied", self._configuration_reader.not_applied_count
        )
        self._metrics.gauge("front.in_progress", self._job_api.in_progress_count)
        self._metrics.gauge("controller.is_leading", int(self._controller is not None))
        if self._controller is not None:
            for name, number in self._controller.event_counts.items():
                self._metrics.gauge(f"controller.{name}", number)
            self._metrics.gauge(
                "controller.records_not_applied", self._controller.not_applied_count
            )
        response.headers["Content-Type"] = "text/plain"
        response.body = self._metrics.render()
        return response

    @handler("exception", channel="*")
    def _on_exception(self, kind, _, traceback, **__):
        """Log an exception that a handler of any component has not handled.

        Its text is left out, since it can quote a caller's header or body.
        """
        self._metrics.count("errors.unhandled")
        _logger.error(
            "event handler failed",
            extra={"kind": kind.__name__, "where": "".join(traceback)},
        )

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, number, stack):
        """Leave the group, then stop once the balancer sends no more requests."""
        # circuits would stop the process at once.
        event.stop()
        if (
            number not in (signal.SIGTERM, signal.SIGINT)
            or self._exit_deadline is not None
        ):
            return
        now = time.monotonic()
        self._exit_deadline = now + self._settings.grace_s - GRACE_MARGIN_S
        _logger.info("stopping", extra={"signal": number})
        self._membership.stop(lambda: None)
        self._timers.after(BALANCER_REMOVAL_S, self._stop_accepting)

    def install_reload_handler(self):
        """Install a handler that reloads the settings on SIGHUP.

        circuits does not handle SIGHUP, which ends a process by default.
        """
        signal.signal(signal.SIGHUP, lambda *_: self._timers.after(0.0, self._reload))

    def _reload(self):
        try:
            reloaded = node_settings.load(self._settings_path)
        except node_settings.SettingsError as error:
            _logger.error("settings not reloaded", extra={"reason": str(error)})
            return
        changed = [
            field.name
            for field in dataclasses.fields(reloaded)
            if getattr(reloaded, field.name) != getattr(self._settings, field.name)
        ]
        logging.getLogger().setLevel(reloaded.log_level)
        # Only the log level changes in a running process. Other changes are logged but
        # not applied: the platform starts a new process where addresses change.
        _logger.info("settings reloaded", extra={"changed": changed})

    def _stop_accepting(self):
        self._server.stop_accepting()
        self._wait_for_open_requests()

    def _wait_for_open_requests(self):
        is_grace_over = time.monotonic() > self._exit_deadline
        handover = self._lease_handover
        is_needed = self._job_api.in_progress_count or not (
            handover is None or handover.is_over
        )
        if is_needed and not is_grace_over:
            self._timers.after(
                OPEN_REQUESTS_CHECK_INTERVAL_S, self._wait_for_open_requests
            )
            return
        _logger.info("stopped", extra={"open": self._job_api.in_progress_count})
        self.stop()


def main(arguments=None):
    """Run an entry instance until SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None for those of the process.

    Returns
    -------
    int
        Exit code; 2 if the settings cannot be used, with the reason on standard error.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    options = parser.parse_args(arguments)
    try:
        settings = node_settings.load(options.settings)
    except node_settings.SettingsError as error:
        print(error, file=sys.stderr)
        return BAD_SETTINGS_EXIT_CODE
    node_logs.configure(instance=settings.instance, level=settings.log_level)
    node = Node(settings=settings, settings_path=options.settings)
    node.install_reload_handler()
    node.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
