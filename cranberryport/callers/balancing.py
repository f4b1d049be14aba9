"""When a pool at a peak borrows from the spare pool, and when an instance moves to it.

Both answers to a peak have a price. Work that is lent to the spare pool starts at once,
but needs idle reserve there (buffer cost). A move takes a drain and an instance's
restart, uses the budget of the pool that gives, and so delays the day's roll-out. An
excess is expected to last as long again as it has lasted, so a move is worth its price
only after the excess has lasted for a multiple of the time that the move takes. The
deployment's weights set the multiple.
"""

import collections
import dataclasses

WINDOW_S = 30.0
# Demand above the first part of the capacity is an excess; it ends below the second.
# The distance keeps a demand near the capacity from starting and ending loans.
EXCESS_PART = 0.95
CALM_PART = 0.75
# A pool gives an instance only if its highest demand in the window leaves this part of
# the rest free, and gets no other move for some times the roll-out time.
GIVING_PART = 0.7
PAUSE_ROLL_OUTS = 3.0
# Slots of the spare pool that stay free for its own next requests.
SPARE_RESERVE_PART = 0.1


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Weights:
    """What a deployment weighs how much.

    Attributes
    ----------
    roll_out_time, buffer_cost : float
        Positive; only their ratio matters.
    """

    roll_out_time: float
    buffer_cost: float

    @property
    def patience(self):
        """Roll-out times that an excess must have lasted before a move, 1 to 4."""
        return 1.0 + 3.0 * self.roll_out_time / (self.roll_out_time + self.buffer_cost)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Pool:
    """A pool as measured now.

    Attributes
    ----------
    name : str
        Name.
    demand : float
        Slots wanted: requests that run or wait.
    capacity : int
        Slots of the instances in service, without lent ones.
    instances, down, max_unavailable : int
        Members, those not in service, and how many of them may be down.
    minimum_instances : int
        Size below which the pool gives no instance.
    priority : int
        Owner's priority; pools with a higher one are helped first and never give to a
        lower one.
    is_spare : bool
        Whether other services may borrow from the pool.
    """

    name: str
    demand: float
    capacity: int
    instances: int
    down: int = 0
    max_unavailable: int = 1
    minimum_instances: int = 1
    priority: int = 0
    is_spare: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PoolLoan:
    """Work of a pool may use slots of the spare pool.

    Attributes
    ----------
    source, target : str
        Spare pool and pool at a peak.
    slots : int
        Slots that the work may use at once.
    """

    source: str
    target: str
    slots: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PoolMove:
    """One instance changes its pool.

    Attributes
    ----------
    source, target : str
        Pools.
    """

    source: str
    target: str


class _History:
    """Demand of one pool in the window, and its excess."""

    __slots__ = ("_demands", "excess_since", "moved_at")

    def __init__(self):
        self._demands = collections.deque()
        self.excess_since = None
        self.moved_at = None

    @property
    def highest(self):
        """Highest demand in the window."""
        return max(demand for _, demand in self._demands)

    @property
    def started(self):
        """Time of the oldest demand in the window."""
        return self._demands[0][0]

    @property
    def recent(self):
        """Mean of the last demands; a single one is too noisy to end an excess."""
        last = [demand for _, demand in list(self._demands)[-3:]]
        return sum(last) / len(last)

    def add(self, now, pool):
        """Take a measurement."""
        self._demands.append((now, pool.demand))
        while self._demands[0][0] < now - WINDOW_S:
            self._demands.popleft()
        if self.recent > EXCESS_PART * pool.capacity:
            if self.excess_since is None:
                self.excess_since = now
        elif self.recent < CALM_PART * pool.capacity:
            self.excess_since = None


class Balancer:
    """Decides for all pools of a deployment.

    Parameters
    ----------
    weights : Weights
        Of the deployment.
    """

    __slots__ = ("_histories", "_pools", "_weights")

    def __init__(self, *, weights):
        self._weights = weights
        self._histories = {}
        self._pools = {}

    def observe(self, now, pools):
        """Take a measurement of every pool.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        pools : iterable of Pool
            All pools; one that is missing is forgotten.
        """
        self._pools = {pool.name: pool for pool in pools}
        self._histories = {
            name: self._histories.get(name) or _History() for name in self._pools
        }
        for name, pool in self._pools.items():
            self._histories[name].add(now, pool)

    def plan_loans(self):
        """Return what the spare pools lend now.

        Returns
        -------
        list of PoolLoan
            Empty without an excess. The loans and the demand of a spare pool together
            never exceed its capacity less the reserve.
        """
        free = {
            pool.name: int(
                pool.capacity * (1 - SPARE_RESERVE_PART)
                - self._histories[pool.name].recent
            )
            for pool in self._pools.values()
            if pool.is_spare and self._histories[pool.name].excess_since is None
        }
        found = []
        for pool in self._in_excess():
            wanted = int(self._histories[pool.name].highest - pool.capacity) + 1
            for source in sorted(free, key=free.get, reverse=True):
                slots = min(wanted, free[source])
                if pool.is_spare or slots <= 0:
                    continue
                free[source] -= slots
                wanted -= slots
                found.append(PoolLoan(source=source, target=pool.name, slots=slots))
        return found

    def plan_move(self, now, roll_out_s):
        """Return the move to start now, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        roll_out_s : float
            Time from the start of a move to the first request at the new place.

        Returns
        -------
        Move or None
            Only one at a time; the caller reports its start with :meth:`record_move`.
        """
        for pool in self._in_excess():
            lasted_s = now - self._histories[pool.name].excess_since
            if lasted_s < self._weights.patience * roll_out_s:
                continue
            if self._is_pausing(pool, now, roll_out_s):
                continue
            source = self._find_source(pool, now, roll_out_s)
            if source is not None:
                return PoolMove(source=source.name, target=pool.name)
        return None

    def record_move(self, now, move):
        """Note that a move was started."""
        for name in (move.source, move.target):
            if name in self._histories:
                self._histories[name].moved_at = now

    def _in_excess(self):
        """Return the pools in excess, the owner's priority first."""
        found = [
            pool
            for pool in self._pools.values()
            if self._histories[pool.name].excess_since is not None
        ]
        return sorted(found, key=lambda pool: (-pool.priority, pool.name))

    def _is_pausing(self, pool, now, roll_out_s):
        moved_at = self._histories[pool.name].moved_at
        return moved_at is not None and now - moved_at < PAUSE_ROLL_OUTS * roll_out_s

    def _find_source(self, target, now, roll_out_s):
        givers = [
            pool
            for pool in self._pools.values()
            if pool.name != target.name
            and self._may_give(pool, target, now)
            and not self._is_pausing(pool, now, roll_out_s)
        ]
        # The spare pool gives first, then the one with the most room.
        return min(
            givers,
            key=lambda pool: (
                not pool.is_spare,
                self._histories[pool.name].highest / pool.capacity,
                pool.name,
            ),
            default=None,
        )

    def _may_give(self, pool, target, now):
        if pool.priority > target.priority and not pool.is_spare:
            return False
        if pool.down + 1 > pool.max_unavailable or pool.capacity <= 0:
            return False
        if pool.instances - 1 < pool.minimum_instances:
            return False
        history = self._histories[pool.name]
        if now - history.started < WINDOW_S / 2:
            # Too little is known of its own demand.
            return False
        rest = pool.capacity * (1 - 1 / pool.instances)
        return history.highest < GIVING_PART * rest
