"""Tests for cranberryport.platform.machines."""

import unittest

from cranberryport.platform import machines
from tests import scripted


def make_row(name, **changes):
    """Return the row of an instance."""
    return {"Machine": name, "Pool": "s", "State": "up", "Id": "e", **changes}


class InstanceListTest(unittest.TestCase):
    """Pages of the list of instances."""

    def _list(self, *answers):
        self.pool = scripted.FakePool(*answers)
        client = machines.InstanceClient(
            connections=self.pool, address=("127.0.0.1", 1), holder="h"
        )
        results = []
        client.list_instances(results.append)
        (found,) = results
        return found

    def test_token_of_a_page_names_the_next_one(self):
        """Guards against instances of later pages that seem not to exist."""
        found = self._list(
            scripted.answer(Machines=[make_row("m1")], NextToken="t1"),
            scripted.answer(Machines=[make_row("m2")], NextToken=2),
            scripted.answer(Machines=[make_row("m3")], NextToken=""),
        )
        self.assertEqual(list(found), ["m1", "m2", "m3"])
        self.assertEqual(
            [target for _, target, _ in self.pool.sent],
            [
                "/api/machines",
                "/api/machines?PageToken=t1",
                "/api/machines?PageToken=2",
            ],
        )

    def test_token_that_cannot_be_sent_gives_no_list(self):
        """Guards against a part of the list that is taken for all of it."""
        for token in ({"a": 1}, [1], 0.5):
            with self.subTest(token=token), self.assertLogs(level="ERROR") as logs:
                found = self._list(
                    scripted.answer(Machines=[make_row("m1")], NextToken=token)
                )
            self.assertIsNone(found)
            self.assertEqual(logs.records[0].token, repr(token))

    def test_kind_is_a_text(self):
        """Guards against a label of another type that is taken for a kind."""
        rows = [
            make_row("m1", Labels=["a", "r1"]),
            make_row("m2", Labels=[["a"], "r1"]),
            make_row("m3", Labels=[]),
            make_row("m4", Labels="a"),
        ]
        found = self._list(scripted.answer(Machines=rows))
        self.assertEqual([row.kind for row in found.values()], ["a", "", "", ""])
