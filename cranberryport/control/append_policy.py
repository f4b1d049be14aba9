"""Choice of the way in which a caller's record reaches the store, and for how long.

Load pattern: during a peak the store refuses or does not answer a third of the entry
instances for some seconds, or all of them, or each answer takes 100 times longer. An
instance whose own appends fail or are slow has its records appended by the controller's
instance. A repeated append of a record has no effect, so ways can be tried in turn.
"""

# An append by this process, or by the controller's instance on its behalf.
OWN = "own"
RELAYED = "relay"
# Longest time for which a request is tried before its caller is told so; the caller can
# then try another entry instance. Two appends fit into it while the store takes 0.75 s
# for each: the one in progress, and that of the request.
LIMIT_S = 2.0
# The same limit if neither the store nor the controller's instance can be reached.
ISOLATED_LIMIT_S = 0.3
# Timeout of an own append if the other way is open; twice the time of an append of a
# store that is 100 times slower than usual.
OWN_TIMEOUT_S = 0.8
# Timeout of a relayed append while the store is slow. It may have to wait until the
# previous append of the controller's instance is stored.
RELAYED_TIMEOUT_S = 1.8
# Timeouts while own reads or appends fail. An append that a silent store never answers
# also delays those that are queued behind it after the store is back.
FAILING_OWN_TIMEOUT_S = 0.3
FAILING_RELAYED_TIMEOUT_S = 0.5
# An own append that takes longer than this shows that the store is slow. A partition
# handles one append at a time, so the records of all entry instances are then stored
# sooner if a single instance appends them together.
SLOW_APPEND_S = 0.15
# For these times after a failed and after a slow own append, records are relayed.
FAILURE_MEMORY_S = 1.0
SLOWNESS_MEMORY_S = 3.0


def choose_way(
    *,
    now,
    arrived,
    deadline,
    is_own_way_failing,
    is_own_way_slow,
    is_controller_connected,
    previous_way,
):
    """Choose how to append a record next.

    Parameters
    ----------
    now, arrived, deadline : float
        Monotonic times in seconds: present, arrival of the request, and the time until
        which its caller waits for the response.
    is_own_way_failing : bool
        Whether own reads or appends have failed lately.
    is_own_way_slow : bool
        Whether an own append took longer than ``SLOW_APPEND_S`` lately, or timed out.
    is_controller_connected : bool
        Whether the link to the controller's instance is open.
    previous_way : str or None
        Way of the last append of the record, which has failed.

    Returns
    -------
    tuple of (str, float) or None
        ``OWN`` or ``RELAYED`` and the timeout in seconds; None to give up.
    """
    is_isolated = is_own_way_failing and not is_controller_connected
    limit_s = ISOLATED_LIMIT_S if is_isolated else LIMIT_S
    left_s = min(deadline, arrived + limit_s) - now
    if left_s <= 0:
        return None
    if not is_controller_connected:
        return OWN, left_s
    # Further own appends would make a slow store slower for all.
    is_slow_only = is_own_way_slow and not is_own_way_failing
    if (
        previous_way == OWN
        or is_slow_only
        or (previous_way is None and is_own_way_failing)
    ):
        timeout_s = RELAYED_TIMEOUT_S if is_slow_only else FAILING_RELAYED_TIMEOUT_S
        return RELAYED, min(left_s, timeout_s)
    timeout_s = FAILING_OWN_TIMEOUT_S if is_own_way_failing else OWN_TIMEOUT_S
    return OWN, min(left_s, timeout_s)
