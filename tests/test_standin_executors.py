"""What the stand-ins of executors tell a controller about their lives."""

import asyncio
import json
import types
import unittest
import unittest.mock

from standins.platform import (
    executors,
    instances,
    invariants,
    rig_settings,
    store,
)

STEP = {"count": 1, "ms": 60_000, "processors": 1000, "memory": 1}
TASK = "job.0.0.0"


def make_request(path, executor_id, **fields):
    """Return a request to an executor."""
    return types.SimpleNamespace(
        headers={"expected-instance": executor_id},
        path=path,
        json_object=lambda: fields,
    )


def make_start(executor_id, *, deadline_ms=10**12):
    """Return a request that starts a run."""
    return make_request(
        "/api/run-start",
        executor_id,
        Task=TASK,
        RunId=1,
        Spec=json.dumps({"steps": [STEP]}),
        DeadlineMs=deadline_ms,
    )


class AnswerTest(unittest.TestCase):
    """Answers of one executor."""

    def test_only_lists_of_runs_tell_the_life(self):
        """Guards against a stand-in whose every answer would show a restart."""
        executor = executors.Executor(
            id="e1",
            processors=2000,
            memory=100,
            lease_limit_s=10.0,
            checker=invariants.InvariantChecker(),
        )
        named = {}
        for request in (
            make_start("e1"),
            make_start("e1", deadline_ms=0),
            make_request("/api/pace", "e1"),
            make_request("/api/hold", "e1"),
            make_request("/api/run-stop", "e1", Task=TASK, RunId=1),
            make_request("/api/hold", "other"),
        ):
            status, body = asyncio.run(executor.handle(request))
            self.assertIn("ClockMs", body)
            named[request.path, status] = "born" in body
        self.assertEqual(
            named,
            {
                ("/api/run-start", 200): False,
                ("/api/run-start", 409): False,
                ("/api/pace", 200): False,
                ("/api/hold", 200): True,
                ("/api/run-stop", 200): False,
                ("/api/hold", 421): False,
            },
        )


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Restarts of executors under their ids, and requests that arrive meanwhile."""

    async def asyncSetUp(self):
        """Start the executors of two instances."""
        self.checker = invariants.InvariantChecker()
        self.store = store.Store(partitions=1)
        self.instances = instances.Instances(
            store=self.store,
            checker=self.checker,
            rig=rig_settings.RigSettings(),
            pools={"p": 2},
            processors=2000,
            memory=100,
        )
        await self.instances.start()
        self.instance = self.instances.by_id["m1"]
        self.executor_id = self.instance.executor.id

    async def asyncTearDown(self):
        """End the executors."""
        for instance in self.instances.by_id.values():
            self.instances.end_executor(instance)
            instance.server.close()

    async def _call(self, request):
        return await self.instances.handle_executor_call(self.instance, request)

    async def test_requests_during_a_restart_are_carried_out_in_their_order(self):
        """Guards against a soak in which a later call fences those that waited."""
        self.instances.restart_executor(self.instance, dark_s=0.05, is_silent=True)
        start = make_start(self.executor_id)
        runs = make_request("/api/hold", self.executor_id, FencingToken=2)
        answers = await asyncio.gather(*(self._call(r) for r in (start, runs)))
        self.assertEqual([status for status, _ in answers], [200, 200])
        self.assertEqual(len(answers[1][1]["Running"]), 1)

    async def test_request_during_a_restart_is_carried_out_by_the_new_life(self):
        """Guards against a soak in which no start reaches the life after a restart."""
        former = self.instance.executor
        self.instances.restart_executor(self.instance, dark_s=0.1)
        _, listed = await self.instances.handle(make_request("/api/machines", ""))
        row = listed["Machines"][0]
        self.assertEqual((row["State"], row["Id"]), ("down", ""))
        status, _ = await self._call(make_start(self.executor_id))
        self.assertEqual(status, 200)
        self.assertIsNot(self.instance.executor, former)
        self.assertEqual(self.instance.executor.id, self.executor_id)
        self.assertEqual(self.checker.running_tasks(), [TASK])
        _, listed = await self.instances.handle(make_request("/api/machines", ""))
        row = listed["Machines"][0]
        self.assertEqual((row["State"], row["Id"]), ("up", self.executor_id))

    async def test_former_life_answers_nothing_after_a_silent_restart(self):
        """Guards against an empty list of runs from a life that has ended."""
        request = make_request("/api/hold", self.executor_id, WaitMs=50)
        call = asyncio.ensure_future(self._call(request))
        await asyncio.sleep(0)
        self.instances.restart_executor(self.instance, dark_s=0.1, is_silent=True)
        with self.assertRaises(ConnectionResetError):
            await call

    async def test_clocks_of_lives_begin_anywhere(self):
        """Guards against clocks that tell a new life by their low values."""
        clocks = []
        for _ in range(20):
            self.instances.restart_executor(self.instance)
            clocks.append(self.instance.executor.clock_ms)
        self.assertGreater(max(clocks), executors.FIRST_CLOCK_LIMIT_MS / 2)
        self.assertNotEqual(clocks, sorted(clocks))

    async def test_cut_outlasts_a_restart(self):
        """Guards against a restart that connects an executor again."""
        self.instance.is_cut = True
        self.instances.restart_executor(self.instance)
        call = asyncio.ensure_future(self._call(make_start(self.executor_id)))
        await asyncio.sleep(2 * executors.CHECK_INTERVAL_S)
        self.instance.is_cut = False
        with self.assertRaises(ConnectionResetError):
            await call
        self.assertEqual(self.checker.running_tasks(), [])

    async def _call_late(self, *, is_kept):
        """Send a start that is late, and restart the executor before it is due."""
        self.instance.late_call_share = 1.0
        self.instance.are_late_calls_kept = is_kept
        with unittest.mock.patch.object(
            instances, "LATE_CALL_DELAY_RANGE_S", (0.05, 0.1)
        ):
            call = asyncio.ensure_future(self._call(make_start(self.executor_id)))
            await asyncio.sleep(0)
            self.instance.late_call_share = 0.0
            status, _ = await self._call(make_request("/api/hold", self.executor_id))
            self.assertEqual(status, 200)
            self.assertEqual(self.checker.running_tasks(), [])
            if is_kept is not None:
                self.instances.restart_executor(self.instance, dark_s=0.2)
            with self.assertRaises(ConnectionResetError):
                await call

    async def test_late_call_is_carried_out_after_newer_ones_without_an_answer(self):
        """Guards against a soak in which calls without an answer have no effect."""
        await self._call_late(is_kept=None)
        self.assertEqual(self.checker.running_tasks(), [TASK])

    async def test_late_call_is_carried_out_by_the_next_life_if_kept(self):
        """Guards against two kinds of late calls that are not told apart."""
        await self._call_late(is_kept=True)
        self.assertEqual(self.checker.running_tasks(), [TASK])
        self.instances.end_executor(self.instance)
        self.instances.revive(self.instance)
        self.executor_id = self.instance.executor.id
        await self._call_late(is_kept=False)
        self.assertEqual(self.checker.running_tasks(), [])


class EntryTest(unittest.TestCase):
    """Entries of executors in the store, whose time is moved by hand."""

    def setUp(self):
        """Start the executor of one instance."""
        self.now = 1000.0
        clocks = types.SimpleNamespace(monotonic=lambda: self.now)
        patch = unittest.mock.patch.object(instances, "time", clocks)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = store.Store(partitions=1)
        self.instances = instances.Instances(
            store=self.store,
            checker=invariants.InvariantChecker(),
            rig=rig_settings.RigSettings(),
            pools={"p": 1},
            processors=2000,
            memory=100,
        )
        self.instance = self.instances.by_id["m1"]
        self.instance.server = unittest.mock.Mock(port=1)
        self.instances.start_executor(self.instance)
        self.executor_id = self.instance.executor.id

    def _read_entry(self):
        value, _ = self.store.partition("keyed.servers").newest.get(
            self.executor_id, (b"null", 0)
        )
        return json.loads(value)

    def _advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + executors.CHECK_INTERVAL_S)
            self.instances.write_due_entries()

    def test_entry_is_written_at_intervals(self):
        """Guards against entries that tell nothing of the silence of an executor."""
        self.assertEqual(self._read_entry()["Sequence"], 1)
        self._advance(10 * instances.ENTRY_INTERVAL_S)
        self.assertIn(self._read_entry()["Sequence"], (10, 11, 12))

    def test_entry_follows_a_restart_within_an_interval(self):
        """Guards against a restart that the store shows at once, or never."""
        delays_s = []
        for _ in range(20):
            self.instances.restart_executor(self.instance)
            born = self.instance.executor.started_at_ms = 7_000_000 + len(delays_s)
            restarted_at = self.now
            while self._read_entry()["born"] != born:
                self._advance(executors.CHECK_INTERVAL_S)
            delays_s.append(self.now - restarted_at)
        longest_s = instances.ENTRY_INTERVAL_S
        self.assertLess(min(delays_s), longest_s / 4)
        self.assertGreater(max(delays_s), longest_s * 3 / 4)
        self.assertLessEqual(max(delays_s), longest_s + executors.CHECK_INTERVAL_S)

    def test_executor_that_is_cut_off_writes_no_entry(self):
        """Guards against a store that shows a restart behind a partition."""
        before = self._read_entry()
        self.instances.set_cut(self.instance, True)
        self.instances.restart_executor(self.instance)
        self._advance(3 * instances.ENTRY_INTERVAL_S - 0.2)
        self.assertEqual(self._read_entry(), before)
        self._advance(0.4)
        self.assertIsNone(self._read_entry())
        self.instances.set_cut(self.instance, False)
        self._advance(instances.ENTRY_INTERVAL_S + instances.ENTRY_JITTER_S)
        self.assertEqual(self._read_entry()["Sequence"], 1)

    def test_entry_of_a_crashed_executor_is_removed(self):
        """Guards against entries of executors that never come back."""
        self.instances.end_executor(self.instance, is_listed=True)
        self._advance(3 * instances.ENTRY_INTERVAL_S - 0.2)
        self.assertIsNotNone(self._read_entry())
        self._advance(0.4)
        self.assertIsNone(self._read_entry())

    def test_shrinking_during_a_cut_counts_from_its_end(self):
        """Guards against a violation that no controller could have known of."""
        self.instances.set_cut(self.instance, True)
        self.instances.set_processors(self.instance, 1000)
        executor = self.instance.executor
        executor._shrunk_at -= executors.SHRINKING_GRACE_S
        shrunk_at = executor._shrunk_at
        self.instances.set_cut(self.instance, False)
        self.assertGreaterEqual(
            executor._shrunk_at, shrunk_at + executors.SHRINKING_GRACE_S
        )
