"""Settings that the stand-in platform keeps to, and that entry instances are told.

Both come from one record, so that the platform does not behave otherwise than its
settings say.
"""


class RigSettings:
    """Settings of a deployment on loopback.

    Parameters
    ----------
    lease_limit_ms : int
        Longest lease that executors grant, in milliseconds (``HoldMaxMs``).
    partitions : int
        Number of partitions of each topic of the store.
    upkeep_s : float
        Time in seconds that an instance is down for upkeep (``MaintenanceS``).
    are_orders_fenced : bool
        Whether an order for an instance is refused after one of a later controller
        (``FencingEnforced``).
    """

    __slots__ = ("are_orders_fenced", "lease_limit_ms", "partitions", "upkeep_s")

    def __init__(
        self,
        *,
        lease_limit_ms=6000,
        partitions=8,
        upkeep_s=2.0,
        are_orders_fenced=True,
    ):
        self.lease_limit_ms = lease_limit_ms
        self.partitions = partitions
        self.upkeep_s = upkeep_s
        self.are_orders_fenced = are_orders_fenced

    @property
    def entry_settings(self):
        """Settings of each entry instance."""
        return {
            "lease_most_ms": self.lease_limit_ms,
            "store_partitions": self.partitions,
            "upkeep_s": self.upkeep_s,
            "are_orders_fenced": self.are_orders_fenced,
        }

    @property
    def platform_arguments(self):
        """Arguments of the command line of the stand-in platform."""
        arguments = ["--partitions", str(self.partitions)]
        arguments += ["--lease-limit-ms", str(self.lease_limit_ms)]
        arguments += ["--upkeep-s", str(self.upkeep_s)]
        if not self.are_orders_fenced:
            arguments.append("--unfenced-orders")
        return arguments

    @staticmethod
    def add_arguments(parser):
        """Add the arguments of :attr:`platform_arguments` to a parser.

        Without them the platform keeps to the default settings.
        """
        defaults = RigSettings()
        parser.add_argument("--partitions", type=int, default=defaults.partitions)
        parser.add_argument(
            "--lease-limit-ms", type=int, default=defaults.lease_limit_ms
        )
        parser.add_argument("--upkeep-s", type=float, default=defaults.upkeep_s)
        parser.add_argument("--unfenced-orders", action="store_true")

    @classmethod
    def from_options(cls, options):
        """Return the settings that the options of the command line hold."""
        return cls(
            lease_limit_ms=options.lease_limit_ms,
            partitions=options.partitions,
            upkeep_s=options.upkeep_s,
            are_orders_fenced=not options.unfenced_orders,
        )
