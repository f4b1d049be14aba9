"""Tests of :mod:`cranberryport.callers.routing`."""

import random
import unittest

from cranberryport.callers import routing


def choose(*servers, tried=()):
    """Return the name of the chosen server."""
    candidates = [
        routing.Candidate(
            name=name, data_centre=place, slots_in_use=in_use, slots_total=total
        )
        for name, place, in_use, total in servers
    ]
    chosen = routing.choose_server(
        candidates, data_centre="north", tried=tried, random=random.Random(1)
    )
    return chosen and chosen.name


class RoutingTest(unittest.TestCase):
    """Traffic stays near unless that overloads the near servers."""

    def test_own_data_centre_until_a_quarter_more_loaded(self):
        far = ("far", "south", 0, 8)
        self.assertEqual(choose(("near", "north", 2, 8), far), "near")
        self.assertEqual(choose(("near", "north", 3, 8), far), "far")

    def test_least_loaded_and_free(self):
        servers = ("a", "north", 5, 8), ("b", "north", 1, 8), ("c", "north", 0, 0)
        self.assertEqual(choose(*servers), "b")
        self.assertIsNone(choose(("a", "north", 8, 8)))

    def test_other_server_after_a_failure(self):
        servers = ("a", "north", 0, 8), ("b", "south", 7, 8)
        self.assertEqual(choose(*servers, tried={"a"}), "b")
        self.assertEqual(choose(servers[0], tried={"a"}), "a")
