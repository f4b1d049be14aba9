"""Tests of :mod:`standins.worker`."""

import unittest

from standins import serving, worker

SIZES = {"processors": 4, "memory_mb": 100, "accelerators": 0}


def _order(**changes):
    payload = '{"seconds": 5, "result": "done", "processors_used": 3}'
    order = {"term": 1, "lease_s": 10, "processors": 1, "memory_mb": 10}
    return {**order, "payload": payload, **changes}


class WorkerTest(unittest.TestCase):
    """Terms and leases are what keeps a job from running twice."""

    def setUp(self):
        self.worker = worker.Worker(name="w", sizes=SIZES, usage_lag_s=2.0)

    def call(self, now, method, path, **order):
        return self.worker.handle_request(method, path.split("/"), order, now)

    def test_task_finishes_with_its_result(self):
        self.call(0.0, "PUT", "tasks/a", **_order())
        task = self.call(6.0, "GET", "tasks")["tasks"][0]
        self.assertEqual((task["state"], task["result"]), ("finished", "done"))
        self.assertEqual(task["runtime_s"], 5.0)

    def test_task_stops_when_its_lease_ends(self):
        self.call(0.0, "PUT", "tasks/a", **_order(lease_s=2))
        self.call(1.0, "POST", "tasks/a/renew", term=1, lease_s=2)
        self.assertEqual(self.call(2.5, "GET", "tasks")["tasks"][0]["state"], "running")
        self.assertEqual(self.call(3.5, "GET", "tasks")["tasks"][0]["state"], "lapsed")

    def test_older_term_is_refused_and_same_term_is_no_second_start(self):
        self.call(0.0, "PUT", "tasks/a", **_order(term=2))
        self.call(1.0, "PUT", "tasks/a", **_order(term=2))
        self.assertEqual(len(self.worker.describe()["starts"]), 1)
        with self.assertRaises(serving.RequestError) as caught:
            self.call(1.0, "PUT", "tasks/a", **_order(term=1))
        self.assertEqual(caught.exception.status, 409)

    def test_sizes_beyond_the_worker_are_refused(self):
        with self.assertRaises(serving.RequestError) as caught:
            self.call(0.0, "PUT", "tasks/a", **_order(processors=5))
        self.assertEqual(caught.exception.status, 507)
        self.assertIn("processors 5", str(caught.exception))
        self.call(0.0, "PUT", "tasks/a", **_order(processors=3))
        with self.assertRaises(serving.RequestError) as caught:
            self.call(0.0, "PUT", "tasks/b", **_order(processors=2))
        self.assertEqual(caught.exception.fields["reason"], "no-room")

    def test_impossible_payload_and_failing_worker_fail(self):
        self.call(0.0, "PUT", "tasks/a", **_order(payload='{"impossible": true}'))
        self.worker.mode = "fail"
        self.call(0.0, "PUT", "tasks/b", **_order())
        tasks = self.call(1.0, "GET", "tasks")["tasks"]
        self.assertEqual([task["state"] for task in tasks], ["failed", "failed"])

    def test_checkpoint_saves_progress_and_throttle_slows(self):
        self.call(0.0, "PUT", "tasks/a", **_order())
        self.call(2.0, "POST", "tasks/a/throttle", term=1, fraction=0.5)
        answer = self.call(4.0, "POST", "tasks/a/checkpoint", term=1)
        self.call(4.0, "POST", "tasks/a/stop", term=1)
        again = _order(term=2, checkpoint=answer["checkpoint"])
        self.call(4.0, "PUT", "tasks/a", **again)
        task = self.call(7.0, "GET", "tasks")["tasks"][0]
        self.assertEqual((task["state"], task["runtime_s"]), ("finished", 2.0))

    def test_usage_lags(self):
        self.call(10.0, "PUT", "tasks/a", **_order())
        self.assertEqual(self.call(11.0, "GET", "usage")["used"]["processors"], 0)
        self.assertEqual(self.call(12.5, "GET", "usage")["used"]["processors"], 3)
