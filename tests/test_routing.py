"""Tests of :mod:`cranberryport.callers.routing`."""

import random
import unittest

from cranberryport.callers import routing


def choose_name(*servers, tried=()):
    """Return the name of the chosen server, or None."""
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
    """Requests stay in the own data centre unless its servers are much more loaded."""

    def test_own_data_centre_is_chosen_up_to_25_points_more_load(self):
        far = ("far", "south", 0, 8)
        self.assertEqual(choose_name(("near", "north", 2, 8), far), "near")
        self.assertEqual(choose_name(("near", "north", 3, 8), far), "far")

    def test_least_loaded_server_with_a_free_slot_is_chosen(self):
        servers = ("a", "north", 5, 8), ("b", "north", 1, 8), ("c", "north", 0, 0)
        self.assertEqual(choose_name(*servers), "b")
        self.assertIsNone(choose_name(("a", "north", 8, 8)))

    def test_tried_server_is_chosen_only_if_no_other_is_free(self):
        servers = ("a", "north", 0, 8), ("b", "south", 7, 8)
        self.assertEqual(choose_name(*servers, tried={"a"}), "b")
        self.assertEqual(choose_name(servers[0], tried={"a"}), "a")
