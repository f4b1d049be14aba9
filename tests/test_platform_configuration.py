"""Tests of the parser of the operator's configuration."""

import json
import unittest

from cranberryport.platform import configuration


def _parse(**fields):
    return configuration.parse(json.dumps({"Version": 1, "Routes": [], **fields}))


class OrganisationsTest(unittest.TestCase):
    """A configuration must not lose organisations or ask for keys by mistake."""

    def test_configuration_without_the_list_asks_for_no_keys(self):
        self.assertIsNone(_parse().organisations)

    def test_empty_list_is_not_taken_for_a_deployment_without_organisations(self):
        self.assertEqual(_parse(Tenants=[]).organisations, {})

    def test_weight_limits_and_keys_are_read(self):
        maximum = {"Cpu": 5000, "MemMb": 200, "Gpu": 0}
        row = {"Name": "a", "ApiKeys": ["k1", "k2"], "Weight": 9, "Maximum": maximum}
        parsed = _parse(Tenants=[row])
        organisation = parsed.organisations["a"]
        self.assertEqual(organisation.weight, 9)
        self.assertEqual(organisation.processors_limit, 5000)
        self.assertEqual(organisation.memory_limit, 200)
        self.assertEqual(organisation.accelerators_limit, 0)
        self.assertEqual(parsed.keys_by_organisation, {"a": ["k1", "k2"]})

    def test_unusable_rows_do_not_hide_the_others(self):
        rows = [None, {"ApiKeys": ["x"]}, {"Name": "a", "Weight": -1, "ApiKeys": [5]}]
        with self.assertLogs(level="ERROR"):
            parsed = _parse(Tenants=[*rows, {"Name": "b", "ApiKeys": ["k"]}])
        self.assertEqual(set(parsed.organisations), {"a", "b"})
        self.assertEqual(parsed.organisations["a"].weight, 1.0)
        self.assertEqual(parsed.keys_by_organisation, {"a": [], "b": ["k"]})

    def test_routes_need_keys_unless_they_are_public(self):
        routes = [
            {"Name": name, "Host": "h", "PathPrefix": f"/{name}/", **public}
            for name, public in (("a", {"Public": True}), ("b", {}))
        ]
        parsed = _parse(Routes=routes)
        self.assertTrue(parsed.find_route("h", "/a/1").is_public)
        self.assertFalse(parsed.find_route("h", "/b/1").is_public)
