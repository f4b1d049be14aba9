"""Tests of :mod:`cranberryport.sheet.merge`."""

import unittest

from cranberryport.generated import messages
from cranberryport.sheet import merge


def make_rows(*cells):
    """Return sheet rows for tuples of (subject, name, setting, value).

    The row numbers start at 2, as row 1 of a file is the header.
    """
    names = ("subject", "name", "setting", "value")
    return [
        messages.SheetRow(row=number, note="", **dict(zip(names, row, strict=True)))
        for number, row in enumerate(cells, 2)
    ]


class MergeTest(unittest.TestCase):
    """A team sheet must not override the owner's rows."""

    def test_owner_rows_take_precedence_and_the_last_row_of_a_sheet_applies(self):
        configuration = merge.merge_rows(
            owner_rows=make_rows(
                ("pool", "sizing", "max_unavailable", "2"),
                ("instance", "sizing-1", "maintenance", "none"),
            ),
            team_rows=make_rows(
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
            team_rows=make_rows(
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

    def test_a_service_exists_if_a_pool_serves_it(self):
        # Callers of a service that had a pool but no rows of its own got 404.
        pool_rows = make_rows(("pool", "a", "service", "sizing"))
        configuration = merge.merge_rows(owner_rows=[], team_rows=pool_rows)
        self.assertEqual(
            configuration.services, {"sizing": merge.Service(name="sizing")}
        )
