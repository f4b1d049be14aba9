"""Random streams in which sessions race, end, repeat records and append damaged ones.

The steps of a stream are derived from a seed. Their records refer to the current state
of the fold, since records with random values would nearly all be rejected.
"""

import random

from hypothesis import strategies

from cranberryport.state import fold_outcomes, shares
from tests import control_stream

SHEETS = [
    ["pool p max_unavailable 1", "pool q max_unavailable 1", "service s connections 5"],
    ["pool p service s", "pool q max_unavailable 2", "service s slots_per_instance 4"],
]
KINDS = """SessionOpened SessionHeartbeat SessionSuspected SessionSuspected
    SessionSuspected SessionClosed SessionFenced SessionFenced SessionFenced
    SessionSettled SessionSettled SheetPublished InstanceObserved InstanceObserved
    OperationStarted OperationStarted DrainReported DrainReported DrainReported
    DrainReported InstanceStopped InstanceStopped InstanceReturned MoveCompleted
    MoveCompleted OperationCancelled SharesReleased SharesReleased KeyClaimed KeyClaimed
    KeyReleased KeyFinished KeysExpired JobAccepted JobPlaced JobPlaced JobFailed
    JobFinished JobCheckpointed JobCancelled repeat repeat noise"""
# Frequent records of these kinds would keep most drains from being completed.
RARE_KINDS = {"SessionClosed", "OperationCancelled"}
# The steps are drawn from a seed, as lists drawn by hypothesis are short and a drain
# alone takes five matching steps.
STEPS_PER_STREAM = 100
SEEDS = strategies.integers(0, 2**32)


def make_stream(seed):
    """Return a stream with three sessions and three instances, and steps to append.

    A step is a kind, the session that writes it, the name that the record is about, and
    a number that selects a variant.
    """
    random_numbers = random.Random(seed)
    stream = control_stream.Stream("abc")
    append_step(stream, "SheetPublished", "a", "a", 2)
    for name in "abc":
        append_step(stream, "InstanceObserved", "a", name, 0)
    kinds = KINDS.split()
    steps = [
        (
            random_numbers.choice(kinds),
            random_numbers.choice("aaabbbcccdef"),
            random_numbers.choice("aaabbcde"),
            random_numbers.randrange(5),
        )
        for _ in range(STEPS_PER_STREAM)
    ]
    return stream, steps


def append_step(stream, kind, session, name, number):
    """Append the record of one step and return its outcomes."""
    state = stream.state
    entry = state.fleet.get(name)
    operation = state.fleet.operations.get(entry.operation if entry else "")
    if kind in RARE_KINDS and number:
        kind = "DrainReported"
    if kind == "DrainReported" and number and operation and operation.waiting:
        session = operation.waiting[0]
    if kind == "noise":
        return stream.append_body(bytes([number]))
    if kind == "repeat":
        return stream.append_body(stream.bodies[-ord(name) % len(stream.bodies)])
    if kind == "SheetPublished":
        version = state.sheets.version("owner") if number else 1
        rows = [*SHEETS[number % 2], *(f"instance {x} pool p" for x in "abc")]
        record = control_stream.make_sheet(f"s{state.position}", version, rows)
        return stream.append(session, record)
    seen = state.sessions.get(name)
    resource = shares.slots_resource(name) if number else "connections/s"
    units = 1
    if kind == "SharesReleased":
        units = state.surplus(session).get(resource, 1)
    task = state.jobs.get(name)
    term = (task.term if task else 0) + (kind == "JobPlaced")
    started = {
        "operation": f"o{state.position}",
        "instance": name,
        "purpose": ("reboot", "move", "reboot", "move", "retire")[number],
        "target_pool": "q" if number in (1, 3) else "",
        "expected_version": entry.version if entry else 0,
    }
    statuses = ("live", "live", "live", "failed", "gone")
    observed = {"instance": name, "slots": 8 - number, "status": statuses[number]}
    job = {"job": name, "term": term, "worker": task.worker if task else session}
    values = {
        "SessionSuspected": {
            "session": name,
            "heartbeat": seen.heartbeat if seen else 0,
        },
        "SessionFenced": {"session": name},
        "SessionSettled": {"session": name},
        "InstanceObserved": observed,
        "OperationStarted": started,
        "SharesReleased": {"resource": resource, "units": units},
        "KeyClaimed": {"key": name, "issued": float(ord(name))},
        "KeyReleased": {"key": name},
        "KeyFinished": {"key": name},
        "KeysExpired": {"issued_before": float(ord("a") + number) - 1},
        "JobAccepted": {"job": name},
        "JobPlaced": {**job, "worker": session},
        "JobFailed": job,
        "JobFinished": {"job": name, "term": term},
        "JobCheckpointed": {"job": name, "term": term},
        "JobCancelled": {"job": name},
    }.get(kind, {"operation": operation.operation if operation else ""})
    if kind in ("SessionOpened", "SessionHeartbeat", "SessionClosed"):
        values = {}
    return [stream.send(session, kind, **values)]


class Invariants:
    """Checks the invariants of the state after each step with a test's assertions."""

    def __init__(self, test, stream):
        self._test = test
        self._stream = stream
        self._claims = {}
        self._version = 0
        self._pools = {}
        self._down = self._down_instances()
        self._held = self._held_units()

    def check(self, result):
        """Check the state after the outcomes of one step."""
        state = self._stream.state
        accepted = [one for one in result if isinstance(one, fold_outcomes.Accepted)]
        for record in (outcome.record for outcome in accepted):
            kind = type(record).__name__
            if kind in ("KeyClaimed", "KeyReleased"):
                count = self._claims.get(record.key, 0)
                self._claims[record.key] = count + (1 if kind == "KeyClaimed" else -1)
            if kind == "OperationStarted":
                self._check_budget(record.instance)
        self._test.assertLessEqual(max(self._claims.values(), default=0), 1)
        self._check_shares()
        self._test.assertGreaterEqual(state.sheets.version("owner"), self._version)
        self._version = state.sheets.version("owner")
        pools = {name: entry.pool for name, entry in state.fleet.instances.items()}
        moved = any(type(one.record).__name__ == "MoveCompleted" for one in accepted)
        for name in pools.keys() & self._pools.keys():
            # Only a completed move changes the pool of an instance.
            if self._pools[name] and not moved:
                self._test.assertEqual(pools[name], self._pools[name])
        self._pools = pools
        self._down = self._down_instances()
        self._test.assertEqual(state.fault_count, 0)

    def _down_instances(self):
        instances = self._stream.state.fleet.instances
        return {name for name, entry in instances.items() if entry.is_down}

    def _check_budget(self, instance):
        # An operation on an instance that was down before uses no more of the budget.
        state = self._stream.state
        pool = state.fleet.get(instance).pool
        if not pool:
            return
        budget = state.configuration.pool(pool).max_unavailable
        members = state.fleet.pool_members(pool)
        self._test.assertLessEqual(sum(bool(one.operation) for one in members), budget)
        if instance not in self._down:
            self._test.assertLessEqual(state.fleet.down_count(pool), budget)

    def _check_shares(self):
        # After a capacity was lowered, the units held above it may only decrease.
        state = self._stream.state
        live = state.sessions.live_ids()
        surpluses = [state.surplus(session) for session in live]
        held_before, self._held = self._held, self._held_units()
        for name, entry in state.shares.resources.items():
            held = self._held[name]
            limit = max(entry.capacity, held_before.get(name, 0))
            self._test.assertLessEqual(held, limit)
            units = entry.held.items()
            locked = sum(count for session, count in units if session not in live)
            surplus = sum(one.get(name, 0) for one in surpluses)
            self._test.assertLessEqual(held - entry.capacity, surplus + locked)

    def _held_units(self):
        resources = self._stream.state.shares.resources
        return {name: sum(entry.held.values()) for name, entry in resources.items()}
