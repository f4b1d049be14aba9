"""Discrete-event model of the decisions under load.

It runs the pure decision modules of the package at their interfaces: arrivals, queues,
shares, loans, service times and faults. Sockets, records and the event loop are left
out, so the figures compare decisions and say nothing of the cost of running them.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from cranberryport.callers import admission, balancing, health, lending, retry, routing
from cranberryport.state import shares

ENTRY_COUNT = 8
SERVERS = 6
SLOTS = 8
SERVICE_COUNT = 5
RACK_SIZE = 4
DURATION_S = 100.0
DRAIN_S = 30.0
MEAN_WORK_S = 0.4
MAX_WORK_S = 4.0
PEAK_S = 8.0
PEAK_LOAD = 1.5
PEAK_FACTOR = 5.0
CALM_PART = 0.05
DEADLINES_S = {"rush": 2.0, "interactive": 5.0, "batch": 20.0}
QUEUE_CAPACITY = 256
HOLD_S = 5.0
LOAN_S = 20.0
LOAN_UNITS = 8
TICK_S = 0.1
BALANCE_S = 1.0
REBOOT_S = 6.0
MOVE_S = 10.0
LIST_LAG_S = 1.0
END_S = 6.0
FENCE_S = 11.0
FAULT_FROM_S = 30.0
FAULT_UNTIL_S = 60.0
FAIL_S = 0.01
RESERVED_RUSH_PERCENT = 10
MAX_UNAVAILABLE = 1


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Policy:
    """Which decisions are made."""

    name: str
    shares: str = "lent"
    queue: str = "fair"
    retry: str = "budget"
    balance: str = "hysteresis"
    needed_factor: float = 2.0
    counts_loans: bool = False
    hold_s: float = HOLD_S


POLICIES = (
    Policy(name="chosen"),
    Policy(name="static split", shares="static"),
    Policy(name="shares without loans", shares="leased"),
    Policy(name="first in, first out", queue="fifo"),
    Policy(name="three retries", retry="three"),
    Policy(name="no loans or moves of pools", balance="none"),
    Policy(name="loans, no moves", balance="loans"),
    Policy(name="move at every peak", balance="every"),
)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Site:
    """A deployment as the model needs it."""

    name: str
    weights: balancing.Weights
    one_way_s: float
    # Parts of rush, interactive and batch by desk; the desks are the services' own.
    mixes: tuple


SITES = (
    Site(
        name="Scoica",
        weights=balancing.Weights(roll_out_time=3.0, buffer_cost=1.0),
        one_way_s=0.0045,
        mixes=((0.1, 0.8, 0.1),) * 4 + ((0.0, 0.4, 0.6),),
    ),
    Site(
        name="Brazos",
        weights=balancing.Weights(roll_out_time=1.0, buffer_cost=3.0),
        one_way_s=0.0015,
        mixes=(
            (0.0, 0.9, 0.1),
            (0.0, 0.9, 0.1),
            (0.0, 0.6, 0.4),
            (1.0, 0.0, 0.0),
            (0.0, 0.1, 0.9),
        ),
    ),
)
FAULTS = ("none", "rack lost", "failing server", "log outage", "frozen entry", "skew")
LASTING = "lasting peak"


class Request:
    """A caller's request."""

    __slots__ = (
        "arrived",
        "attempts",
        "deadline",
        "desk",
        "is_keyed",
        "is_repeatable",
        "outcome",
        "request_class",
        "server",
        "service",
        "tried",
        "was_sent",
        "work_s",
    )

    def __init__(self, *, service, desk, request_class, now, work_s, is_keyed, is_safe):
        self.service = service
        self.desk = desk
        self.request_class = request_class
        self.arrived = now
        self.deadline = now + DEADLINES_S[request_class]
        self.work_s = work_s
        self.is_keyed = is_keyed
        self.is_repeatable = is_safe
        self.attempts = 0
        self.tried = set()
        self.server = None
        self.outcome = None
        self.was_sent = False


class Fifo:
    """Queue without classes, desks and deadlines, at the interface of the real one."""

    def __init__(self):
        self._entries = collections.deque()

    def __len__(self):
        return len(self._entries)

    def entries_ahead(self, _entry):
        """Return the number of all entries."""
        return len(self._entries)

    def offer(self, entry, _now, _wait_s):
        """Queue an entry unless the queue is full."""
        if len(self._entries) >= QUEUE_CAPACITY:
            return admission.Refused(reason="full", retry_after_s=1.0)
        self._entries.append(entry)
        return admission.Queued()

    def take(self, _now, *, rush_only=False, min_time_left_s=0.0):
        """Return the oldest entry."""
        return self._entries.popleft() if self._entries else None

    def peek(self, _now, *, min_time_left_s=0.0):
        """Return the oldest entry and leave it."""
        return self._entries[0] if self._entries else None

    def expire(self, _now):
        """Return nothing."""
        return []


class Server:
    """A backend server."""

    __slots__ = (
        "data_centre",
        "draining",
        "is_failing",
        "name",
        "overruns",
        "pool",
        "rack",
        "running",
        "up",
    )

    def __init__(self, *, name, pool, data_centre, rack):
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self.rack = rack
        self.running = 0
        self.overruns = 0
        self.up = True
        self.draining = False
        self.is_failing = False


class _Service:
    """What an entry instance keeps for one service."""

    __slots__ = ("budget", "health", "queue", "time")

    def __init__(self, policy):
        if policy.queue == "fifo":
            self.queue = Fifo()
        else:
            self.queue = admission.AdmissionQueue(
                capacity=QUEUE_CAPACITY, weight=lambda desk: 1
            )
        self.budget = retry.RetryBudget()
        self.health = health.ServerHealth()
        self.time = admission.ServiceTime(initial_s=MEAN_WORK_S)


class Entry:
    """An entry instance: queues and its shares of the slots."""

    def __init__(self, number, model):
        self.number = number
        self.model = model
        self.data_centre = number % 3
        self.frozen = False
        self.in_use = collections.Counter()
        self.borrowed_in_use = collections.Counter()
        self.spare_in_use = collections.Counter()
        self.services = [_Service(model.policy) for _ in range(SERVICE_COUNT)]
        self.lender = lending.Lender(free_slots=self.free_slots, margin_s=HOLD_S + 1)
        self.borrower = lending.Borrower()
        self.loans = {}
        self.refused_at = {}

    def own(self, server):
        """Return the slots of the own share in use."""
        return self.in_use[server] - self.borrowed_in_use[server]

    def total(self, server):
        """Return the own slots that may be used."""
        share = self.model.share(self.number, server)
        return share - self.lender.lent_slots(server, self.model.now)

    def free_slots(self, service):
        """Return the free own slots by server, for the lender."""
        return {
            server.name: max(0, self.total(server.name) - self.own(server.name))
            for server in self.model.pool(service)
            if self.model.is_usable(server)
        }

    def candidates(self, service, request):
        """Return candidates; with a request, borrowed slots count too."""
        model, now = self.model, self.model.now
        state = self.services[service]
        servers = [one for one in model.servers(service, self) if model.is_usable(one)]
        names = [one.name for one in servers]
        ejected = state.health.ejected_servers(names, now)
        probed = state.health.ejected_or_probed_servers(names) - ejected
        found = []
        for server in servers:
            name = server.name
            if name in ejected or state.health.is_down(name, now):
                continue
            total = self.total(name)
            if request is not None:
                total += self.borrower.usable_slots(name, request.deadline, now)
            if name in probed:
                total = min(total, 1)
            found.append(
                routing.Candidate(
                    name=name,
                    data_centre=server.data_centre,
                    slots_in_use=self.own(name),
                    slots_total=total,
                )
            )
        return found


class Model:
    """One run.

    Parameters
    ----------
    site : Site
        Deployment.
    policy : Policy
        Decisions.
    fault : str
        One of ``FAULTS`` or ``LASTING``.
    seed : int
        Of all random numbers.
    """

    def __init__(self, *, site, policy, fault, seed):
        self.site = site
        self.policy = policy
        self.fault = fault
        self.random = random.Random(f"{site.name} {fault} {seed}")
        self.choices = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.all_servers = self._make_servers()
        self.by_name = {server.name: server for server in self.all_servers}
        self.live = list(range(ENTRY_COUNT))
        self.members = {}
        self.held = {}
        self.entries = [Entry(number, self) for number in range(ENTRY_COUNT)]
        self.is_log_down = False
        self.balancer = balancing.Balancer(weights=site.weights)
        self.pool_loans = {}
        self.requests = []
        self.retries = self.unsafe_retries = self.moves = 0
        self.busy_s = self.idle_spare_s = self.capacity_s = 0.0
        self.spare = SERVICE_COUNT - 1
        self.to_reboot = {}
        self.reboots_done_s = None
        self.list_status = {}

    def _make_servers(self):
        servers = []
        counts = collections.Counter()
        for pool in range(SERVICE_COUNT):
            for number in range(SERVERS):
                centre = number % 3
                rack = f"{centre}-{counts[centre] // RACK_SIZE}"
                counts[centre] += 1
                servers.append(
                    Server(
                        name=f"s{pool}-{number}",
                        pool=pool,
                        data_centre=centre,
                        rack=rack,
                    )
                )
        return servers

    # Control state

    def share(self, entry, server):
        """Return the slots that an entry instance holds of a server."""
        held = self.held.get(server)
        if held is None:
            held = self.held[server] = [
                shares.fair_target(server, SLOTS, rank, ENTRY_COUNT)
                for rank in range(ENTRY_COUNT)
            ]
        return held[entry]

    def is_usable(self, server):
        """Return whether new work may go to a server, by fold and instance list."""
        return not server.draining and self.list_status.get(server.name, True)

    def pool(self, service):
        """Return the servers of a service's own pool."""
        members = self.members.get(service)
        if members is None:
            members = [one for one in self.all_servers if one.pool == service]
            self.members[service] = members
        return members

    def servers(self, service, entry):
        """Return the own pool, and the spare pool while it lends."""
        own = self.pool(service)
        loan = self.pool_loans.get(service, 0)
        part = math.ceil(loan / len(self.live)) if loan else 0
        if part and entry.spare_in_use[service] < part:
            return own + self.pool(self.spare)
        return own

    # Events

    def at(self, delay_s, call, *arguments):
        """Schedule a call."""
        due = self.now + delay_s
        heapq.heappush(self.events, (due, next(self.order), call, arguments))

    def run(self):
        """Run and return the figures."""
        for service in range(SERVICE_COUNT):
            self._arrive(service, is_first=True)
        for entry in self.entries:
            self.at(TICK_S * (1 + entry.number / ENTRY_COUNT), self._tick, entry)
        self.at(BALANCE_S, self._balance)
        self.at(LIST_LAG_S, self._observe_list)
        self.at(10.0, self._start_wave)
        self._schedule_fault()
        while self.events:
            self.now, _, call, arguments = heapq.heappop(self.events)
            if self.now > DURATION_S + DRAIN_S:
                break
            call(*arguments)
        for request in self.requests:
            if request.outcome is None:
                request.outcome = ("unknown", self.now)
        return self._figures()

    def _rate(self, service):
        if self.fault == LASTING and service == 0 and self.now > 20.0:
            is_peak = True
        else:
            is_peak = int(self.now / PEAK_S) % SERVICE_COUNT == service
        load = PEAK_LOAD * SERVERS * SLOTS / MEAN_WORK_S
        if is_peak:
            return load
        return load / PEAK_FACTOR * CALM_PART

    def _arrive(self, service, *, is_first=False):
        if self.now > DURATION_S:
            return
        # Thinning keeps the arrivals right when the rate changes.
        top = PEAK_LOAD * SERVERS * SLOTS / MEAN_WORK_S
        self.at(self.random.expovariate(top), self._arrive, service)
        if is_first or self.random.random() > self._rate(service) / top:
            return
        self._submit(self._make_request(service), self._pick_entry())

    def _make_request(self, service):
        desk = service if self.random.random() < 0.7 else self.random.randrange(5)
        mix = self.site.mixes[desk]
        (name,) = self.random.choices(tuple(DEADLINES_S), mix)
        work_s = min(MAX_WORK_S, self.random.lognormvariate(-1.236, 0.8))
        is_keyed = self.random.random() < 0.25
        request = Request(
            service=service,
            desk=f"desk {desk}",
            request_class=name,
            now=self.now,
            work_s=work_s,
            is_keyed=is_keyed,
            is_safe=not is_keyed and self.random.random() < 0.6,
        )
        self.requests.append(request)
        return request

    def _pick_entry(self):
        if self.fault == "skew" and self.random.random() < 0.5:
            return self.entries[0]
        while True:
            entry = self.entries[self.random.randrange(ENTRY_COUNT)]
            # The platform's balancer notices a frozen instance after a second.
            if not entry.frozen or self.now < FAULT_FROM_S + 1.0:
                return entry

    # The life of a request

    def _finish(self, request, outcome):
        if request.outcome is None:
            if outcome == "not-run" and request.was_sent:
                outcome = "unknown"
            request.outcome = (outcome, self.now + self.site.one_way_s)

    def _submit(self, request, entry):
        if request.outcome is not None:
            return
        if entry.frozen:
            # Nobody answers; the caller gives up at its deadline.
            delay_s = max(0.0, request.deadline - self.now)
            self.at(delay_s, self._finish, request, "unknown")
            return
        if request.is_keyed and self.is_log_down:
            self._finish(request, "not-run")
            return
        state = entry.services[request.service]
        servers = [one for one in self.pool(request.service) if self.is_usable(one)]
        borrowed = borrowed_in_use = 0
        if self.policy.counts_loans:
            borrowed = entry.borrower.borrowed_connections(request.service, self.now)
            borrowed_in_use = sum(entry.borrowed_in_use[one.name] for one in servers)
        wait_s = admission.estimate_wait(
            entries_ahead=state.queue.entries_ahead(request),
            slots_in_use=sum(entry.own(one.name) for one in servers) + borrowed_in_use,
            slots_total=sum(entry.total(one.name) for one in servers) + borrowed,
            service_time_s=state.time.mean_s,
        )
        result = state.queue.offer(request, self.now, wait_s)
        if isinstance(result, admission.Refused):
            self._finish(request, "not-run")
            return
        if result.displaced is not None:
            self._finish(result.displaced, "not-run")
        self._pump(entry, request.service)

    def _pump(self, entry, service):
        if entry.frozen:
            return
        state = entry.services[service]
        for request in state.queue.expire(self.now):
            self._finish(request, "not-run")
        while state.queue:
            request, candidates = self._take(entry, service, state)
            if request is None:
                return
            if request.outcome is None:
                self._start(entry, request, candidates)

    def _take(self, entry, service, state):
        min_time_left_s = self.policy.needed_factor * state.time.mean_s
        candidates = entry.candidates(service, None)
        if any(one.has_free_slot for one in candidates):
            is_open = self._is_open(candidates)
            request = state.queue.take(
                self.now, rush_only=not is_open, min_time_left_s=min_time_left_s
            )
            if request is not None:
                return request, candidates
        if not entry.borrower:
            return None, None
        first = state.queue.peek(self.now, min_time_left_s=min_time_left_s)
        if first is None:
            return None, None
        candidates = entry.candidates(service, first)
        if not any(one.has_free_slot for one in candidates):
            return None, None
        is_open = self._is_open(candidates)
        request = state.queue.take(
            self.now, rush_only=not is_open, min_time_left_s=min_time_left_s
        )
        return request, candidates

    def _is_open(self, candidates):
        """Return whether every class may start, and not only rush requests."""
        return self.policy.queue == "fifo" or admission.may_start(
            "interactive",
            sum(one.slots_in_use for one in candidates),
            sum(one.slots_total for one in candidates),
            RESERVED_RUSH_PERCENT,
        )

    def _start(self, entry, request, candidates):
        chosen = routing.choose_server(
            candidates,
            data_centre=entry.data_centre,
            tried=request.tried,
            random=self.choices,
        )
        state = entry.services[request.service]
        name = chosen.name
        server = self.by_name[name]
        request.attempts += 1
        if request.attempts == 1:
            state.budget.add_first_attempt()
        request.tried.add(name)
        loan = None
        if entry.own(name) >= entry.total(name):
            loan = entry.borrower.acquire_slot(name, request.deadline, self.now)
            entry.borrowed_in_use[name] += 1
        entry.in_use[name] += 1
        if server.pool != request.service:
            entry.spare_in_use[request.service] += 1
        attempt = (entry, request, server, loan, self.now)
        if not server.up:
            self.at(0.05, self._done, attempt, "refused")
        elif server.is_failing:
            self.at(FAIL_S, self._done, attempt, "failed")
        else:
            request.was_sent = True
            server.running += 1
            server.overruns += server.running > SLOTS
            left_s = request.deadline - self.now
            is_late = self.policy.queue != "fifo" and request.work_s > left_s
            if is_late:
                self.at(left_s, self._abandon, attempt)
            self.at(request.work_s, self._stop, attempt, is_late)

    def _stop(self, attempt, is_abandoned):
        server = attempt[2]
        server.running -= 1
        self.busy_s += attempt[1].work_s
        if not is_abandoned:
            self._done(attempt, "answered" if server.up else "failed")

    def _abandon(self, attempt):
        # The slot stays taken, since the server may still be running the work.
        self._finish(attempt[1], "unknown")
        self.at(self.policy.hold_s, self._free_held, attempt)

    def _free_held(self, attempt):
        self._free(attempt)
        self._pump(attempt[0], attempt[1].service)

    def _done(self, attempt, result):
        entry, request, server, _, _ = attempt
        if entry.frozen:
            # The answer waits in the socket until the process runs again.
            self.at(FAULT_UNTIL_S - self.now, self._done, attempt, result)
            return
        self._free(attempt)
        state = entry.services[request.service]
        if result == "answered":
            state.health.record_success(server.name, self.now)
            state.time.observe(request.work_s)
            self._finish(request, "answered")
        else:
            if result == "refused":
                state.health.record_connect_failure(server.name, self.now)
            state.health.record_failure(server.name, self.now)
            self._retry(entry, request, state, result)
        self._pump(entry, request.service)

    def _free(self, attempt):
        entry, request, server, loan, _ = attempt
        entry.in_use[server.name] -= 1
        if server.pool != request.service:
            entry.spare_in_use[request.service] -= 1
        if loan is not None:
            entry.borrowed_in_use[server.name] -= 1
            entry.borrower.release_slot(loan, server.name)

    def _retry(self, entry, request, state, result):
        is_not_run = result == "refused"
        if self.policy.retry == "three":
            delay_s = retry.FIRST_BACKOFF_S if request.attempts <= 3 else None
            is_unsafe = not is_not_run and not request.is_repeatable
            self.unsafe_retries += delay_s is not None and is_unsafe
        else:
            delay_s = retry.plan_retry(
                budget=state.budget,
                attempts=request.attempts,
                is_not_run=is_not_run,
                is_repeatable=request.is_repeatable,
                now=self.now,
                deadline=request.deadline,
                random=self.choices,
            )
        if delay_s is None:
            self._finish(request, "not-run" if is_not_run else "unknown")
            return
        self.retries += 1
        self.at(delay_s, self._submit, request, entry)

    # Loans between entry instances

    def _tick(self, entry):
        if self.now < DURATION_S + DRAIN_S:
            self.at(TICK_S, self._tick, entry)
        if entry.frozen:
            return
        entry.borrower.expire_loans(self.now)
        for service in range(SERVICE_COUNT):
            self._pump(entry, service)
            if self.policy.shares == "lent":
                self._borrow(entry, service)
        if self.policy.shares == "lent":
            self._return(entry)

    def _borrow(self, entry, service):
        waiting = len(entry.services[service].queue)
        candidates = entry.candidates(service, None)
        is_free = any(one.has_free_slot for one in candidates)
        if not waiting or (is_free and self._is_open(candidates)):
            return
        peers = [
            number
            for number in self.live
            if number != entry.number
            and self.now - entry.refused_at.get((number, service), -9.0) >= 0.5
        ]
        self.choices.shuffle(peers)
        for number in peers[:2]:
            if waiting <= 0:
                return
            units = min(waiting, LOAN_UNITS)
            waiting -= units
            loan = f"{entry.number}-{next(self.order)}"
            entry.borrower.record_request(
                self.now, loan, number, LOAN_S, service=service
            )
            entry.loans[loan] = (service, number, self.now)
            self.at(self.site.one_way_s, self._lend, number, entry, loan, units)

    def _lend(self, number, borrower, loan, units):
        lender = self.entries[number]
        if lender.frozen:
            return
        service = borrower.loans[loan][0] if loan in borrower.loans else 0
        granted = []
        if not lender.services[service].queue:
            granted = lender.lender.lend(self.now, service, units, LOAN_S, loan=loan)
        self.at(self.site.one_way_s, self._grant, borrower, loan, granted)

    def _grant(self, entry, loan, granted):
        if loan not in entry.loans:
            return
        service, number, _ = entry.loans[loan]
        if not granted:
            entry.refused_at[number, service] = self.now
            entry.borrower.drop_loan(loan)
            del entry.loans[loan]
            return
        entry.borrower.record_grant(loan, granted)
        self._pump(entry, service)

    def _return(self, entry):
        kept = set()
        for loan, (service, number, wanted_at) in list(entry.loans.items()):
            if not entry.borrower.has_loan(loan):
                del entry.loans[loan]
            elif entry.services[service].queue:
                entry.loans[loan] = (service, number, self.now)
                kept.add(loan)
            elif self.now - wanted_at < 0.5:
                kept.add(loan)
        for number, loan in entry.borrower.remove_idle_loans(kept=kept):
            entry.loans.pop(loan, None)
            self.at(self.site.one_way_s, self.entries[number].lender.end_loan, loan)

    # Pools

    def _observe_list(self):
        self.at(LIST_LAG_S, self._observe_list)
        for server in self.all_servers:
            self.list_status[server.name] = server.up
        for entry, peer in itertools.permutations(self.entries, 2):
            for service in range(SERVICE_COUNT):
                failed = peer.services[service].health.recent_connect_failures(self.now)
                for name in failed:
                    entry.services[service].health.record_peer_report(
                        name, peer.number, self.now
                    )

    def _describe_pools(self):
        demand = collections.Counter()
        for request in self.requests[-20_000:]:
            if request.outcome is None:
                demand[request.service] += 1
        for service in range(SERVICE_COUNT):
            members = self.pool(service)
            usable = [one for one in members if self.is_usable(one)]
            yield balancing.Pool(
                name=str(service),
                demand=demand[service],
                capacity=SLOTS * len(usable),
                instances=len(members),
                down=len(members) - len(usable),
                max_unavailable=MAX_UNAVAILABLE,
                minimum_instances=2,
                priority=0,
                is_spare=service == self.spare,
            )

    def _balance(self):
        if self.now < DURATION_S:
            self.at(BALANCE_S, self._balance)
        pools = list(self._describe_pools())
        self._measure(pools)
        self.balancer.observe(self.now, pools)
        if self.policy.balance == "none":
            return
        if self.policy.balance != "every":
            self.pool_loans = {
                int(loan.target): loan.slots for loan in self.balancer.plan_loans()
            }
        if self.is_log_down or self.policy.balance == "loans":
            return
        move = self._choose_move(pools)
        if move is not None:
            self.balancer.record_move(self.now, move)
            self._move(int(move.source), int(move.target))

    def _choose_move(self, pools):
        if self.policy.balance == "hysteresis":
            return self.balancer.plan_move(self.now, MOVE_S)
        # A move at every peak: from the pool with the most room of those that may give.
        for pool in pools:
            if pool.demand <= pool.capacity:
                continue
            givers = [
                one
                for one in pools
                if one.name != pool.name
                and one.down < one.max_unavailable
                and one.instances > one.minimum_instances
                and one.demand < one.capacity / 2
            ]
            if givers:
                source = min(givers, key=lambda one: one.demand - one.capacity)
                return balancing.PoolMove(source=source.name, target=pool.name)
        return None

    def _move(self, source, target):
        member = next((one for one in self.pool(source) if self.is_usable(one)), None)
        if member is None:
            return
        self.moves += 1
        member.draining = True
        self._wait_quiet(member, self._assign, target)

    def _assign(self, server, target):
        # Members count as down in their old pool until the move is over.
        self.at(MOVE_S, self._complete_move, server, target)

    def _complete_move(self, server, target):
        server.pool = target
        server.draining = False
        self.members.clear()

    def _wait_quiet(self, server, call, *arguments):
        if any(entry.in_use[server.name] for entry in self.entries):
            self.at(0.2, self._wait_quiet, server, call, *arguments)
            return
        call(server, *arguments)

    def _start_wave(self):
        self.to_reboot = {one.name for one in self.all_servers}
        self._advance_wave()

    def _advance_wave(self):
        if not self.to_reboot:
            return
        self.at(0.5, self._advance_wave)
        if self.is_log_down:
            return
        for service in range(SERVICE_COUNT):
            members = self.pool(service)
            down = sum(not self.is_usable(one) for one in members)
            waiting = [one for one in members if one.name in self.to_reboot]
            waiting = [one for one in waiting if self.is_usable(one)]
            if waiting and down < MAX_UNAVAILABLE:
                first = min(waiting, key=lambda one: (one.rack, one.name))
                first.draining = True
                self._wait_quiet(first, self._reboot)

    def _reboot(self, server):
        self.at(REBOOT_S, self._return_server, server)

    def _return_server(self, server):
        server.draining = False
        self.to_reboot.discard(server.name)
        if not self.to_reboot:
            self.reboots_done_s = self.now - 10.0

    # Faults

    def _schedule_fault(self):
        begin, end = FAULT_FROM_S, FAULT_UNTIL_S
        if self.fault == "rack lost":
            rack = [one for one in self.all_servers if one.rack == "0-0"]
            self.at(begin, self._set_up, rack, False)
            self.at(end, self._set_up, rack, True)
        elif self.fault == "failing server":
            self.at(begin, setattr, self.by_name["s0-1"], "is_failing", True)
        elif self.fault == "log outage":
            self.at(begin, setattr, self, "is_log_down", True)
            self.at(end, setattr, self, "is_log_down", False)
        elif self.fault == "frozen entry":
            self.at(begin, setattr, self.entries[3], "frozen", True)
            self.at(begin + END_S, self._end_session, 3)
            self.at(begin + FENCE_S, self._fence, 3)
            self.at(end, self._resume, 3)

    def _set_up(self, servers, is_up):
        for server in servers:
            server.up = is_up

    def _end_session(self, number):
        self.live.remove(number)
        for entry in self.entries:
            entry.borrower.drop_loans_of(number)

    def _fence(self, number):
        if self.policy.shares == "static":
            return
        for server in self.all_servers:
            units = self.share(number, server.name)
            held = self.held[server.name]
            held[number] = 0
            for offset in range(units):
                held[self.live[offset % len(self.live)]] += 1

    def _resume(self, number):
        entry = self.entries[number]
        entry.frozen = False
        self.live.insert(number, number)
        if self.policy.shares == "static":
            return
        # Others release what they do not use; the rest follows with the next tick.
        self._release_to(number)

    def _release_to(self, number):
        is_done = True
        for server in self.all_servers:
            held = self.held[server.name]
            for other in self.entries:
                target = shares.fair_target(
                    server.name, SLOTS, other.number, ENTRY_COUNT
                )
                surplus = held[other.number] - target
                lent = other.lender.lent_slots(server.name, self.now)
                free = held[other.number] - other.own(server.name) - lent
                units = max(0, min(surplus, free))
                held[other.number] -= units
                held[number] += units
                is_done = is_done and surplus <= units
        if not is_done:
            self.at(0.25, self._release_to, number)

    # Figures

    def _measure(self, pools):
        self.capacity_s += SLOTS * len(self.all_servers) * BALANCE_S
        spare = self.pool(self.spare)
        running = sum(one.running for one in spare)
        self.idle_spare_s += (SLOTS * len(spare) - running) * BALANCE_S

    def _figures(self):
        requests = self.requests
        by_class = collections.defaultdict(list)
        by_desk = collections.defaultdict(list)
        lateness = []
        counts = collections.Counter()
        for request in requests:
            outcome, ended = request.outcome
            is_good = outcome == "answered" and ended <= request.deadline
            counts[outcome] += 1
            counts["good"] += is_good
            counts["late"] += outcome == "answered" and not is_good
            by_class[request.request_class].append(is_good)
            by_desk[request.desk].append(is_good)
            if outcome == "answered":
                lateness.append(max(0.0, ended - request.deadline))
        lateness.sort()
        share = {name: sum(part) / len(part) for name, part in by_class.items()}
        desks = {name: sum(part) / len(part) for name, part in sorted(by_desk.items())}
        total = len(requests)
        return {
            "requests": total,
            "good": counts["good"] / total,
            "late": counts["late"] / total,
            **{name: share.get(name, 1.0) for name in DEADLINES_S},
            "desks": desks,
            "worst desk": min(desks.values()),
            "lateness p99": lateness[int(0.99 * len(lateness))] if lateness else 0.0,
            "refused": counts["not-run"] / total,
            "unknown": counts["unknown"] / total,
            "retries": self.retries / total,
            "unsafe retries": self.unsafe_retries,
            "overruns": sum(server.overruns for server in self.all_servers),
            "use": self.busy_s / self.capacity_s,
            "idle spare": self.idle_spare_s / self.capacity_s,
            "roll-out": self.reboots_done_s or float("nan"),
            "moves": self.moves,
        }
