"""Outages of the store, for all or only for the controller, with processes."""

import pathlib
import time
import unittest

from soak import proxy
from standins import calls
from standins.platform import local_deployment

LOG_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "build" / "takeover"
HEADERS = {"Host": "fleet.example", "Deadline-Ms": "3000"}
TIMEOUT_S = 25.0
OUTAGE_S = 6.0
# Time after the outage in which runs without a lease would end.
AFTER_OUTAGE_S = 5.0
SAMPLE_INTERVAL_S = 0.1
INSTANCE_COUNT = 6
LASTING_STEP = {"count": 3, "ms": 0, "processors": 1000, "memory": 100, "lasts": True}
LASTING_JOB_COUNT = 4
LASTING_TASK_COUNT = LASTING_JOB_COUNT * LASTING_STEP["count"]
STEP = {"count": 4, "ms": 6000, "processors": 500, "memory": 100}


class TakeoverTest(unittest.TestCase):
    """The predecessor lives and reaches the executors, but not the store."""

    # Instances by pool, and entry instances. A subclass can have those of a deployment.
    pools = {"one": INSTANCE_COUNT, "spare": 2}
    entry_count = 3

    def setUp(self):
        """Start entry instances whose connections to the store can be cut."""
        directory = LOG_DIRECTORY / self.id().rpartition(".")[2]
        directory.mkdir(parents=True, exist_ok=True)
        self.proxy_thread = proxy.ProxyThread()
        self.addCleanup(self.proxy_thread.stop)
        self.proxies = {}
        self.deployment = local_deployment.LocalDeployment(
            directory=directory,
            pools=self.pools,
            entry_count=self.entry_count,
            make_settings=self._make_settings,
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        jobs = [(LASTING_STEP,)] * LASTING_JOB_COUNT + [(STEP,)] * 4
        names = [self._submit(*steps) for steps in jobs]
        self.lasting_jobs = set(names[:LASTING_JOB_COUNT])
        expected = sum(step["count"] for (step,) in jobs)
        calls.wait_until(
            lambda: len(self.deployment.findings()["running"]) == expected,
            TIMEOUT_S,
            "all tasks run",
        )

    def _make_settings(self, name, addresses):
        self.proxies[name] = self.proxy_thread.add_proxy(addresses["store"])
        return {"store": f"127.0.0.1:{self.proxies[name].port}"}

    def _submit(self, *steps):
        job, body = local_deployment.make_job_request(*steps)
        port = self.deployment.entries[0].front_port

        def is_accepted():
            response = calls.send_request(
                port, "POST", f"/one/{job}", headers=HEADERS, body=body
            )
            return response.status == 200

        calls.wait_until(is_accepted, TIMEOUT_S, "the job is accepted")
        return job

    def _count_lasting_runs(self):
        return sum(
            task.partition(".")[0] in self.lasting_jobs
            for task in self.deployment.findings()["running"]
        )

    def _find_controllers(self):
        """Return the names of the entry instances that have the controller role."""
        return {e.name for e in self.deployment.entries if e.is_leading()}

    def _wait_until_group_is_settled(self):
        # While instances join, the role may move, or stay where it is at a rebalance.
        calls.wait_until(
            lambda: self.deployment.findings()["settled_members"] == self.entry_count,
            TIMEOUT_S,
            "all entry instances have joined",
        )

    def _wait_for_controller(self):
        """Return the name of the only controller of a group that is settled."""
        self._wait_until_group_is_settled()
        names = calls.wait_until(
            lambda: len(names := self._find_controllers()) == 1 and names,
            TIMEOUT_S,
            "one has the role",
        )
        return names.pop()

    def _cut_controller_off(self):
        """Cut the controller off from the store, and let its successor load slowly.

        Returns
        -------
        soak.proxy.Proxy
            Proxy between the predecessor and the store.
        """
        name = self._wait_for_controller()
        self.proxy_thread.set_mode(self.proxies[name], proxy.SILENT)
        # The successor gets its role, but is not ready before the next change.
        self.deployment.send_order("store", delay_s=0.5)
        calls.wait_until(
            lambda: self._find_controllers() - {name},
            TIMEOUT_S,
            "there is a successor",
        )
        self.deployment.send_order("store", delay_s=3.0)
        return self.proxies[name]

    def _cut_executors_off(self, *, is_cut):
        for number in range(1, INSTANCE_COUNT // 2 + 1):
            self.deployment.send_order("cut", instance=f"m{number}", is_cut=is_cut)

    def _heal(self, store_proxy):
        self._cut_executors_off(is_cut=False)
        self.deployment.send_order("store")
        self.proxy_thread.set_mode(store_proxy, proxy.PASS)
        time.sleep(5.0)
        self.assertEqual(self.deployment.findings()["violations"], [])

    def test_outage_of_the_store_ends_no_run(self):
        """Guards against leases that lapse everywhere while no join succeeds."""
        self.assertEqual(self._count_lasting_runs(), LASTING_TASK_COUNT)
        self.deployment.send_order("store", is_down=True)
        self._check_runs_outlast_outage()

    def test_outage_at_the_takeover_ends_no_run(self):
        """Guards against leases that nobody renews between two controllers.

        Seen in CI: the store went down 3 ms after the role had changed, before the
        successor had read the list of executors. All tasks that last ended.
        """
        self._check_runs_outlast_outage_at_a_takeover(
            lambda: self.deployment.send_order("rebalance", is_rotated=True)
        )

    def test_outage_at_the_end_of_the_controller_process_ends_no_run(self):
        """Guards against leases that lapse as their last controller has exited.

        A process that is told to end exits 2.2 s later if it has no open requests.
        """
        name = self._wait_for_controller()
        (entry,) = (e for e in self.deployment.entries if e.name == name)
        self._check_runs_outlast_outage_at_a_takeover(entry.process.request_termination)
        self.assertEqual(entry.process.return_code, 0)

    def _check_runs_outlast_outage_at_a_takeover(self, change_controller):
        self._wait_until_group_is_settled()
        self.assertEqual(self._count_lasting_runs(), LASTING_TASK_COUNT)
        self.deployment.send_order("store", down_at_snapshot_of="keyed.servers")
        change_controller()
        calls.wait_until(
            lambda: self.deployment.findings()["is_store_down"],
            TIMEOUT_S,
            "a successor asks for the list of executors",
        )
        self._check_runs_outlast_outage()

    def _check_runs_outlast_outage(self):
        began_at = time.monotonic()
        counts = set()
        while (elapsed_s := time.monotonic() - began_at) < OUTAGE_S + AFTER_OUTAGE_S:
            if elapsed_s > OUTAGE_S:
                self.deployment.send_order("store")
            counts.add(self._count_lasting_runs())
            time.sleep(SAMPLE_INTERVAL_S)
        self.assertEqual(counts, {LASTING_TASK_COUNT})
        self.assertEqual(self.deployment.findings()["violations"], [])

    def test_slow_successor_runs_nothing_twice(self):
        """Guards against runs that are given up before the executors are known.

        Seen by the users with processes of their own: while the successor loaded its
        state, the time passed after which it took all leases for expired, and it
        started all tasks again before it had read the list of executors.
        """
        store_proxy = self._cut_controller_off()
        time.sleep(5.0)
        self.deployment.send_order("store", delay_s=0.3)
        time.sleep(6.0)
        self._heal(store_proxy)

    def test_executors_that_are_cut_off_during_the_takeover_run_nothing_twice(self):
        """Guards against leases that the predecessor renews for longer than assumed.

        Review case 1: the time until all leases have expired was counted from the
        change of the role, but the predecessor renewed leases until its successor
        had reached the executors.
        """
        store_proxy = self._cut_controller_off()
        time.sleep(3.3)
        self._cut_executors_off(is_cut=True)
        self.deployment.send_order("store", delay_s=0.1)
        time.sleep(8.0)
        self._heal(store_proxy)
