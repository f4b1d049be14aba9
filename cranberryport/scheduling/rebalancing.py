"""Choice of the instances that move between pools.

Load pattern: the queues peak by turns, each for some seconds and far above what its
pool holds, and ask for almost nothing in between. Instances in pools are paid for,
those of a pool that is off are not, and a move takes longer than a usual task.
"""

import collections
import math

# Placement leaves gaps, so a pool needs more than the sum of its tasks.
HEADROOM = 1.15
# A pool keeps what it needed within this time: a move away and back costs as much as an
# instance that stays for 2.3 s (prices of the deployments).
KEEP_S = 2.3
# Smallest size of a pool that has just peaked: the loss of one instance leaves another.
RESTED_SIZE = 2
# Smallest size of a pool whose peak may come next; a move takes longer than a usual
# task, so these instances serve the first second of the peak.
READY_SIZE = 4
# Queues peak by turns, so a pool that has peaked waits for the turns of the others.
REST_S = 10.0
# Waiting tasks of late jobs count this much: their callers lost most of the worth,
# and others still wait in time.
LATE_SHARE = 0.25
# Work that became ready within this time tells how much a beginning peak will ask for.
ARRIVAL_WINDOW_S = 0.5
MOVES_AT_ONCE = 12


class ArrivalRate:
    """Work that becomes ready in a pool, in thousandths of a core.

    A peak shows in what arrives some tenths of a second before it shows in what runs,
    and a move takes longer than that.
    """

    __slots__ = ("_recent",)

    def __init__(self):
        self._recent = collections.deque()

    def note(self, work, now):
        """Take work that became ready.

        Parameters
        ----------
        work : float
            Thousandths of a core times seconds.
        now : float
            Monotonic time in seconds.
        """
        self._recent.append((now, work))

    def steady_demand(self, now):
        """Return the processors that this rate keeps busy for good."""
        while self._recent and now - self._recent[0][0] > ARRIVAL_WINDOW_S:
            self._recent.popleft()
        return sum(work for _, work in self._recent) / ARRIVAL_WINDOW_S


class PoolLoad:
    """Size and demand of a pool.

    Parameters
    ----------
    name : str
        Name of the pool.
    is_off : bool
        Whether its instances are off and cost nothing.
    processors : int
        Thousandths of a core of one instance.
    demand : int
        Thousandths of a core that the pool needs now or soon.
    size : int
        Instances that are there or on their way.
    idle : list of str
        Instances without any work that may move.
    arriving : int, default=0
        Instances of ``size`` that are still on their way.
    lacks_place : bool, default=False
        Whether a task has no place although there is room: tasks of a step are spread,
        and each instance has as many of them as may be.
    """

    __slots__ = (
        "arriving",
        "demand",
        "idle",
        "is_standby",
        "has_unplaceable_task",
        "name",
        "processors",
        "size",
    )

    def __init__(
        self,
        *,
        name,
        is_standby,
        processors,
        demand,
        size,
        idle,
        arriving=0,
        has_unplaceable_task=False,
    ):
        self.name = name
        self.arriving = arriving
        self.has_unplaceable_task = has_unplaceable_task
        self.is_standby = is_standby
        self.processors = processors
        self.demand = demand
        self.size = size
        self.idle = idle

    @property
    def needed_instances(self):
        """Instances that the demand needs now."""
        if not self.processors:
            return 1 if self.demand or self.has_unplaceable_task else 0
        needed_instances = math.ceil(self.demand * HEADROOM / self.processors)
        if self.has_unplaceable_task and not self.arriving:
            # One by one, as the place that a task leaves may serve the next one.
            needed_instances = max(needed_instances, self.size + 1)
        return needed_instances


class PoolRebalancer:
    """Remembers recent needs and chooses moves."""

    __slots__ = ("_peaked_at", "_peaks")

    def __init__(self):
        self._peaks = {}
        self._peaked_at = {}

    def choose_moves(self, pools, now):
        """Choose moves.

        Parameters
        ----------
        pools : list of PoolLoad
            All pools.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple of (str, str)
            Instance and the pool that it moves to.
        """
        wanted = {p.name: self._wanted(p, now) for p in pools if not p.is_standby}
        sources = [p for p in pools if p.is_standby]
        donors = [p for p in pools if not p.is_standby and p.size > p.needed_instances]
        moves = []
        short = [p for p in pools if not p.is_standby and p.needed_instances > p.size]
        # A task without a place is served by a single instance, so it goes first.
        for pool in sorted(
            short,
            key=lambda p: (not p.has_unplaceable_task, p.size - p.needed_instances),
        ):
            lacking = pool.needed_instances - pool.size
            for source in (*sources, *donors):
                if source is pool:
                    continue
                surplus = len(source.idle)
                if not source.is_standby:
                    # Idle instances help a short pool at once; the base and what was
                    # needed lately only matter while no pool is short.
                    surplus = min(surplus, source.size - source.needed_instances)
                for _ in range(min(lacking, surplus)):
                    moves.append((source.idle.pop(), pool.name))
                    source.size -= 1
                    pool.size += 1
                    lacking -= 1
        if sources:
            for pool in donors:
                while pool.idle and pool.size > wanted[pool.name]:
                    moves.append((pool.idle.pop(), sources[0].name))
                    pool.size -= 1
        return moves[:MOVES_AT_ONCE]

    def _wanted(self, pool, now):
        peaks = [(t, n) for t, n in self._peaks.get(pool.name, ()) if now - t < KEEP_S]
        peaks.append((now, pool.needed_instances))
        self._peaks[pool.name] = peaks
        if pool.needed_instances > READY_SIZE:
            self._peaked_at[pool.name] = now
        rested = now - self._peaked_at.get(pool.name, -REST_S) < REST_S
        smallest = RESTED_SIZE if rested else READY_SIZE
        return max(smallest, *(n for _, n in peaks))
