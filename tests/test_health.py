"""Tests of :mod:`cranberryport.callers.health`."""

import types
import unittest

import hypothesis
from hypothesis import strategies

from cranberryport.callers import health

SERVERS = ("a", "b", "c", "d")


def eject_servers(server_health, *servers, now=0.0):
    """Record failures of the servers until they are ejected."""
    for server in servers:
        for _ in range(health.EJECTION_CONSECUTIVE_FAILURES):
            server_health.record_failure(server, now)


class HealthTest(unittest.TestCase):
    """A fault outside the servers does not take them out of use."""

    def test_only_connections_of_the_same_age_or_older_are_closed(self):
        ages = [types.SimpleNamespace(connected_at=at) for at in (1.0, 10.5, 20.0)]
        self.assertEqual(health.connections_to_close(10.0, ages), ages[:2])

    def test_server_is_down_only_on_two_signals(self):
        server_health = health.ServerHealth()
        server_health.record_connect_failure("a", 0.0)
        self.assertFalse(server_health.is_down("a", 0.0))
        server_health.record_peer_report("a", "peer", 0.0)
        self.assertTrue(server_health.is_down("a", 1.0))
        self.assertFalse(server_health.is_down("a", health.PEER_REPORT_LIFETIME_S))
        server_health.record_list_status("a", "gone")
        self.assertTrue(server_health.is_down("a", 100.0))
        server_health.record_connected("a")
        self.assertFalse(server_health.is_down("a", 100.0))

    def test_peers_that_report_a_server_to_each_other_try_it_again(self):
        first, second = health.ServerHealth(), health.ServerHealth()
        for server_health in (first, second):
            server_health.record_connect_failure("a", 0.0)
        for now in map(float, range(20)):
            for server_health, peer in ((first, second), (second, first)):
                for server in peer.recent_connect_failures(now):
                    server_health.record_peer_report(server, "peer", now)
        self.assertFalse(first.is_down("a", 20.0))

    def test_failing_server_is_ejected_for_a_growing_time_and_probed(self):
        server_health = health.ServerHealth()
        eject_servers(server_health, "a")
        self.assertEqual(server_health.ejected_servers(SERVERS, 4.9), {"a"})
        self.assertEqual(server_health.ejected_servers(SERVERS, 5.0), set())
        self.assertEqual(server_health.ejected_or_probed_servers(SERVERS), {"a"})
        server_health.record_failure("a", 5.0)
        self.assertEqual(server_health.ejected_servers(SERVERS, 14.9), {"a"})
        for _ in range(health.SUCCESSFUL_PROBES_NEEDED):
            server_health.record_success("a", 15.0)
        self.assertEqual(server_health.ejected_or_probed_servers(SERVERS), set())
        eject_servers(server_health, "a", now=16.0)
        self.assertEqual(server_health.ejected_servers(SERVERS, 21.0), set())

    def test_server_that_fails_most_but_not_all_is_ejected(self):
        server_health = health.ServerHealth()
        for number in range(60):
            record = server_health.record_success if number % 4 == 0 else None
            (record or server_health.record_failure)("a", 0.0)
        self.assertEqual(server_health.ejected_servers(SERVERS, 1.0), {"a"})

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.sets(strategies.sampled_from(SERVERS)))
    def test_at_most_half_is_ejected(self, failing):
        server_health = health.ServerHealth()
        eject_servers(server_health, *failing)
        expected = failing if len(failing) <= 2 else set()
        self.assertEqual(server_health.ejected_servers(SERVERS, 1.0), expected)
        self.assertEqual(server_health.ejected_or_probed_servers(SERVERS), expected)
