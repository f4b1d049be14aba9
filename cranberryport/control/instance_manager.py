"""Upkeep and moves of instances while this process is the controller."""

import logging
import time

from cranberryport.platform import machines, store
from cranberryport.scheduling import (
    evacuation,
    instances,
    maintenance,
    rebalancing,
)

STEP_S = 0.06
LIST_BUSY_S = 0.3
LIST_IDLE_S = 2.0
STATUS_TIMEOUT_S = 1.5
POOLS_LOG_S = 1.0
STATUS_RETRY_S = 0.3
# An order without an answer may be carried out this much later (platform's protocol:
# up to 12 s), so the instance gets no other order before.
LATE_ORDER_S = 13.0
ORDER_RETRY_S = 0.4
# An instance that is still up with the same executor this long after its order was
# accepted had been moved, or had its upkeep, before.
UNCHANGED_S = 0.6
# Timeout of an order to an executor, and the time until the next list shows its effect.
STOP_ARRIVAL_S = 1.0
# Clocks of the entry instances differ by less than this on an ordinary day.
TURN_SLACK_S = 0.5

_logger = logging.getLogger(__name__)


class _Order:
    """An order that was sent for an instance."""

    __slots__ = ("answered_at", "previous", "sent_at", "target", "wave")

    def __init__(self, *, target, wave, previous, sent_at):
        self.target = target
        self.wave = wave
        self.previous = previous
        self.sent_at = sent_at
        self.answered_at = None

    @property
    def is_answered(self):
        """Whether the order was accepted."""
        return self.answered_at is not None


class InstanceManager:
    """Decides about instances for one controller.

    Parameters
    ----------
    scheduler : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    load_meter : cranberryport.scheduling.load.LoadMeter
        What the pools are asked for.
    client : machines.InstanceClient
        Sends the orders.
    store_client : store.StoreClient
        For the state of waves.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of the controller.
    settings : cranberryport.generated.node_settings.NodeSettings
        Settings.
    is_sole_controller : callable
        Returns whether this process is certain to be the controller.
    are_executors_known : callable
        Returns whether the list of executors was read.
    on_superseded : callable
        Called if a later controller has given orders.
    on_stops : callable
        Called after runs were stopped, so that the stops are sent.
    save_wave : callable
        Called with a wave whose progress is to be stored.
    save_orders : callable
        Called with the wall-clock times of the last orders by instance, and with a
        function that is called once they are stored.
    """

    __slots__ = (
        "_are_executors_known",
        "_client",
        "_empties_at",
        "_epoch",
        "_forbidden",
        "_free_at",
        "_is_sole_controller",
        "_is_listing",
        "_is_stopped",
        "_lending",
        "_listed",
        "_listed_at",
        "_load",
        "_settings",
        "_logged_at",
        "_on_stops",
        "_on_superseded",
        "_ordered_at",
        "_orders",
        "_present",
        "_save_orders",
        "_save_wave",
        "_scheduler",
        "_services",
        "_statuses",
        "_store",
        "_timers",
        "_waves",
    )

    def __init__(
        self,
        *,
        scheduler,
        load_meter,
        client,
        store_client,
        timers,
        epoch,
        settings,
        is_sole_controller,
        are_executors_known,
        on_superseded,
        on_stops,
        save_wave,
        save_orders,
    ):
        self._scheduler = scheduler
        self._load = load_meter
        self._client = client
        self._store = store_client
        self._timers = timers
        self._epoch = epoch
        self._settings = settings
        self._is_sole_controller = is_sole_controller
        self._are_executors_known = are_executors_known
        self._on_superseded = on_superseded
        self._on_stops = on_stops
        self._save_wave = save_wave
        self._save_orders = save_orders
        # A stop of the previous controller may still be under way, and its task is
        # listed as at work until then.
        self._empties_at = time.monotonic() + STOP_ARRIVAL_S + settings.stop_ms / 1000
        self._free_at = {}
        self._present = set()
        self._ordered_at = {}
        self._lending = rebalancing.PoolRebalancer()
        self._listed = {}
        self._listed_at = None
        self._is_listing = False
        self._logged_at = 0.0
        self._orders = {}
        self._forbidden = set()
        self._services = {}
        self._waves = {}
        self._statuses = {}
        self._is_stopped = False

    @property
    def waves(self):
        """Waves by number."""
        return self._waves

    def start(self):
        """Begin to decide."""
        self._step()

    def stop(self):
        """Give no more orders."""
        self._is_stopped = True

    def restore_orders(self, sent, wall):
        """Take the last orders of the previous controller.

        Parameters
        ----------
        sent : dict of str to float
            Unix time of the last order by instance. Two controllers must not take
            turns on an instance within a time that the platform sets.
        wall : float
            Unix time in seconds.
        """
        now = time.monotonic()
        turn_s = self._settings.order_turn_ms / 1000 + TURN_SLACK_S
        for instance_id, sent_at in sent.items():
            waited_s = max(0.0, wall - sent_at)
            if waited_s < turn_s:
                self._free_at[instance_id] = now + turn_s - waited_s
        self._ordered_at = dict(sent)

    def _is_free(self, instance_id, now):
        """Return whether this controller may order an instance now."""
        if instance_id in self._orders:
            return False
        return now >= self._free_at.get(instance_id, 0.0)

    def set_services(self, services):
        """Take the pools of a configuration."""
        self._services = services

    def add_wave(self, wave, done):
        """Take a wave; one that is known already changes nothing.

        Parameters
        ----------
        wave : instances.Wave
            The wave.
        done : collection of str
            Instances whose upkeep a previous controller has ordered.
        """
        if wave.number in self._waves:
            return
        wave.done_instances = set(done)
        self._waves[wave.number] = wave
        _logger.info(
            "wave known",
            extra={
                "wave": wave.number,
                "instances": len(wave.instances),
                "maximum": wave.max_down,
                "done": len(wave.done_instances),
            },
        )

    def _step(self):
        if self._is_stopped:
            return
        self._timers.after(STEP_S, self._step)
        now = time.monotonic()
        is_busy = bool(self._orders) or any(
            not self._is_complete(wave) for wave in self._waves.values()
        )
        is_busy = is_busy or any(
            executor.runs and executor.is_silent(now)
            for executor in self._scheduler.executors.values()
        )
        pause_s = LIST_BUSY_S if is_busy else LIST_IDLE_S
        is_due = self._listed_at is None or now - self._listed_at >= pause_s
        if is_due and not self._is_listing:
            self._is_listing = True
            asked_at = now
            self._client.list_instances(lambda found: self._on_listed(found, asked_at))
        self._decide(now)

    def _on_listed(self, found, asked_at):
        self._is_listing = False
        if self._is_stopped:
            return
        if found is None:
            if self._listed_at is not None:
                _logger.warning("list of instances failed")
            return
        self._listed = found
        self._listed_at = asked_at
        self._settle_orders(asked_at)
        self._drop_dead_executors(asked_at)
        if self._are_executors_known():
            present = {i.executor for i in found.values() if i.executor}
            self._scheduler.drop_restored_runs(present)

    def _drop_dead_executors(self, asked_at):
        """Drop silent executors whose instance is down or has another one.

        Their tasks need not wait for the lease then.
        """
        present = {
            instance.executor
            for instance in self._listed.values()
            if instance.state == instances.UP and instance.executor
        }
        for executor in list(self._scheduler.executors.values()):
            if executor.id in present or executor.id not in self._present:
                continue
            if executor.is_silent(asked_at) and executor.runs:
                self._scheduler.retire_executor(executor, "instance is down")
        known = self._scheduler.executors.keys()
        self._present = (self._present | present) & known

    def _settle_orders(self, asked_at):
        now = time.monotonic()
        for instance_id, order in list(self._orders.items()):
            instance = self._listed.get(instance_id)
            is_over = now - order.sent_at > LATE_ORDER_S
            if instance is not None and order.is_answered:
                self._retire_previous(instance, order)
                is_over = is_over or self._is_carried_out(instance, order, asked_at)
            if instance is None or is_over:
                del self._orders[instance_id]

    def _retire_previous(self, instance, order):
        """Drop the executor that an order has ended, once the list shows it."""
        if instance.state == instances.UP and instance.executor == order.previous:
            return
        executor = self._scheduler.executors.get(order.previous)
        if executor is not None:
            self._scheduler.retire_executor(executor, "instance was ordered away")

    def _is_carried_out(self, instance, order, asked_at):
        if instance.state != instances.UP:
            return False
        if order.wave is None and instance.pool != order.target:
            return False
        if instance.executor != order.previous:
            return True
        # An order that was carried out earlier is accepted and changes nothing.
        return asked_at - order.answered_at > UNCHANGED_S

    def _decide(self, now):
        # While the store is slow, the instances are known seconds before the executors,
        # and an instance with an unknown executor would look empty.
        is_known = self._listed_at is not None and self._are_executors_known()
        if not is_known or not self._is_sole_controller():
            return
        reserved = set()
        pressure = self._pressure(now)
        for number in sorted(self._waves):
            wave = self._waves[number]
            reserved |= self._decide_wave(wave, pressure, now)
        self._decide_moves(reserved, now)
        for executor in self._scheduler.executors.values():
            executor.is_reserved = executor.id in reserved
        evacuation.evacuate_draining(self._scheduler, now)
        self._on_stops()

    # Upkeep

    def _is_complete(self, wave):
        return self._statuses.get(wave.number) is True

    def _decide_wave(self, wave, pressure, now):
        reserved = set()
        if self._is_complete(wave):
            return reserved
        if (
            not maintenance.pending_instances(wave, self._listed)
            and not wave.previous_executors
        ):
            self._tell_status(wave, is_completed=True)
            return reserved
        self._tell_status(wave, is_completed=False)
        for instance_id, previous in list(wave.previous_executors.items()):
            instance = self._listed.get(instance_id)
            order = self._orders.get(instance_id)
            is_back = instance is None or (
                order is None and instance.state == instances.UP
            )
            if is_back:
                del wave.previous_executors[instance_id]
                # An order that nobody accepted within its time is given again.
                if instance is None or instance_id in wave.accepted_instances:
                    wave.done_instances.add(instance_id)
                    self._save_wave(wave)
            elif order is not None and not order.is_answered and previous:
                reserved.add(previous)
        chosen = maintenance.choose_instances(
            wave,
            self._listed,
            self._scheduler.executors,
            pressure=pressure,
            maintenance_s=self._settings.upkeep_s,
            now=now,
        )
        for instance_id in chosen:
            instance = self._listed[instance_id]
            if not self._is_free(instance_id, now):
                continue
            if self._scheduler.has_restored_runs(instance.executor):
                # Its entry has not been read, or cannot be.
                continue
            executor = self._scheduler.executors.get(instance.executor)
            if executor is not None:
                reserved.add(instance.executor)
                executor.is_reserved = True
                if executor.runs and now < self._empties_at:
                    continue
            if executor is None or evacuation.evacuate(self._scheduler, executor, now):
                self._take_down(wave, instance, now)
        return reserved

    def _take_down(self, wave, instance, now):
        _logger.info(
            "upkeep ordered", extra={"instance_id": instance.id, "wave": wave.number}
        )
        wave.previous_executors[instance.id] = instance.executor
        order = _Order(target=None, wave=wave, previous=instance.executor, sent_at=now)
        self._orders[instance.id] = order
        self._store_and_send(instance.id, order)

    def _store_and_send(self, instance_id, order):
        """Send an order once a successor would know of it."""
        wall = time.time()
        self._ordered_at[instance_id] = wall
        self._ordered_at = {
            key: sent_at
            for key, sent_at in self._ordered_at.items()
            if wall - sent_at < LATE_ORDER_S
        }
        self._save_orders(self._ordered_at, lambda: self._send(instance_id, order))

    def _send(self, instance_id, order):
        if self._is_stopped or self._orders.get(instance_id) is not order:
            return
        if not self._is_sole_controller():
            self._timers.after(ORDER_RETRY_S, lambda: self._send(instance_id, order))
            return
        order.sent_at = time.monotonic()

        def finish(answer):
            self._on_ordered(instance_id, order, answer)

        if order.wave is not None:
            self._client.start_maintenance(
                instance_id, order.wave.number, fence=self._epoch, callback=finish
            )
        else:
            self._client.move(
                instance_id, order.target, fence=self._epoch, callback=finish
            )

    def _on_ordered(self, instance_id, order, answer):
        if self._is_stopped:
            return
        if answer.is_accepted:
            order.answered_at = time.monotonic()
            if order.wave is not None:
                order.wave.accepted_instances.add(instance_id)
            return
        _logger.info(
            "order refused",
            extra={"instance_id": instance_id, "reason": answer.refusal or "no answer"},
        )
        if answer.refusal == "fenced":
            self._on_superseded()
        elif answer.refusal in ("", "limited"):
            self._timers.after(ORDER_RETRY_S, lambda: self._send(instance_id, order))
        else:
            self._orders.pop(instance_id, None)
            if order.wave is not None:
                order.wave.previous_executors.pop(instance_id, None)
                if answer.refusal in ("wave", "invalid"):
                    order.wave.done_instances.add(instance_id)
            elif answer.refusal == "invalid":
                instance = self._listed.get(instance_id)
                kind = instance.kind if instance else ""
                self._forbidden.add((kind, order.target))

    def _tell_status(self, wave, *, is_completed):
        if self._statuses.get(wave.number) == is_completed:
            return
        self._statuses[wave.number] = is_completed
        record = machines.encode_wave_status(wave.number, is_completed=is_completed)

        def finish(result):
            if isinstance(result, store.Appended) or self._is_stopped:
                return
            if self._statuses.get(wave.number) == is_completed:
                self._timers.after(STATUS_RETRY_S, send)

        def send():
            if not self._is_stopped:
                self._store.append(
                    store.STATUS_TOPIC,
                    [record],
                    callback=finish,
                    timeout_s=STATUS_TIMEOUT_S,
                )

        send()
        _logger.info(
            "wave state", extra={"wave": wave.number, "is_completed": is_completed}
        )

    # Moves

    def reachable_processors(self, service, demand):
        """Return the cores that a pool has or can borrow.

        Parameters
        ----------
        service : str
            Name of the pool.
        demand : dict of str to int
            What each pool needs, in thousandths of a core.

        Returns
        -------
        float
            0 while the instances are not known.
        """
        own, others = 0, {}
        for instance in self._listed.values():
            if instance.state == instances.DOWN:
                continue
            if instance.pool == service:
                own += instance.processors
            else:
                pool = others.get(instance.pool, 0)
                others[instance.pool] = pool + instance.processors
        spare = sum(max(0, size - demand.get(p, 0)) for p, size in others.items())
        return (own + spare) / 1000

    def _pressure(self, now):
        sizes = {}
        for instance in self._listed.values():
            if instance.state == instances.UP:
                sizes[instance.pool] = sizes.get(instance.pool, 0) + instance.processors
        return {
            pool: asked / max(1, sizes.get(pool, 0))
            for pool, asked in self._load.demand(now, time.time()).items()
        }

    def _decide_moves(self, reserved, now):
        if not any(service.is_standby for service in self._services.values()):
            return
        demand = self._load.demand(now, time.time())
        # A pool that is off takes instances back also while it has none.
        pools = {
            service.name: rebalancing.PoolLoad(
                name=service.name,
                is_standby=service.is_standby,
                processors=0,
                demand=demand.get(service.name, 0),
                size=0,
                idle=[],
                has_unplaceable_task=self._scheduler.has_unplaceable_task(
                    service.name, now
                ),
            )
            for service in self._services.values()
        }
        in_wave = {
            instance_id
            for wave in self._waves.values()
            for instance_id in maintenance.pending_instances(wave, self._listed)
        }
        for instance in self._listed.values():
            pool = instance.pool
            order = self._orders.get(instance.id)
            if order is not None and order.target:
                pool = order.target
            service = self._services.get(pool)
            if service is None:
                continue
            asked = pools[pool]
            asked.processors = max(asked.processors, instance.processors)
            is_usable = instance.state in (instances.UP, instances.MOVING)
            is_usable = is_usable and (order is None or order.wave is None)
            if not is_usable or instance.executor in reserved:
                # An instance in upkeep, or about to be, serves nobody.
                continue
            asked.size += 1
            asked.arriving += (
                instance.state == instances.MOVING or pool != instance.pool
            )
            executor = self._scheduler.executors.get(instance.executor)
            is_free = service.is_standby or (
                executor is not None and executor.is_listed and executor.is_empty
            )
            is_free = is_free and instance.state == instances.UP
            is_free = is_free and self._is_free(instance.id, now)
            is_free = is_free and instance.executor not in reserved
            if is_free and not (service.is_standby and instance.id in in_wave):
                asked.idle.append(instance.id)
        self._log_pools(pools, now)
        for instance_id, pool in self._lending.choose_moves(list(pools.values()), now):
            instance = self._listed[instance_id]
            if (instance.kind, pool) in self._forbidden:
                continue
            _logger.info(
                "move ordered",
                extra={
                    "instance_id": instance_id,
                    "from": instance.pool,
                    "pool": pool,
                },
            )
            if instance.executor:
                reserved.add(instance.executor)
            order = _Order(
                target=pool, wave=None, previous=instance.executor, sent_at=now
            )
            self._orders[instance_id] = order
            self._store_and_send(instance_id, order)
        for order in self._orders.values():
            if order.previous:
                reserved.add(order.previous)

    def _log_pools(self, pools, now):
        if now - self._logged_at < POOLS_LOG_S:
            return
        self._logged_at = now
        sizes = {
            pool.name: [pool.size, len(pool.idle), pool.needed_instances]
            for pool in pools.values()
        }
        _logger.info(
            "pools",
            extra={
                "size_idle_needed": sizes,
                "list_age_s": round(now - self._listed_at, 3),
            },
        )
