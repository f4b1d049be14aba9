"""Discrete-event model that compares policies for decisions under load.

The model calls the package's decision modules (admission, routing, retries, loans,
shares, balancing of pools) with simulated arrivals, service times and faults. Each
service has a pool of its own; the last service's pool is the spare pool, from which
others may borrow slots. The peak moves from service to service. Sockets, records and
the event loop are left out, so the figures compare decisions and don't include the
cost of running them.
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
SERVERS_PER_POOL = 6
SLOTS_PER_SERVER = 8
SERVICE_COUNT = 5
SERVERS_PER_RACK = 4
# Requests arrive during the first and may finish during the second.
DURATION_S = 100.0
DRAIN_S = 30.0
MEAN_WORK_S = 0.4
MAX_WORK_S = 4.0
# The peak moves to the next service after each interval. The load at a peak is a ratio
# of the pool's capacity; off the peak, the rate is the peak rate divided by the factor
# and multiplied by the off-peak ratio.
PEAK_INTERVAL_S = 8.0
PEAK_LOAD_RATIO = 1.5
PEAK_FACTOR = 5.0
OFF_PEAK_RATE_RATIO = 0.05
DEADLINES_S = {"rush": 2.0, "interactive": 5.0, "batch": 20.0}
QUEUE_CAPACITY = 256
ABANDONED_SLOT_HOLD_S = 5.0
LOAN_DURATION_S = 20.0
MAX_LOAN_SLOTS = 8
QUEUE_INTERVAL_S = 0.1
BALANCE_INTERVAL_S = 1.0
REBOOT_DURATION_S = 6.0
MOVE_DURATION_S = 10.0
LIST_LAG_S = 1.0
# From the start of a freeze to the end of the instance's session, and to its fence.
SESSION_END_DELAY_S = 6.0
FENCE_DELAY_S = 11.0
FAULT_START_S = 30.0
FAULT_END_S = 60.0
FAILED_RESPONSE_DELAY_S = 0.01
RESERVED_RUSH_PERCENT = 10
MAX_UNAVAILABLE = 1


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Policy:
    """A combination of decisions.

    Attributes
    ----------
    name : str
        Name in tables and plots.
    shares : {'lent', 'leased', 'static'}
        ``lent``: entry instances lend slots of their shares, and the share of a fenced
        instance passes to the others. ``leased``: only the latter. ``static``: neither.
    queue : {'fair', 'fifo'}
        Admission queue with classes, desks and deadlines, or first in, first out.
    retry : {'budget', 'three'}
        Retries within a budget and only where they are safe, or always up to three.
    balance : {'hysteresis', 'loans', 'every', 'none'}
        Loans of spare slots and moves of servers after a lasting excess; loans only;
        a move at every peak without loans; or neither.
    min_time_left_factor : float
        A queued request starts only if this multiple of the mean service time is left
        until its deadline.
    counts_borrowed_slots : bool
        Whether the estimate of the wait includes borrowed slots.
    abandoned_slot_hold_s : float
        Time after its deadline for which an abandoned request keeps its slot.
    """

    name: str
    shares: str = "lent"
    queue: str = "fair"
    retry: str = "budget"
    balance: str = "hysteresis"
    min_time_left_factor: float = 2.0
    counts_borrowed_slots: bool = False
    abandoned_slot_hold_s: float = ABANDONED_SLOT_HOLD_S


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
class Deployment:
    """Properties of a deployment that the model uses.

    Attributes
    ----------
    name : str
        Name in tables and plots.
    weights : balancing.Weights
        Weights of roll-out time and buffer cost.
    one_way_delay_s : float
        Delay of a message between two instances or to a caller.
    class_mixes : tuple of tuple of float
        For each desk the ratios of rush, interactive and batch requests. Each service
        has one desk.
    """

    name: str
    weights: balancing.Weights
    one_way_delay_s: float
    class_mixes: tuple


DEPLOYMENTS = (
    Deployment(
        name="Scoica",
        weights=balancing.Weights(roll_out_time=3.0, buffer_cost=1.0),
        one_way_delay_s=0.0045,
        class_mixes=((0.1, 0.8, 0.1),) * 4 + ((0.0, 0.4, 0.6),),
    ),
    Deployment(
        name="Brazos",
        weights=balancing.Weights(roll_out_time=1.0, buffer_cost=3.0),
        one_way_delay_s=0.0015,
        class_mixes=(
            (0.0, 0.9, 0.1),
            (0.0, 0.9, 0.1),
            (0.0, 0.6, 0.4),
            (1.0, 0.0, 0.0),
            (0.0, 0.1, 0.9),
        ),
    ),
)
FAULTS = ("none", "rack lost", "failing server", "log outage", "frozen entry", "skew")
LASTING_PEAK = "lasting peak"


class Request:
    """A caller's request.

    Parameters
    ----------
    service : int
        Number of the service.
    desk : str
        Desk of the caller.
    request_class : str
        ``rush``, ``interactive`` or ``batch``; sets the deadline.
    now : float
        Time of arrival.
    work_s : float
        Time that its execution takes.
    is_keyed : bool
        Whether it carries an idempotency key.
    is_safe : bool
        Whether it may be repeated.
    """

    __slots__ = (
        "arrived_at",
        "attempts",
        "deadline",
        "desk",
        "is_keyed",
        "is_repeatable",
        "outcome",
        "request_class",
        "server",
        "service",
        "tried_servers",
        "was_sent",
        "work_s",
    )

    def __init__(self, *, service, desk, request_class, now, work_s, is_keyed, is_safe):
        self.service = service
        self.desk = desk
        self.request_class = request_class
        self.arrived_at = now
        self.deadline = now + DEADLINES_S[request_class]
        self.work_s = work_s
        self.is_keyed = is_keyed
        self.is_repeatable = is_safe
        self.attempts = 0
        self.tried_servers = set()
        self.server = None
        self.outcome = None
        self.was_sent = False


class FifoQueue:
    """Queue without classes, desks and deadlines.

    It has the interface of :class:`admission.AdmissionQueue`.
    """

    def __init__(self):
        self._entries = collections.deque()

    def __len__(self):
        return len(self._entries)

    def entries_ahead(self, _entry):
        """Return the number of queued entries."""
        return len(self._entries)

    def offer(self, entry, _now, _wait_s):
        """Queue an entry unless the queue is full."""
        if len(self._entries) >= QUEUE_CAPACITY:
            return admission.Refused(reason="full", retry_after_s=1.0)
        self._entries.append(entry)
        return admission.Queued()

    def take(self, _now, *, rush_only=False, min_time_left_s=0.0):
        """Remove and return the oldest entry, or return None."""
        return self._entries.popleft() if self._entries else None

    def peek(self, _now, *, min_time_left_s=0.0):
        """Return the oldest entry without removing it, or None."""
        return self._entries[0] if self._entries else None

    def expire(self, _now):
        """Return no expired entries, since deadlines are ignored."""
        return []


class Server:
    """A backend server.

    Parameters
    ----------
    name : str
        Name.
    pool : int
        Number of its pool, which is the number of the pool's service.
    data_centre : int
        Number of its data centre.
    rack : str
        Its rack.
    """

    __slots__ = (
        "data_centre",
        "is_draining",
        "is_failing",
        "is_up",
        "name",
        "overruns",
        "pool",
        "rack",
        "running",
    )

    def __init__(self, *, name, pool, data_centre, rack):
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self.rack = rack
        self.running = 0
        self.overruns = 0
        self.is_up = True
        self.is_draining = False
        self.is_failing = False


class _ServiceState:
    """State that an entry instance keeps for one service."""

    __slots__ = ("health", "queue", "retry_budget", "service_time")

    def __init__(self, policy):
        if policy.queue == "fifo":
            self.queue = FifoQueue()
        else:
            self.queue = admission.AdmissionQueue(
                capacity=QUEUE_CAPACITY, weight=lambda desk: 1
            )
        self.retry_budget = retry.RetryBudget()
        self.health = health.ServerHealth()
        self.service_time = admission.ServiceTime(initial_s=MEAN_WORK_S)


class Entry:
    """An entry instance with its queues, its slots in use and its loans.

    Parameters
    ----------
    number : int
        Its number, also its rank among the sessions.
    model : Model
        Model that it belongs to.
    """

    def __init__(self, number, model):
        self.number = number
        self.model = model
        self.data_centre = number % 3
        self.is_frozen = False
        self.used_slots = collections.Counter()
        self.used_borrowed_slots = collections.Counter()
        self.used_spare_slots = collections.Counter()
        self.services = [_ServiceState(model.policy) for _ in range(SERVICE_COUNT)]
        self.lender = lending.Lender(
            free_slots=self.free_slots, margin_s=ABANDONED_SLOT_HOLD_S + 1
        )
        self.borrower = lending.Borrower()
        # Service, number of the lender, and time when it was last needed.
        self.loans_by_id = {}
        # Time of the last refusal by lender and service.
        self.refused_at = {}

    def own_slots_in_use(self, server):
        """Return the used slots of a server that belong to this instance's share."""
        return self.used_slots[server] - self.used_borrowed_slots[server]

    def unlent_slots(self, server):
        """Return the slots of a server in this instance's share that are not lent."""
        held_slots = self.model.held_slots(self.number, server)
        return held_slots - self.lender.lent_slots(server, self.model.now)

    def free_slots(self, service):
        """Return by server the unlent slots of the share that are not in use."""
        return {
            server.name: max(
                0, self.unlent_slots(server.name) - self.own_slots_in_use(server.name)
            )
            for server in self.model.pool_servers(service)
            if self.model.is_usable(server)
        }

    def candidates(self, service, request):
        """Return the servers that may get a request.

        Parameters
        ----------
        service : int
            Service of the request.
        request : Request or None
            Request for which borrowed slots are counted; None to leave them out.

        Returns
        -------
        list of routing.Candidate
            Usable servers that are neither ejected nor down.
        """
        model, now = self.model, self.model.now
        service_state = self.services[service]
        servers = [
            server
            for server in model.candidate_servers(service, self)
            if model.is_usable(server)
        ]
        names = [server.name for server in servers]
        ejected = service_state.health.ejected_servers(names, now)
        probed = service_state.health.ejected_or_probed_servers(names) - ejected
        candidates = []
        for server in servers:
            name = server.name
            if name in ejected or service_state.health.is_down(name, now):
                continue
            slots_total = self.unlent_slots(name)
            if request is not None:
                slots_total += self.borrower.usable_slots(name, request.deadline, now)
            if name in probed:
                slots_total = min(slots_total, 1)
            candidates.append(
                routing.Candidate(
                    name=name,
                    data_centre=server.data_centre,
                    slots_in_use=self.own_slots_in_use(name),
                    slots_total=slots_total,
                )
            )
        return candidates


class Model:
    """One run of the model.

    Parameters
    ----------
    deployment : Deployment
        Deployment.
    policy : Policy
        Decisions.
    fault : str
        One of ``FAULTS`` or ``LASTING_PEAK``.
    seed : int
        Seed of the random numbers. The traffic is the same for all policies.
    """

    def __init__(self, *, deployment, policy, fault, seed):
        self.deployment = deployment
        self.policy = policy
        self.fault = fault
        self.traffic_random = random.Random(f"{deployment.name} {fault} {seed}")
        self.decision_random = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.sequence_numbers = itertools.count()
        self.all_servers = self._make_servers()
        self.server_by_name = {server.name: server for server in self.all_servers}
        self.live_entry_numbers = list(range(ENTRY_COUNT))
        self.servers_by_pool = {}
        self.held_slots_by_server = {}
        self.entries = [Entry(number, self) for number in range(ENTRY_COUNT)]
        self.is_log_down = False
        self.balancer = balancing.Balancer(weights=deployment.weights)
        self.lent_spare_slots = {}
        self.requests = []
        self.retries = self.unsafe_retries = self.moves = 0
        self.busy_slot_s = self.idle_spare_slot_s = self.capacity_slot_s = 0.0
        self.spare_pool = SERVICE_COUNT - 1
        self.names_to_reboot = {}
        self.reboots_done_s = None
        self.listed_as_up = {}

    def _make_servers(self):
        servers = []
        counts = collections.Counter()
        for pool in range(SERVICE_COUNT):
            for number in range(SERVERS_PER_POOL):
                data_centre = number % 3
                rack = f"{data_centre}-{counts[data_centre] // SERVERS_PER_RACK}"
                counts[data_centre] += 1
                servers.append(
                    Server(
                        name=f"s{pool}-{number}",
                        pool=pool,
                        data_centre=data_centre,
                        rack=rack,
                    )
                )
        return servers

    # Control state

    def held_slots(self, entry, server):
        """Return the slots of a server in the share of an entry instance.

        Parameters
        ----------
        entry : int
            Number of the entry instance.
        server : str
            Name of the server.
        """
        held_by_entry = self.held_slots_by_server.get(server)
        if held_by_entry is None:
            held_by_entry = self.held_slots_by_server[server] = [
                shares.fair_target(server, SLOTS_PER_SERVER, rank, ENTRY_COUNT)
                for rank in range(ENTRY_COUNT)
            ]
        return held_by_entry[entry]

    def is_usable(self, server):
        """Return whether new requests may go to a server.

        They may not if the control state has it draining or the list shows it as down.
        """
        return not server.is_draining and self.listed_as_up.get(server.name, True)

    def pool_servers(self, service):
        """Return the servers of a service's own pool."""
        members = self.servers_by_pool.get(service)
        if members is None:
            members = [server for server in self.all_servers if server.pool == service]
            self.servers_by_pool[service] = members
        return members

    def candidate_servers(self, service, entry):
        """Return the servers that an entry instance may use for a service.

        These are the service's own pool and, while the instance uses less than its part
        of the slots lent by the spare pool, the spare pool.
        """
        own = self.pool_servers(service)
        lent = self.lent_spare_slots.get(service, 0)
        entry_limit = math.ceil(lent / len(self.live_entry_numbers)) if lent else 0
        if entry_limit and entry.used_spare_slots[service] < entry_limit:
            return own + self.pool_servers(self.spare_pool)
        return own

    # Events

    def schedule(self, delay_s, callback, *arguments):
        """Call a function with arguments after a delay."""
        due = self.now + delay_s
        heapq.heappush(
            self.events, (due, next(self.sequence_numbers), callback, arguments)
        )

    def run(self):
        """Run and return the figures."""
        for service in range(SERVICE_COUNT):
            self._schedule_arrival(service, is_first=True)
        for entry in self.entries:
            self.schedule(
                QUEUE_INTERVAL_S * (1 + entry.number / ENTRY_COUNT),
                self._run_queues,
                entry,
            )
        self.schedule(BALANCE_INTERVAL_S, self._balance_pools)
        self.schedule(LIST_LAG_S, self._update_server_states)
        self.schedule(10.0, self._start_reboots)
        self._schedule_fault()
        while self.events:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            if self.now > DURATION_S + DRAIN_S:
                break
            callback(*arguments)
        for request in self.requests:
            if request.outcome is None:
                request.outcome = ("unknown", self.now)
        return self._summarize()

    def _arrival_rate(self, service):
        if self.fault == LASTING_PEAK and service == 0 and self.now > 20.0:
            is_peak = True
        else:
            is_peak = int(self.now / PEAK_INTERVAL_S) % SERVICE_COUNT == service
        peak_rate = PEAK_LOAD_RATIO * SERVERS_PER_POOL * SLOTS_PER_SERVER / MEAN_WORK_S
        if is_peak:
            return peak_rate
        return peak_rate / PEAK_FACTOR * OFF_PEAK_RATE_RATIO

    def _schedule_arrival(self, service, *, is_first=False):
        if self.now > DURATION_S:
            return
        # Arrivals are drawn at the highest rate and dropped at random (thinning), so
        # that they follow a rate that changes with time.
        max_rate = PEAK_LOAD_RATIO * SERVERS_PER_POOL * SLOTS_PER_SERVER / MEAN_WORK_S
        self.schedule(
            self.traffic_random.expovariate(max_rate), self._schedule_arrival, service
        )
        if (
            is_first
            or self.traffic_random.random() > self._arrival_rate(service) / max_rate
        ):
            return
        self._submit_request(self._make_request(service), self._choose_entry())

    def _make_request(self, service):
        desk = (
            service
            if self.traffic_random.random() < 0.7
            else self.traffic_random.randrange(5)
        )
        class_weights = self.deployment.class_mixes[desk]
        (name,) = self.traffic_random.choices(tuple(DEADLINES_S), class_weights)
        work_s = min(MAX_WORK_S, self.traffic_random.lognormvariate(-1.236, 0.8))
        is_keyed = self.traffic_random.random() < 0.25
        request = Request(
            service=service,
            desk=f"desk {desk}",
            request_class=name,
            now=self.now,
            work_s=work_s,
            is_keyed=is_keyed,
            is_safe=not is_keyed and self.traffic_random.random() < 0.6,
        )
        self.requests.append(request)
        return request

    def _choose_entry(self):
        if self.fault == "skew" and self.traffic_random.random() < 0.5:
            return self.entries[0]
        while True:
            entry = self.entries[self.traffic_random.randrange(ENTRY_COUNT)]
            # The platform's load balancer detects a frozen instance after 1 s.
            if not entry.is_frozen or self.now < FAULT_START_S + 1.0:
                return entry

    # Handling of a request

    def _set_outcome(self, request, outcome):
        if request.outcome is None:
            if outcome == "not-run" and request.was_sent:
                outcome = "unknown"
            request.outcome = (outcome, self.now + self.deployment.one_way_delay_s)

    def _submit_request(self, request, entry):
        if request.outcome is not None:
            return
        if entry.is_frozen:
            # The caller gets no answer and gives up at its deadline.
            delay_s = max(0.0, request.deadline - self.now)
            self.schedule(delay_s, self._set_outcome, request, "unknown")
            return
        if request.is_keyed and self.is_log_down:
            self._set_outcome(request, "not-run")
            return
        service_state = entry.services[request.service]
        servers = [
            server
            for server in self.pool_servers(request.service)
            if self.is_usable(server)
        ]
        borrowed = borrowed_in_use = 0
        if self.policy.counts_borrowed_slots:
            borrowed = entry.borrower.borrowed_connections(request.service, self.now)
            borrowed_in_use = sum(
                entry.used_borrowed_slots[server.name] for server in servers
            )
        wait_s = admission.estimate_wait(
            entries_ahead=service_state.queue.entries_ahead(request),
            slots_in_use=sum(entry.own_slots_in_use(server.name) for server in servers)
            + borrowed_in_use,
            slots_total=sum(entry.unlent_slots(server.name) for server in servers)
            + borrowed,
            service_time_s=service_state.service_time.mean_s,
        )
        result = service_state.queue.offer(request, self.now, wait_s)
        if isinstance(result, admission.Refused):
            self._set_outcome(request, "not-run")
            return
        if result.displaced is not None:
            self._set_outcome(result.displaced, "not-run")
        self._start_queued_requests(entry, request.service)

    def _start_queued_requests(self, entry, service):
        if entry.is_frozen:
            return
        service_state = entry.services[service]
        for request in service_state.queue.expire(self.now):
            self._set_outcome(request, "not-run")
        while service_state.queue:
            request, candidates = self._take_from_queue(entry, service, service_state)
            if request is None:
                return
            if request.outcome is None:
                self._start_attempt(entry, request, candidates)

    def _take_from_queue(self, entry, service, service_state):
        min_time_left_s = (
            self.policy.min_time_left_factor * service_state.service_time.mean_s
        )
        candidates = entry.candidates(service, None)
        if any(server.has_free_slot for server in candidates):
            may_every_class_start = self._may_every_class_start(candidates)
            request = service_state.queue.take(
                self.now,
                rush_only=not may_every_class_start,
                min_time_left_s=min_time_left_s,
            )
            if request is not None:
                return request, candidates
        if not entry.borrower:
            return None, None
        next_request = service_state.queue.peek(
            self.now, min_time_left_s=min_time_left_s
        )
        if next_request is None:
            return None, None
        candidates = entry.candidates(service, next_request)
        if not any(server.has_free_slot for server in candidates):
            return None, None
        may_every_class_start = self._may_every_class_start(candidates)
        request = service_state.queue.take(
            self.now,
            rush_only=not may_every_class_start,
            min_time_left_s=min_time_left_s,
        )
        return request, candidates

    def _may_every_class_start(self, candidates):
        """Return whether every class may start, and not only rush requests."""
        return self.policy.queue == "fifo" or admission.may_start(
            "interactive",
            sum(server.slots_in_use for server in candidates),
            sum(server.slots_total for server in candidates),
            RESERVED_RUSH_PERCENT,
        )

    def _start_attempt(self, entry, request, candidates):
        chosen = routing.choose_server(
            candidates,
            data_centre=entry.data_centre,
            tried=request.tried_servers,
            random=self.decision_random,
        )
        service_state = entry.services[request.service]
        name = chosen.name
        server = self.server_by_name[name]
        request.attempts += 1
        if request.attempts == 1:
            service_state.retry_budget.add_first_attempt()
        request.tried_servers.add(name)
        loan_id = None
        if entry.own_slots_in_use(name) >= entry.unlent_slots(name):
            loan_id = entry.borrower.acquire_slot(name, request.deadline, self.now)
            entry.used_borrowed_slots[name] += 1
        entry.used_slots[name] += 1
        if server.pool != request.service:
            entry.used_spare_slots[request.service] += 1
        # The callbacks of an attempt get these; the loan id is None on an own slot.
        attempt = (entry, request, server, loan_id, self.now)
        if not server.is_up:
            # A connection to a server that is down is refused after 50 ms.
            self.schedule(0.05, self._finish_attempt, attempt, "refused")
        elif server.is_failing:
            self.schedule(
                FAILED_RESPONSE_DELAY_S, self._finish_attempt, attempt, "failed"
            )
        else:
            request.was_sent = True
            server.running += 1
            server.overruns += server.running > SLOTS_PER_SERVER
            left_s = request.deadline - self.now
            is_late = self.policy.queue != "fifo" and request.work_s > left_s
            if is_late:
                self.schedule(left_s, self._abandon_attempt, attempt)
            self.schedule(request.work_s, self._end_execution, attempt, is_late)

    def _end_execution(self, attempt, is_abandoned):
        server = attempt[2]
        server.running -= 1
        self.busy_slot_s += attempt[1].work_s
        if not is_abandoned:
            self._finish_attempt(attempt, "answered" if server.is_up else "failed")

    def _abandon_attempt(self, attempt):
        # The slot stays in use, since the server may still be executing the request.
        self._set_outcome(attempt[1], "unknown")
        self.schedule(
            self.policy.abandoned_slot_hold_s, self._release_abandoned_slot, attempt
        )

    def _release_abandoned_slot(self, attempt):
        self._release_slot(attempt)
        self._start_queued_requests(attempt[0], attempt[1].service)

    def _finish_attempt(self, attempt, result):
        entry, request, server, _, _ = attempt
        if entry.is_frozen:
            # The response stays in the socket until the process resumes.
            self.schedule(FAULT_END_S - self.now, self._finish_attempt, attempt, result)
            return
        self._release_slot(attempt)
        service_state = entry.services[request.service]
        if result == "answered":
            service_state.health.record_success(server.name, self.now)
            service_state.service_time.observe(request.work_s)
            self._set_outcome(request, "answered")
        else:
            if result == "refused":
                service_state.health.record_connect_failure(server.name, self.now)
            service_state.health.record_failure(server.name, self.now)
            self._retry_or_finish(entry, request, service_state, result)
        self._start_queued_requests(entry, request.service)

    def _release_slot(self, attempt):
        entry, request, server, loan_id, _ = attempt
        entry.used_slots[server.name] -= 1
        if server.pool != request.service:
            entry.used_spare_slots[request.service] -= 1
        if loan_id is not None:
            entry.used_borrowed_slots[server.name] -= 1
            entry.borrower.release_slot(loan_id, server.name)

    def _retry_or_finish(self, entry, request, service_state, result):
        is_not_run = result == "refused"
        if self.policy.retry == "three":
            delay_s = retry.FIRST_BACKOFF_S if request.attempts <= 3 else None
            is_unsafe = not is_not_run and not request.is_repeatable
            self.unsafe_retries += delay_s is not None and is_unsafe
        else:
            delay_s = retry.plan_retry(
                budget=service_state.retry_budget,
                attempts=request.attempts,
                is_not_run=is_not_run,
                is_repeatable=request.is_repeatable,
                now=self.now,
                deadline=request.deadline,
                random=self.decision_random,
            )
        if delay_s is None:
            self._set_outcome(request, "not-run" if is_not_run else "unknown")
            return
        self.retries += 1
        self.schedule(delay_s, self._submit_request, request, entry)

    # Loans between entry instances

    def _run_queues(self, entry):
        if self.now < DURATION_S + DRAIN_S:
            self.schedule(QUEUE_INTERVAL_S, self._run_queues, entry)
        if entry.is_frozen:
            return
        entry.borrower.expire_loans(self.now)
        for service in range(SERVICE_COUNT):
            self._start_queued_requests(entry, service)
            if self.policy.shares == "lent":
                self._request_loans(entry, service)
        if self.policy.shares == "lent":
            self._return_idle_loans(entry)

    def _request_loans(self, entry, service):
        waiting = len(entry.services[service].queue)
        candidates = entry.candidates(service, None)
        is_free = any(server.has_free_slot for server in candidates)
        if not waiting or (is_free and self._may_every_class_start(candidates)):
            return
        peers = [
            number
            for number in self.live_entry_numbers
            if number != entry.number
            and self.now - entry.refused_at.get((number, service), -9.0) >= 0.5
        ]
        self.decision_random.shuffle(peers)
        for number in peers[:2]:
            if waiting <= 0:
                return
            slots = min(waiting, MAX_LOAN_SLOTS)
            waiting -= slots
            loan_id = f"{entry.number}-{next(self.sequence_numbers)}"
            entry.borrower.record_request(
                self.now, loan_id, number, LOAN_DURATION_S, service=service
            )
            entry.loans_by_id[loan_id] = (service, number, self.now)
            self.schedule(
                self.deployment.one_way_delay_s,
                self._answer_loan_request,
                number,
                entry,
                loan_id,
                slots,
            )

    def _answer_loan_request(self, number, borrower, loan_id, slots):
        lender = self.entries[number]
        if lender.is_frozen:
            return
        service = (
            borrower.loans_by_id[loan_id][0] if loan_id in borrower.loans_by_id else 0
        )
        granted = []
        if not lender.services[service].queue:
            granted = lender.lender.lend(
                self.now, service, slots, LOAN_DURATION_S, loan=loan_id
            )
        self.schedule(
            self.deployment.one_way_delay_s,
            self._receive_loan_answer,
            borrower,
            loan_id,
            granted,
        )

    def _receive_loan_answer(self, entry, loan_id, granted):
        if loan_id not in entry.loans_by_id:
            return
        service, number, _ = entry.loans_by_id[loan_id]
        if not granted:
            entry.refused_at[number, service] = self.now
            entry.borrower.drop_loan(loan_id)
            del entry.loans_by_id[loan_id]
            return
        entry.borrower.record_grant(loan_id, granted)
        self._start_queued_requests(entry, service)

    def _return_idle_loans(self, entry):
        kept = set()
        for loan_id, (service, number, wanted_at) in list(entry.loans_by_id.items()):
            if not entry.borrower.has_loan(loan_id):
                del entry.loans_by_id[loan_id]
            elif entry.services[service].queue:
                entry.loans_by_id[loan_id] = (service, number, self.now)
                kept.add(loan_id)
            elif self.now - wanted_at < 0.5:
                kept.add(loan_id)
        for number, loan_id in entry.borrower.remove_idle_loans(kept=kept):
            entry.loans_by_id.pop(loan_id, None)
            self.schedule(
                self.deployment.one_way_delay_s,
                self.entries[number].lender.end_loan,
                loan_id,
            )

    # Pools

    def _update_server_states(self):
        self.schedule(LIST_LAG_S, self._update_server_states)
        for server in self.all_servers:
            self.listed_as_up[server.name] = server.is_up
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
            members = self.pool_servers(service)
            usable = [server for server in members if self.is_usable(server)]
            yield balancing.Pool(
                name=str(service),
                demand=demand[service],
                capacity=SLOTS_PER_SERVER * len(usable),
                instances=len(members),
                down=len(members) - len(usable),
                max_unavailable=MAX_UNAVAILABLE,
                minimum_instances=2,
                priority=0,
                is_spare=service == self.spare_pool,
            )

    def _balance_pools(self):
        if self.now < DURATION_S:
            self.schedule(BALANCE_INTERVAL_S, self._balance_pools)
        pools = list(self._describe_pools())
        self._record_utilization(pools)
        self.balancer.observe(self.now, pools)
        if self.policy.balance == "none":
            return
        if self.policy.balance != "every":
            self.lent_spare_slots = {
                int(pool_loan.target): pool_loan.slots
                for pool_loan in self.balancer.plan_loans()
            }
        if self.is_log_down or self.policy.balance == "loans":
            return
        move = self._choose_move(pools)
        if move is not None:
            self.balancer.record_move(self.now, move)
            self._start_move(int(move.source), int(move.target))

    def _choose_move(self, pools):
        if self.policy.balance == "hysteresis":
            return self.balancer.plan_move(self.now, MOVE_DURATION_S)
        # A move at every peak, from the pool with the most free capacity of those that
        # may lose an instance.
        for pool in pools:
            if pool.demand <= pool.capacity:
                continue
            source_pools = [
                other
                for other in pools
                if other.name != pool.name
                and other.down < other.max_unavailable
                and other.instances > other.minimum_instances
                and other.demand < other.capacity / 2
            ]
            if source_pools:
                source = min(
                    source_pools, key=lambda other: other.demand - other.capacity
                )
                return balancing.PoolMove(source=source.name, target=pool.name)
        return None

    def _start_move(self, source, target):
        member = next(
            (server for server in self.pool_servers(source) if self.is_usable(server)),
            None,
        )
        if member is None:
            return
        self.moves += 1
        member.is_draining = True
        self._call_when_idle(member, self._start_restart, target)

    def _start_restart(self, server, target):
        # Until the move is complete the server counts as down in its old pool.
        self.schedule(MOVE_DURATION_S, self._complete_move, server, target)

    def _complete_move(self, server, target):
        server.pool = target
        server.is_draining = False
        self.servers_by_pool.clear()

    def _call_when_idle(self, server, callback, *arguments):
        if any(entry.used_slots[server.name] for entry in self.entries):
            self.schedule(0.2, self._call_when_idle, server, callback, *arguments)
            return
        callback(server, *arguments)

    def _start_reboots(self):
        self.names_to_reboot = {server.name for server in self.all_servers}
        self._continue_reboots()

    def _continue_reboots(self):
        if not self.names_to_reboot:
            return
        self.schedule(0.5, self._continue_reboots)
        if self.is_log_down:
            return
        for service in range(SERVICE_COUNT):
            members = self.pool_servers(service)
            down = sum(not self.is_usable(server) for server in members)
            waiting = [
                server for server in members if server.name in self.names_to_reboot
            ]
            waiting = [server for server in waiting if self.is_usable(server)]
            if waiting and down < MAX_UNAVAILABLE:
                next_server = min(
                    waiting, key=lambda server: (server.rack, server.name)
                )
                next_server.is_draining = True
                self._call_when_idle(next_server, self._start_reboot)

    def _start_reboot(self, server):
        self.schedule(REBOOT_DURATION_S, self._complete_reboot, server)

    def _complete_reboot(self, server):
        server.is_draining = False
        self.names_to_reboot.discard(server.name)
        if not self.names_to_reboot:
            self.reboots_done_s = self.now - 10.0

    # Faults

    def _schedule_fault(self):
        start, end = FAULT_START_S, FAULT_END_S
        if self.fault == "rack lost":
            rack_servers = [
                server for server in self.all_servers if server.rack == "0-0"
            ]
            self.schedule(start, self._set_servers_up, rack_servers, False)
            self.schedule(end, self._set_servers_up, rack_servers, True)
        elif self.fault == "failing server":
            self.schedule(
                start, setattr, self.server_by_name["s0-1"], "is_failing", True
            )
        elif self.fault == "log outage":
            self.schedule(start, setattr, self, "is_log_down", True)
            self.schedule(end, setattr, self, "is_log_down", False)
        elif self.fault == "frozen entry":
            self.schedule(start, setattr, self.entries[3], "is_frozen", True)
            self.schedule(start + SESSION_END_DELAY_S, self._end_session, 3)
            self.schedule(start + FENCE_DELAY_S, self._redistribute_shares, 3)
            self.schedule(end, self._resume_entry, 3)

    def _set_servers_up(self, servers, is_up):
        for server in servers:
            server.is_up = is_up

    def _end_session(self, number):
        self.live_entry_numbers.remove(number)
        for entry in self.entries:
            entry.borrower.drop_loans_of(number)

    def _redistribute_shares(self, number):
        if self.policy.shares == "static":
            return
        for server in self.all_servers:
            slots = self.held_slots(number, server.name)
            held_by_entry = self.held_slots_by_server[server.name]
            held_by_entry[number] = 0
            for offset in range(slots):
                held_by_entry[
                    self.live_entry_numbers[offset % len(self.live_entry_numbers)]
                ] += 1

    def _resume_entry(self, number):
        entry = self.entries[number]
        entry.is_frozen = False
        self.live_entry_numbers.insert(number, number)
        if self.policy.shares == "static":
            return
        # Others release the slots that they don't use; the rest follows in later calls.
        self._release_slots_to(number)

    def _release_slots_to(self, number):
        is_done = True
        for server in self.all_servers:
            held_by_entry = self.held_slots_by_server[server.name]
            for other in self.entries:
                target = shares.fair_target(
                    server.name, SLOTS_PER_SERVER, other.number, ENTRY_COUNT
                )
                surplus = held_by_entry[other.number] - target
                lent = other.lender.lent_slots(server.name, self.now)
                free = (
                    held_by_entry[other.number]
                    - other.own_slots_in_use(server.name)
                    - lent
                )
                slots = max(0, min(surplus, free))
                held_by_entry[other.number] -= slots
                held_by_entry[number] += slots
                is_done = is_done and surplus <= slots
        if not is_done:
            self.schedule(0.25, self._release_slots_to, number)

    # Figures

    def _record_utilization(self, pools):
        self.capacity_slot_s += (
            SLOTS_PER_SERVER * len(self.all_servers) * BALANCE_INTERVAL_S
        )
        spare_servers = self.pool_servers(self.spare_pool)
        running_count = sum(server.running for server in spare_servers)
        self.idle_spare_slot_s += (
            SLOTS_PER_SERVER * len(spare_servers) - running_count
        ) * BALANCE_INTERVAL_S

    def _summarize(self):
        requests = self.requests
        by_class = collections.defaultdict(list)
        by_desk = collections.defaultdict(list)
        lateness_s = []
        counts = collections.Counter()
        for request in requests:
            outcome, ended_at = request.outcome
            is_good = outcome == "answered" and ended_at <= request.deadline
            counts[outcome] += 1
            counts["good"] += is_good
            counts["late"] += outcome == "answered" and not is_good
            by_class[request.request_class].append(is_good)
            by_desk[request.desk].append(is_good)
            if outcome == "answered":
                lateness_s.append(max(0.0, ended_at - request.deadline))
        lateness_s.sort()
        good_ratio_by_class = {
            name: sum(results) / len(results) for name, results in by_class.items()
        }
        desks = {
            name: sum(results) / len(results)
            for name, results in sorted(by_desk.items())
        }
        request_count = len(requests)
        return {
            "requests": request_count,
            "good": counts["good"] / request_count,
            "late": counts["late"] / request_count,
            **{name: good_ratio_by_class.get(name, 1.0) for name in DEADLINES_S},
            "desks": desks,
            "worst desk": min(desks.values()),
            "lateness p99": lateness_s[int(0.99 * len(lateness_s))]
            if lateness_s
            else 0.0,
            "refused": counts["not-run"] / request_count,
            "unknown": counts["unknown"] / request_count,
            "retries": self.retries / request_count,
            "unsafe retries": self.unsafe_retries,
            "overruns": sum(server.overruns for server in self.all_servers),
            "use": self.busy_slot_s / self.capacity_slot_s,
            "idle spare": self.idle_spare_slot_s / self.capacity_slot_s,
            "roll-out": self.reboots_done_s or float("nan"),
            "moves": self.moves,
        }
