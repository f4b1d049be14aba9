"""Membership of the group whose member for the control partition is the controller."""

import logging
import secrets
import time

from cranberryport.platform import store

GROUP = "controllers"
# Takeover after a loss takes this long and a join; five joins may fail in between.
TTL_S = 1.5
JOIN_INTERVAL_S = 0.25
JOINS_PENDING_LIMIT = 6
JOIN_TIMEOUT_S = 1.5
OWNERS_TIMEOUT_S = 1.0
OWNERS_INTERVAL_S = 0.3
CONTROL_PARTITION = 0
LIFE_MARK = "#"
# Follows the mark in the names of members in reserve.
RESERVE_MARK = "r"
# The controller needs 0.62 cores for 180 executors at 500 tasks a second
# (bench.controller); a core leaves room for peaks.
CONTROLLER_MIN_CORES = 1.0
# A member in reserve looks this often who the controller is; a call to the store costs
# as much as ten joins.
RESERVE_INTERVAL_S = 2.5
# Members that start at the same time are given this long to join first.
RESERVE_DELAY_S = 2.0

_logger = logging.getLogger(__name__)


class Membership:
    """Keeps this process in the group and knows who the controller is.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    address : str
        Address of this process for the others, as ``host:port``. Its name in the group
        is another in each life: an order of an earlier life may still be carried out,
        so a new life must not continue its epoch.
    ttl_s : float
        Seconds without a join after which the store gives the partition to another.
    on_role_gained : callable
        Called with the epoch when this process becomes the controller.
    on_role_lost : callable
        Called without arguments when it is not the controller any more.
    is_fallback : bool
        Whether this process is too weak to be the controller while another one can be;
        it joins only once no member has been seen for a time.
    """

    __slots__ = (
        "_address",
        "_asked_at",
        "_controller_address",
        "_empty_since",
        "_epoch",
        "_generation",
        "_is_joining",
        "_is_fallback",
        "_is_stopped",
        "_joined_at",
        "_member",
        "_newest_join",
        "_on_role_gained",
        "_on_role_lost",
        "_partitions",
        "_pending",
        "_store",
        "_timers",
        "_ttl_s",
    )

    def __init__(
        self,
        *,
        store_client,
        timers,
        address,
        on_role_gained,
        on_role_lost,
        ttl_s=TTL_S,
        is_fallback=False,
    ):
        self._store = store_client
        self._timers = timers
        self._address = address
        mark = LIFE_MARK + (RESERVE_MARK if is_fallback else "")
        self._member = f"{address}{mark}{secrets.token_hex(4)}"
        self._is_fallback = is_fallback
        self._is_joining = not is_fallback
        # Monotonic time since which the store has known no member.
        self._empty_since = None
        self._ttl_s = ttl_s
        self._on_role_gained = on_role_gained
        self._on_role_lost = on_role_lost
        self._generation = 0
        self._epoch = None
        self._controller_address = None
        self._asked_at = 0.0
        self._joined_at = None
        self._newest_join = 0.0
        self._partitions = frozenset()
        self._pending = 0
        self._is_stopped = False

    @property
    def epoch(self):
        """Epoch of this process as controller, None if it is not the controller."""
        return self._epoch

    @property
    def partitions(self):
        """Partitions that the group has given to this process."""
        return self._partitions

    @property
    def controller_address(self):
        """Address of the controller as far as known, as ``host:port``, or None."""
        return self._address if self._epoch is not None else self._controller_address

    @property
    def is_sole_controller(self):
        """Whether no other process can own the partition by now."""
        if self._epoch is None or self._joined_at is None:
            return False
        return time.monotonic() - self._joined_at < self._ttl_s

    def start(self):
        """Join the group, or watch it if this process is in reserve."""
        self._tick()

    def stop(self, callback):
        """Leave the group; the callback is called when the store has answered."""
        self._is_stopped = True
        self._lose()
        self._store.leave(
            GROUP,
            self._member,
            callback=lambda _: callback(),
            timeout_s=JOIN_TIMEOUT_S,
        )

    def step_down(self):
        """Stop being the controller until the store says so again."""
        self._lose()

    def refresh_controller(self):
        """Ask the store who the controller is, unless that was just asked."""
        now = time.monotonic()
        if self._is_stopped or now - self._asked_at < OWNERS_INTERVAL_S:
            return
        self._asked_at = now
        self._store.list_owners(
            GROUP, callback=self._on_owners, timeout_s=OWNERS_TIMEOUT_S
        )

    def _tick(self):
        if self._is_stopped:
            return
        self._timers.after(JOIN_INTERVAL_S, self._tick)
        if self._is_fallback:
            self._watch_members()
        if not self._is_joining:
            return
        if (
            self._controller_address is None
            and self._epoch is None
            and self._generation
        ):
            self.refresh_controller()
        if self._pending < JOINS_PENDING_LIMIT:
            self._join()

    def _watch_members(self):
        now = time.monotonic()
        if (
            self._controller_address is None
            or now - self._asked_at >= RESERVE_INTERVAL_S
        ):
            self.refresh_controller()
        is_empty = self._empty_since is not None
        is_empty = is_empty and now - self._empty_since > RESERVE_DELAY_S
        if is_empty and not self._is_joining:
            _logger.info("joining the group", extra={"reason": "no member seen"})
            self._is_joining = True

    def _leave_to_others(self):
        _logger.info("leaving the group", extra={"reason": "stronger member seen"})
        self._is_joining = False
        self._lose()
        self._partitions = frozenset()
        self._store.leave(
            GROUP, self._member, callback=_log_leave, timeout_s=JOIN_TIMEOUT_S
        )

    def _join(self):
        self._pending += 1
        sent_at = time.monotonic()
        self._store.join(
            GROUP,
            self._member,
            store.CONTROL_TOPIC,
            ttl_s=self._ttl_s,
            generation=self._generation,
            callback=lambda result: self._on_joined(result, sent_at),
            timeout_s=JOIN_TIMEOUT_S,
        )

    def _on_joined(self, result, sent_at):
        self._pending -= 1
        if self._is_stopped or not isinstance(result, store.GroupMembership):
            return
        if not self._is_joining:
            # The join arrived after the leave; it lapses by itself.
            return
        if sent_at < self._newest_join or result.generation < self._generation:
            # A slow answer to an earlier join says nothing about the present.
            return
        self._newest_join = sent_at
        self._joined_at = sent_at
        if result.generation != self._generation:
            self._generation = result.generation
            self._controller_address = None
        self._partitions = result.partitions
        is_owner = CONTROL_PARTITION in result.partitions
        if is_owner and self._epoch is None:
            self._epoch = result.generation
            _logger.info("controller role gained", extra={"epoch": self._epoch})
            self._on_role_gained(self._epoch)
        elif not is_owner and self._epoch is not None:
            self._lose()
            # The store gives the partition to its new owner once it hears that the
            # previous one knows of the new generation.
            self._join()

    def _lose(self):
        if self._epoch is not None:
            _logger.info("controller role lost", extra={"epoch": self._epoch})
            self._epoch = None
            self._on_role_lost()

    def _on_owners(self, result):
        if isinstance(result, store.PartitionOwners):
            self._note_members(result.members.values())
            found = result.members.get(CONTROL_PARTITION, "").partition(LIFE_MARK)[0]
            if not found or found == self._address:
                found = None
            if found != self._controller_address:
                _logger.info("controller found", extra={"controller": found})
            self._controller_address = found

    def _note_members(self, names):
        own = self._address + LIFE_MARK
        others = [name for name in names if not name.startswith(own)]
        if others:
            self._empty_since = None
        elif self._empty_since is None:
            self._empty_since = time.monotonic()
        is_stronger_there = any(LIFE_MARK + RESERVE_MARK not in name for name in others)
        if self._is_fallback and self._is_joining and is_stronger_there:
            self._leave_to_others()


def _log_leave(result):
    if not isinstance(result, store.LeftGroup):
        _logger.warning("leave not confirmed", extra={"reason": str(result)})
