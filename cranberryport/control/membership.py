"""Membership of the controller group, by which one entry instance becomes controller.

Entry instances join a group in the store. The store assigns the control partition to
one member, and this member is the controller. Instances with too few cores are fallback
members, which join only while no other member is seen.
"""

import functools
import logging
import secrets
import time

from cranberryport import boot_clock
from cranberryport.http import addresses
from cranberryport.platform import store
from cranberryport.scheduling import takeover

GROUP = "controllers"
# A controller that fails is replaced after this time and one join. Up to five joins in
# a row may fail before a membership ends.
TTL_S = 1.5
JOIN_INTERVAL_S = 0.25
JOINS_PENDING_LIMIT = 6
JOIN_TIMEOUT_S = 1.5
OWNERS_TIMEOUT_S = 1.0
OWNERS_QUERY_INTERVAL_S = 0.3
CONTROL_PARTITION = 0
# Separates the address and a random suffix in the name of a member.
SUFFIX_SEPARATOR = "#"
# First character of the suffix in the names of fallback members; not a hexadecimal
# digit, with which the suffix of other members starts.
FALLBACK_MARK = "r"
# The controller needs 0.62 cores for 180 executors at 500 tasks a second
# (bench/controller.py); one core leaves room for peaks.
CONTROLLER_MIN_CORES = 1.0
# Time between the queries of a fallback member for the owners; one query costs as much
# as ten joins.
FALLBACK_QUERY_INTERVAL_S = 2.5
# A fallback member joins after it has seen no member for this time, so that regular
# members that start at the same time can join first.
FALLBACK_JOIN_DELAY_S = 2.0

_logger = logging.getLogger(__name__)


class Membership:
    """Keeps this process in the group and tracks which instance is the controller.

    Parameters
    ----------
    store_client : store.StoreClient
        The store.
    timers : cranberryport.timers.Timers
        Timers of the process.
    address : str
        Address of this process for other entry instances, as ``host:port``. The member
        name adds a random suffix, so that a restarted process gets a new epoch: orders
        that it sent before the restart may still be carried out under the old one.
    ttl_s : float
        Time in seconds without a join after which the store assigns the partitions of
        the member to others.
    on_role_gained : callable
        Called with the new epoch when this process becomes the controller.
    on_role_lost : callable
        Called when this process is no longer the controller, with a callable that
        returns whether leases may still be renewed under the epoch that has ended.
    is_fallback : bool
        Whether this process has too few cores to be the controller if another one can
        be; it joins only after no other member has been seen for some time.
    """

    __slots__ = (
        "_address",
        "_alone_since",
        "_controller_address",
        "_epoch",
        "_generation",
        "_is_fallback",
        "_is_joining",
        "_is_stopped",
        "_joined_at",
        "_member_name",
        "_newest_join_sent_at",
        "_on_role_gained",
        "_on_role_lost",
        "_partitions",
        "_pending_joins",
        "_queried_at",
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
        mark = SUFFIX_SEPARATOR + (FALLBACK_MARK if is_fallback else "")
        self._member_name = f"{address}{mark}{secrets.token_hex(4)}"
        self._is_fallback = is_fallback
        self._is_joining = not is_fallback
        # Monotonic time since which no other member has been seen, or None.
        self._alone_since = None
        self._ttl_s = ttl_s
        self._on_role_gained = on_role_gained
        self._on_role_lost = on_role_lost
        self._generation = 0
        self._epoch = None
        self._controller_address = None
        self._queried_at = 0.0
        self._joined_at = None
        self._newest_join_sent_at = 0.0
        self._partitions = frozenset()
        self._pending_joins = 0
        self._is_stopped = False

    @property
    def epoch(self):
        """Epoch of this process as the controller, None if it is not the controller."""
        return self._epoch

    @property
    def partitions(self):
        """Partitions that the store has assigned to this process."""
        return self._partitions

    @property
    def controller_address(self):
        """Last known address of the controller as ``host:port``, or None."""
        return self._address if self._epoch is not None else self._controller_address

    @property
    def is_sole_controller(self):
        """Whether this process is the controller and no other process can be.

        The store assigns the control partition to another member only if this one has
        not joined for ``ttl_s``, or has confirmed by a join the newer generation in
        which it does not own the partition.
        """
        if self._epoch is None or self._joined_at is None:
            return False
        return boot_clock.now_s() - self._joined_at < self._ttl_s

    @property
    def is_role_proven(self):
        """Whether this process may send orders and renew leases as the controller.

        The proof is the newest join that has confirmed the role, and its age counts
        from the sending of that join, on the clock that does not stop while the machine
        is suspended. All that binds an executor asks here immediately before it is
        sent. A successor got the role from the store after that join.
        """
        if self._epoch is None or self._joined_at is None:
            return False
        return takeover.is_role_proven(boot_clock.now_s() - self._joined_at)

    def start(self):
        """Join the group, or watch its members if this is a fallback member."""
        self._maintain_membership()

    def stop(self, callback):
        """Leave the group.

        Parameters
        ----------
        callback : callable
            Called without arguments when the store has answered or the call has failed.
        """
        self._is_stopped = True
        self._give_up_role()
        self._store.leave(
            GROUP,
            self._member_name,
            callback=lambda _: callback(),
            timeout_s=JOIN_TIMEOUT_S,
        )

    def step_down(self):
        """Give up the controller role until a later join regains it."""
        self._give_up_role()

    def refresh_controller(self):
        """Query the owner of the control partition, unless a query was just sent."""
        now = time.monotonic()
        if self._is_stopped or now - self._queried_at < OWNERS_QUERY_INTERVAL_S:
            return
        self._queried_at = now
        self._store.list_owners(
            GROUP, callback=self._on_owners, timeout_s=OWNERS_TIMEOUT_S
        )

    def _maintain_membership(self):
        if self._is_stopped:
            return
        self._timers.after(JOIN_INTERVAL_S, self._maintain_membership)
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
        if self._pending_joins < JOINS_PENDING_LIMIT:
            self._join()

    def _watch_members(self):
        now = time.monotonic()
        if (
            self._controller_address is None
            or now - self._queried_at >= FALLBACK_QUERY_INTERVAL_S
        ):
            self.refresh_controller()
        is_alone = self._alone_since is not None
        is_alone = is_alone and now - self._alone_since > FALLBACK_JOIN_DELAY_S
        if is_alone and not self._is_joining:
            _logger.info("joining the group", extra={"reason": "no member seen"})
            self._is_joining = True

    def _leave_group(self):
        _logger.info("leaving the group", extra={"reason": "regular member seen"})
        self._is_joining = False
        self._give_up_role()
        self._partitions = frozenset()
        self._store.leave(
            GROUP, self._member_name, callback=_log_leave, timeout_s=JOIN_TIMEOUT_S
        )

    def _join(self):
        self._pending_joins += 1
        sent_at = boot_clock.now_s()
        self._store.join(
            GROUP,
            self._member_name,
            store.CONTROL_TOPIC,
            ttl_s=self._ttl_s,
            generation=self._generation,
            callback=lambda result: self._on_joined(result, sent_at),
            timeout_s=JOIN_TIMEOUT_S,
        )

    def _on_joined(self, result, sent_at):
        self._pending_joins -= 1
        if self._is_stopped or not isinstance(result, store.GroupMembership):
            return
        if not self._is_joining:
            # The store handled the join after the leave; its membership will expire.
            return
        if sent_at < self._newest_join_sent_at or result.generation < self._generation:
            # A newer response has been handled already.
            return
        self._newest_join_sent_at = sent_at
        if result.generation != self._generation:
            self._generation = result.generation
            self._controller_address = None
        self._partitions = result.partitions
        is_owner = CONTROL_PARTITION in result.partitions
        if is_owner:
            self._joined_at = sent_at
        if is_owner and self._epoch is None:
            self._epoch = result.generation
            _logger.info("controller role gained", extra={"epoch": self._epoch})
            self._on_role_gained(self._epoch)
        elif not is_owner and self._epoch is not None:
            self._give_up_role()
            # The store assigns the partition to its new owner only after the previous
            # owner has joined with the new generation.
            self._join()

    def _give_up_role(self):
        if self._epoch is not None:
            _logger.info("controller role lost", extra={"epoch": self._epoch})
            former_epoch, self._epoch = self._epoch, None
            self._on_role_lost(
                functools.partial(self._may_renew_leases, former_epoch, self._joined_at)
            )

    def _may_renew_leases(self, former_epoch, joined_at):
        """Return whether leases may be renewed under an epoch that has ended.

        The successor waits for the renewals of a controller that does not know of its
        end, and so for these. If this process has regained the role in the same epoch,
        its new controller renews them, whose calls have the same tokens.
        """
        if self._epoch == former_epoch:
            return False
        return takeover.is_role_proven(boot_clock.now_s() - joined_at)

    def _on_owners(self, result):
        if isinstance(result, store.PartitionOwners):
            self._update_members(result.members.values())
            address = _read_address(result.members.get(CONTROL_PARTITION, ""))
            if address == self._address:
                address = None
            if address != self._controller_address:
                _logger.info(
                    "controller address changed", extra={"controller": address}
                )
            self._controller_address = address

    def _update_members(self, names):
        own = self._address + SUFFIX_SEPARATOR
        others = [name for name in names if not name.startswith(own)]
        if others:
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = time.monotonic()
        has_regular_member = any(
            SUFFIX_SEPARATOR + FALLBACK_MARK not in name for name in others
        )
        if self._is_fallback and self._is_joining and has_regular_member:
            self._leave_group()


def _read_address(member_name):
    """Return the address in the name of a member, None if there is none."""
    address = member_name.partition(SUFFIX_SEPARATOR)[0]
    if not address:
        return None
    try:
        addresses.parse(address)
    except ValueError as error:
        _logger.warning("unusable member of the group", extra={"reason": str(error)})
        return None
    return address


def _log_leave(result):
    if not isinstance(result, store.LeftGroup):
        _logger.warning(
            "leaving the group not confirmed", extra={"reason": str(result)}
        )
