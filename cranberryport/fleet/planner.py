"""Chooses the reboots, moves and retirements to start next; has no side effects.

Operations run in only one failure domain (rack) of a pool at a time. If another rack
fails meanwhile, the pool lacks the capacity of two racks at most.
"""

import dataclasses

REBOOT = "reboot"
MOVE = "move"
RETIRE = "retire"


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Intent:
    """An operation that should be done and has not been started.

    Attributes
    ----------
    instance : str
        Name of the instance.
    purpose : {'reboot', 'move', 'retire'}
        Kind of the operation.
    target_pool : str
        Pool to move to; empty unless the purpose is a move.
    authority : {'owner', 'team', ''}
        Authority of the sheet that asks for it; empty for a retirement, which no sheet
        asks for.
    """

    instance: str
    purpose: str
    target_pool: str
    authority: str


def intents(state):
    """Return the operations that should be done and have not been started.

    Parameters
    ----------
    state : cranberryport.state.fold.State
        Control state, with the sheets in force.

    Returns
    -------
    list of Intent
        Ordered by instance; a move comes before a reboot of the same instance.
        Instances with an open operation are left out.
    """
    found = []
    owner_settings = _owner_settings(state)
    for name, entry in sorted(state.fleet.instances.items()):
        if entry.operation:
            continue
        found += _retirement_intents(state, name, entry)
        found += _move_intents(state, name, entry, owner_settings)
        found += _reboot_intents(state, name, entry, owner_settings)
    return found


def _owner_settings(state):
    owner = state.sheets.get("owner")
    rows = owner.rows if owner else []
    return {(row.name, row.setting) for row in rows if row.subject == "instance"}


def _move_intents(state, name, entry, owner_settings):
    target = state.configuration.instance_pools.get(name, "")
    if not target or not entry.pool or target == entry.pool:
        return []
    if target not in state.configuration.pools:
        return []
    authority = _requesting_authority(owner_settings, name, "pool")
    return [
        Intent(instance=name, purpose=MOVE, target_pool=target, authority=authority)
    ]


def _retirement_intents(state, name, entry):
    # An instance that is in neither the platform's list nor a sheet would otherwise
    # count as down in its former pool, and use up the budget, for ever.
    if entry.status != "gone" or name in state.configuration.instance_pools:
        return []
    return [Intent(instance=name, purpose=RETIRE, target_pool="", authority="")]


def _reboot_intents(state, name, entry, owner_settings):
    if state.configuration.maintenance.get(name) != REBOOT:
        return []
    authority = _requesting_authority(owner_settings, name, "maintenance")
    sheet = state.sheets.get(authority)
    # A sheet asks for one reboot per day, however often it is published.
    if sheet is None or entry.maintained >= sheet.day:
        return []
    return [Intent(instance=name, purpose=REBOOT, target_pool="", authority=authority)]


def _requesting_authority(owner_settings, name, setting):
    return "owner" if (name, setting) in owner_settings else "team"


def next_operations(state, *, now, local_time):
    """Return the operations that may start now.

    Parameters
    ----------
    state : cranberryport.state.fold.State
        Control state.
    now : float
        Unix time in seconds; intents of the team's sheet are left out once the day of
        the sheet is over.
    local_time : str
        Local time as HH:MM, compared with the start and end times of the waves.

    Returns
    -------
    list of Intent
        Within the budget of every pool and in one failure domain of each pool.
    """
    team = state.sheets.get("team")
    is_team_day_over = team is not None and now >= team.until
    allowed = [
        intent
        for intent in intents(state)
        if intent.authority != "team" or not is_team_day_over
    ]
    by_pool = {}
    for intent in allowed:
        pool = state.fleet.instances[intent.instance].pool
        by_pool.setdefault(pool, []).append(intent)
    members = _instances_by_pool(state)
    pools_with_operations = {
        pool
        for pool, entries in members.items()
        if any(entry.operation for entry in entries)
    }
    chosen = []
    for pool in sorted(by_pool):
        if _is_allowed_by_waves(
            state, pool, pools_with_operations | by_pool.keys(), local_time
        ):
            chosen += _choose_within_budget(state, pool, members[pool], by_pool[pool])
    return chosen


def _instances_by_pool(state):
    """Return the instances by pool, from one pass over all instances."""
    members = {}
    for _, entry in sorted(state.fleet.instances.items()):
        members.setdefault(entry.pool, []).append(entry)
    return members


def _is_allowed_by_waves(state, pool, unfinished_pools, local_time):
    """Return whether all waves that contain a pool allow operations in it now.

    A wave allows them between its start and end times, and once the pools before this
    one have no open operation and no intent.
    """
    for wave in state.configuration.waves.values():
        if pool not in wave.order:
            continue
        if not wave.not_before <= local_time <= wave.not_after:
            return False
        earlier = wave.order[: wave.order.index(pool)]
        if any(other in unfinished_pools for other in earlier):
            return False
    return True


def _choose_within_budget(state, pool, members, pool_intents):
    """Return the intents of a pool that its budget and failure domain allow.

    Instances without a pool have no budget.
    """
    if not pool:
        return pool_intents
    budget = state.configuration.pool(pool).max_unavailable
    remaining = budget - sum(entry.is_down for entry in members)
    domains = {_failure_domain(entry) for entry in members if entry.operation}
    chosen = []
    for intent in sorted(pool_intents, key=lambda item: _intent_order(state, item)):
        entry = state.fleet.instances[intent.instance]
        # An instance that is already down takes nothing more from the budget.
        cost = 0 if entry.is_down else 1
        if domains and _failure_domain(entry) not in domains:
            continue
        if cost > remaining or any(item.instance == intent.instance for item in chosen):
            continue
        remaining -= cost
        domains.add(_failure_domain(entry))
        chosen.append(intent)
    return chosen


def _intent_order(state, intent):
    entry = state.fleet.instances[intent.instance]
    return (*_failure_domain(entry), intent.instance)


def _failure_domain(entry):
    return entry.data_centre, entry.rack
