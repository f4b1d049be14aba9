"""Model check of a change of the controller, in all orders of its steps.

The states are small tuples, and the rules are the functions of
``cranberryport.scheduling.takeover`` that the program calls. The same models are
explored with the rules of earlier versions, in which the faults must be found.
"""

import collections
import types
import unittest

from cranberryport.scheduling import executors, takeover

LEASE_S = 4
# The store gives the role to another member this long after the last join.
MEMBER_LIFETIME_S = 2
HORIZON_S = 15
# Times that the successor is cut off from the executor, or connected again.
LINK_CHANGES_LIMIT = 2
# The model of a restart counts with a shorter limit for late calls than the program, so
# that fewer states are visited; the rules take it as an argument.
LATE_ORDER_LIMIT_S = 3
LONGEST_LEASE_S = 6
RESTART_HORIZON_S = 18
# Validity of a start, after which the executor refuses it.
START_VALIDITY_S = 2


class Conditions:
    """Rates of the clocks of the processes, and whether messages are delayed.

    Parameters
    ----------
    predecessor, successor, executor : float
        Seconds that a clock shows for each second that passes.
    has_delays : bool
        Whether the predecessor may be paused, or its message be delayed, between its
        check of the role and the arrival of what it sends.
    """

    def __init__(
        self, *, predecessor=1.0, successor=1.0, executor=1.0, has_delays=False
    ):
        self.predecessor = predecessor
        self.successor = successor
        self.executor = executor
        self.has_delays = has_delays


EXACT = Conditions()
DELAYED = Conditions(has_delays=True)

# The rules before the review: no end of the role, and silence taken for an end.
EARLIER_RULES = types.SimpleNamespace(
    is_role_proven=lambda proof_age_s: True,
    previous_lease_wait_s=lambda lease_s: takeover.previous_lease_wait_s(
        lease_s, role_validity_s=0.0
    ),
    may_give_up_unlisted=lambda now, expire_at, *, has_read_executors: now >= expire_at,
    may_take_lease_for_expired=lambda now, at, *, has_been_asked: now >= at,
    may_forget_job=lambda **_: True,
)


class ViolationFound(Exception):
    """A state that breaks an invariant, with the steps that lead to it."""


def explore(initial, find_steps):
    """Visit all states that can be reached; return their number.

    Parameters
    ----------
    initial : tuple
        First state.
    find_steps : callable
        Yields name, next state and violation (None if there is none) of each step that
        is possible in a state.

    Raises
    ------
    ViolationFound
        At the first violation; the steps to it are as few as possible.
    """
    parents = {initial: None}
    pending = collections.deque([initial])
    while pending:
        state = pending.popleft()
        for name, following, violation in find_steps(state):
            if violation is not None:
                steps = [name]
                while parents[state] is not None:
                    state, step = parents[state]
                    steps.append(step)
                raise ViolationFound(f"{violation}: {', '.join(reversed(steps))}")
            if following not in parents:
                parents[following] = state, name
                pending.append(following)
    return len(parents)


Takeover = collections.namedtuple(
    "Takeover",
    [
        "now",
        # Time of the last join of the predecessor, and of the role of the successor.
        "proof_at",
        "role_at",
        "is_ready",
        "has_list",
        "has_asked",
        # What the successor knows of the task.
        "task",
        # Whether the executor of the predecessor, or another one, runs the task.
        "is_running",
        "is_running_elsewhere",
        "lease_end",
        # End of the lease in a renewal that is on its way, and the last time at which
        # a start of the predecessor that is on its way is carried out.
        "renewal",
        "start_expires_at",
        # Whether the run has ended as done, and whether its lease is still valid then.
        "has_ended_done",
        "is_done",
        "was_started_after",
        "is_fenced",
        "is_cut_off",
        "link_changes",
    ],
)
FIRST_TAKEOVER = Takeover(
    now=0,
    proof_at=0,
    role_at=None,
    is_ready=False,
    has_list=False,
    has_asked=False,
    task="restored",
    is_running=True,
    is_running_elsewhere=False,
    lease_end=LEASE_S,
    renewal=None,
    start_expires_at=None,
    has_ended_done=False,
    is_done=False,
    was_started_after=False,
    is_fenced=False,
    is_cut_off=False,
    link_changes=0,
)
# The predecessor is a successor itself. It has given up an earlier run, has stored the
# start of another one, and is replaced before the start arrives.
FIRST_SECOND_TAKEOVER = FIRST_TAKEOVER._replace(
    is_running=False, lease_end=0, start_expires_at=START_VALIDITY_S
)


def find_takeover_steps(state, rules, conditions=EXACT):
    """Yield the steps of a takeover beside a predecessor that lives."""
    if state.now < HORIZON_S:
        now = state.now + 1
        is_valid = now <= state.lease_end
        yield (
            f"second {now}",
            state._replace(
                now=now,
                is_running=state.is_running and is_valid,
                # After the lease the platform does not count the end as noted.
                is_done=state.is_done and is_valid,
            ),
            None,
        )
    if state.role_at is None:
        yield "predecessor joins", state._replace(proof_at=state.now), None
        if state.now - state.proof_at >= MEMBER_LIFETIME_S:
            yield "role changes", state._replace(role_at=state.now), None
        # A join that takes the role away proves nothing. After it the predecessor goes
        # on renewing leases by its last proof.
        yield "role is given up", state._replace(role_at=state.now), None
    proof_age_s = (state.now - state.proof_at) * conditions.predecessor
    is_renewed = state.is_running and not state.is_fenced and state.renewal is None
    if is_renewed and rules.is_role_proven(proof_age_s):
        lease_end = state.now + LEASE_S / conditions.executor
        if conditions.has_delays:
            yield "predecessor renews", state._replace(renewal=lease_end), None
        else:
            yield "predecessor renews", state._replace(lease_end=lease_end), None
    if state.renewal is not None:
        lease_end = state.lease_end
        if state.is_running and not state.is_fenced:
            lease_end = max(lease_end, state.renewal)
        arrived = state._replace(lease_end=lease_end, renewal=None)
        yield "renewal arrives", arrived, None
    if state.start_expires_at is not None:
        yield "start arrives", *_start(state, conditions)
    if state.is_running:
        ended = state._replace(is_running=False, has_ended_done=True, is_done=True)
        yield "run ends", ended, None
    if state.link_changes < LINK_CHANGES_LIMIT:
        changes = state.link_changes + 1
        yield (
            "link changes",
            state._replace(is_cut_off=not state.is_cut_off, link_changes=changes),
            None,
        )
    if state.role_at is not None:
        yield from _find_successor_steps(state, rules, conditions)


def _start(state, conditions):
    """Return state and violation after the predecessor's start has arrived."""
    following = state._replace(start_expires_at=None)
    expires_at = state.start_expires_at / conditions.executor
    if state.now > expires_at or state.is_fenced:
        return following, None
    violation = "two runs at once" if state.is_running_elsewhere else None
    lease_end = max(state.lease_end, expires_at)
    return following._replace(is_running=True, lease_end=lease_end), violation


def _find_successor_steps(state, rules, conditions):
    if not state.is_ready:
        yield "successor has loaded", state._replace(is_ready=True), None
        return
    if not state.has_list:
        yield "list of executors read", state._replace(has_list=True), None
    if state.has_list and state.is_cut_off:
        yield "call fails", state._replace(has_asked=True), None
    if state.has_list and not state.is_cut_off:
        yield "executor answers", *_answer(state)
    now = state.now * conditions.successor
    expire_at = state.role_at * conditions.successor + rules.previous_lease_wait_s(
        LEASE_S
    )
    if state.has_list:
        if state.is_fenced:
            # The successor has renewed the lease.
            renewed_until = state.lease_end * conditions.successor
            expire_at = max(expire_at, renewed_until + executors.LEASE_MARGIN_S)
        may_give_up = rules.may_take_lease_for_expired(
            now, expire_at, has_been_asked=state.has_asked
        )
    else:
        may_give_up = rules.may_give_up_unlisted(
            now, expire_at, has_read_executors=state.has_list
        )
    if state.task == "restored" and may_give_up:
        yield "run given up", state._replace(task="waiting"), None
    if state.task == "waiting":
        started = state._replace(
            task="started", is_running_elsewhere=True, was_started_after=state.is_done
        )
        yield "second start", started, _find_violation_of_start(state)


def _find_violation_of_start(state):
    if state.is_running:
        return "two runs at once"
    if state.has_ended_done and not state.has_asked and not state.is_cut_off:
        return "a task that is done runs again, and its executor was not asked"
    return None


def _answer(state):
    """Return state and violation after the executor has listed its runs."""
    following = state._replace(has_asked=True, is_fenced=True)
    if state.has_ended_done:
        violation = (
            "start after an end that is noted" if state.was_started_after else None
        )
        return following._replace(task="done", is_running_elsewhere=False), violation
    if state.is_running and state.task == "restored":
        return following._replace(lease_end=state.now + LEASE_S), None
    if state.is_running:
        return following._replace(is_running=False), None
    task = "waiting" if state.task == "restored" else state.task
    return following._replace(task=task), None


Restart = collections.namedtuple(
    "Restart",
    [
        "now",
        "role_at",
        # Whether the successor has read the list of executors and found this one.
        "has_list",
        "is_found",
        "has_asked",
        # What the successor knows of the task, and when it last sent a renewal.
        "task",
        "renewed_at",
        # Whether the executor has restarted, and whether the store shows this.
        "has_restarted",
        "is_shown",
        "is_running",
        "lease_end",
        "is_fenced",
        # Whether the successor and the store are cut off from the executor.
        "is_cut_off",
        "link_changes",
        # Times at which calls were sent that are not carried out yet, all meant for the
        # life before the restart: the predecessor's, and the successor's renewal.
        "start",
        "renewal",
        "own_renewal",
    ],
)
# The predecessor sends its last join now. Its run is stored.
FIRST_RESTART = Restart(
    now=0,
    role_at=None,
    has_list=False,
    is_found=False,
    has_asked=False,
    task="restored",
    renewed_at=None,
    has_restarted=False,
    is_shown=False,
    is_running=False,
    lease_end=0,
    is_fenced=False,
    is_cut_off=False,
    link_changes=0,
    start=None,
    renewal=None,
    own_renewal=None,
)
CALLS_OF_RESTART = ("start", "renewal", "own_renewal")


def find_restart_steps(state, rules):
    """Yield the steps of a takeover during which the executor restarts under its id.

    A call that is carried out by the next life is bounded by the longest lease only.
    What follows a list that lacks the run is left out, as in the random test of
    restarts: its start may be under way, or be sent by the predecessor even then, and
    the next life would carry it out.
    """
    has_settled = state.task == "started" and state.start is None
    if state.task == "absent" or (has_settled and not rules.is_role_proven(state.now)):
        return
    if state.now < RESTART_HORIZON_S:
        yield f"second {state.now + 1}", _pass_second(state), None
    if state.role_at is None and state.now >= MEMBER_LIFETIME_S:
        yield "role changes", state._replace(role_at=state.now), None
    if rules.is_role_proven(state.now) and not state.is_fenced:
        yield "predecessor starts", state._replace(start=state.now), None
        yield "predecessor renews", state._replace(renewal=state.now), None
    for call in CALLS_OF_RESTART:
        if getattr(state, call) is not None:
            yield f"{call} arrives", *_carry_out(state, call)
    if not state.has_restarted:
        restarted = state._replace(
            has_restarted=True,
            is_running=False,
            lease_end=0,
            is_fenced=False,
            is_cut_off=True,
        )
        yield "executor restarts behind a cut", restarted, None
    if state.link_changes < LINK_CHANGES_LIMIT:
        changed = state._replace(
            is_cut_off=not state.is_cut_off, link_changes=state.link_changes + 1
        )
        yield "link changes", changed, None
    if state.has_restarted and not state.is_cut_off and not state.is_shown:
        shown = state._replace(is_shown=True)
        if state.is_found:
            # The successor counts from the moment at which it learns of the restart.
            shown = shown._replace(renewed_at=state.now)
        yield "store shows the restart", shown, None
    if state.role_at is not None:
        yield from _find_steps_after_restart(state, rules)


def _pass_second(state):
    now = state.now + 1
    changes = {
        call: None
        for call in CALLS_OF_RESTART
        if getattr(state, call) is not None
        and now - getattr(state, call) > LATE_ORDER_LIMIT_S
    }
    is_running = state.is_running and now <= state.lease_end
    return state._replace(now=now, is_running=is_running, **changes)


def _carry_out(state, call):
    """Return state and violation after a call has arrived."""
    sent_at = getattr(state, call)
    following = state._replace(**{call: None})
    is_own = call == "own_renewal"
    if state.is_fenced and not is_own:
        return following, None
    is_late = sent_at + START_VALIDITY_S * takeover.CLOCK_DRIFT_FACTOR < state.now
    if call == "start" and is_late and not state.has_restarted:
        return following, None
    # By the clock of the life that was meant, or of the next one.
    lease_s = START_VALIDITY_S if call == "start" else LEASE_S
    lease_end = sent_at + lease_s * takeover.CLOCK_DRIFT_FACTOR
    if state.has_restarted:
        lease_end = state.now + LONGEST_LEASE_S * takeover.CLOCK_DRIFT_FACTOR
    following = following._replace(lease_end=max(state.lease_end, lease_end))
    if call != "start":
        return following, None
    violation = "two runs at once" if state.task == "started" else None
    return following._replace(is_running=True), violation


def _find_steps_after_restart(state, rules):
    if not state.has_list:
        read = state._replace(has_list=True, is_found=True)
        yield "list of executors read", read, None
        if state.is_cut_off:
            yield "list without it read", read._replace(is_found=False), None
        return
    if state.is_cut_off and state.is_found:
        yield "call fails", state._replace(has_asked=True), None
    if not state.is_cut_off:
        yield "executor answers", _answer_after_restart(state), None
    expire_at = state.role_at + rules.previous_lease_wait_s(LEASE_S)
    sent_at = state.role_at + rules.previous_orders_wait_s()
    if state.renewed_at is not None:
        lease_s = LEASE_S * takeover.CLOCK_DRIFT_FACTOR + executors.LEASE_MARGIN_S
        expire_at = max(expire_at, state.renewed_at + lease_s)
        sent_at = max(sent_at, state.renewed_at)
    end_at = rules.orders_end_at(
        sent_at,
        late_order_limit_s=LATE_ORDER_LIMIT_S,
        longest_lease_s=LONGEST_LEASE_S,
    )
    if state.is_found:
        may_give_up = state.now >= end_at and rules.may_take_lease_for_expired(
            state.now, expire_at, has_been_asked=state.has_asked
        )
    else:
        may_give_up = rules.may_give_up_unlisted(
            state.now, max(end_at, expire_at), has_read_executors=True
        )
    if state.task == "restored" and may_give_up:
        yield "run given up", state._replace(task="waiting"), None
    if state.task == "waiting":
        violation = "two runs at once" if state.is_running else None
        yield "second start", state._replace(task="started"), violation


def _answer_after_restart(state):
    """Return the state after the executor has listed its runs to the successor."""
    following = state._replace(is_found=True, has_asked=True, is_fenced=True)
    if state.task != "restored":
        # It is told to stop what it runs; the list came too late for the check.
        return following._replace(is_running=False)
    if state.is_running:
        renewal = None if state.has_restarted else state.now
        lease_end = max(
            state.lease_end, state.now + LEASE_S * takeover.CLOCK_DRIFT_FACTOR
        )
        return following._replace(
            renewed_at=state.now, lease_end=lease_end, own_renewal=renewal
        )
    return following._replace(task="absent")


Outage = collections.namedtuple(
    "Outage",
    [
        # Number of changes of the controller so far.
        "changes",
        # Whether the stored record lists the start as unanswered; None before the plan
        # of the run is stored.
        "is_listed",
        # What the present controller knows of the task and of its start.
        "task",
        "has_unanswered_start",
        "is_answered",
        # Number of attempts to send the start, and of those that may be carried out.
        "attempts",
        "waiting",
        "is_down",
        "is_running",
    ],
)
FIRST_OUTAGE = Outage(
    changes=0,
    is_listed=None,
    task="planned",
    has_unanswered_start=False,
    is_answered=False,
    attempts=0,
    waiting=0,
    is_down=False,
    is_running=False,
)
CONTROLLER_CHANGES_LIMIT = 2
ATTEMPTS_LIMIT = 2


def find_outage_steps(state, rules):
    """Yield the steps of a start to an executor that is down for a while.

    The controller that has planned the run may be replaced at any moment, and so may
    its successor. An executor that is up again carries out the attempts that wait for
    it, until a successor has asked it for its runs.
    """
    is_first = state.changes == 0
    if state.task == "planned":
        stored = state._replace(is_listed=True, task="ordered")
        yield "plan stored", stored, None
        return
    is_ordered = state.task == "ordered"
    may_send = is_first and is_ordered and not state.is_answered
    if may_send and state.attempts < ATTEMPTS_LIMIT:
        sent = state._replace(attempts=state.attempts + 1, waiting=state.waiting + 1)
        yield "start sent", sent, None
    if is_first and state.waiting:
        yield "no answer", state._replace(has_unanswered_start=True), None
    if state.waiting and not state.is_down:
        yield from _carry_out_waiting_start(state)
    is_settled = state.is_answered and not state.has_unanswered_start
    if is_first and is_settled and state.waiting == 0:
        yield "answer stored", state._replace(is_listed=False), None
    crashed = state._replace(is_down=not state.is_down, is_running=False)
    yield "executor is back" if state.is_down else "executor crashes", crashed, None
    if state.changes < CONTROLLER_CHANGES_LIMIT and is_ordered:
        yield "controller changes", _change_controller(state, rules), None
    if is_ordered and state.is_down:
        yield from _give_up_as_down(state, rules)
    if not is_first and is_ordered and not state.is_down:
        task = "ordered" if state.is_running else "waiting"
        yield "executor answers", state._replace(task=task, waiting=0), None
    if state.task == "waiting":
        violation = "two runs at once" if state.is_running else None
        yield "second start", state._replace(task="started"), violation


def _carry_out_waiting_start(state):
    violation = "two runs at once" if state.task == "started" else None
    carried_out = state._replace(waiting=state.waiting - 1, is_running=True)
    yield "start carried out", carried_out, violation
    if state.changes == 0:
        answered = carried_out._replace(is_answered=True)
        yield "start carried out and answered", answered, violation


def _change_controller(state, rules):
    """Return the state after a controller has read what is stored, and stored it on."""
    is_unanswered = rules.is_start_unanswered(
        is_recorded=True, is_listed=state.is_listed
    )
    return state._replace(
        changes=state.changes + 1,
        has_unanswered_start=is_unanswered,
        is_listed=is_unanswered,
        is_answered=not is_unanswered,
    )


def _give_up_as_down(state, rules):
    # Only the controller that sends the start knows of an attempt under way. An answer
    # has arrived before the executor was down.
    is_under_way = state.changes == 0 and state.waiting > 0
    may_wait = rules.may_carry_out_start(
        has_unanswered_start=state.has_unanswered_start,
        answered_at=0.0 if state.is_answered and not is_under_way else None,
        down_since=1.0,
    )
    if not may_wait:
        yield "run given up as down", state._replace(task="waiting"), None


Deletion = collections.namedtuple(
    "Deletion",
    # By partition: whether the job record is stored, and how far the reader has got
    # (0 before the record, 1 behind it, 2 behind its deletion).
    ["stored", "read", "is_known", "has_progress", "is_over"],
)
FIRST_DELETION = Deletion((True, True), (1, 0), True, True, False)


def find_deletion_steps(state, rules):
    """Yield the steps of the deletion of a completed job from two partitions."""
    if state.is_over:
        return
    for number in range(2):
        stored, read = list(state.stored), list(state.read)
        if state.stored[number]:
            stored[number] = False
            yield f"deleted in {number}", state._replace(stored=tuple(stored)), None
        if state.read[number] == 0 or (
            state.read[number] == 1 and not state.stored[number]
        ):
            read[number] += 1
            is_new = state.read[number] == 0 and not state.is_known
            yield (
                f"read in {number}",
                state._replace(read=tuple(read)),
                "a deleted job is read as a new one" if is_new else None,
            )
    may_forget = rules.may_forget_job(
        are_records_deleted=not any(state.stored),
        have_readers_passed=min(state.read) == 2,
    )
    if state.is_known and may_forget:
        yield "job forgotten", state._replace(is_known=False), None
    if not state.is_known and state.has_progress:
        yield "progress deleted", state._replace(has_progress=False), None
    is_taken_for_new = any(state.stored) and not state.has_progress
    yield (
        "controller is lost",
        state._replace(is_over=True),
        "the successor runs a completed job" if is_taken_for_new else None,
    )


class HandOverModelTest(unittest.TestCase):
    """All orders of the steps within the horizon."""

    def _explore(self, first, find_steps, rules, *conditions):
        return explore(first, lambda state: find_steps(state, rules, *conditions))

    def test_takeover_runs_nothing_twice(self):
        """Guards against a change of a rule that lets a task run twice."""
        count = self._explore(FIRST_TAKEOVER, find_takeover_steps, takeover)
        self.assertGreater(count, 10_000)

    def test_earlier_rules_of_a_takeover_break_it(self):
        """Guards against a model that misses the faults of the review's case 1."""
        with self.assertRaisesRegex(ViolationFound, "two runs at once"):
            self._explore(FIRST_TAKEOVER, find_takeover_steps, EARLIER_RULES)

    def test_each_rule_of_a_takeover_is_needed(self):
        """Guards against a rule that the model does not check."""
        for name in (
            "is_role_proven",
            "previous_lease_wait_s",
            "may_give_up_unlisted",
            "may_take_lease_for_expired",
        ):
            rules = types.SimpleNamespace(**vars(takeover))
            setattr(rules, name, getattr(EARLIER_RULES, name))
            with self.subTest(name=name), self.assertRaises(ViolationFound):
                self._explore(FIRST_TAKEOVER, find_takeover_steps, rules)

    def test_second_successor_runs_nothing_twice(self):
        """Guards against a start or a renewal of its predecessor that arrives late.

        The predecessor was paused after the check of its role.
        """
        count = self._explore(
            FIRST_SECOND_TAKEOVER, find_takeover_steps, takeover, DELAYED
        )
        self.assertGreater(count, 10_000)

    def test_earlier_rules_break_the_takeover_of_a_second_successor(self):
        """Guards against a model in which a late start is never carried out."""
        with self.assertRaises(ViolationFound):
            self._explore(FIRST_SECOND_TAKEOVER, find_takeover_steps, EARLIER_RULES)

    def test_takeover_runs_nothing_twice_with_clocks_that_run_apart(self):
        """Guards against a sum of times that only holds for exact clocks."""
        conditions = Conditions(
            predecessor=1 / takeover.CLOCK_DRIFT_FACTOR,
            successor=takeover.CLOCK_DRIFT_FACTOR,
            executor=1 / takeover.CLOCK_DRIFT_FACTOR,
        )
        for first in (FIRST_TAKEOVER, FIRST_SECOND_TAKEOVER):
            self._explore(first, find_takeover_steps, takeover, conditions)

    def test_clocks_that_run_too_far_apart_break_the_takeover(self):
        """Guards against a model in which the clocks play no part."""
        conditions = Conditions(predecessor=0.5, successor=1.5)
        with self.assertRaisesRegex(ViolationFound, "two runs at once"):
            self._explore(FIRST_TAKEOVER, find_takeover_steps, takeover, conditions)

    def test_restart_behind_a_cut_runs_nothing_twice(self):
        """Guards against a run that is given up by the clock of a former life."""
        count = self._explore(FIRST_RESTART, find_restart_steps, takeover)
        self.assertGreater(count, 10_000)

    def test_lease_of_the_known_life_alone_breaks_a_restart(self):
        """Guards against a model that misses the fault of the incident."""
        for name, rule in (
            ("orders_end_at", lambda sent_at, **_: sent_at),
            (
                "orders_end_at",
                lambda sent_at, *, late_order_limit_s, longest_lease_s: (
                    takeover.orders_end_at(
                        sent_at,
                        late_order_limit_s=0,
                        longest_lease_s=longest_lease_s,
                    )
                ),
            ),
            ("previous_orders_wait_s", lambda: 0.0),
        ):
            rules = types.SimpleNamespace(**vars(takeover))
            setattr(rules, name, rule)
            with (
                self.subTest(name=name),
                self.assertRaisesRegex(ViolationFound, "two runs at once"),
            ):
                self._explore(FIRST_RESTART, find_restart_steps, rules)

    def test_start_to_an_executor_that_is_down_runs_nothing_twice(self):
        """Guards against a successor that knows less than its predecessor (review 11).

        It may be replaced itself before the executor is back.
        """
        count = self._explore(FIRST_OUTAGE, find_outage_steps, takeover)
        self.assertGreater(count, 100)

    def test_unanswered_start_that_is_not_stored_breaks_an_outage(self):
        """Guards against a model that misses the fault of review case 11."""
        for name, rule in (
            ("is_start_unanswered", lambda **_: False),
            ("may_carry_out_start", lambda **_: False),
        ):
            rules = types.SimpleNamespace(**vars(takeover))
            setattr(rules, name, rule)
            with (
                self.subTest(name=name),
                self.assertRaisesRegex(ViolationFound, "two runs at once"),
            ):
                self._explore(FIRST_OUTAGE, find_outage_steps, rules)

    def test_deletion_leaves_no_job_to_run_again(self):
        """Guards against a change of the order in which records are deleted."""
        self._explore(FIRST_DELETION, find_deletion_steps, takeover)

    def test_earlier_rule_of_a_deletion_breaks_it(self):
        """Guards against a model that misses the faults of the review's case 2."""
        for read, violation in (
            ((1, 1), "the successor runs a completed job"),
            ((1, 0), "a deleted job is read as a new one"),
        ):
            first = FIRST_DELETION._replace(read=read)
            with (
                self.subTest(read=read),
                self.assertRaisesRegex(ViolationFound, violation),
            ):
                self._explore(first, find_deletion_steps, EARLIER_RULES)
