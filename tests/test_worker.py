"""Tests of :mod:`standins.worker`."""

import unittest

from standins import serving, worker

SIZES = {"processors": 4, "memory_mb": 100, "accelerators": 0}


def _order(**changes):
    """Return the body of an order to start a task, with some fields changed."""
    payload = '{"seconds": 5, "result": "done", "processors_used": 3}'
    order = {"term": 1, "lease_s": 10, "processors": 1, "memory_mb": 10}
    return {**order, "payload": payload, **changes}


class WorkerTest(unittest.TestCase):
    """The stand-in must enforce terms and leases as a real worker does.

    They keep a job from running twice, and scenarios rely on them.
    """

    def setUp(self):
        self.worker = worker.Worker(name="w", sizes=SIZES, usage_lag_s=2.0)

    def call(self, now, method, path, **order):
        return self.worker.handle_request(method, path.split("/"), order, now)

    def test_task_finishes_with_the_result_of_its_payload(self):
        self.call(0.0, "PUT", "tasks/a", **_order())
        task = self.call(6.0, "GET", "tasks")["tasks"][0]
        self.assertEqual((task["state"], task["result"]), ("finished", "done"))
        self.assertEqual(task["runtime_s"], 5.0)

    def test_task_stops_when_its_lease_expires(self):
        self.call(0.0, "PUT", "tasks/a", **_order(lease_s=2))
        self.call(1.0, "POST", "tasks/a/renew", term=1, lease_s=2)
        self.assertEqual(self.call(2.5, "GET", "tasks")["tasks"][0]["state"], "running")
        self.assertEqual(self.call(3.5, "GET", "tasks")["tasks"][0]["state"], "lapsed")

    def test_older_term_is_refused_and_same_term_does_not_start_again(self):
        self.call(0.0, "PUT", "tasks/a", **_order(term=2))
        self.call(1.0, "PUT", "tasks/a", **_order(term=2))
        self.assertEqual(len(self.worker.describe()["starts"]), 1)
        with self.assertRaises(serving.RequestError) as caught:
            self.call(1.0, "PUT", "tasks/a", **_order(term=1))
        self.assertEqual(caught.exception.status, 409)

    def test_task_that_needs_more_than_the_free_resources_is_refused(self):
        with self.assertRaises(serving.RequestError) as caught:
            self.call(0.0, "PUT", "tasks/a", **_order(processors=5))
        self.assertEqual(caught.exception.status, 507)
        self.assertIn("processors 5", str(caught.exception))
        self.call(0.0, "PUT", "tasks/a", **_order(processors=3))
        with self.assertRaises(serving.RequestError) as caught:
            self.call(0.0, "PUT", "tasks/b", **_order(processors=2))
        self.assertEqual(caught.exception.fields["reason"], "no-room")

    def test_tasks_with_impossible_payload_or_on_failing_worker_fail(self):
        self.call(0.0, "PUT", "tasks/a", **_order(payload='{"impossible": true}'))
        self.worker.mode = "fail"
        self.call(0.0, "PUT", "tasks/b", **_order())
        tasks = self.call(1.0, "GET", "tasks")["tasks"]
        self.assertEqual([task["state"] for task in tasks], ["failed", "failed"])

    def test_throttle_slows_a_task_and_a_checkpoint_keeps_its_progress(self):
        self.call(0.0, "PUT", "tasks/a", **_order())
        self.call(2.0, "POST", "tasks/a/throttle", term=1, fraction=0.5)
        response = self.call(4.0, "POST", "tasks/a/checkpoint", term=1)
        self.call(4.0, "POST", "tasks/a/stop", term=1)
        next_order = _order(term=2, checkpoint=response["checkpoint"])
        self.call(4.0, "PUT", "tasks/a", **next_order)
        task = self.call(7.0, "GET", "tasks")["tasks"][0]
        self.assertEqual((task["state"], task["runtime_s"]), ("finished", 2.0))

    def test_usage_is_reported_with_a_delay(self):
        self.call(10.0, "PUT", "tasks/a", **_order())
        self.assertEqual(self.call(11.0, "GET", "usage")["used"]["processors"], 0)
        self.assertEqual(self.call(12.5, "GET", "usage")["used"]["processors"], 3)
