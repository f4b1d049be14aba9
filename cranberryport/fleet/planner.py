"""Which planned stops and moves to start next; a pure decision.

Several failure domains of a pool are never worked on at once, so that a failure during
a wave meets at most one domain that is already weakened by the wave.
"""

import dataclasses

REBOOT = "reboot"
MOVE = "move"
RETIRE = "retire"


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Intent:
    """An operation that the sheet asks for and that is not done.

    Attributes
    ----------
    instance : str
        Name of the instance.
    purpose : {'reboot', 'move', 'retire'}
        What to do.
    target_pool : str
        Pool to move to; empty unless the purpose is a move.
    authority : {'owner', 'team', ''}
        Whose row asks for it; empty if no row is needed.
    """

    instance: str
    purpose: str
    target_pool: str
    authority: str


def intents(state):
    """Return what the sheets in force ask for and is not done.

    Parameters
    ----------
    state : cranberryport.state.fold.State
        Control state.

    Returns
    -------
    list of Intent
        Ordered by instance; a move goes before a reboot of the same instance.
    """
    found = []
    owner_rows = _owner_rows(state)
    for name, entry in sorted(state.fleet.instances.items()):
        if entry.operation:
            continue
        found += _retirements(state, name, entry)
        found += _moves(state, name, entry, owner_rows)
        found += _reboots(state, name, entry, owner_rows)
    return found


def _owner_rows(state):
    owner = state.sheets.get("owner")
    rows = owner.rows if owner else []
    return {(row.name, row.setting) for row in rows if row.subject == "instance"}


def _moves(state, name, entry, owner_rows):
    target = state.configuration.instance_pools.get(name, "")
    if not target or not entry.pool or target == entry.pool:
        return []
    if target not in state.configuration.pools:
        return []
    authority = _authority(owner_rows, name, "pool")
    return [
        Intent(instance=name, purpose=MOVE, target_pool=target, authority=authority)
    ]


def _retirements(state, name, entry):
    # A name that neither the platform nor a sheet knows any more would otherwise take
    # from the budget of its former pool for ever.
    if entry.status != "gone" or name in state.configuration.instance_pools:
        return []
    return [Intent(instance=name, purpose=RETIRE, target_pool="", authority="")]


def _reboots(state, name, entry, owner_rows):
    if state.configuration.maintenance.get(name) != REBOOT:
        return []
    authority = _authority(owner_rows, name, "maintenance")
    sheet = state.sheets.get(authority)
    if sheet is None or entry.maintained >= sheet.day:
        return []
    return [Intent(instance=name, purpose=REBOOT, target_pool="", authority=authority)]


def _authority(owner_rows, name, setting):
    return "owner" if (name, setting) in owner_rows else "team"


def next_operations(state, *, now, local_time):
    """Return the operations that may start now.

    Parameters
    ----------
    state : cranberryport.state.fold.State
        Control state.
    now : float
        Unix time; the team's intents end with the day of its sheet.
    local_time : str
        HH:MM; compared with the limits of the waves.

    Returns
    -------
    list of Intent
        Within every pool's budget and in one failure domain of each pool.
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
    members = _members(state)
    busy = {
        pool
        for pool, entries in members.items()
        if any(entry.operation for entry in entries)
    }
    chosen = []
    for pool in sorted(by_pool):
        if _may_start_in(state, pool, busy | by_pool.keys(), local_time):
            chosen += _within_budget(state, pool, members[pool], by_pool[pool])
    return chosen


def _members(state):
    """Return the instances by pool; asking for each pool would read all every time."""
    members = {}
    for _, entry in sorted(state.fleet.instances.items()):
        members.setdefault(entry.pool, []).append(entry)
    return members


def _may_start_in(state, pool, unfinished, local_time):
    """Return whether the waves that name a pool let it begin."""
    for wave in state.configuration.waves.values():
        if pool not in wave.order:
            continue
        if not wave.not_before <= local_time <= wave.not_after:
            return False
        earlier = wave.order[: wave.order.index(pool)]
        if any(other in unfinished for other in earlier):
            return False
    return True


def _within_budget(state, pool, members, pool_intents):
    if not pool:
        return pool_intents
    budget = state.configuration.pool(pool).max_unavailable
    room = budget - sum(entry.is_down for entry in members)
    domains = {_domain(entry) for entry in members if entry.operation}
    chosen = []
    for intent in sorted(pool_intents, key=lambda item: _order(state, item)):
        entry = state.fleet.instances[intent.instance]
        # An instance that is down already takes nothing from the budget.
        cost = 0 if entry.is_down else 1
        if domains and _domain(entry) not in domains:
            continue
        if cost > room or any(item.instance == intent.instance for item in chosen):
            continue
        room -= cost
        domains.add(_domain(entry))
        chosen.append(intent)
    return chosen


def _order(state, intent):
    entry = state.fleet.instances[intent.instance]
    return (*_domain(entry), intent.instance)


def _domain(entry):
    return entry.data_centre, entry.rack
