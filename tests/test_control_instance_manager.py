"""Tests for cranberryport.control.instance_manager."""

import time
import types
import unittest

from cranberryport.control import instance_manager
from cranberryport.generated import node_settings
from cranberryport.platform import configuration, machines
from cranberryport.scheduling import instances, load, records
from tests import scheduling, scripted

SETTINGS = node_settings.NodeSettings(
    instance="entry-1",
    data_centre="a",
    front="127.0.0.1:1",
    readiness="127.0.0.1:2",
    peer_host="127.0.0.1",
    peer_port=3,
    metrics_port=4,
    store="127.0.0.1:5",
)


class FakeInstances:
    """The platform's interface for instances, as a test says."""

    def __init__(self, listed):
        self.listed = listed
        self.orders = []

    def list_instances(self, callback):
        """Answer at once."""
        callback(self.listed)

    def move(self, instance, pool, *, fence, callback):
        """Note an order."""
        self.orders.append(("move", instance, pool, fence, callback))

    def start_maintenance(self, instance, wave, *, fence, callback):
        """Note an order."""
        self.orders.append(("upkeep", instance, wave, fence, callback))


class InstanceManagerTest(unittest.TestCase):
    """Orders for instances."""

    def setUp(self):
        """Make a fleet of two instances that are off."""
        self.listed = {
            name: instances.Instance(
                id=name,
                pool="spare",
                state=instances.UP,
                executor="",
                kind="a",
                processors=16_000,
            )
            for name in ("m1", "m2")
        }
        self.harness = scheduling.SchedulerHarness(count=0)
        self.client = FakeInstances(self.listed)
        self.saved = []
        self.statuses = []
        self.are_executors_known = True
        self.manager = instance_manager.InstanceManager(
            scheduler=self.harness.scheduler,
            load_meter=load.LoadMeter(state=self.harness.scheduler),
            client=self.client,
            store_client=types.SimpleNamespace(
                append=lambda *a, **k: self.statuses.append(a)
            ),
            timers=scripted.FakeTimers(),
            epoch=7,
            settings=SETTINGS,
            is_sole_controller=lambda: True,
            are_executors_known=lambda: self.are_executors_known,
            on_superseded=lambda: None,
            on_stops=lambda: None,
            save_wave=lambda wave: None,
            save_orders=lambda sent, callback: self.saved.append((sent, callback)),
        )
        self.manager.set_services(
            {"spare": configuration.Service(name="spare", is_standby=True)}
        )
        wave = instances.Wave(
            number=1,
            instances=["m1", "m2"],
            deadline=time.monotonic() + 30,
            max_down=2,
        )
        self.manager.add_wave(wave, ())

    def test_order_is_sent_only_after_it_is_stored(self):
        """Guards against an order that a successor would not know of."""
        self.manager.start()
        self.assertEqual(len(self.saved), 2)
        self.assertEqual(self.client.orders, [])
        for _, callback in self.saved:
            callback()
        self.assertEqual([order[1] for order in self.client.orders], ["m1", "m2"])
        self.assertEqual(self.client.orders[0][3], 7)

    def test_instance_ordered_lately_by_another_controller_waits(self):
        """Guards against two controllers that take turns on one instance."""
        self.manager.restore_orders({"m1": time.time() - 1.0}, time.time())
        self.manager.start()
        self.assertEqual([list(sent) for sent, _ in self.saved][-1], ["m1", "m2"])
        self.assertEqual(len(self.saved), 1)
        self.saved[0][1]()
        self.assertEqual([order[1] for order in self.client.orders], ["m2"])

    def test_nothing_is_ordered_before_the_executors_are_known(self):
        """Guards against an upkeep that ends all lasting tasks of an executor at once.

        Seen on scoica trouble-2: the store answered 75 times slower than usual, so a
        new controller read the list of instances before that of the executors, and
        took instances with unknown executors for empty ones.
        """
        self.are_executors_known = False
        self.listed["m1"].executor = "e1"
        self.manager.start()
        self.assertEqual(self.saved, [])

    def test_instance_with_restored_runs_waits_for_its_executor(self):
        """Guards against the upkeep of an instance whose entry cannot be read.

        The runs on it are known from the previous controller.
        """
        self.listed["m1"].executor = "e1"
        job = scheduling.make_job(scheduling.make_step(is_lasting=True))
        previous = scheduling.SchedulerHarness()
        previous.add_job(job)
        previous.start()
        progress = records.progress_to_record(job)
        again = scheduling.make_job(scheduling.make_step(is_lasting=True))
        self.harness.scheduler.restore_job(again, progress, scheduling.WALL)
        self.manager.start()
        self.assertEqual([list(sent) for sent, _ in self.saved], [["m2"]])

    def test_spare_instances_are_lent_while_others_are_in_upkeep(self):
        """Guards against a peak that finds no instance during a wave.

        An instance that is off has no executor, and all of these were taken for
        reserved while one of them was in upkeep.
        """
        self.listed["m3"] = instances.Instance(
            id="m3",
            pool="spare",
            state=instances.UP,
            executor="",
            kind="a",
            processors=16_000,
        )
        self.manager.set_services(
            {
                "spare": configuration.Service(name="spare", is_standby=True),
                "pool": configuration.Service(name="pool", is_standby=False),
            }
        )
        self.harness.add_job(scheduling.make_job())
        self.manager.start()
        for _, callback in list(self.saved):
            callback()
        kinds = {order[1]: order[0] for order in self.client.orders}
        self.assertEqual(kinds, {"m1": "upkeep", "m2": "upkeep", "m3": "move"})

    def test_nothing_starts_on_an_executor_that_was_ordered_away(self):
        """Guards against starts on an executor whose entry outlives it.

        Seen on brazos quiet-1: a lasting task was started on two such executors in
        turn and then found no place.
        """
        executor = self.harness.add_executor("e1")
        self.harness.scheduler.retire_executor(executor, "test")
        stale = scheduling.make_executor("e1")
        self.assertIsNone(
            self.harness.scheduler.add_or_update_executor(stale, self.harness.now)
        )
        self.harness.add_job(scheduling.make_job())
        self.assertEqual(self.harness.start(), [])

    def test_instance_whose_upkeep_was_done_before_is_released(self):
        """Guards against a wave that ends late, and against a lost executor.

        Seen on a hunted day of brazos: a new controller ordered an upkeep again that
        was done; the order changed nothing, and the instance stayed reserved for 13 s.
        """
        executor = self.harness.add_executor("e1")
        instance = self.listed["m1"]
        instance.pool, instance.executor = "pool", "e1"
        del self.listed["m2"]
        self.manager.start()
        self.saved[0][1]()
        self.client.orders[0][4](machines.OrderResult(is_accepted=True))
        answered_at = time.monotonic()
        self.manager._on_listed(self.listed, answered_at + 0.1)
        self.assertTrue(self.manager._orders)
        self.manager._on_listed(self.listed, answered_at + 1.0)
        self.assertFalse(self.manager._orders)
        self.manager._decide(answered_at + 1.0)
        self.assertIn(executor.id, self.harness.scheduler.executors)
        self.assertFalse(executor.is_reserved)
        self.assertTrue(self.manager.waves[1].done_instances)

    def test_new_controller_waits_for_stops_of_the_previous_one(self):
        """Guards against a second task away while a stop is still under way.

        Seen once on a hunted day of scoica (trouble-2, seed 1082858016383) while
        controllers changed: AVAIL, the stopped task was still listed as at work.
        """
        for name in ("e1", "e2"):
            self.harness.add_executor(name)
        step = scheduling.make_step(2, is_lasting=True, max_unavailable=1)
        self.harness.add_job(scheduling.make_job(step))
        runs = self.harness.start()
        for run in runs:
            run.progress_percent = 100
        instance = self.listed["m1"]
        instance.pool, instance.executor = "pool", runs[0].executor
        del self.listed["m2"]
        self.manager.start()
        self.assertEqual(self.harness.scheduler.take_pending_stops(), [])
        self.manager._decide(time.monotonic() + 2.0)
        self.assertEqual(len(self.harness.scheduler.take_pending_stops()), 1)

    def _crash(self, state):
        """Let an executor with a run fall silent; return the run."""
        executor = self.harness.add_executor("e1")
        self.listed["m1"].pool, self.listed["m1"].executor = "pool", "e1"
        self.harness.add_job(scheduling.make_job())
        (run,) = self.harness.start()
        self.manager._on_listed(self.listed, self.harness.now)
        self.listed["m1"].state = state
        self.manager._on_listed(self.listed, executor.last_listed_at + 1.0)
        self.assertTrue(run.task.runs)
        self.manager._on_listed(self.listed, executor.last_listed_at + 2.0)
        return run

    def test_silent_executor_of_an_instance_that_is_down_is_dead(self):
        """Guards against callers that wait for the lease of a crashed executor."""
        run = self._crash(instances.DOWN)
        self.assertFalse(run.task.runs)

    def test_silent_executor_of_an_instance_that_is_up_may_go_on(self):
        """Guards against a second run beside an executor that is only cut off."""
        run = self._crash(instances.UP)
        self.assertTrue(run.task.runs)

    def test_upkeep_that_nobody_accepted_is_not_done(self):
        """Guards against a wave that is told as completed without an upkeep."""
        del self.listed["m2"]
        self.manager.start()
        self.saved[0][1]()
        wave = self.manager.waves[1]
        self.manager._orders.clear()
        self.manager._decide(time.monotonic())
        self.assertFalse(wave.done_instances)
        self.assertIn("m1", wave.previous_executors)

    def test_unanswered_order_keeps_the_instance(self):
        """Guards against another order while the first may still be carried out."""
        self.manager.start()
        for _, callback in list(self.saved):
            callback()
        self.client.orders[0][4](machines.OrderResult(is_accepted=False))
        self.manager._step()
        self.assertEqual(len(self.client.orders), 2)
