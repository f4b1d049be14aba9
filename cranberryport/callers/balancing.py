"""Plans loans of the spare pool's slots to overloaded pools, and moves of instances.

A pool is in excess while its demand exceeds its capacity. Both remedies have a cost.
Work that runs on the spare pool starts at once, but the spare pool has to keep idle
slots for it (buffer cost). Moving an instance needs a drain and a restart and uses the
unavailability budget of the source pool, which delays the day's roll-out (roll-out
time). An excess is expected to last as long again as it has lasted so far, so a move
pays off only after the excess has lasted for a multiple of the time that a move takes.
The weights of the deployment determine this multiple.

The daemon does not use this module; the policy model in ``bench`` does.
"""

import collections
import dataclasses

DEMAND_WINDOW_S = 30.0
# An excess starts when the demand rises above the first fraction of the capacity and
# ends when it falls below the second. The gap between them keeps a demand near the
# capacity from starting and ending loans repeatedly.
EXCESS_START_RATIO = 0.95
EXCESS_END_RATIO = 0.75
# A pool gives up an instance only if its highest demand in the window is below this
# fraction of the capacity that it keeps.
MAX_DONOR_LOAD_RATIO = 0.7
# Neither pool of a move takes part in another one for this many roll-out times.
MOVE_PAUSE_ROLL_OUTS = 3.0
# Fraction of the spare pool's capacity that is kept free for its own next requests.
SPARE_RESERVE_RATIO = 0.1


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Weights:
    """Relative importance of the two costs in a deployment.

    Attributes
    ----------
    roll_out_time, buffer_cost : float
        Weights of a long roll-out and of idle slots; positive, and only their ratio
        matters.
    """

    roll_out_time: float
    buffer_cost: float

    @property
    def min_excess_roll_outs(self):
        """Roll-out times for which an excess must last before a move, 1 to 4."""
        return 1.0 + 3.0 * self.roll_out_time / (self.roll_out_time + self.buffer_cost)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Pool:
    """Measurement of a pool.

    Attributes
    ----------
    name : str
        Name of the pool.
    demand : float
        Slots needed: the number of requests that run or wait.
    capacity : int
        Slots of the instances in service, without lent ones.
    instances, down, max_unavailable : int
        Number of members, of members not in service, and of members that may be out of
        service at the same time.
    minimum_instances : int
        Number of instances that the pool keeps at least when it gives up others.
    priority : int
        Priority set by the owner. Pools with a higher priority get loans and instances
        first, and unless they are spare they give up no instance to a pool with a lower
        one.
    is_spare : bool
        Whether other pools may use its slots.
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
    """Permission for requests of one pool to use slots of a spare pool.

    Attributes
    ----------
    source, target : str
        Names of the spare pool and of the pool in excess.
    slots : int
        Largest number of slots in use at the same time.
    """

    source: str
    target: str
    slots: int


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PoolMove:
    """Move of one instance from one pool to another.

    Attributes
    ----------
    source, target : str
        Names of the pools.
    """

    source: str
    target: str


class _History:
    """Demands of one pool in the window, and the start of its excess and last move."""

    __slots__ = ("_demands", "excess_since", "last_move_at")

    def __init__(self):
        self._demands = collections.deque()
        self.excess_since = None
        self.last_move_at = None

    @property
    def highest_demand(self):
        """Highest demand in the window."""
        return max(demand for _, demand in self._demands)

    @property
    def oldest_time(self):
        """Monotonic time of the oldest demand in the window."""
        return self._demands[0][0]

    @property
    def recent_demand(self):
        """Mean of the last three demands; a single one varies too much."""
        last = [demand for _, demand in list(self._demands)[-3:]]
        return sum(last) / len(last)

    def add_measurement(self, now, pool):
        """Add a measurement and update the excess."""
        self._demands.append((now, pool.demand))
        while self._demands[0][0] < now - DEMAND_WINDOW_S:
            self._demands.popleft()
        if self.recent_demand > EXCESS_START_RATIO * pool.capacity:
            if self.excess_since is None:
                self.excess_since = now
        elif self.recent_demand < EXCESS_END_RATIO * pool.capacity:
            self.excess_since = None


class Balancer:
    """Plans loans and moves between the pools of a deployment.

    Parameters
    ----------
    weights : Weights
        Weights of the deployment.
    """

    __slots__ = ("_histories", "_pools", "_weights")

    def __init__(self, *, weights):
        self._weights = weights
        self._histories = {}
        self._pools = {}

    def observe(self, now, pools):
        """Record a measurement of every pool.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        pools : iterable of Pool
            All pools; the history of a missing one is dropped.
        """
        self._pools = {pool.name: pool for pool in pools}
        self._histories = {
            name: self._histories.get(name) or _History() for name in self._pools
        }
        for name, pool in self._pools.items():
            self._histories[name].add_measurement(now, pool)

    def plan_loans(self):
        """Return the loans of spare pools that apply now.

        Returns
        -------
        list of PoolLoan
            Empty if no pool is in excess. The loans of a spare pool plus its own demand
            never exceed its capacity less the reserve.
        """
        free_slots = {
            pool.name: int(
                pool.capacity * (1 - SPARE_RESERVE_RATIO)
                - self._histories[pool.name].recent_demand
            )
            for pool in self._pools.values()
            if pool.is_spare and self._histories[pool.name].excess_since is None
        }
        loans = []
        for pool in self._pools_in_excess():
            missing_slots = (
                int(self._histories[pool.name].highest_demand - pool.capacity) + 1
            )
            for source in sorted(free_slots, key=free_slots.get, reverse=True):
                slots = min(missing_slots, free_slots[source])
                if pool.is_spare or slots <= 0:
                    continue
                free_slots[source] -= slots
                missing_slots -= slots
                loans.append(PoolLoan(source=source, target=pool.name, slots=slots))
        return loans

    def plan_move(self, now, roll_out_s):
        """Return the move to start now, if any.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        roll_out_s : float
            Seconds from the start of a move to the first request in the new pool.

        Returns
        -------
        PoolMove or None
            At most one move. After starting it, call :meth:`record_move`.
        """
        for pool in self._pools_in_excess():
            lasted_s = now - self._histories[pool.name].excess_since
            if lasted_s < self._weights.min_excess_roll_outs * roll_out_s:
                continue
            if self._is_in_move_pause(pool, now, roll_out_s):
                continue
            source = self._find_donor(pool, now, roll_out_s)
            if source is not None:
                return PoolMove(source=source.name, target=pool.name)
        return None

    def record_move(self, now, move):
        """Record that a move was started."""
        for name in (move.source, move.target):
            if name in self._histories:
                self._histories[name].last_move_at = now

    def _pools_in_excess(self):
        """Return the pools in excess, those with the highest priority first."""
        pools = [
            pool
            for pool in self._pools.values()
            if self._histories[pool.name].excess_since is not None
        ]
        return sorted(pools, key=lambda pool: (-pool.priority, pool.name))

    def _is_in_move_pause(self, pool, now, roll_out_s):
        last_move_at = self._histories[pool.name].last_move_at
        return (
            last_move_at is not None
            and now - last_move_at < MOVE_PAUSE_ROLL_OUTS * roll_out_s
        )

    def _find_donor(self, target, now, roll_out_s):
        donors = [
            pool
            for pool in self._pools.values()
            if pool.name != target.name
            and self._can_give_up_instance(pool, target, now)
            and not self._is_in_move_pause(pool, now, roll_out_s)
        ]
        # Spare pools come first, then the pool with the lowest relative demand.
        return min(
            donors,
            key=lambda pool: (
                not pool.is_spare,
                self._histories[pool.name].highest_demand / pool.capacity,
                pool.name,
            ),
            default=None,
        )

    def _can_give_up_instance(self, pool, target, now):
        if pool.priority > target.priority and not pool.is_spare:
            return False
        if pool.down + 1 > pool.max_unavailable or pool.capacity <= 0:
            return False
        if pool.instances - 1 < pool.minimum_instances:
            return False
        history = self._histories[pool.name]
        if now - history.oldest_time < DEMAND_WINDOW_S / 2:
            # The history of its demand is too short.
            return False
        rest = pool.capacity * (1 - 1 / pool.instances)
        return history.highest_demand < MAX_DONOR_LOAD_RATIO * rest
