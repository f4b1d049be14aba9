"""Stand-in of the platform's interface that lists, moves and maintains instances.

Every instance has an executor, which the stand-in starts and ends. Its entry in the
store tells the controller where it listens.
"""

import asyncio
import collections
import itertools
import json
import random
import time

from standins.platform import executors, serving

# Loopback address of an instance; each instance has its own.
HOST_PATTERN = "127.1.{}.{}"
# Time after which an executor that its task has crashed is replaced.
CRASH_RECOVERY_S = 3.0
# Interval at which an executor writes its entry to the store (HeartbeatMs of the
# deployments), its greatest deviation, and the number of silent intervals after which
# an entry is removed.
ENTRY_INTERVAL_S = 1.5
ENTRY_JITTER_S = 0.1
SILENT_INTERVAL_LIMIT = 3
# Least and greatest time after which a late call is carried out.
LATE_CALL_DELAY_RANGE_S = (2.0, 11.0)
# Number of addresses used in each network with a prefix of 24 bits.
HOSTS_PER_NETWORK = 250


class Instance:
    """An instance and its executor.

    Attributes
    ----------
    state : {'up', 'moving', 'upkeep', 'down'}
        Whether the instance is up, being moved to another pool, in upkeep, or down
        until its executor is back under its id.
    is_cut : bool
        Whether requests to its executor and responses are lost; runs and leases go on.
    late_call_share : float
        Share of the requests to its executor that get no response and are carried out
        late.
    are_late_calls_kept : bool
        Whether a restarted executor carries out the late requests that arrived before.
    executor : standins.platform.executors.Executor or None
        Its running executor; None if it is not up or its executor was killed.
    highest_fencing_token : int
        Highest token of an accepted order; orders with a lower one are refused.
    entry_due_at : float
        Monotonic time at which the executor writes its next entry to the store.
    server : standins.platform.serving.Server
        Server for requests to the executor.
    waiting_requests : collections.deque
        Requests that have arrived while the instance was down, in order.
    waves : set of int
        Numbers of the waves whose upkeep it has begun.
    upkeep_wave : int or None
        Wave of its latest upkeep.
    """

    def __init__(self, *, id, pool, host, rack):
        self.id = id
        self.pool = pool
        self.host = host
        self.rack = rack
        self.state = "up"
        self.is_cut = False
        self.late_call_share = 0.0
        self.are_late_calls_kept = False
        self.executor = None
        self.highest_fencing_token = 0
        self.entry_due_at = 0.0
        self.server = None
        self.waiting_requests = collections.deque()
        self.waves = set()
        self.upkeep_wave = None


class Instances:
    """All instances, and the application of the interface to them.

    Parameters
    ----------
    store : standins.platform.store.Store
        Receives the entries of executors and the waves.
    checker : standins.platform.invariants.InvariantChecker
        Told of starts and ends of runs, and of violations by the controller.
    rig : rig_settings.RigSettings
        Settings that the entry instances are told as well.
    pools : dict of str to int
        Number of instances by name of the pool.
    processors, memory : int
        Capacity of each instance, in thousandths of a core and mebibytes.
    unguarded_pools : collection of str
        Pools whose executors start what exceeds their capacity.
    rack_size : int
        Number of instances in a rack.
    move_s : float
        Time in seconds that an instance is down for a move.
    seed : int, default=0
        Seed of the random numbers.

    Attributes
    ----------
    by_id : dict of str to Instance
        All instances.
    waves : dict of int to dict
        Waves of upkeep, as written to the store, by number.
    """

    def __init__(
        self,
        *,
        store,
        checker,
        rig,
        pools,
        processors,
        memory,
        unguarded_pools=(),
        rack_size=4,
        move_s=1.5,
        seed=0,
    ):
        self._generator = random.Random(seed)
        self._store = store
        self._checker = checker
        self._processors = processors
        self._memory = memory
        self._unguarded_pools = unguarded_pools
        self._move_s = move_s
        self._rig = rig
        self._executor_numbers = itertools.count(1)
        self._delayed_calls = set()
        # Times of the newest entries in the store by id of the executor.
        self._entries_written_at = {}
        self.waves = {}
        self.by_id = {}
        numbers = itertools.count(1)
        for pool, count in pools.items():
            for _ in range(count):
                number = next(numbers)
                network, host_number = divmod(number, HOSTS_PER_NETWORK)
                host = HOST_PATTERN.format(network, host_number + 1)
                rack = f"rack-{number // rack_size}"
                instance = Instance(id=f"m{number}", pool=pool, host=host, rack=rack)
                self.by_id[instance.id] = instance

    async def start(self):
        """Start the servers and executors of all instances."""
        for instance in self.by_id.values():
            await self._listen(instance)
            self.start_executor(instance)

    async def _listen(self, instance):
        async def handle(request):
            return await self.handle_executor_call(instance, request)

        instance.server = serving.Server(application=handle)
        await instance.server.start(instance.host)

    async def handle_executor_call(self, instance, request):
        """Answer a request to an executor, unless the network loses it or the response.

        Requests that arrive while the executor restarts are carried out by its new
        life, in their order.
        """
        response = None
        if not instance.is_cut and self._generator.random() < instance.late_call_share:
            await self._carry_out_late(instance, request)
        elif not instance.is_cut:
            await self._wait_while_down(instance, request)
            if instance.executor is None:
                raise ConnectionResetError
            executor = instance.executor
            response = await executor.handle(request)
            if instance.executor is not executor:
                response = None
        if instance.is_cut or response is None:
            while instance.is_cut or instance.state == "down":
                await asyncio.sleep(executors.CHECK_INTERVAL_S)
            raise ConnectionResetError
        return response

    async def _wait_while_down(self, instance, request):
        waiting = instance.waiting_requests
        if instance.state != "down" and not waiting:
            return
        waiting.append(request)
        try:
            while instance.state == "down" or waiting[0] is not request:
                await asyncio.sleep(executors.CHECK_INTERVAL_S)
        finally:
            waiting.remove(request)

    async def _carry_out_late(self, instance, request):
        arrived_in = instance.executor
        is_kept = instance.are_late_calls_kept
        await asyncio.sleep(self._generator.uniform(*LATE_CALL_DELAY_RANGE_S))
        while is_kept and instance.state == "down":
            await asyncio.sleep(executors.CHECK_INTERVAL_S)
        executor = instance.executor
        if executor is None or executor.is_frozen:
            return
        if is_kept or executor is arrived_in:
            await executor.handle(request)

    def start_executor(self, instance, *, id=None):
        """Start a new executor on an instance.

        It writes its entry to the store at once, or within an interval of the entries
        if it has the id of a former life, whose entry the store shows until then.
        """
        instance.state = "up"
        instance.executor = executors.Executor(
            id=id or f"e{next(self._executor_numbers)}-{instance.id}",
            processors=self._processors,
            memory=self._memory,
            lease_limit_s=self._rig.lease_limit_ms / 1000,
            checker=self._checker,
            is_guarding=instance.pool not in self._unguarded_pools,
            first_clock_ms=self._generator.randrange(executors.FIRST_CLOCK_LIMIT_MS),
        )
        if id is None:
            self._write_entry(instance)
        else:
            delay_s = self._generator.uniform(0.0, ENTRY_INTERVAL_S)
            instance.entry_due_at = time.monotonic() + delay_s

    def restart_executor(self, instance, *, dark_s=0.0, is_silent=False):
        """End the executor of an instance and start one with the same id.

        Parameters
        ----------
        instance : Instance
            The instance; nothing happens if it has no executor.
        dark_s : float, default=0.0
            Time in seconds until the new executor carries out the requests that wait
            for it.
        is_silent : bool, default=False
            Whether connections stay open, so that callers do not notice the end.
        """
        if instance.executor is None:
            return
        executor_id = instance.executor.id
        self.end_executor(instance, is_listed=True, is_silent=is_silent)
        instance.state = "down"
        if dark_s:
            self._call_later(
                dark_s, lambda: self.start_executor(instance, id=executor_id)
            )
        else:
            self.start_executor(instance, id=executor_id)

    def set_processors(self, instance, processors):
        """Change the capacity of an instance's executor while it runs tasks.

        Its next entry in the store shows the change.

        Parameters
        ----------
        instance : Instance
            The instance.
        processors : int or None
            Thousandths of a core; None for the capacity of all instances.
        """
        if instance.executor is not None:
            instance.executor.set_processors(processors or self._processors)

    def set_cut(self, instance, is_cut):
        """Cut the executor of an instance off, or connect it again."""
        if instance.is_cut and not is_cut and instance.executor is not None:
            instance.executor.on_connected()
        instance.is_cut = is_cut

    def write_due_entries(self):
        """Write the entries that are due, and remove those of silent executors."""
        now = time.monotonic()
        for instance in self.by_id.values():
            if instance.executor is not None and now >= instance.entry_due_at:
                self._write_entry(instance)
        for executor_id, written_at in list(self._entries_written_at.items()):
            if now - written_at > SILENT_INTERVAL_LIMIT * ENTRY_INTERVAL_S:
                self._remove_entry(executor_id)

    def _remove_entry(self, executor_id):
        if self._entries_written_at.pop(executor_id, None) is not None:
            self._store.put("keyed.servers", executor_id, b"")

    def _write_entry(self, instance):
        """Write the entry of an executor, unless it does not reach the store."""
        now = time.monotonic()
        jitter_s = self._generator.uniform(-ENTRY_JITTER_S, ENTRY_JITTER_S)
        instance.entry_due_at = now + ENTRY_INTERVAL_S + jitter_s
        if instance.is_cut:
            return
        executor = instance.executor
        executor.entry_count += 1
        entry = {
            "Service": instance.pool,
            "Address": f"{instance.host}:{instance.server.port}",
            "Zone": "a",
            "State": "ready",
            "Capacity": {**self._capacity(), "Cpu": executor.processors},
            "Labels": ["a", instance.rack],
            "born": executor.started_at_ms,
            "Sequence": executor.entry_count,
        }
        if executor.leaves_at is not None:
            left_s = max(0.0, executor.leaves_at - now)
            entry |= {"State": "draining", "RemainingMs": int(left_s * 1000)}
        value = json.dumps(entry).encode()
        self._store.put("keyed.servers", executor.id, value)
        self._entries_written_at[executor.id] = now

    def drain(self, instance, *, serve_s):
        """Make the executor of an instance leave, and start another one afterwards.

        One that is cut off does not leave, as the store would not show it.

        Parameters
        ----------
        instance : Instance
            The instance.
        serve_s : float
            Time in seconds for which the executor serves after its announcement.
        """
        leaving = instance.executor
        if instance.is_cut or leaving is None or leaving.draining_since is not None:
            return
        leaving.draining_since = time.monotonic()
        leaving.leaves_at = leaving.draining_since + serve_s
        self._write_entry(instance)

        def end():
            if instance.executor is leaving:
                self.end_executor(instance)
                self.revive(instance)

        self._call_later(serve_s, end)

    def _capacity(self):
        return {"Cpu": self._processors, "MemMb": self._memory, "Gpu": 0}

    def end_executor(self, instance, *, is_listed=False, is_silent=False):
        """End the executor of an instance.

        Parameters
        ----------
        instance : Instance
            The instance.
        is_listed : bool, default=False
            Whether the entry of the executor stays in the store until it has been
            silent for too long, as it does if the executor is cut off.
        is_silent : bool, default=False
            Whether its connections stay open.
        """
        executor, instance.executor = instance.executor, None
        if executor is None:
            return
        executor.stop()
        if not is_silent:
            instance.server.drop_connections()
        if not is_listed and not instance.is_cut:
            self._remove_entry(executor.id)

    async def advance_executors(self):
        """Write due entries and end due runs at regular intervals, without end."""
        while True:
            await asyncio.sleep(executors.CHECK_INTERVAL_S)
            self.write_due_entries()
            for instance in self.by_id.values():
                if instance.executor is None or instance.executor.is_frozen:
                    continue
                crashing_run = instance.executor.find_crashing_run()
                if crashing_run is None:
                    instance.executor.end_due_runs()
                else:
                    self._checker.on_executor_crashed(crashing_run.task)
                    self.end_executor(instance, is_listed=True)
                    self._call_later(
                        CRASH_RECOVERY_S, lambda i=instance: self.revive(i)
                    )

    def revive(self, instance):
        """Start a new executor on an instance that is up and has none."""
        if instance.executor is None and instance.state == "up":
            self.start_executor(instance)

    def _call_later(self, delay_s, function):
        async def run():
            await asyncio.sleep(delay_s)
            function()

        task = asyncio.ensure_future(run())
        self._delayed_calls.add(task)
        task.add_done_callback(self._delayed_calls.discard)

    async def handle(self, request):
        """Answer a request."""
        if request.path == "/api/machines":
            rows = [self._describe(instance) for instance in self.by_id.values()]
            return 200, {"Machines": rows}
        fields = request.json_object()
        instance = self.by_id.get(fields.get("Machine"))
        if instance is None:
            return 400, {}
        token = int(request.headers.get("fencing-token", 0))
        is_fenced = token < instance.highest_fencing_token
        if is_fenced and self._rig.are_orders_fenced:
            return 409, {"Reason": "fence"}
        instance.highest_fencing_token = max(token, instance.highest_fencing_token)
        if request.path == "/api/machine-move":
            return self._move_to_pool(instance, fields["Pool"])
        if request.path == "/api/machine-upkeep":
            return self._start_upkeep(instance, fields["Wave"])
        return 404, {}

    def _describe(self, instance):
        return {
            "Machine": instance.id,
            "Pool": instance.pool,
            "State": instance.state,
            "Zone": "a",
            "Labels": ["a", instance.rack],
            "Capacity": self._capacity(),
            "Id": instance.executor.id if instance.executor else "",
        }

    def _move_to_pool(self, instance, pool):
        if instance.pool == pool:
            return 200, {}
        if instance.state != "up":
            return 409, {"Reason": "busy"}
        self.end_executor(instance)
        instance.pool = pool
        instance.state = "moving"
        self._call_later(self._move_s, lambda: self.start_executor(instance))
        return 200, {}

    def _start_upkeep(self, instance, number):
        wave = self.waves.get(number)
        if wave is None or instance.id not in wave["Machines"]:
            return 409, {"Reason": "wave"}
        if number in instance.waves:
            return 200, {}
        if instance.state != "up":
            return 409, {"Reason": "busy"}
        in_upkeep = sum(
            other.state == "upkeep" and other.upkeep_wave == number
            for other in self.by_id.values()
        )
        if in_upkeep >= wave["Maximum"]:
            self._checker.report_violation(
                "more in upkeep than the wave allows", instance.id
            )
        instance.waves.add(number)
        instance.upkeep_wave = number
        self.end_executor(instance)
        instance.state = "upkeep"
        self._call_later(self._rig.upkeep_s, lambda: self.start_executor(instance))
        return 200, {}

    def add_wave(self, number, names, *, duration_s, maximum):
        """Request upkeep of instances, as the platform's operator does.

        Parameters
        ----------
        number : int
            Number of the wave.
        names : list of str
            Ids of the instances.
        duration_s : float
            Time in seconds in which all upkeep is to be done.
        maximum : int
            Number of instances that may be in upkeep at the same time.
        """
        self.waves[number] = {
            "Wave": number,
            "Machines": names,
            "DurationS": duration_s,
            "Maximum": maximum,
            "at": time.time(),
        }
        value = json.dumps(self.waves[number]).encode()
        self._store.put("keyed.op", f"wave/{number}", value)
