"""Runs the stand-ins of the users' platform in one process.

Prints one line of JSON with the addresses of the store, of the interface to instances
and of the operator's port when all of them accept connections.
"""

import argparse
import asyncio
import json
import signal

from standins.platform import (
    instances,
    invariants,
    rig_settings,
    serving,
    store,
)

# The process exits after this time, so that no stand-in is left after a failed test.
DEFAULT_LIFETIME_S = 600.0


def configuration(pools, spare, version, *, organisations=None, public_pools=()):
    """Return a configuration of the platform, with one queue for each pool in use.

    Parameters
    ----------
    pools : iterable of str
        Names of the pools.
    spare : str
        Name of the pool on standby, which gets no queue.
    version : int
        Version of the configuration.
    organisations : list of dict or None
        Rows of the organisations; None for a deployment that requires no keys.
    public_pools : collection of str
        Pools whose queues need no key although there are organisations.
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
            **({"Public": True} if pool in public_pools else {}),
        }
        for pool in pools
        if pool != spare
    ]
    services = [{"Name": pool, "Standby": pool == spare} for pool in pools]
    result = {"Version": version, "Routes": routes, "Services": services}
    if organisations is not None:
        result["Tenants"] = organisations
    return result


class Platform:
    """The store, the instances with their executors, and the operator's port.

    Parameters
    ----------
    options : argparse.Namespace
        Options of the command line.
    """

    def __init__(self, options):
        self._options = options
        self._pools = dict(_read_pool(text) for text in options.pool)
        self._checker = invariants.InvariantChecker()
        self._version = 0
        self._organisations = options.organisations
        self._public_pools = ()
        rig = rig_settings.RigSettings.from_options(options)
        self._store = store.Store(partitions=rig.partitions)
        self._instances = instances.Instances(
            store=self._store,
            checker=self._checker,
            rig=rig,
            pools=self._pools,
            processors=options.processors,
            memory=options.memory,
            unguarded_pools=options.unguarded,
            seed=options.seed,
        )
        self._store_server = serving.Server(application=self._store.handle)
        self._store.on_going_down = self._store_server.drop_connections
        self._instances_server = serving.Server(application=self._instances.handle)
        self._operator_server = serving.Server(
            application=self._handle_operator_request
        )

    async def run(self):
        """Serve until SIGTERM, SIGINT or the time limit."""
        host = self._options.host
        await self._store_server.start(host)
        await self._instances_server.start(host)
        await self._operator_server.start(host)
        await self._instances.start()
        self._write_configuration(1)
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        periodic_tasks = [
            asyncio.ensure_future(self._store.expire_members()),
            asyncio.ensure_future(self._instances.advance_executors()),
        ]
        announcement = {
            "store": f"{host}:{self._store_server.port}",
            "cloud": f"{host}:{self._instances_server.port}",
            "operator": f"{host}:{self._operator_server.port}",
        }
        print(json.dumps(announcement), flush=True)
        try:
            await asyncio.wait_for(stop_requested.wait(), self._options.max_seconds)
        except TimeoutError:
            pass
        for task in periodic_tasks:
            task.cancel()

    def _write_configuration(self, version):
        self._version = version
        value = configuration(
            self._pools,
            self._options.spare,
            version,
            organisations=self._organisations,
            public_pools=self._public_pools,
        )
        self._checker.limits.set_organisations(self._organisations)
        self._store.put("keyed.op", "config", json.dumps(value).encode())

    async def _handle_operator_request(self, request):
        if request.path == "/findings":
            counts = dict(self._store_server.request_counts)
            return 200, {
                "violations": self._checker.violations,
                "starts": self._checker.starts,
                "started_jobs": self._checker.started_jobs(),
                "running": self._checker.running_tasks(),
                "store_calls": counts,
                "is_store_down": self._store.is_down,
                "settled_members": self._store.settled_member_count("controllers"),
            }
        if request.path != "/control":
            return 404, {}
        fields = request.json_object()
        name = fields.pop("order", None)
        order = getattr(self, f"_order_{name}", None)
        if order is None:
            valid = [key[7:] for key in dir(self) if key.startswith("_order_")]
            return 400, {"error": f"order {name!r}; valid: {', '.join(valid)}"}
        order(**fields)
        return 200, {}

    # POST /control looks up the method _order_NAME for the order NAME; the other fields
    # of the order are its arguments.

    def _order_configure(self, version=None, organisations=None, public_pools=None):
        """Write the configuration under a new version, by default the next one.

        ``organisations`` and ``public_pools``, see :func:`configuration`, stay as they
        are where they are not given.
        """
        if organisations is not None:
            self._organisations = organisations
        if public_pools is not None:
            self._public_pools = public_pools
        self._write_configuration(self._version + 1 if version is None else version)

    def _order_wave(self, number, names, duration_s, maximum):
        """Request upkeep of instances, see ``Instances.add_wave``."""
        self._instances.add_wave(number, names, duration_s=duration_s, maximum=maximum)

    def _order_store(
        self, is_down=False, delay_s=0.0, answers_to_lose=0, down_at_snapshot_of=""
    ):
        """Set the faults of the store; without arguments all of them end."""
        self._store.is_down = is_down
        self._store.down_at_snapshot_of = down_at_snapshot_of
        self._store.delay_s = delay_s
        self._store.answers_to_lose = answers_to_lose
        if is_down:
            self._store_server.drop_connections()

    def _order_rebalance(self, is_rotated=False):
        """Reassign the partitions of all groups to their members, or to the next."""
        self._store.rebalance(is_rotated=is_rotated)

    def _order_expire_history(self, keep):
        """Remove the oldest records of each partition so that ``keep`` are left."""
        self._store.expire_history(keep)

    def _order_kill(self, instance, is_listed=True):
        """End the executor of an instance; its entry in the store may stay."""
        target = self._instances.by_id[instance]
        self._instances.end_executor(target, is_listed=is_listed)

    def _order_revive(self, instance):
        """Start a new executor on an instance whose executor was killed."""
        self._instances.revive(self._instances.by_id[instance])

    def _order_restart(self, instance, dark_s=0.0, is_silent=False):
        """Restart an executor under its id, see ``Instances.restart_executor``."""
        target = self._instances.by_id[instance]
        self._instances.restart_executor(target, dark_s=dark_s, is_silent=is_silent)

    def _order_capacity(self, instance, processors=None):
        """Change the capacity of an executor; without a number as it was at first."""
        self._instances.set_processors(self._instances.by_id[instance], processors)

    def _order_entry(self, key, value):
        """Write an entry among those of the executors, on behalf of another program."""
        self._store.put("keyed.servers", key, value.encode())

    def _order_drain(self, instance, serve_s):
        """Make an executor leave; another one starts later, see ``Instances.drain``."""
        self._instances.drain(self._instances.by_id[instance], serve_s=serve_s)

    def _order_cut(self, instance, is_cut):
        """Cut an executor off, or connect it again; its tasks run on meanwhile."""
        self._instances.set_cut(self._instances.by_id[instance], is_cut)

    def _order_late(self, instance, share=0.0, is_kept=False):
        """Let a share of the calls to an executor be carried out late, unanswered.

        ``is_kept`` tells whether its next life carries them out as well.
        """
        target = self._instances.by_id[instance]
        target.late_call_share = share
        target.are_late_calls_kept = is_kept

    def _order_freeze(self, instance, is_frozen):
        """Make an executor hold back its responses, or resume it."""
        executor = self._instances.by_id[instance].executor
        if executor is not None:
            executor.is_frozen = is_frozen


def _read_pool(text):
    name, _, count = text.partition("=")
    return name, int(count)


def main():
    """Read the command line and run the stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--pool", action="append", required=True, metavar="NAME=COUNT")
    parser.add_argument("--spare", default="spare", help="pool on standby")
    parser.add_argument(
        "--unguarded",
        action="append",
        default=[],
        metavar="NAME",
        help="pool whose executors start what exceeds their capacity",
    )
    parser.add_argument(
        "--organisations",
        type=json.loads,
        metavar="JSON",
        help="rows of the organisations; without them no keys are required",
    )
    rig_settings.RigSettings.add_arguments(parser)
    parser.add_argument("--processors", type=int, default=16_000)
    parser.add_argument("--memory", type=int, default=32_768)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--max-seconds", type=float, default=DEFAULT_LIFETIME_S)
    asyncio.run(Platform(parser.parse_args()).run())


if __name__ == "__main__":
    main()
