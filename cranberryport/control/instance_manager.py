"""Orders the maintenance of instances and their moves between pools.

The operator requests maintenance in waves; a wave names instances, a time limit and how
many of them may be down at once. Moves follow the demand of the pools.

Only the controller gives orders. The time of each order is stored before the order is
sent, so that a new controller does not give the same instance another one too early.
"""

import logging
import time

from cranberryport.platform import machines, store
from cranberryport.scheduling import (
    evacuation,
    instances,
    maintenance,
    packing,
    rebalancing,
)

CYCLE_INTERVAL_S = 0.06
# An instance that arrived in a pool longer ago than this, and whose executor is still
# not known, is not waited for any more.
SETTLING_LIMIT_S = 3.0
BUSY_LIST_INTERVAL_S = 0.3
IDLE_LIST_INTERVAL_S = 2.0
STATUS_TIMEOUT_S = 1.5
POOLS_LOG_INTERVAL_S = 1.0
STATUS_RETRY_DELAY_S = 0.3
# An order without a response may be carried out up to 12 s later (platform's protocol).
# Until then the instance gets no other order.
ORDER_LIFETIME_S = 13.0
ORDER_RETRY_DELAY_S = 0.4
# An order that was carried out earlier is accepted again and has no effect. If an
# instance is up with the same executor this long after the acceptance of an order, the
# order is taken for such a repetition.
NO_EFFECT_DELAY_S = 0.6
# The list of instances shows an instance as up within this time after its executor has
# been found.
ARRIVAL_LIST_DELAY_S = 0.5
# Timeout of a call to an executor plus the time until the next list of its runs shows
# the effect.
STOP_EFFECT_DELAY_S = 1.0
# Added to the time between orders of two controllers, for the time that the last order
# of the earlier one takes to arrive, and for clocks that differ.
ORDER_TURN_MARGIN_S = 0.5

_logger = logging.getLogger(__name__)


class _Order:
    """An order for an instance that may still take effect.

    Parameters
    ----------
    target_pool : str or None
        Pool that the instance moves to; None for maintenance.
    wave : cranberryport.scheduling.instances.Wave or None
        Wave that the maintenance belongs to; None for a move.
    previous_executor : str
        Executor of the instance when the order was given; empty for none.
    sent_at : float
        Monotonic time at which the order was last sent, before that the time at which
        it was decided.

    Attributes
    ----------
    was_sent : bool
        Whether it was sent, and may be carried out without a response.
    """

    __slots__ = (
        "accepted_at",
        "previous_executor",
        "sent_at",
        "target_pool",
        "was_sent",
        "wave",
    )

    def __init__(self, *, target_pool, wave, previous_executor, sent_at):
        self.target_pool = target_pool
        self.wave = wave
        self.previous_executor = previous_executor
        self.sent_at = sent_at
        self.was_sent = False
        self.accepted_at = None

    @property
    def is_accepted(self):
        """Whether the order was accepted."""
        return self.accepted_at is not None


class InstanceManager:
    """Decides which instances get maintenance or move to other pools.

    Parameters
    ----------
    scheduler : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    load_meter : cranberryport.scheduling.load.LoadMeter
        Demand of each pool.
    client : machines.InstanceClient
        Lists the instances and sends orders for them.
    store_client : store.StoreClient
        Stores the status of each wave for the operator.
    timers : cranberryport.timers.Timers
        Timers of the process.
    epoch : int
        Epoch of the controller.
    settings : cranberryport.generated.node_settings.NodeSettings
        Settings.
    is_sole_controller : callable
        Returns whether this process is the controller and no other process can be.
    has_clock_stepped : callable
        Returns whether the wall clock of this process has been stepped.
    has_read_executors : callable
        Returns whether the list of executors has been read.
    on_superseded : callable
        Called without arguments if an order is refused because a later controller has
        given one.
    on_decided : callable
        Called without arguments after each decision, so that the stops that it has
        added to the scheduler are sent.
    save_wave : callable
        Called with a wave whose progress is to be stored.
    save_orders : callable
        Called with the Unix times of the last orders by instance, those of the orders
        without a response, those of the latter that are for maintenance, and a function
        to call once they are stored; None if they may be stored with the next append.
    """

    __slots__ = (
        "_client",
        "_epoch",
        "_evacuation_not_before",
        "_has_clock_stepped",
        "_has_read_executors",
        "_inherited_maintenance",
        "_inherited_unanswered",
        "_instances",
        "_is_fleet_short",
        "_is_list_pending",
        "_is_sole_controller",
        "_is_stopped",
        "_list_sent_at",
        "_load_meter",
        "_on_decided",
        "_on_superseded",
        "_order_times",
        "_order_not_before",
        "_orders",
        "_pools_logged_at",
        "_rebalancer",
        "_refused_moves",
        "_reported_completions",
        "_save_orders",
        "_save_wave",
        "_scheduler",
        "_seen_executors",
        "_services",
        "_settings",
        "_store",
        "_timers",
        "_unsettled_since",
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
        has_clock_stepped,
        has_read_executors,
        on_superseded,
        on_decided,
        save_wave,
        save_orders,
    ):
        self._scheduler = scheduler
        self._load_meter = load_meter
        self._client = client
        self._store = store_client
        self._timers = timers
        self._epoch = epoch
        self._settings = settings
        self._is_sole_controller = is_sole_controller
        self._has_read_executors = has_read_executors
        self._has_clock_stepped = has_clock_stepped
        self._on_superseded = on_superseded
        self._on_decided = on_decided
        self._save_wave = save_wave
        self._save_orders = save_orders
        # Executors with runs are not evacuated before this time. A stop that the
        # previous controller has sent may not have taken effect yet, so that its task
        # still counts as available; a further stop could leave more tasks of the step
        # unavailable than allowed.
        self._evacuation_not_before = (
            time.monotonic() + STOP_EFFECT_DELAY_S + settings.stop_ms / 1000
        )
        self._order_not_before = {}
        # Instance on which each known executor was last listed as up.
        self._seen_executors = {}
        self._order_times = {}
        # Unix times of earlier controllers' orders that had no response.
        self._inherited_unanswered = {}
        # Monotonic times until which maintenance orders of earlier controllers that had
        # no response may be carried out, by instance.
        self._inherited_maintenance = {}
        self._rebalancer = rebalancing.PoolRebalancer(moves_per_s=settings.orders_per_s)
        self._instances = {}
        self._list_sent_at = None
        self._is_list_pending = False
        # Whether some pool lacked instances after the last choice of moves.
        self._is_fleet_short = False
        self._pools_logged_at = 0.0
        self._orders = {}
        self._refused_moves = set()
        # By instance: its executor, and the time since which that takes no runs.
        self._unsettled_since = {}
        self._services = {}
        self._waves = {}
        self._reported_completions = {}
        self._is_stopped = False

    @property
    def waves(self):
        """Waves by number."""
        return self._waves

    def start(self):
        """Start listing instances and giving orders."""
        self._run_cycle()

    def stop(self):
        """Give no more orders."""
        self._is_stopped = True

    def restore_orders(self, sent, unanswered, now_unix_s, *, maintenance=()):
        """Delay orders for instances that the previous controller has ordered lately.

        The platform sets a minimum time between the orders of two controllers for the
        same instance. Where it does not refuse an order after one of a later
        controller, an order without a response also has to be carried out or expire
        before a later controller sends one.

        While the own clock is stepped, no time counts as waited already. A process
        whose clock is stepped stores times in the future to the same effect.

        Parameters
        ----------
        sent : dict of str to float
            Unix time of the last order by instance.
        unanswered : collection of str
            Instances whose last order had no response.
        now_unix_s : float
            Unix time in seconds.
        maintenance : collection of str, optional
            Instances whose maintenance may have been ordered without a response. Until
            such an order cannot be carried out any more, the instance counts as down.
        """
        now = time.monotonic()
        turn_s = self._settings.order_turn_ms / 1000 + ORDER_TURN_MARGIN_S
        for instance_id, sent_at in sent.items():
            wait_s = turn_s
            if instance_id in unanswered and not self._settings.are_orders_fenced:
                wait_s = max(wait_s, ORDER_LIFETIME_S)
            waited_s = 0.0
            if not self._has_clock_stepped():
                waited_s = max(0.0, now_unix_s - sent_at)
            if wait_s > waited_s:
                self._order_not_before[instance_id] = now + wait_s - waited_s
            if instance_id in maintenance and waited_s < ORDER_LIFETIME_S:
                self._inherited_maintenance[instance_id] = (
                    now + ORDER_LIFETIME_S - waited_s
                )
        self._order_times = dict(sent)
        self._inherited_unanswered = {
            instance_id: sent[instance_id]
            for instance_id in unanswered
            if instance_id in sent
        }

    def _is_orderable(self, instance_id, now):
        """Return whether this controller may give an order for an instance now."""
        if instance_id in self._orders:
            return False
        return now >= self._order_not_before.get(instance_id, 0.0)

    def set_services(self, services):
        """Replace the pools by those of a new configuration.

        Parameters
        ----------
        services : dict of str to cranberryport.platform.configuration.Service
            Pools by name.
        """
        self._services = services

    def add_wave(self, wave, done):
        """Add a wave; one that was added before is ignored.

        Parameters
        ----------
        wave : instances.Wave
            The wave.
        done : collection of str
            Instances that need no further order for this wave, as stored by a previous
            controller.
        """
        if wave.number in self._waves:
            return
        wave.done_instances = set(done)
        self._waves[wave.number] = wave
        _logger.info(
            "wave added",
            extra={
                "wave": wave.number,
                "instances": len(wave.instances),
                "maximum": wave.max_down,
                "done": len(wave.done_instances),
            },
        )

    def _run_cycle(self):
        if self._is_stopped:
            return
        self._timers.after(CYCLE_INTERVAL_S, self._run_cycle)
        now = time.monotonic()
        is_busy = bool(self._orders) or any(
            not self._is_reported_complete(wave) for wave in self._waves.values()
        )
        is_busy = is_busy or any(
            executor.runs and executor.is_overdue(now)
            for executor in self._scheduler.executors.values()
        )
        interval_s = BUSY_LIST_INTERVAL_S if is_busy else IDLE_LIST_INTERVAL_S
        is_due = self._list_sent_at is None or now - self._list_sent_at >= interval_s
        if is_due and not self._is_list_pending:
            self._is_list_pending = True
            list_sent_at = now
            self._client.list_instances(
                lambda listed: self._on_instances_listed(listed, list_sent_at)
            )
        self._decide(now)

    def _on_instances_listed(self, listed, list_sent_at):
        self._is_list_pending = False
        if self._is_stopped:
            return
        if listed is None:
            if self._list_sent_at is not None:
                _logger.warning("listing instances failed")
            return
        self._instances = listed
        self._list_sent_at = list_sent_at
        self._forget_begun_maintenance()
        self._close_finished_orders(list_sent_at)
        self._retire_executors_without_instance(list_sent_at)
        if self._has_read_executors():
            present = {i.executor for i in listed.values() if i.executor}
            self._scheduler.remove_restored_runs(
                present, pools_with_down_instances=self._pools_with_down_instances()
            )

    def _retire_executors_without_instance(self, list_sent_at):
        """Retire executors without an answer that no running instance has any more.

        Their tasks can start elsewhere without waiting for the leases to expire.
        """
        present = {
            instance.executor: instance.id
            for instance in self._instances.values()
            if instance.state == instances.UP and instance.executor
        }
        for executor in list(self._scheduler.executors.values()):
            if executor.id in present:
                continue
            # The executor of an instance that has just arrived may be known before the
            # list of instances shows it as up.
            is_settled = list_sent_at - executor.found_at > ARRIVAL_LIST_DELAY_S
            if executor.id not in self._seen_executors and not is_settled:
                continue
            has_runs = executor.runs or executor.lapsed_runs
            if not (has_runs and executor.is_overdue(list_sent_at)):
                continue
            reason = "no running instance has it"
            if self._may_start_again(executor):
                self._scheduler.on_instance_down(executor, reason, at=list_sent_at)
                continue
            has_order = self._seen_executors.get(executor.id) in self._orders
            self._scheduler.retire_executor(executor, reason, has_crashed=not has_order)
        current = self._scheduler.executors.keys()
        self._seen_executors = {
            executor_id: instance_id
            for executor_id, instance_id in (self._seen_executors | present).items()
            if executor_id in current
        }

    def _may_start_again(self, executor):
        """Return whether an executor that no running instance has may come back.

        An instance that is down may start its executor again under the same id. One
        that has another executor, or is not listed any more, does not.
        """
        instance_id = self._seen_executors.get(executor.id)
        if instance_id is not None:
            instance = self._instances.get(instance_id)
            return instance is not None and instance.state == instances.DOWN
        return executor.service in self._pools_with_down_instances()

    def _pools_with_down_instances(self):
        """Return the pools of the instances that are down.

        Their list does not tell which executors they may start again.
        """
        return {
            instance.pool
            for instance in self._instances.values()
            if instance.state == instances.DOWN
        }

    def _forget_begun_maintenance(self):
        """Forget orders of earlier controllers for which maintenance has begun.

        The list shows it from then on, and a repeated order has no further effect.
        """
        for instance_id in list(self._inherited_maintenance):
            instance = self._instances.get(instance_id)
            if instance is None or instance.state == instances.MAINTENANCE:
                del self._inherited_maintenance[instance_id]

    def _close_finished_orders(self, list_sent_at):
        now = time.monotonic()
        for instance_id, order in list(self._orders.items()):
            instance = self._instances.get(instance_id)
            is_finished = now - order.sent_at > ORDER_LIFETIME_S
            if instance is not None and order.is_accepted:
                self._retire_previous_executor(instance, order)
                # An older list may show an executor that the order has ended since.
                is_list_newer = list_sent_at > order.accepted_at
                is_finished = is_finished or (
                    is_list_newer
                    and self._is_carried_out(instance, order, list_sent_at)
                )
            if instance is None or is_finished:
                del self._orders[instance_id]

    def _retire_previous_executor(self, instance, order):
        """Retire the executor that an order has ended, once the list shows this."""
        if (
            instance.state == instances.UP
            and instance.executor == order.previous_executor
        ):
            return
        executor = self._scheduler.executors.get(order.previous_executor)
        if executor is not None:
            self._scheduler.retire_executor(
                executor, "instance moved or in maintenance"
            )

    def _is_carried_out(self, instance, order, list_sent_at):
        if instance.state != instances.UP:
            return False
        if order.wave is None and instance.pool != order.target_pool:
            return False
        if instance.executor != order.previous_executor:
            return True
        # An order that was carried out earlier is accepted and has no effect.
        return list_sent_at - order.accepted_at > NO_EFFECT_DELAY_S

    def _decide(self, now):
        # While the store is slow, the list of instances is read seconds before that of
        # the executors. An instance whose executor has not been read would look empty
        # and could be moved while it runs tasks.
        has_read_lists = self._list_sent_at is not None and self._has_read_executors()
        if not has_read_lists or not self._is_sole_controller():
            return
        reserved = set()
        demand_ratios = self._demand_ratios(now)
        for number in sorted(self._waves):
            wave = self._waves[number]
            reserved |= self._decide_maintenance(wave, demand_ratios, now)
        self._decide_moves(reserved, now)
        reserved |= self._executors_with_open_orders()
        for executor in self._scheduler.executors.values():
            executor.is_being_vacated = executor.id in reserved
        evacuation.evacuate_draining(self._scheduler, now)
        self._on_decided()

    def _executors_with_open_orders(self):
        """Return the executors that an order will end which is not accepted yet.

        After a crash an instance has another executor than when the order was decided.
        """
        found = set()
        for instance_id, order in self._orders.items():
            instance = self._instances.get(instance_id)
            if instance is not None and instance.executor and not order.is_accepted:
                found.add(instance.executor)
        return found

    # Maintenance

    def _is_reported_complete(self, wave):
        return self._reported_completions.get(wave.number) is True

    def _decide_maintenance(self, wave, demand_ratios, now):
        """Order the maintenance that a wave allows now.

        Returns
        -------
        set of str
            Executors that must not get new runs, because their instances are about to
            go down.
        """
        reserved = set()
        if self._is_reported_complete(wave):
            return reserved
        if (
            not maintenance.pending_instances(wave, self._instances)
            and not wave.previous_executors
        ):
            self._report_wave_status(wave, is_completed=True)
            return reserved
        self._report_wave_status(wave, is_completed=False)
        for instance_id, previous_executor in list(wave.previous_executors.items()):
            instance = self._instances.get(instance_id)
            order = self._orders.get(instance_id)
            is_over = instance is None or (
                order is None and instance.state == instances.UP
            )
            if is_over:
                del wave.previous_executors[instance_id]
                # An order that was not accepted in time is given again.
                if instance is None or instance_id in wave.accepted_instances:
                    wave.done_instances.add(instance_id)
                    self._save_wave(wave)
            elif order is not None and not order.is_accepted and previous_executor:
                reserved.add(previous_executor)
        chosen = maintenance.choose_instances(
            wave,
            self._instances,
            self._scheduler.executors,
            demand_ratios=demand_ratios,
            maintenance_s=self._settings.upkeep_s,
            now=now,
            is_fleet_short=self._is_fleet_short,
            possibly_ordered=self._inherited_maintenance_orders(now),
        )
        for instance_id in chosen:
            instance = self._instances[instance_id]
            if not self._is_orderable(instance_id, now):
                continue
            if self._scheduler.has_restored_runs(instance.executor):
                # The entry of this executor has not been read or cannot be read.
                continue
            executor = self._scheduler.executors.get(instance.executor)
            if executor is not None:
                reserved.add(instance.executor)
                executor.is_being_vacated = True
                if executor.runs and now < self._evacuation_not_before:
                    continue
            if executor is None or evacuation.evacuate(self._scheduler, executor, now):
                self._order_maintenance(wave, instance, now)
        return reserved

    def _order_maintenance(self, wave, instance, now):
        _logger.info(
            "maintenance ordered",
            extra={"instance_id": instance.id, "wave": wave.number},
        )
        wave.previous_executors[instance.id] = instance.executor
        order = _Order(
            target_pool=None,
            wave=wave,
            previous_executor=instance.executor,
            sent_at=now,
        )
        self._orders[instance.id] = order
        self._store_and_send(instance.id, order)

    def _store_and_send(self, instance_id, order):
        """Send an order once its time is stored for the next controller."""
        now_unix_s = time.time()
        offset_s = ORDER_LIFETIME_S if self._has_clock_stepped() else 0.0
        self._order_times[instance_id] = now_unix_s + offset_s
        self._order_times = {
            key: sent_at
            for key, sent_at in self._order_times.items()
            if now_unix_s - sent_at < ORDER_LIFETIME_S
        }
        self._save_order_times(lambda: self._send_order(instance_id, order))

    def _save_order_times(self, callback):
        """Store the last orders; without a callback they may wait for an append."""
        unanswered = {
            instance_id: sent_at
            for instance_id, sent_at in self._order_times.items()
            if self._inherited_unanswered.get(instance_id) == sent_at
            or (
                instance_id in self._orders
                and not self._orders[instance_id].is_accepted
            )
        }
        possibly_ordered = self._inherited_maintenance_orders(time.monotonic())
        possibly_ordered |= {
            instance_id
            for instance_id, order in self._orders.items()
            if order.wave is not None and not order.is_accepted
        }
        maintenance = {
            instance_id: sent_at
            for instance_id, sent_at in self._order_times.items()
            if instance_id in possibly_ordered
        }
        self._save_orders(self._order_times, unanswered, maintenance, callback)

    def _inherited_maintenance_orders(self, now):
        """Return the instances whose maintenance an earlier controller may yet start.

        An own order for the instance ends that only once it is accepted.
        """
        return {
            instance_id
            for instance_id, ends_at in self._inherited_maintenance.items()
            if now < ends_at
        }

    def _retry_order(self, instance_id, order):
        if self._is_stopped or self._orders.get(instance_id) is not order:
            return
        if self._is_sole_controller():
            # Stores the time of this attempt, from which a later controller counts.
            self._store_and_send(instance_id, order)
        else:
            self._retry_order_later(instance_id, order)

    def _retry_order_later(self, instance_id, order):
        self._timers.after(
            ORDER_RETRY_DELAY_S, lambda: self._retry_order(instance_id, order)
        )

    def _send_order(self, instance_id, order):
        if self._is_stopped or self._orders.get(instance_id) is not order:
            return
        if not self._is_sole_controller():
            self._retry_order_later(instance_id, order)
            return
        if not order.was_sent and self._has_runs(instance_id):
            # Another executor has started after a crash, and tasks on it.
            self._drop_order(instance_id, order)
            return
        order.was_sent = True
        order.sent_at = time.monotonic()

        def finish(result):
            self._on_order_result(instance_id, order, result)

        if order.wave is not None:
            self._client.start_maintenance(
                instance_id,
                order.wave.number,
                epoch=self._epoch,
                may_send=self._is_sole_controller,
                callback=finish,
            )
        else:
            self._client.move(
                instance_id,
                order.target_pool,
                epoch=self._epoch,
                may_send=self._is_sole_controller,
                callback=finish,
            )

    def _has_runs(self, instance_id):
        instance = self._instances.get(instance_id)
        if instance is None:
            return False
        executor = self._scheduler.executors.get(instance.executor)
        return executor is not None and bool(executor.runs)

    def _drop_order(self, instance_id, order):
        """Forget an order that has no effect; it may be decided again."""
        self._orders.pop(instance_id, None)
        if order.wave is not None:
            order.wave.previous_executors.pop(instance_id, None)

    def _on_order_result(self, instance_id, order, result):
        if self._is_stopped:
            return
        if result.is_accepted:
            order.accepted_at = time.monotonic()
            if order.wave is not None:
                order.wave.accepted_instances.add(instance_id)
            # From now on the platform refuses those of earlier controllers.
            self._inherited_maintenance.pop(instance_id, None)
            self._save_order_times(None)
            return
        _logger.info(
            "order not accepted",
            extra={"instance_id": instance_id, "reason": result.reason or "no answer"},
        )
        if result.reason == "fenced":
            self._on_superseded()
        elif result.reason in ("", "limited"):
            self._retry_order_later(instance_id, order)
        else:
            self._drop_order(instance_id, order)
            if order.wave is not None:
                if result.reason in ("wave", "invalid"):
                    order.wave.done_instances.add(instance_id)
                    self._save_wave(order.wave)
            elif result.reason == "invalid":
                instance = self._instances.get(instance_id)
                kind = instance.kind if instance else ""
                self._refused_moves.add((kind, order.target_pool))

    def _report_wave_status(self, wave, *, is_completed):
        if self._reported_completions.get(wave.number) == is_completed:
            return
        self._reported_completions[wave.number] = is_completed
        record = machines.encode_wave_status(wave.number, is_completed=is_completed)

        def finish(result):
            if isinstance(result, store.Appended) or self._is_stopped:
                return
            if self._reported_completions.get(wave.number) == is_completed:
                self._timers.after(STATUS_RETRY_DELAY_S, send)

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
            "wave status changed",
            extra={"wave": wave.number, "is_completed": is_completed},
        )

    # Moves

    def available_cores(self, pool, demand):
        """Return the cores that a pool has or can get from other pools.

        Parameters
        ----------
        pool : str
            Name of the pool.
        demand : dict of str to float
            Processors that each pool needs, in thousandths of a core.

        Returns
        -------
        float
            Cores; 0 before the first list of instances.
        """
        own, others = 0, {}
        for instance in self._instances.values():
            if instance.state == instances.DOWN:
                continue
            if instance.pool == pool:
                own += instance.processors
            else:
                other = others.get(instance.pool, 0)
                others[instance.pool] = other + instance.processors
        spare = sum(max(0, size - demand.get(p, 0)) for p, size in others.items())
        return (own + spare) / 1000

    def _demand_ratios(self, now):
        """Return the demand of each pool divided by its processors."""
        sizes = {}
        for instance in self._instances.values():
            if instance.state == instances.UP:
                sizes[instance.pool] = sizes.get(instance.pool, 0) + instance.processors
        return {
            pool: demand / max(1, sizes.get(pool, 0))
            for pool, demand in self._load_meter.demand(now, time.time()).items()
        }

    def _decide_moves(self, reserved, now):
        if not any(service.is_standby for service in self._services.values()):
            return
        now_unix_s = time.time()
        demand = self._load_meter.demand(now, now_unix_s)
        memory_demand = self._load_meter.memory_demand(now, now_unix_s)
        capacities = self._instance_capacities()
        kinds = {instance.kind for instance in self._instances.values()}
        # Standby pools without instances are included, since instances return to them.
        pools = {
            service.name: rebalancing.PoolLoad(
                name=service.name,
                is_standby=service.is_standby,
                processors=capacities[service.name][0],
                demand=demand.get(service.name, 0),
                size=0,
                idle=[],
                memory=capacities[service.name][1],
                memory_demand=memory_demand.get(service.name, 0),
                unplaced_instances=packing.count_needed_instances(
                    [
                        (step, count)
                        for step, count in self._scheduler.unplaceable_tasks(
                            service.name, now
                        )
                        if not step.label or step.label in kinds
                    ],
                    capacities[service.name],
                ),
            )
            for service in self._services.values()
        }
        in_wave = {
            instance_id
            for wave in self._waves.values()
            for instance_id in maintenance.pending_instances(wave, self._instances)
        }
        for instance in self._instances.values():
            pool = instance.pool
            order = self._orders.get(instance.id)
            if order is not None and order.target_pool:
                pool = order.target_pool
            service = self._services.get(pool)
            if service is None:
                continue
            pool_load = pools[pool]
            is_usable = instance.state in (instances.UP, instances.MOVING)
            is_usable = is_usable and (order is None or order.wave is None)
            if not is_usable or instance.executor in reserved:
                # An instance that is in maintenance or about to leave adds nothing.
                continue
            pool_load.size += 1
            executor = self._scheduler.executors.get(instance.executor)
            pool_load.arriving += (
                instance.state == instances.MOVING
                or pool != instance.pool
                or (
                    not service.is_standby
                    and self._is_settling(instance, executor, now)
                )
            )
            is_movable = service.is_standby or (
                executor is not None and executor.has_store_entry and executor.is_empty
            )
            is_movable = is_movable and instance.state == instances.UP
            is_movable = is_movable and self._is_orderable(instance.id, now)
            is_movable = is_movable and instance.executor not in reserved
            if is_movable and not (service.is_standby and instance.id in in_wave):
                pool_load.idle.append(instance.id)
        self._log_pools(pools, now)
        moves = {}
        for instance_id, pool in self._rebalancer.choose_moves(
            list(pools.values()), now
        ):
            instance = self._instances[instance_id]
            if (instance.kind, pool) in self._refused_moves:
                continue
            moved = moves.setdefault(f"{instance.pool} to {pool}", [])
            moved.append(instance_id)
            if instance.executor:
                reserved.add(instance.executor)
            order = _Order(
                target_pool=pool,
                wave=None,
                previous_executor=instance.executor,
                sent_at=now,
            )
            self._orders[instance_id] = order
            self._store_and_send(instance_id, order)
        self._is_fleet_short = any(
            pool.needed_instances > pool.size
            for pool in pools.values()
            if not pool.is_standby
        )
        if moves:
            _logger.info("moves ordered", extra={"moves": moves})
        for order in self._orders.values():
            if order.previous_executor:
                reserved.add(order.previous_executor)

    def _instance_capacities(self):
        """Return the largest capacity of an instance of each pool.

        A pool without instances gets that of all pools, since instances move to it.
        """
        largest = [0, 0, 0]
        by_pool = {}
        for instance in self._instances.values():
            for capacity in (largest, by_pool.setdefault(instance.pool, [0, 0, 0])):
                capacity[:] = map(max, capacity, instance.capacity)
        return {name: by_pool.get(name, largest) for name in self._services}

    def _is_settling(self, instance, executor, now):
        """Return whether the new executor of an instance takes no runs yet."""
        if executor is not None and (
            executor.has_accepted_epoch or executor.is_silent(now)
        ):
            self._unsettled_since.pop(instance.id, None)
            return False
        name, since = self._unsettled_since.get(instance.id, ("", now))
        if name != instance.executor:
            since = now
        self._unsettled_since[instance.id] = (instance.executor, since)
        return now - since < SETTLING_LIMIT_S

    def _log_pools(self, pools, now):
        if now - self._pools_logged_at < POOLS_LOG_INTERVAL_S:
            return
        self._pools_logged_at = now
        sizes = {
            pool.name: [pool.size, len(pool.idle), pool.needed_instances]
            for pool in pools.values()
        }
        _logger.info(
            "pool sizes",
            extra={
                "size_idle_needed": sizes,
                "list_age_s": round(now - self._list_sent_at, 3),
            },
        )
