"""Tests of :mod:`cranberryport.peering.loan_exchange` with real pools and a fake clock.

Three nodes exchange loans of slots at one backend server while a test plays random
interleavings of requests, messages, releases of shares and the end of a session.
"""

import collections
import random
import types
import unittest
from unittest import mock

import hypothesis
from circuits import Component, Event
from hypothesis import strategies

from cranberryport.callers import backend_pool
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.peering import loan_exchange, peers
from tests import fakes, support

SERVICE = "sizing"
SHARE = 3
CONNECTIONS_SHARES = (SHARE, SHARE + 1)
NODE_COUNT = 3
HOLD_S = 1.0
RESOURCES = ("slots/a", f"connections/{SERVICE}")

ACTIONS = ("burst", "start", "end", "finish", "tick", "deliver", "lose", "wait")
STEP_LISTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((*ACTIONS, "exchange", "release", "end_session")),
        strategies.integers(0, NODE_COUNT - 1),
        strategies.integers(0, 7),
    ),
    max_size=60,
)
# Steps are tuples of action, node and value; see Network.step.
# A node borrows; then the lender needs its slots while the borrower uses them, and both
# go on after the loan has ended.
BORROW = [("burst", 0, 4), ("exchange", 0, 0), ("burst", 0, 4)]
LENDER_RETURNS = [*BORROW, ("burst", 1, 4), ("wait", 0, 7), ("burst", 1, 4)]
# The borrower returns an idle loan, and then all nodes start requests.
EARLY_RETURN = [*BORROW, ("finish", 0, 0), ("wait", 0, 1), ("exchange", 0, 0)]
EARLY_RETURN += [("burst", 0, 4), ("burst", 1, 4), ("burst", 2, 4)]
# The lenders have idle connections and must close one before the borrower opens one.
IDLE_LENDERS = [("burst", 1, 1), ("burst", 2, 1), ("finish", 1, 0), ("finish", 2, 0)]
IDLE_LENDERS += [*BORROW, ("burst", 1, 4), ("release", 1, 2), ("burst", 2, 4)]
# The borrower's request is abandoned at the end of the loan and runs on for a while.
ABANDONED_AT_LOAN_END = [("burst", 0, 4), ("exchange", 0, 0), *[("wait", 0, 5)] * 3]
ABANDONED_AT_LOAN_END += [
    ("burst", 0, 1),
    ("wait", 0, 3),
    ("burst", 1, 4),
    ("burst", 2, 4),
]
# The borrower has no more waiting requests, but its borrowed slots are still in use
# when idle loans are returned.
RETURN_IN_USE = [*BORROW, ("empty", 0, 0), ("wait", 0, 1), ("exchange", 0, 0)]
RETURN_IN_USE += [("burst", 1, 4), ("burst", 2, 4)]


class FakeConnection:
    """A client connection without a socket."""

    is_open = True
    connected_at = 0.0
    exchange = None
    address = ("127.0.0.1", 1)

    def __init__(self, on_closed):
        self._on_closed = on_closed

    @property
    def is_idle(self):
        """Whether no request is in flight."""
        return self.exchange is None

    def close_if_stale(self):
        """Return False: the connection is never stale."""
        return False

    def send(self, exchange):
        """Keep the exchange as the one in flight."""
        self.exchange = exchange
        exchange.connection = self

    def close(self):
        """Close the connection and notify its owner once."""
        if self.is_open:
            self.is_open = False
            self._on_closed(self)


class Node:
    """One entry instance."""

    def __init__(self, number, network, connections):
        self.name = f"s{number}"
        self.running = []
        self.waiting = 0
        # Lender of each borrowed slot, and the time at which its use ends; None while
        # its request runs.
        self.borrowed = {}
        self.view = support.FakeView(
            support.FakeServer(name="a", port=1, slots_share=SHARE)
        )
        self.view.connections_limit = connections
        self.view.pools = {"p": types.SimpleNamespace(service=SERVICE)}
        self.root = Component()
        self.timers = fakes.FakeTimers()
        client = mock.Mock(connect=lambda *, on_closed, **_: FakeConnection(on_closed))
        self.pool = backend_pool.BackendPool(
            client=client,
            timers=network.clock,
            view=self.view,
            abandoned_slot_hold_s=HOLD_S,
        ).register(self.root)
        self.loan_exchange = loan_exchange.LoanExchange(
            peers=mock.Mock(
                statuses=lambda: network.live_peers(self),
                send=lambda to, message: network.send(self.name, to, message),
            ),
            timers=self.timers,
            pool=self.pool,
            view=self.view,
            queue_length=lambda _: self.waiting,
            random=random.Random(number),
        ).register(self.root)
        fakes.run_until_idle(self.root)

    @property
    def server(self):
        """The only backend server."""
        return self.view.all_servers[0]

    def start(self, deadline):
        """Start a request, or count it as waiting."""
        exchange = connection.Exchange(
            method="GET", target="/", deadline=deadline, reply_channel=""
        )
        if self.pool.start_attempt(SERVICE, self.server, exchange, lambda *_: None):
            self.running.append(exchange)
            loan = self.loan_exchange._loans.get(exchange.context.loan)
            if loan is not None:
                self.borrowed[exchange] = (loan.lender, None)
            self.waiting = max(0, self.waiting - 1)
        else:
            self.waiting += 1

    def end(self, exchange, now, *, is_late=False):
        """End a request with an answer, or abandon it if ``is_late``."""
        self.running.remove(exchange)
        lender, _ = self.borrowed.pop(exchange, (None, None))
        if is_late and lender is not None:
            self.borrowed[exchange] = (lender, now + HOLD_S)
        client_connection = exchange.connection
        client_connection.exchange = None
        exchange.result = connection.Response(status=200, headers=[], body=b"")
        if is_late:
            client_connection.close()
            exchange.result = connection.ExchangeFailure(
                reason="timeout", detail="", bytes_sent=1
            )
        self.root.fire(connection.exchange_done(exchange), self.pool.channel)
        fakes.run_until_idle(self.root)

    def free_units(self, resource):
        """Return the units of the own share that are not in use."""
        share = self.server.slots_share
        if resource != RESOURCES[0]:
            share = self.view.connections_limit
        return share - self.pool.units_in_use(resource)

    def add_units(self, resource, units):
        """Change the own share of a resource."""
        if resource == RESOURCES[0]:
            self.server.slots_share += units
        else:
            self.view.connections_limit += units


class Network:
    """The nodes, the messages between them, and the simulated time."""

    def __init__(self, connections=SHARE):
        self.now = 0.0
        self.capacity = NODE_COUNT * connections
        self.queued_messages = {}
        self.scheduled_calls = []
        self.clock = mock.Mock(after=self._schedule_call)
        self.nodes = [Node(number, self, connections) for number in range(NODE_COUNT)]
        self.ended = set()
        for node in self.nodes:
            node.pool._tick()

    def live_peers(self, node):
        """Return the live sessions of other nodes."""
        return [
            other.name
            for other in self.nodes
            if other is not node and other.name not in self.ended
        ]

    def send(self, source, target, message):
        """Queue a message on the link between two nodes."""
        self.queued_messages.setdefault((source, target), []).append(message)
        return True

    def step(self, action, number, value):
        """Do one step, if it is possible now.

        Parameters
        ----------
        action : str
            ``burst`` starts more requests than a share has slots, ``finish`` answers
            all running ones, ``empty`` drops the waiting ones, ``tick`` runs the
            periodic check, ``exchange`` runs it and delivers all messages, and
            ``release`` passes units of the share on to another node.
        number : int
            Node that acts, or that receives a message.
        value : int
            Seconds to wait, or a choice that depends on the action.
        """
        node = self.nodes[number]
        if action == "start" and node.view.has_dispatch_right:
            node.start(self.now + 4.0 * value + 0.5)
        elif action == "burst" and node.view.has_dispatch_right:
            for _ in range(SHARE + 2):
                node.start(self.now + 4.0 * value + 0.5)
        elif action == "empty":
            node.waiting = 0
        elif action == "finish":
            node.waiting = 0
            for exchange in list(node.running):
                node.end(exchange, self.now)
        elif action == "exchange":
            self._exchange(node)
        elif action == "end" and node.running:
            node.end(node.running[value % len(node.running)], self.now)
        elif action == "tick":
            node.loan_exchange._tick()
        elif action in ("deliver", "lose"):
            self._deliver(number, is_lost=action == "lose")
        elif action == "wait":
            self._wait(value)
        elif action == "release":
            self._release(node, self.nodes[value % NODE_COUNT])
        elif action == "end_session" and number == NODE_COUNT - 1:
            self._end_session(node)

    def _exchange(self, node):
        node.loan_exchange._tick()
        while any(self.queued_messages.values()):
            for number in range(NODE_COUNT):
                self._deliver(number, is_lost=False)

    def _deliver(self, number, *, is_lost):
        target = self.nodes[number]
        for (source, name), queued in self.queued_messages.items():
            if name == target.name and queued:
                message = queued.pop(0)
                if not is_lost:
                    target.root.fire(peers.peer_message(source, message), "*")
                    fakes.run_until_idle(target.root)
                return

    def _wait(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += 0.25
            for due, call in [
                item for item in self.scheduled_calls if item[0] <= self.now
            ]:
                self.scheduled_calls.remove((due, call))
                call()
            for node in self.nodes:
                for exchange in list(node.running):
                    if exchange.deadline <= self.now:
                        node.end(exchange, self.now, is_late=True)

    def _release(self, node, other):
        for resource in RESOURCES:
            if node.free_units(resource) > 0:
                node.add_units(resource, -1)
                other.add_units(resource, 1)

    def _end_session(self, node):
        # The share of the ended session stays unused until it is fenced, and the other
        # nodes fold the end before that.
        if node.name not in self.ended:
            self.ended.add(node.name)
            node.view.has_dispatch_right = False
            for other in self.nodes:
                other.pool.borrower.drop_loans_of(node.name)

    def _schedule_call(self, delay_s, call):
        self.scheduled_calls.append((self.now + delay_s, call))
        return mock.Mock()


class LoanExchangeTest(unittest.TestCase):
    """Borrower and lender never use the same slot or connection at the same time."""

    def setUp(self):
        self.network = Network()
        for module in (backend_pool, loan_exchange):
            clock = mock.Mock(monotonic=lambda: self.network.now)
            patch = mock.patch.object(module, "time", clock)
            patch.start()
            self.addCleanup(patch.stop)

    def test_slots_and_connections_stay_within_the_shares(self):
        @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
        @hypothesis.example(LENDER_RETURNS, SHARE)
        @hypothesis.example(LENDER_RETURNS, SHARE + 1)
        @hypothesis.example(EARLY_RETURN, SHARE)
        @hypothesis.example(IDLE_LENDERS, SHARE)
        @hypothesis.example(ABANDONED_AT_LOAN_END, SHARE)
        @hypothesis.example(RETURN_IN_USE, SHARE)
        @hypothesis.given(STEP_LISTS, strategies.sampled_from(CONNECTIONS_SHARES))
        def check(steps, connections):
            self.network = network = Network(connections)
            for step in steps:
                network.step(*step)
                self._check_limits(network)

        check()

    def _check_limits(self, network):
        borrowed = collections.Counter(
            lender
            for node in network.nodes
            for lender, end in node.borrowed.values()
            if end is None or network.now < end
        )
        open_counts = [node.pool.connection_count(SERVICE) for node in network.nodes]
        self.assertLessEqual(sum(open_counts), network.capacity)
        for node in network.nodes:
            self.assertGreaterEqual(node.free_units(RESOURCES[0]), 0)
            used = node.pool.own_slots_in_use("a") + borrowed[node.name]
            self.assertLessEqual(used, node.server.slots_share)
            open_connection_count = node.pool.connection_count(SERVICE)
            open_connection_count += node.pool.lender.lent_connections(
                SERVICE, network.now
            )
            own = open_connection_count - node.pool.borrower.borrowed_connections(
                SERVICE, network.now
            )
            self.assertLessEqual(own, node.view.connections_limit)

    def _borrow(self):
        for step in [("start", 0, 7)] * 4 + [("tick", 0, 0)]:
            self.network.step(*step)
        for step in [("deliver", 1, 0), ("deliver", 2, 0), *[("deliver", 0, 0)] * 2]:
            self.network.step(*step)

    def test_borrowed_slots_are_used_until_the_loan_ends_and_returned_when_idle(self):
        self._borrow()
        borrower = self.network.nodes[0]
        self.assertEqual(len(borrower.pool.borrower), 1)
        borrower.start(30.0)
        self.assertEqual(borrower.pool.slots_in_use("a"), 3 + 0)
        borrower.start(15.0)
        self.assertEqual(borrower.pool.slots_in_use("a"), 4)
        self.network.step("wait", 0, 1)
        self.assertEqual(len(borrower.pool.borrower), 1)
        borrower.waiting = 0
        for exchange in list(borrower.running):
            borrower.end(exchange, self.network.now)
        self.network.step("wait", 0, 1)
        borrower.loan_exchange._tick()
        self.assertEqual(len(borrower.pool.borrower), 0)
        self.network.step("deliver", 1, 0)
        self.network.step("deliver", 2, 0)
        for node in self.network.nodes:
            self.assertEqual(node.pool.lender.total_lent_slots(self.network.now), 0)

    def test_free_reserved_slot_does_not_prevent_borrowing(self):
        node = self.network.nodes[0]
        node.view.reserved_rush_percent = 10
        for step in [("start", 0, 4)] * (SHARE - 1):
            self.network.step(*step)
        node.waiting = 1
        self.network.step("tick", 0, 0)
        self.assertEqual(len(node.pool.borrower), 1)

    def test_closing_session_waits_for_lent_slots(self):
        self._borrow()
        lenders = self.network.nodes[1:]
        self.assertEqual(sum(node.pool.slots_in_use_count for node in lenders), 1)

    def test_unanswered_loan_request_is_dropped_and_returned(self):
        self.network.step("start", 0, 7)
        self.network.nodes[0].waiting = 1
        for _ in range(SHARE):
            self.network.step("start", 0, 7)
        self.network.step("tick", 0, 0)
        self.network.step("wait", 0, 3)
        self.network.step("tick", 0, 0)
        sent = [
            message
            for queued in self.network.queued_messages.values()
            for message in queued
        ]
        self.assertTrue(
            any(isinstance(message, messages.SlotsReturned) for message in sent)
        )

    def test_instances_that_stop_or_lack_the_dispatch_right_do_not_lend(self):
        self.network.nodes[1].root.fire(Event.create("signal", 15, None), "*")
        fakes.run_until_idle(self.network.nodes[1].root)
        self.network.nodes[2].view.has_dispatch_right = False
        self._borrow()
        self.assertEqual(len(self.network.nodes[0].pool.borrower), 0)
