"""Organisations that share the pools.

An organisation submits jobs with its keys. It has a weight, which is its share while
the pools are full, and limits on the resources of its runs.
"""


class Organisation:
    """Share and limits of an organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    weight : float, default=1.0
        Share relative to the weights of the other organisations.
    processors_limit : int, default=0
        Thousandths of a core that its runs may use on all executors together; 0 for no
        limit.
    memory_limit : int, default=0
        Mebibytes that its runs may use; 0 for no limit.
    accelerators_limit : int, default=0
        Number of accelerators that its runs may use; 0 for no limit.
    """

    __slots__ = (
        "accelerators_limit",
        "memory_limit",
        "name",
        "processors_limit",
        "weight",
    )

    def __init__(
        self,
        *,
        name,
        weight=1.0,
        processors_limit=0,
        memory_limit=0,
        accelerators_limit=0,
    ):
        self.name = name
        self.weight = weight
        self.processors_limit = processors_limit
        self.memory_limit = memory_limit
        self.accelerators_limit = accelerators_limit
