"""Rules of a change of the controller, and of an executor's restart under its id.

Load pattern: a controller is cut off from the store, or paused, while another one takes
over with a slow store; executors crash and are back under their ids at once, while
calls to them are under way. Each rule is a function of what its caller knows; the model
in ``tests/test_scheduling_takeover_model.py`` calls the same functions in all orders of
the steps.
"""

# Executors' clocks may run 2 % slow (platform's protocol).
CLOCK_DRIFT_FACTOR = 1.02
# Time after a join that has confirmed the role for which the controller may send orders
# and renew leases. Its successor waits for as long, see :func:`previous_lease_wait_s`.
# It is longer than the time to live of a member because the store lets no join succeed
# while it is away, for all members: with leases of 4 s, the last renewals outlast the
# longest outage on the users' sheets, 5.9 s.
ROLE_VALIDITY_S = 5.0
# Added for clocks of entry instances that run apart, and for the time between the check
# of the role and the sending of a renewal.
TAKEOVER_MARGIN_S = 0.5
# Time after which an order without an answer is withdrawn: its connection is reset, so
# that an executor that has not received it does not receive it later. Executors answer
# orders within milliseconds, and a repeated order has no further effect, so a short
# time only costs a new connection. 0.7 s delayed whole steps.
ORDER_TIMEOUT_S = 0.4
# Lives of executors that one controller can tell apart in its orders.
LIVES_LIMIT = 1 << 16


def order_token(epoch, life):
    """Return the number that a call to an executor carries, by which calls are ordered.

    An executor refuses calls with a lower number than it has received. It forgets the
    numbers when it restarts, and calls that were meant for its former life may still
    arrive then. The first call to the new life has a higher number than these, so that
    none of them is carried out after it.

    Parameters
    ----------
    epoch : int
        Epoch of the controller.
    life : int
        Number of the executor's life, see :class:`executors.Executor`.

    Returns
    -------
    int
        Larger for a later epoch, and within an epoch for a later life.
    """
    return epoch * LIVES_LIMIT + min(life, LIVES_LIMIT - 1)


def orders_end_at(sent_at, *, late_order_limit_s, longest_lease_s):
    """Return when nothing runs any more by the orders sent until a time, in any life.

    An order names times of the clock of the life that it was meant for. In another life
    neither its validity nor the lease that it asks for bounds it: it is carried out
    within a limit after it was sent, and the executor shortens its lease to the longest
    one.

    Parameters
    ----------
    sent_at : float
        Monotonic time in seconds at which the last order that names a lease was sent,
        or the last one that the executor does not refuse.
    late_order_limit_s : float
        Time in seconds within which an order without an answer is carried out; 0 if the
        executor refuses such orders from then on.
    longest_lease_s : float
        Longest lease that executors grant, in seconds.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    lease_s = longest_lease_s * CLOCK_DRIFT_FACTOR + TAKEOVER_MARGIN_S
    return sent_at + late_order_limit_s + lease_s


def is_role_proven(proof_age_s):
    """Return whether a controller may send what binds an executor.

    Parameters
    ----------
    proof_age_s : float
        Seconds since it has sent the newest join that has confirmed its role.

    Returns
    -------
    bool
        True for less than ``ROLE_VALIDITY_S``.
    """
    return proof_age_s < ROLE_VALIDITY_S


def previous_lease_wait_s(lease_s, role_validity_s=ROLE_VALIDITY_S):
    """Return the seconds after which all leases of a previous controller have expired.

    They count from the moment at which the store has shown the new controller its
    epoch. The last join of the previous one was sent before that, and its last renewal
    at most ``role_validity_s`` after that join. A renewal names the end of the lease on
    the executor's clock, so one that arrives late does not prolong it.

    Parameters
    ----------
    lease_s : float
        Length of a lease in seconds.
    role_validity_s : float
        Time in seconds for which a controller renews leases after the sending of the
        last join that has confirmed its role.

    Returns
    -------
    float
        Time in seconds on the clock of the new controller.
    """
    return role_validity_s + lease_s * CLOCK_DRIFT_FACTOR + TAKEOVER_MARGIN_S


def previous_orders_wait_s():
    """Return the seconds after which a previous controller sends no orders any more.

    They count as those of :func:`previous_lease_wait_s`.
    """
    return ROLE_VALIDITY_S + TAKEOVER_MARGIN_S


def is_start_unanswered(*, is_recorded, is_listed):
    """Return whether an attempt to start a restored run may have had no answer.

    Parameters
    ----------
    is_recorded : bool
        Whether the record of unanswered starts covers the run.
    is_listed : bool
        Whether that record lists it.

    Returns
    -------
    bool
        False only if all attempts had an answer, and none was sent after it.
    """
    return is_listed or not is_recorded


def may_carry_out_start(*, has_unanswered_start, answered_at, down_since):
    """Return whether an executor that is down may carry out a start once it is up.

    Parameters
    ----------
    has_unanswered_start : bool
        Whether an attempt to send the start had no answer.
    answered_at : float or None
        Monotonic time of the answer to the last attempt; None if there was none.
    down_since : float
        Monotonic time at which the executor was down.

    Returns
    -------
    bool
        Whether an attempt may wait at the address of the executor.
    """
    if has_unanswered_start or answered_at is None:
        return True
    return answered_at >= down_since


def may_give_up_unlisted(now, orders_end_at, *, has_read_executors):
    """Return whether restored runs on executors that are not known may be given up.

    Parameters
    ----------
    now, orders_end_at : float
        Monotonic times in seconds: present, and end of all that the predecessor's
        orders may run, see :func:`orders_end_at`.
    has_read_executors : bool
        Whether the list of executors has been read. Before that, an executor may be
        listed and hold the runs, or their ends.

    Returns
    -------
    bool
        Whether no executor can have one of the runs.
    """
    return has_read_executors and now >= orders_end_at


def may_take_lease_for_expired(now, lease_expires_at, *, has_been_asked):
    """Return whether the runs of a known executor may be given up.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    lease_expires_at : float or None
        Monotonic time at which its lease has certainly expired; None if it has none.
    has_been_asked : bool
        Whether it has answered a request of this controller, or failed to.

    Returns
    -------
    bool
        Whether the executor has ended the runs, by its own clock.
    """
    return lease_expires_at is not None and now >= lease_expires_at and has_been_asked


def may_forget_job(*, are_records_deleted, have_readers_passed):
    """Return whether an ended job may be forgotten and its progress be deleted.

    Parameters
    ----------
    are_records_deleted : bool
        Whether each partition has confirmed the deletion of the job's records.
    have_readers_passed : bool
        Whether the reader of each partition has passed the deletion.

    Returns
    -------
    bool
        Whether no record of the job can be read any more.
    """
    return are_records_deleted and have_readers_passed
