"""An entry instance on the users' platform: front, controller and their state."""

import argparse
import dataclasses
import logging
import pathlib
import signal
import sys
import time

from circuits import BaseComponent, handler
from circuits.core import pollers

from cranberryport import node_settings, timers
from cranberryport.control import (
    controller,
    controller_client,
    job_writer,
    membership,
    topic_reader,
)
from cranberryport.generated import messages
from cranberryport.http import connection, connection_pool, limits, server
from cranberryport.observability import node_logs, node_metrics
from cranberryport.platform import (
    advice,
    configuration,
    executors,
    front,
    machines,
    store,
)

BAD_SETTINGS_EXIT_CODE = 2
CONFIGURATION_WAIT_S = 1.0
CONFIGURATION_GAP_S = 0.05
# Callers are sent to other instances if the store was not reached for this time.
STORE_SILENCE_S = 2.5
DRAIN_POLL_S = 0.05
# Time that is left of the grace period when the process ends by itself.
GRACE_MARGIN_S = 1.0
# The balancer needs two failed checks, one a second, before it sends nobody any more.
LEAVE_ROTATION_S = 2.2

_logger = logging.getLogger(__name__)


class ReadinessServer(server.StrictServer):
    """Server for the balancer's checks."""

    channel = "readiness"


class MetricsServer(server.StrictServer):
    """Server for metrics."""

    channel = "metrics"


class Node(BaseComponent):
    """Puts the components of an entry instance together.

    Parameters
    ----------
    loaded : cranberryport.generated.node_settings.NodeSettings
        Checked settings.
    settings_path : pathlib.Path
        File that they were read from.
    """

    channel = "node"

    def __init__(self, *, loaded, settings_path):
        super().__init__()
        self._loaded = loaded
        self._settings_path = settings_path
        self._configuration = None
        self._controller = None
        self._waves = {}
        self._stop_at = None
        pollers.EPoll().register(self)
        self._timers = timers.Timers().register(self)
        self._sockets = connection.Client(timers=self._timers).register(self)
        self._metrics = node_metrics.NodeMetrics()
        self._store = store.StoreClient(
            pool=self._make_pool("store"),
            address=node_settings.parse_address(loaded.store, "store"),
        )
        self._executor_client = executors.ExecutorClient(
            pool=self._make_pool("executors")
        )
        self._instance_client = None
        if loaded.cloud:
            self._instance_client = machines.InstanceClient(
                pool=self._make_pool("instances"),
                address=node_settings.parse_address(loaded.cloud, "cloud"),
                holder=loaded.instance,
            )
        self._advice_client = None
        if loaded.advice:
            self._advice_client = advice.AdviceClient(
                pool=self._make_pool("advice"),
                address=node_settings.parse_address(loaded.advice, "advice"),
            )
        self._membership = membership.Membership(
            store_client=self._store,
            timers=self._timers,
            address=f"{loaded.peer_host}:{loaded.peer_port}",
            ttl_s=max(membership.TTL_S, loaded.membership_ttl_least_ms / 1000),
            on_role_gained=self._on_gained,
            on_role_lost=self._on_lost,
            is_fallback=loaded.processors * loaded.processor_share
            < membership.CONTROLLER_MIN_CORES,
        )
        self._questions = controller_client.ControllerClient(
            watcher=self._sockets,
            timers=self._timers,
            host=loaded.peer_host,
            port=loaded.peer_port,
            membership=self._membership,
            local_controller=lambda: self._controller,
        )
        self._configuration_reader = topic_reader.TopicReader(
            store_client=self._store,
            timers=self._timers,
            topic=store.OPERATOR_TOPIC,
            on_snapshot=self._on_operator_records,
            on_records=self._on_operator_records,
            long_poll_s=CONFIGURATION_WAIT_S,
            min_interval_s=CONFIGURATION_GAP_S,
        )
        self._make_servers(loaded)

    def _make_pool(self, name):
        pool = connection_pool.ConnectionPool(client=self._sockets, name=name)
        return pool.register(self)

    def _make_servers(self, loaded):
        self._front = front.Front(
            configuration=lambda: self._configuration,
            writer=job_writer.JobWriter(
                store_client=self._store,
                partition_count=loaded.store_partitions,
                instance=loaded.instance,
                owned_partitions=lambda: self._membership.partitions,
                on_stored=self._tell_stored,
            ),
            questions=self._questions,
            timers=self._timers,
            metrics=self._metrics,
            is_store_lost=lambda: self._configuration_reader.has_read_failed,
        ).register(self)
        bounds = limits.Limits(connections=loaded.connections)
        few = limits.Limits(connections=32)
        host, port = node_settings.parse_address(loaded.front, "front")
        self._server = server.StrictServer(
            timers=self._timers,
            host=host,
            port=port,
            limits=bounds,
            answers_half_closed=True,
        ).register(self)
        host, port = node_settings.parse_address(loaded.readiness, "readiness")
        ReadinessServer(timers=self._timers, host=host, port=port, limits=few).register(
            self
        )
        MetricsServer(
            timers=self._timers,
            host=loaded.peer_host,
            port=loaded.metrics_port,
            limits=few,
        ).register(self)

    def _tell_stored(self, partition, end):
        self._questions.notify(messages.RecordsStored(partition=partition, end=end))

    @property
    def is_ready(self):
        """Whether callers should be sent here."""
        if self._configuration is None or self._stop_at is not None:
            return False
        synced_at = self._configuration_reader.synced_at
        return time.monotonic() - synced_at < STORE_SILENCE_S

    @handler("started", channel="*")
    def _on_started(self, *_):
        _logger.info("started", extra={"data_centre": self._loaded.data_centre})
        self._questions.start()
        self._configuration_reader.start()
        self._membership.start()

    def _on_operator_records(self, found):
        for key, value in found:
            if key == configuration.CONFIGURATION_KEY:
                self._take_configuration(value)
            elif key.startswith(configuration.WAVE_PREFIX):
                self._take_wave(key, value)

    def _take_wave(self, key, value):
        wave = machines.parse_wave(value, time.monotonic())
        if wave is None:
            _logger.error("unreadable wave", extra={"key": key})
            return
        if wave.number in self._waves:
            return
        self._waves[wave.number] = wave
        if self._controller is not None:
            self._controller.add_wave(wave.copy())

    def _take_configuration(self, value):
        found = configuration.read(value)
        if found is None:
            _logger.error("unreadable configuration")
            return
        if self._configuration and found.version <= self._configuration.version:
            return
        self._configuration = found
        _logger.info("configuration in force", extra={"version": found.version})
        if self._controller is not None:
            self._controller.set_configuration(found)

    def _on_gained(self, epoch):
        self._controller = controller.Controller(
            store_client=self._store,
            timers=self._timers,
            executor_client=self._executor_client,
            epoch=epoch,
            settings=self._loaded,
            instance_client=self._instance_client,
            advice_client=self._advice_client,
            is_sole_controller=lambda: self._membership.is_sole_controller,
            on_superseded=self._membership.step_down,
        )
        if self._configuration is not None:
            self._controller.set_configuration(self._configuration)
        for wave in self._waves.values():
            self._controller.add_wave(wave.copy())
        self._controller.start()

    def _on_lost(self):
        if self._controller is not None:
            self._controller.stop()
            self._controller = None

    @handler("request", channel="readiness")
    def _on_readiness(self, request, response):
        response.status = 200 if self.is_ready else 503
        response.body = "ready\n" if self.is_ready else "not ready\n"
        return response

    @handler("request", channel="metrics")
    def _on_metrics(self, request, response):
        self._metrics.gauge("store.calls", self._store.call_count)
        self._metrics.gauge("front.in_progress", self._front.in_progress_count)
        self._metrics.gauge("controller.is_leading", int(self._controller is not None))
        response.headers["Content-Type"] = "text/plain"
        response.body = self._metrics.render()
        return response

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, number, stack):
        event.stop()
        if number not in (signal.SIGTERM, signal.SIGINT) or self._stop_at is not None:
            return
        now = time.monotonic()
        self._stop_at = now + self._loaded.grace_s - GRACE_MARGIN_S
        _logger.info("stopping", extra={"signal": number})
        self._membership.stop(lambda: None)
        self._timers.after(LEAVE_ROTATION_S, self._stop_taking)

    def watch_reload(self):
        """Reload the settings on SIGHUP, which circuits does not handle."""
        signal.signal(signal.SIGHUP, lambda *_: self._timers.after(0.0, self._reload))

    def _reload(self):
        try:
            found = node_settings.load(self._settings_path)
        except node_settings.SettingsError as error:
            _logger.error("settings not reloaded", extra={"reason": str(error)})
            return
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(self._loaded, field.name)
        ]
        logging.getLogger().setLevel(found.log_level)
        # Addresses hold for the life of the process; the platform starts it anew where
        # it moves, so the others are only told.
        _logger.info("settings reloaded", extra={"changed": changed})

    def _stop_taking(self):
        self._server.stop_accepting()
        self._wait_for_requests()

    def _wait_for_requests(self):
        is_over = time.monotonic() > self._stop_at
        if self._front.in_progress_count and not is_over:
            self._timers.after(DRAIN_POLL_S, self._wait_for_requests)
            return
        _logger.info("stopped", extra={"open": self._front.in_progress_count})
        self.stop()


def main(arguments=None):
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None for those of the process.

    Returns
    -------
    int
        Exit code; 2 for settings with an error, which is printed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    options = parser.parse_args(arguments)
    try:
        loaded = node_settings.load(options.settings)
    except node_settings.SettingsError as error:
        print(error, file=sys.stderr)
        return BAD_SETTINGS_EXIT_CODE
    node_logs.configure(instance=loaded.instance, level=loaded.log_level)
    node = Node(loaded=loaded, settings_path=options.settings)
    node.watch_reload()
    node.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
