"""Choice of the instances that move between pools.

Load pattern: the queues peak in turn, each for some seconds and far above the capacity
of its pool, and need almost nothing in between. Instances in a pool cost money, except
in a standby pool, where they are switched off. A move takes longer than a typical task.
"""

import collections
import math

# Tasks do not fill executors completely, so a pool needs more than their sum.
HEADROOM_FACTOR = 1.15
# A pool keeps the instances that it needed within this time: at the prices of the
# deployments, a move away and back costs as much as keeping an instance for 2.3 s.
RETENTION_S = 2.3
# Smallest size of a pool during and after a peak; if one instance fails, another one
# remains.
MIN_INSTANCES_AFTER_PEAK = 2
# Smallest size of a pool whose peak may come next. A move takes longer than a typical
# task, so these instances serve the first second of the peak.
MIN_INSTANCES = 4
# Queues peak in turn, so a pool does not peak again within this time after a peak (a
# need of more than MIN_INSTANCES).
AFTER_PEAK_S = 10.0
# Weight of a late job's waiting tasks in the demand: the job is of little use to its
# caller now, while other jobs can still meet their objective.
LATE_TASK_WEIGHT = 0.25
# The work that became ready within this time predicts the demand.
ARRIVAL_WINDOW_S = 0.5
# A peak begins, or the store is back after an outage, if this many steps become ready
# within the window, and this many times more than in the time before.
ONSET_WINDOW_S = 0.25
ONSET_MIN_STEPS = 8
ONSET_FACTOR = 4
ONSET_MIN_SPAN_S = 0.15
# Moves chosen at once are at most those that the platform accepts within this time.
MOVES_BURST_S = 0.2


class ArrivalRate:
    """Rate at which work becomes ready in a pool.

    A peak shows in the arriving work some tenths of a second before it shows in the
    running tasks, and instances take longer than that to move.
    """

    __slots__ = ("_recent",)

    def __init__(self):
        self._recent = collections.deque()

    def add_work(self, work_millicore_s, now, *, organisation=""):
        """Add work that became ready.

        Parameters
        ----------
        work_millicore_s : float
            Declared work in thousandths of a core-second.
        now : float
            Monotonic time in seconds.
        organisation : str, default=""
            Organisation whose work it is; empty for none.
        """
        self._recent.append((now, work_millicore_s, organisation))

    def sustained_demand(self, now, processors_by_organisation=None):
        """Return the demand if work goes on arriving at this rate.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        processors_by_organisation : dict of str to float, optional
            Thousandths of a core that an organisation may use for such work. Without
            it, and for organisations that are missing, the work counts in full.

        Returns
        -------
        float
            Thousandths of a core.
        """
        while self._recent and now - self._recent[0][0] > ARRIVAL_WINDOW_S:
            self._recent.popleft()
        newest = [entry for entry in self._recent if now - entry[0] <= ONSET_WINDOW_S]
        older_count = len(self._recent) - len(newest)
        if len(newest) < max(ONSET_MIN_STEPS, ONSET_FACTOR * older_count):
            return _demand(self._recent, ARRIVAL_WINDOW_S, processors_by_organisation)
        # The peak began with these steps, so the rest of the window says nothing.
        span_s = max(ONSET_MIN_SPAN_S, now - newest[0][0])
        return _demand(newest, span_s, processors_by_organisation)

    def organisations(self):
        """Return the organisations whose work has become ready lately."""
        return {entry[2] for entry in self._recent} - {""}


def _demand(entries, span_s, processors_by_organisation):
    """Return the demand of the work that became ready in a span of time."""
    if not processors_by_organisation:
        return sum(work_millicore_s for _, work_millicore_s, _ in entries) / span_s
    work = collections.Counter()
    for _, work_millicore_s, organisation in entries:
        work[organisation] += work_millicore_s
    return sum(
        min(total / span_s, processors_by_organisation.get(organisation, math.inf))
        for organisation, total in work.items()
    )


class PoolLoad:
    """Size and demand of a pool.

    Parameters
    ----------
    name : str
        Name of the pool.
    is_standby : bool
        Whether its instances are switched off and cost nothing.
    processors : int
        Thousandths of a core of one instance; 0 if the pool has no instance.
    demand : float
        Thousandths of a core that the pool needs now or soon.
    size : int
        Number of usable instances, including those that are moving to the pool.
    idle : list of str
        Instances without work that may be moved.
    arriving : int, default=0
        Number of instances in ``size`` that are still moving to the pool.
    unplaced_instances : int, default=0
        Number of empty instances for the tasks that find no executor in the pool
        although processors are free, for example because of the spread limit of their
        step.
    memory : int, default=0
        Megabytes of one instance; 0 if not known.
    memory_demand : float, default=0
        Megabytes that the pool needs now.
    """

    __slots__ = (
        "arriving",
        "demand",
        "idle",
        "is_standby",
        "memory",
        "memory_demand",
        "name",
        "processors",
        "size",
        "unplaced_instances",
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
        unplaced_instances=0,
        memory=0,
        memory_demand=0,
    ):
        self.name = name
        self.arriving = arriving
        self.unplaced_instances = unplaced_instances
        self.memory = memory
        self.memory_demand = memory_demand
        self.is_standby = is_standby
        self.processors = processors
        self.demand = demand
        self.size = size
        self.idle = idle

    @property
    def needed_instances(self):
        """Number of instances that the pool needs now."""
        if not self.processors:
            return 1 if self.demand or self.unplaced_instances else 0
        load = self.demand / self.processors
        if self.memory:
            load = max(load, self.memory_demand / self.memory)
        needed_instances = math.ceil(load * HEADROOM_FACTOR)
        if self.unplaced_instances:
            # Instances that are still moving will take some of these tasks.
            settled_count = self.size - self.arriving
            needed_instances = max(
                needed_instances, settled_count + self.unplaced_instances
            )
        return needed_instances


class PoolRebalancer:
    """Chooses moves of instances from the present and recent needs of the pools.

    Parameters
    ----------
    moves_per_s : float
        Number of moves a second that the platform accepts.
    """

    __slots__ = ("_last_peak_at", "_moves_per_s", "_recent_needs")

    def __init__(self, *, moves_per_s):
        self._moves_per_s = moves_per_s
        self._recent_needs = {}
        self._last_peak_at = {}

    def choose_moves(self, pools, now):
        """Choose the next moves.

        Parameters
        ----------
        pools : list of PoolLoad
            All pools; ``size`` and ``idle`` are updated by the chosen moves.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple of (str, str)
            Instance and target pool of each move, at most those of
            ``MOVES_BURST_S``.
        """
        target_sizes = {
            p.name: self._target_size(p, now) for p in pools if not p.is_standby
        }
        standby_pools = [p for p in pools if p.is_standby]
        pools_with_surplus = [
            p for p in pools if not p.is_standby and p.size > p.needed_instances
        ]
        moves = []
        short_pools = [
            p for p in pools if not p.is_standby and p.needed_instances > p.size
        ]
        # Unplaceable tasks need few instances, so their pools come first.
        for pool in sorted(
            short_pools,
            key=lambda p: (not p.unplaced_instances, p.size - p.needed_instances),
        ):
            missing_count = pool.needed_instances - pool.size
            for source in (*standby_pools, *pools_with_surplus):
                if source is pool:
                    continue
                available_count = len(source.idle)
                if not source.is_standby:
                    # A pool that needs instances gets idle ones at once. Minimum size
                    # and recent needs of the source count only while no pool does.
                    available_count = min(
                        available_count, source.size - source.needed_instances
                    )
                for _ in range(min(missing_count, available_count)):
                    moves.append((source.idle.pop(), pool.name))
                    source.size -= 1
                    pool.size += 1
                    missing_count -= 1
        if standby_pools:
            for pool in pools_with_surplus:
                while pool.idle and pool.size > target_sizes[pool.name]:
                    moves.append((pool.idle.pop(), standby_pools[0].name))
                    pool.size -= 1
        return moves[: max(1, round(self._moves_per_s * MOVES_BURST_S))]

    def _target_size(self, pool, now):
        recent_needs = [
            (t, n)
            for t, n in self._recent_needs.get(pool.name, ())
            if now - t < RETENTION_S
        ]
        recent_needs.append((now, pool.needed_instances))
        self._recent_needs[pool.name] = recent_needs
        if pool.needed_instances > MIN_INSTANCES:
            self._last_peak_at[pool.name] = now
        had_recent_peak = (
            now - self._last_peak_at.get(pool.name, -AFTER_PEAK_S) < AFTER_PEAK_S
        )
        minimum = MIN_INSTANCES_AFTER_PEAK if had_recent_peak else MIN_INSTANCES
        return max(minimum, *(n for _, n in recent_needs))
