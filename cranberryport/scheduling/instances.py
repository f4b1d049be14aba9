"""Instances as the platform lists them, and the waves of their upkeep."""

UP = "up"
MOVING = "moving"
MAINTENANCE = "upkeep"
DOWN = "down"


class Instance:
    """An instance of a pool.

    Parameters
    ----------
    id : str
        Stays with the instance across moves and upkeep.
    pool : str
        Pool that it belongs to.
    state : {'up', 'moving', 'upkeep', 'down'}
        What it does.
    executor : str
        Id of its present executor; empty for none.
    kind : str
        Kind of the instance.
    processors : int
        Thousandths of a core.
    """

    __slots__ = ("executor", "id", "kind", "pool", "processors", "state")

    def __init__(self, *, id, pool, state, executor, kind, processors):
        self.id = id
        self.pool = pool
        self.state = state
        self.executor = executor
        self.kind = kind
        self.processors = processors


class Wave:
    """A request that instances have their upkeep in time.

    Parameters
    ----------
    number : int
        Names the wave.
    instances : list of str
        Instances in the wave.
    ends_at : float
        Monotonic time by which all should be done.
    maximum : int
        Instances of the wave that may be down for it at once.
    """

    __slots__ = (
        "accepted_instances",
        "done_instances",
        "deadline",
        "instances",
        "max_down",
        "number",
        "previous_executors",
    )

    def __init__(self, *, number, instances, deadline, max_down):
        self.number = number
        self.instances = instances
        self.deadline = deadline
        self.max_down = max_down
        self.done_instances = set()
        # Previous executor by instance, while its upkeep is under way.
        self.previous_executors = {}
        self.accepted_instances = set()

    def copy(self):
        """Return the wave as it was asked for, without progress."""
        return Wave(
            number=self.number,
            instances=self.instances,
            deadline=self.deadline,
            max_down=self.max_down,
        )
