"""Tests of :mod:`standins.fleet`."""

import pathlib
import tempfile
import tomllib
import unittest
import uuid

from standins import calls, deployments, fleet, processes


class FleetTest(unittest.TestCase):
    """Processes that a fleet leaves running would disturb later test runs."""

    def test_platform_starts_serves_requests_and_ends_all_processes(self):
        running = fleet.Fleet(options=fleet.Options(max_seconds=60))
        self.addCleanup(running.close)
        running.start_platform()
        children = running.process_ids
        self.assertEqual(len(children), 4)
        listing = calls.get_json(running.instance_list_port, "/instances")["instances"]
        self.assertEqual(len(listing), 60)
        by_name = {row["name"]: row for row in listing}
        port = by_name["sizing-1"]["port"]
        self.assertEqual(calls.send_request(port, "POST", "/fit").status, 200)
        self.assertEqual(len(running.executions(path="/fit")), 1)
        processes.terminate_all(running._children)
        self.assertEqual(running.process_ids, {})

    def test_stopped_child_process_can_be_terminated(self):
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            child = processes.ChildProcess(
                name="log",
                arguments=["-m", "standins.log_service"],
                directory=directory,
            )
            self.addCleanup(child.kill)
            child.start()
            child.read_announcement()
            child.freeze()
            self.assertTrue(child.is_running)
            self.assertTrue(child.terminate())
            self.assertEqual(child.return_code, 0)

    def test_format_toml_gives_valid_toml(self):
        tables = {"instance": "a", "log": {"port": 5}, "publishers": [{"name": "ö"}]}
        self.assertEqual(tomllib.loads(fleet.format_toml(tables)), tables)

    def test_idempotency_keys_are_uuids_of_version_7(self):
        key = uuid.UUID(calls.new_uuid7(now=1700000000.5))
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertEqual(key.int >> 80, 1700000000500)

    def test_a_rack_has_at_most_four_instances_of_one_data_centre(self):
        rows = deployments.backend_servers(deployments.BRAZOS)
        for rack in {row["rack"] for row in rows}:
            members = [row for row in rows if row["rack"] == rack]
            self.assertLessEqual(len(members), deployments.INSTANCES_PER_RACK)
            self.assertEqual(len({row["data_centre"] for row in members}), 1)
