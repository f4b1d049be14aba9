"""Tests of :mod:`cranberryport.sheet.merge`."""

import unittest

from cranberryport.generated import messages
from cranberryport.sheet import merge


def rows(*cells):
    """Return rows of (subject, name, setting, value), numbered from 2."""
    names = ("subject", "name", "setting", "value")
    return [
        messages.SheetRow(row=number, note="", **dict(zip(names, row, strict=True)))
        for number, row in enumerate(cells, 2)
    ]


class MergeTest(unittest.TestCase):
    """The owner's rows must hold whatever the team publishes."""

    def test_owner_outranks_team_and_lower_row_wins(self):
        configuration = merge.merge_rows(
            owner_rows=rows(
                ("pool", "sizing", "max_unavailable", "2"),
                ("instance", "sizing-1", "maintenance", "none"),
            ),
            team_rows=rows(
                ("pool", "sizing", "max_unavailable", "5"),
                ("pool", "sizing", "service", "cutting"),
                ("pool", "sizing", "service", "sizing"),
                ("instance", "sizing-1", "maintenance", "reboot"),
                ("instance", "sizing-1", "pool", "sizing"),
                ("wave", "night", "order", "sizing cutting"),
            ),
        )
        pool = merge.Pool(name="sizing", service="sizing", max_unavailable=2)
        self.assertEqual(configuration.pools, {"sizing": pool})
        self.assertEqual(configuration.maintenance, {"sizing-1": "none"})
        self.assertEqual(configuration.instance_pools, {"sizing-1": "sizing"})
        self.assertEqual(configuration.waves["night"].order, ("sizing", "cutting"))

    def test_defaults_apply_to_names_without_rows(self):
        configuration = merge.merge_rows(
            owner_rows=[],
            team_rows=rows(
                ("service", "orders", "at_most_once", "/orders /charges"),
                ("desk", "shop", "class", "rush"),
            ),
        )
        service = configuration.service("orders")
        self.assertEqual(service.at_most_once, ("/orders", "/charges"))
        self.assertEqual(service.reserved_rush_percent, 10)
        self.assertEqual(configuration.service("x"), merge.Service(name="x"))
        self.assertEqual(configuration.desk("shop").request_class, "rush")
        self.assertEqual(configuration.desk("x").weight, 1)
        self.assertEqual(configuration.pool("x").max_unavailable, 1)

    def test_a_service_is_known_by_the_pool_that_serves_it(self):
        # Without it, callers of a service without own rows got 404.
        pool_rows = rows(("pool", "a", "service", "sizing"))
        configuration = merge.merge_rows(owner_rows=[], team_rows=pool_rows)
        self.assertEqual(
            configuration.services, {"sizing": merge.Service(name="sizing")}
        )
