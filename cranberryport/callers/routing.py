"""Chooses the backend server for an attempt by load and data centre."""

import dataclasses

MAX_LOCAL_LOAD_DIFFERENCE = 0.25


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Candidate:
    """A backend server that a request may be sent to.

    Attributes
    ----------
    name, data_centre : str
        Names of the server and of its data centre.
    slots_in_use, slots_total : int
        Slots that this entry instance uses and may use at the server.
    """

    name: str
    data_centre: str
    slots_in_use: int
    slots_total: int

    @property
    def has_free_slot(self):
        """Whether a slot is free for a request."""
        return self.slots_in_use < self.slots_total

    @property
    def load(self):
        """Fraction of the slots that is in use."""
        return self.slots_in_use / self.slots_total


def choose_server(candidates, *, data_centre, tried, random):
    """Choose the server for an attempt.

    A server that an earlier attempt has tried is chosen only if no other has a free
    slot. The least loaded server in the own data centre is chosen unless its load is
    more than 25 percentage points higher than that of the least loaded server overall.
    The loads are compared by their difference because their ratio is undefined if the
    other server is idle.

    Parameters
    ----------
    candidates : list of Candidate
        Servers that may be used.
    data_centre : str
        Data centre of this entry instance.
    tried : collection of str
        Names of the servers of earlier attempts.
    random : random.Random
        Chooses between equally loaded servers; otherwise all entry instances would
        choose the same one.

    Returns
    -------
    Candidate or None
        None if no server has a free slot.
    """
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    free = [candidate for candidate in free if candidate.name not in tried] or free
    local = [candidate for candidate in free if candidate.data_centre == data_centre]
    best = _choose_least_loaded(free, random)
    best_local = _choose_least_loaded(local, random)
    if best_local is None or best_local.load > best.load + MAX_LOCAL_LOAD_DIFFERENCE:
        return best
    return best_local


def _choose_least_loaded(candidates, random):
    if not candidates:
        return None
    least_load = min(candidate.load for candidate in candidates)
    return random.choice(
        [candidate for candidate in candidates if candidate.load == least_load]
    )
