"""Stand-in of the platform's interface for instances, with their executors."""

import asyncio
import itertools
import json
import time

from standins.platform import executors, serving

# Each executor listens at a loopback address of its own.
HOST = "127.1.{}.{}"
# HoldMaxMs of the deployments, in seconds.
LEASE_LIMIT_S = 10.0
# Hosts of one 24-bit network that are used.
HOSTS_PER_NETWORK = 250


class Instance:
    """An instance with its executor."""

    def __init__(self, *, id, pool, host, rack):
        self.id = id
        self.pool = pool
        self.host = host
        self.rack = rack
        self.state = "up"
        self.executor = None
        self.fence = 0
        self.server = None
        self.waves = set()
        self.down_for = None


class Instances:
    """All instances, the interface for them and their entries in the store.

    Parameters
    ----------
    store : standins.platform.store.Store
        Takes the entries.
    checks : standins.platform.invariants.Checker
        Notes starts and ends.
    pools : dict of str to int
        Instances by pool.
    processors, memory : int
        Of each instance.
    rack_size : int
        Instances of a rack.
    move_s, upkeep_s : float
        Seconds.
    """

    def __init__(
        self,
        *,
        store,
        checks,
        pools,
        processors,
        memory,
        rack_size=4,
        move_s=1.5,
        upkeep_s=2.0,
    ):
        self._store = store
        self._checks = checks
        self._processors = processors
        self._memory = memory
        self._move_s = move_s
        self._upkeep_s = upkeep_s
        self._starts = itertools.count(1)
        self._tasks = set()
        self.waves = {}
        self.all = {}
        numbers = itertools.count(1)
        for pool, count in pools.items():
            for _ in range(count):
                number = next(numbers)
                network, host_number = divmod(number, HOSTS_PER_NETWORK)
                host = HOST.format(network, host_number + 1)
                rack = f"rack-{number // rack_size}"
                instance = Instance(id=f"m{number}", pool=pool, host=host, rack=rack)
                self.all[instance.id] = instance

    async def start(self):
        """Start all executors."""
        for instance in self.all.values():
            await self._listen(instance)
            self.start_executor(instance)

    async def _listen(self, instance):
        async def handle(request):
            if instance.executor is None:
                raise ConnectionResetError
            return await instance.executor.handle(request)

        instance.server = serving.Server(application=handle)
        await instance.server.start(instance.host)

    def start_executor(self, instance, *, id=None):
        """Start a new executor on an instance and list it."""
        instance.state = "up"
        instance.executor = executors.Executor(
            id=id or f"e{next(self._starts)}-{instance.id}",
            processors=self._processors,
            memory=self._memory,
            lease_limit_s=LEASE_LIMIT_S,
            checks=self._checks,
        )
        self.list(instance)

    def list(self, instance):
        """Write the entry of an instance's executor."""
        executor = instance.executor
        entry = {
            "Service": instance.pool,
            "Address": f"{instance.host}:{instance.server.port}",
            "Zone": "a",
            "State": "ready",
            "Capacity": self._capacity(),
            "Labels": ["a", instance.rack],
            "born": executor.born,
            "Sequence": 1,
        }
        value = json.dumps(entry).encode()
        self._store.put("keyed.servers", executor.id, value)

    def _capacity(self):
        return {"Cpu": self._processors, "MemMb": self._memory, "Gpu": 0}

    def end_executor(self, instance, *, is_listed=False):
        """End the executor of an instance; its entry may stay."""
        executor, instance.executor = instance.executor, None
        if executor is None:
            return
        executor.stop()
        instance.server.drop_connections()
        if not is_listed:
            self._store.put("keyed.servers", executor.id, b"")

    async def watch(self):
        """Let the executors act on what has passed with time, for ever."""
        while True:
            await asyncio.sleep(executors.CHECK_S)
            for instance in self.all.values():
                if instance.executor is not None and not instance.executor.is_frozen:
                    instance.executor.check()

    def _later(self, delay_s, function):
        async def run():
            await asyncio.sleep(delay_s)
            function()

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle(self, request):
        """Answer a request."""
        if request.path == "/api/machines":
            rows = [self._row(instance) for instance in self.all.values()]
            return 200, {"Machines": rows}
        fields = request.fields()
        instance = self.all.get(fields.get("Machine"))
        if instance is None:
            return 400, {}
        fence = int(request.headers.get("fencing-token", 0))
        if fence < instance.fence:
            return 409, {"Reason": "fence"}
        instance.fence = fence
        if request.path == "/api/machine-move":
            return self._move(instance, fields["Pool"])
        if request.path == "/api/machine-upkeep":
            return self._take_down(instance, fields["Wave"])
        return 404, {}

    def _row(self, instance):
        return {
            "Machine": instance.id,
            "Pool": instance.pool,
            "State": instance.state,
            "Zone": "a",
            "Labels": ["a", instance.rack],
            "Capacity": self._capacity(),
            "Id": instance.executor.id if instance.executor else "",
        }

    def _move(self, instance, pool):
        if instance.pool == pool:
            return 200, {}
        if instance.state != "up":
            return 409, {"Reason": "busy"}
        self.end_executor(instance)
        instance.pool = pool
        instance.state = "moving"
        self._later(self._move_s, lambda: self.start_executor(instance))
        return 200, {}

    def _take_down(self, instance, number):
        wave = self.waves.get(number)
        if wave is None or instance.id not in wave["Machines"]:
            return 409, {"Reason": "wave"}
        if number in instance.waves:
            return 200, {}
        if instance.state != "up":
            return 409, {"Reason": "busy"}
        down = sum(
            other.state == "upkeep" and other.down_for == number
            for other in self.all.values()
        )
        if down >= wave["Maximum"]:
            self._checks.report("more in upkeep than the wave allows", instance.id)
        instance.waves.add(number)
        instance.down_for = number
        self.end_executor(instance)
        instance.state = "upkeep"
        self._later(self._upkeep_s, lambda: self.start_executor(instance))
        return 200, {}

    def add_wave(self, number, names, *, duration_s, maximum):
        """Ask for the upkeep of instances, as the operator does."""
        self.waves[number] = {
            "Wave": number,
            "Machines": names,
            "DurationS": duration_s,
            "Maximum": maximum,
            "at": time.time(),
        }
        value = json.dumps(self.waves[number]).encode()
        self._store.put("keyed.op", f"wave/{number}", value)
