"""Choice of the backend server for one attempt."""

import dataclasses

REMOTE_ADVANTAGE = 0.25


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Candidate:
    """A backend server that may get new work.

    Attributes
    ----------
    name, data_centre : str
        Names.
    slots_in_use, slots_total : int
        Slots of this entry instance there.
    """

    name: str
    data_centre: str
    slots_in_use: int
    slots_total: int

    @property
    def has_free_slot(self):
        """Whether a request can start."""
        return self.slots_in_use < self.slots_total

    @property
    def load(self):
        """Part of the slots in use."""
        return self.slots_in_use / self.slots_total


def choose_server(candidates, *, data_centre, tried, random):
    """Choose the server for an attempt.

    Servers that were not tried come first; a tried one is used only if no other has a
    free slot. The least loaded server of the own data centre is used unless its load is
    more than 25 percentage points above the least loaded elsewhere. Points and not a
    ratio: one request in flight is infinitely more than none.

    Parameters
    ----------
    candidates : list of Candidate
        Servers in service.
    data_centre : str
        Data centre of this entry instance.
    tried : collection of str
        Servers of earlier attempts.
    random : random.Random
        Decides between equal servers, or all entry instances would use the same one.

    Returns
    -------
    Candidate or None
        None if no server has a free slot.
    """
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    free = [candidate for candidate in free if candidate.name not in tried] or free
    local = [candidate for candidate in free if candidate.data_centre == data_centre]
    best = _least_loaded(free, random)
    best_local = _least_loaded(local, random)
    if best_local is None or best_local.load > best.load + REMOTE_ADVANTAGE:
        return best
    return best_local


def _least_loaded(candidates, random):
    if not candidates:
        return None
    least = min(candidate.load for candidate in candidates)
    return random.choice([one for one in candidates if one.load == least])
