"""Runs the stand-ins of the users' platform in one process.

Prints one line of JSON with the ports once everything listens.
"""

import argparse
import asyncio
import json
import signal

from standins.platform import instances, invariants, serving, store

# A stand-in ends after this time at the latest, so it never outlives a broken test.
DEFAULT_LIFE_S = 600.0


def configuration(pools, spare, version):
    """Return a configuration with one queue for each pool.

    Parameters
    ----------
    pools : iterable of str
        Names of the pools.
    spare : str
        Pool that is off.
    version : int
        Number.
    """
    routes = [
        {
            "Name": f"queue-{pool}",
            "Host": "fleet.example",
            "PathPrefix": f"/{pool}/",
            "Service": pool,
            "Priority": 0,
            "MaxAttempts": 3,
            "StretchFactor": 1.6,
            "TargetLatencyMs": 600,
        }
        for pool in pools
        if pool != spare
    ]
    services = [{"Name": pool, "Standby": pool == spare} for pool in pools]
    return {"Version": version, "Routes": routes, "Services": services}


class Platform:
    """Store, instances and the operator's port.

    Parameters
    ----------
    options : argparse.Namespace
        Options of the command line.
    """

    def __init__(self, options):
        self._options = options
        self._pools = dict(_read_pool(text) for text in options.pool)
        self._checks = invariants.InvariantChecker()
        self._store = store.Store(partitions=options.partitions)
        self._instances = instances.Instances(
            store=self._store,
            checks=self._checks,
            pools=self._pools,
            processors=options.processors,
            memory=options.memory,
        )
        self._store_server = serving.Server(application=self._store.handle)
        self._cloud_server = serving.Server(application=self._instances.handle)
        self._operator_server = serving.Server(application=self._handle)

    async def run(self):
        """Serve until a signal or the end of life."""
        host = self._options.host
        await self._store_server.start(host)
        await self._cloud_server.start(host)
        await self._operator_server.start(host)
        await self._instances.start()
        self._configure(1)
        loop = asyncio.get_running_loop()
        over = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, over.set)
        watchers = [
            asyncio.ensure_future(self._store.watch_members()),
            asyncio.ensure_future(self._instances.watch()),
        ]
        announcement = {
            "store": f"{host}:{self._store_server.port}",
            "cloud": f"{host}:{self._cloud_server.port}",
            "operator": f"{host}:{self._operator_server.port}",
        }
        print(json.dumps(announcement), flush=True)
        try:
            await asyncio.wait_for(over.wait(), self._options.max_seconds)
        except TimeoutError:
            pass
        for watcher in watchers:
            watcher.cancel()

    def _configure(self, version):
        found = configuration(self._pools, self._options.spare, version)
        self._store.put("keyed.op", "config", json.dumps(found).encode())

    async def _handle(self, request):
        if request.path == "/findings":
            counts = dict(self._store_server.counts)
            return 200, {
                "violations": self._checks.violations,
                "starts": self._checks.starts,
                "started_jobs": self._checks.started_jobs(),
                "running": self._checks.running_tasks(),
                "store_calls": counts,
            }
        if request.path != "/control":
            return 404, {}
        fields = request.fields()
        name = fields.pop("order", None)
        order = getattr(self, f"_order_{name}", None)
        if order is None:
            valid = [key[7:] for key in dir(self) if key.startswith("_order_")]
            return 400, {"error": f"order {name!r}; valid: {', '.join(valid)}"}
        order(**fields)
        return 200, {}

    # Orders of the operator's port

    def _order_configure(self, version):
        self._configure(version)

    def _order_wave(self, number, names, duration_s, maximum):
        self._instances.add_wave(number, names, duration_s=duration_s, maximum=maximum)

    def _order_store(self, is_down=False, delay_s=0.0, answers_to_lose=0):
        self._store.is_down = is_down
        self._store.delay_s = delay_s
        self._store.answers_to_lose = answers_to_lose
        if is_down:
            self._store_server.drop_connections()

    def _order_rebalance(self):
        self._store.rebalance()

    def _order_expire_history(self, keep):
        self._store.expire_history(keep)

    def _order_kill(self, instance, is_listed=True):
        found = self._instances.all[instance]
        self._instances.end_executor(found, is_listed=is_listed)

    def _order_revive(self, instance):
        found = self._instances.all[instance]
        if found.executor is None and found.state == "up":
            self._instances.start_executor(found)

    def _order_restart(self, instance):
        found = self._instances.all[instance]
        if found.executor is not None:
            executor_id = found.executor.id
            self._instances.end_executor(found, is_listed=True)
            self._instances.start_executor(found, id=executor_id)

    def _order_freeze(self, instance, is_frozen):
        found = self._instances.all[instance].executor
        if found is not None:
            found.is_frozen = is_frozen


def _read_pool(text):
    name, _, count = text.partition("=")
    return name, int(count)


def main():
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--pool", action="append", required=True, metavar="NAME=COUNT")
    parser.add_argument("--spare", default="spare", help="pool that is off")
    parser.add_argument("--partitions", type=int, default=8)
    parser.add_argument("--processors", type=int, default=16_000)
    parser.add_argument("--memory", type=int, default=32_768)
    parser.add_argument("--max-seconds", type=float, default=DEFAULT_LIFE_S)
    asyncio.run(Platform(parser.parse_args()).run())


if __name__ == "__main__":
    main()
