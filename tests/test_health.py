"""Tests of :mod:`cranberryport.callers.health`."""

import types
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import health

POOL = ("a", "b", "c", "d")


def eject(evidence, *servers, now=0.0):
    """Let servers fail until they are ejected."""
    for server in servers:
        for _ in range(health.EJECTION_CONSECUTIVE_FAILURES):
            evidence.record_failure(server, now)


class HealthTest(unittest.TestCase):
    """A fault that is not the server's must not take servers away."""

    def test_only_connections_of_the_same_age_are_closed(self):
        ages = [types.SimpleNamespace(connected_at=at) for at in (1.0, 10.5, 20.0)]
        self.assertEqual(health.connections_to_close(10.0, ages), ages[:2])

    def test_down_needs_two_signals(self):
        evidence = health.ServerHealth()
        evidence.record_connect_failure("a", 0.0)
        self.assertFalse(evidence.is_down("a", 0.0))
        evidence.record_peer_report("a", "peer", 0.0)
        self.assertTrue(evidence.is_down("a", 1.0))
        self.assertFalse(evidence.is_down("a", health.PEER_REPORT_LIFETIME_S))
        evidence.record_list_status("a", "gone")
        self.assertTrue(evidence.is_down("a", 100.0))
        evidence.record_connected("a")
        self.assertFalse(evidence.is_down("a", 100.0))

    def test_two_peers_that_report_a_server_try_it_again(self):
        one, other = health.ServerHealth(), health.ServerHealth()
        for evidence in (one, other):
            evidence.record_connect_failure("a", 0.0)
        for now in map(float, range(20)):
            for evidence, peer in ((one, other), (other, one)):
                for server in peer.recent_connect_failures(now):
                    evidence.record_peer_report(server, "peer", now)
        self.assertFalse(one.is_down("a", 20.0))

    def test_failing_server_is_ejected_for_a_growing_time_and_probed(self):
        evidence = health.ServerHealth()
        eject(evidence, "a")
        self.assertEqual(evidence.ejected_servers(POOL, 4.9), {"a"})
        self.assertEqual(evidence.ejected_servers(POOL, 5.0), set())
        self.assertEqual(evidence.ejected_or_probed_servers(POOL), {"a"})
        evidence.record_failure("a", 5.0)
        self.assertEqual(evidence.ejected_servers(POOL, 14.9), {"a"})
        for _ in range(health.SUCCESSFUL_PROBES_NEEDED):
            evidence.record_success("a", 15.0)
        self.assertEqual(evidence.ejected_or_probed_servers(POOL), set())
        eject(evidence, "a", now=16.0)
        self.assertEqual(evidence.ejected_servers(POOL, 21.0), set())

    def test_server_that_fails_most_but_not_all_is_ejected(self):
        evidence = health.ServerHealth()
        for number in range(60):
            record = evidence.record_success if number % 4 == 0 else None
            (record or evidence.record_failure)("a", 0.0)
        self.assertEqual(evidence.ejected_servers(POOL, 1.0), {"a"})

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.sets(strategies.sampled_from(POOL)))
    def test_at_most_half_is_ejected(self, failing):
        evidence = health.ServerHealth()
        eject(evidence, *failing)
        expected = failing if len(failing) <= 2 else set()
        self.assertEqual(evidence.ejected_servers(POOL, 1.0), expected)
        self.assertEqual(evidence.ejected_or_probed_servers(POOL), expected)
