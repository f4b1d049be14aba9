"""Instances as the platform lists them, and maintenance waves."""

UP = "up"
MOVING = "moving"
MAINTENANCE = "upkeep"  # The platform's word for maintenance.
DOWN = "down"


class Instance:
    """An instance of a pool.

    Parameters
    ----------
    id : str
        Id, which moves and maintenance do not change.
    pool : str
        Pool that it belongs to.
    state : {'up', 'moving', 'upkeep', 'down'}
        State; ``'upkeep'`` while maintenance is in progress.
    executor : str
        Id of its present executor; empty for none.
    kind : str
        Kind of the instance, the first label that the platform lists.
    processors : int
        Capacity in thousandths of a core.
    memory : int, default=0
        Capacity in MB; 0 if not known.
    accelerators : int, default=0
        Number of accelerators.
    """

    __slots__ = (
        "accelerators",
        "executor",
        "id",
        "kind",
        "memory",
        "pool",
        "processors",
        "state",
    )

    def __init__(
        self,
        *,
        id,
        pool,
        state,
        executor,
        kind,
        processors,
        memory=0,
        accelerators=0,
    ):
        self.id = id
        self.pool = pool
        self.state = state
        self.executor = executor
        self.kind = kind
        self.processors = processors
        self.memory = memory
        self.accelerators = accelerators

    @property
    def capacity(self):
        """Processors, memory and accelerators."""
        return [self.processors, self.memory, self.accelerators]


class Wave:
    """An operator's request to take instances down for maintenance by a deadline.

    Parameters
    ----------
    number : int
        Number that identifies the wave.
    instances : list of str
        Ids of the instances.
    deadline : float
        Monotonic time by which the maintenance of all should be completed.
    max_down : int
        Number of instances of the wave that may be in maintenance at once.

    Attributes
    ----------
    done_instances : set of str
        Instances that need no further order for this wave.
    previous_executors : dict of str to str
        Executor that each instance had when its maintenance was ordered, while the
        order is in progress.
    accepted_instances : set of str
        Instances whose order the platform has accepted.
    """

    __slots__ = (
        "accepted_instances",
        "deadline",
        "done_instances",
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
        self.previous_executors = {}
        self.accepted_instances = set()

    def copy(self):
        """Return the wave as it was requested, without its progress."""
        return Wave(
            number=self.number,
            instances=self.instances,
            deadline=self.deadline,
            max_down=self.max_down,
        )
