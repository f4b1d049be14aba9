"""Tests for the components that keep state in the store."""

import unittest
import unittest.mock

from cranberryport.control import (
    job_writer,
    membership,
    progress_writer,
    topic_reader,
)
from cranberryport.generated import messages
from cranberryport.platform import store
from tests import scripted


class MemberCase(unittest.TestCase):
    """A member with a scripted store."""

    def make_member(self, **settings):
        """Make and start a member."""
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.events = []
        self.member = membership.Membership(
            store_client=self.store,
            timers=self.timers,
            address="127.0.0.1:7",
            on_role_gained=self.events.append,
            on_role_lost=lambda: self.events.append("lost"),
            **settings,
        )
        self.member.start()


class MembershipTest(MemberCase):
    """Who the controller is."""

    def setUp(self):
        """Make a member."""
        self.make_member()

    def _answer(self, generation, *partitions):
        self.store.pop_call("join").callback(
            store.GroupMembership(
                generation=generation, partitions=frozenset(partitions)
            )
        )

    def test_epoch_is_the_generation_of_the_takeover(self):
        """Guards against an epoch that changes while the controller stays."""
        self._answer(5, 0, 3)
        self.timers.run()
        self._answer(6, 0)
        self.assertEqual((self.events, self.member.epoch), ([5], 5))

    def test_member_that_loses_the_partition_joins_again_at_once(self):
        """Guards against a gap until the previous owner's next join."""
        self._answer(5, 0)
        self.timers.run()
        self._answer(6, 1)
        self.assertEqual(self.events, [5, "lost"])
        self.assertEqual(self.store.pop_call("join").generation, 6)

    def test_late_answer_of_an_earlier_join_changes_nothing(self):
        """Guards against a role that is taken up again after it was lost."""
        self.timers.run()
        earlier, later = self.store.pop_call("join"), self.store.pop_call("join")
        later.callback(store.GroupMembership(generation=6, partitions=frozenset()))
        earlier.callback(store.GroupMembership(generation=5, partitions=frozenset({0})))
        self.assertEqual(self.events, [])

    def test_each_life_has_its_own_name(self):
        """Guards against a life that continues the epoch of an earlier one.

        Seen on brazos trouble-1 after a power cut.
        """
        other = scripted.FakeStore()
        membership.Membership(
            store_client=other,
            timers=self.timers,
            address="127.0.0.1:7",
            on_role_gained=self.events.append,
            on_role_lost=lambda: None,
        ).start()
        names = {s.pop_call("join").arguments[1] for s in (self.store, other)}
        self.assertEqual(len(names), 2)


class ReserveTest(MemberCase):
    """Members that are too weak to be the controller beside others."""

    def setUp(self):
        """Make a member in reserve."""
        self.now = 100.0
        patcher = unittest.mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.make_member(is_fallback=True)

    def _see(self, *names):
        members = dict(enumerate(names))
        self.store.pop_call("list_owners").callback(
            store.PartitionOwners(members=members)
        )

    def _wait(self, wait_s):
        self.now += wait_s
        self.timers.run()

    def test_reserve_watches_and_does_not_join(self):
        """Guards against a weak instance that decides for a large fleet.

        Seen on scoica-ops-grown scale-1: a controller with half a core fell behind.
        """
        self._see("127.0.0.1:8#1")
        self._wait(membership.RESERVE_INTERVAL_S)
        self._see("127.0.0.1:8#1")
        self.assertEqual(self.member.controller_address, "127.0.0.1:8")
        self.assertNotIn("join", self.store.call_names())

    def test_reserve_joins_once_no_member_is_left(self):
        """Guards against a fleet without a controller."""
        self._see()
        self._wait(membership.RESERVE_DELAY_S / 2)
        self._see()
        self.assertNotIn("join", self.store.call_names())
        self._wait(membership.RESERVE_DELAY_S)
        self.assertIn("join", self.store.call_names())

    def test_silence_of_the_store_is_not_the_loss_of_all_members(self):
        """Guards against weak instances that all join as the store comes back."""
        self._see("127.0.0.1:8#1")
        for _ in range(4):
            self._wait(membership.RESERVE_INTERVAL_S)
            self.store.pop_call("list_owners").callback(
                store.NoResponse(detail="reset")
            )
        self.assertNotIn("join", self.store.call_names())

    def test_reserve_leaves_when_a_stronger_member_is_there(self):
        """Guards against a weak controller that stays after the others are back."""
        self._see()
        self._wait(membership.RESERVE_DELAY_S + 0.1)
        self.store.pop_call("join").callback(
            store.GroupMembership(generation=5, partitions=frozenset({0}))
        )
        self.assertEqual(self.events, [5])
        self._wait(membership.RESERVE_INTERVAL_S)
        self._see("127.0.0.1:7#r1", "127.0.0.1:9#r2")
        self.assertEqual(self.events, [5])
        self._wait(membership.RESERVE_INTERVAL_S)
        self._see("127.0.0.1:7#r1", "127.0.0.1:8#1")
        self.assertEqual(self.events, [5, "lost"])
        left = self.store.pop_call("leave")
        with self.assertLogs(level="WARNING"):
            left.callback(store.NoResponse(detail="reset"))
        with self.assertNoLogs(level="WARNING"):
            left.callback(store.LeftGroup())


class ProgressWriterTest(unittest.TestCase):
    """Batches under an epoch."""

    def setUp(self):
        """Make a writer that has set its epoch."""
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.events = []
        self.writer = progress_writer.ProgressWriter(
            store_client=self.store,
            timers=self.timers,
            epoch=9,
            on_fenced=lambda: self.events.append("fenced"),
        )
        self.writer.fence(lambda: self.events.append("set"))
        self.store.pop_call("append").callback(store.Appended(offset=0, end=0))
        message = messages.ProgressStored(job="j", state="active")
        self.writer.write([message], lambda: self.events.append("stored"))

    def test_append_without_answer_is_repeated_under_its_number(self):
        """Guards against a batch that is stored twice or lost."""
        first = self.store.pop_call("append")
        with self.assertLogs(level="WARNING"):
            first.callback(store.NoResponse(detail="reset"))
        self.assertEqual(self.events, ["set"])
        self.timers.run()
        again = self.store.pop_call("append")
        self.assertEqual(again.producer, first.producer)
        again.callback(store.Appended(offset=1, end=2))
        self.assertEqual(self.events, ["set", "stored"])

    def test_fenced_writer_tells_its_owner(self):
        """Guards against a controller that goes on beside its successor."""
        with self.assertLogs(level="WARNING"):
            self.store.pop_call("append").callback(
                store.Refused(status=409, reason="fenced")
            )
        self.assertEqual(self.events, ["set", "fenced"])
        self.assertEqual(self.timers.calls, [])


class TopicReaderTest(unittest.TestCase):
    """Newest records, then every change."""

    def setUp(self):
        """Make a reader that has its snapshot."""
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.seen = []
        self.reader = topic_reader.TopicReader(
            store_client=self.store,
            timers=self.timers,
            topic="t",
            on_snapshot=lambda found: self.seen.append(("snapshot", found)),
            on_records=lambda found: self.seen.append(("records", found)),
            long_poll_s=1.0,
            min_interval_s=0.0,
        )
        self.reader.start()
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=[("a", b"1")], end=4)
        )

    def test_reading_goes_on_after_the_snapshot(self):
        """Guards against changes between the snapshot and the first read."""
        call = self.store.pop_call("read")
        self.assertEqual(call.arguments, ("t", 4))
        call.callback(store.Records(first=0, end=5, next=5, records=[("b", b"2")]))
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 5))
        self.assertEqual(self.seen[1], ("records", [("b", b"2")]))

    def test_expired_history_leads_to_a_new_snapshot(self):
        """Guards against a reader that misses what expired."""
        self.store.pop_call("read").callback(store.Expired(first=90))
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=[], end=95)
        )
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 95))

    def test_records_that_a_long_poll_does_not_return_are_read(self):
        """Guards against jobs that become known late while history is dropped.

        Seen on scoica-ops-grown scale-1: for 1.2 s of a peak the long polls returned
        nothing, and 98 jobs became known at once.
        """
        waiting = self.store.pop_call("read")
        self.reader.expect(6)
        self.reader.expect(5)
        self.timers.run()
        call = self.store.pop_call("read")
        self.assertEqual((call.arguments, call.wait_s), (("t", 4), 0.0))
        found = [("b", b"2"), ("c", b"3")]
        call.callback(store.Records(first=0, end=6, next=6, records=found))
        self.assertEqual(self.seen[1:], [("records", found)])
        later = [*found, ("d", b"4")]
        waiting.callback(store.Records(first=0, end=7, next=7, records=later))
        self.assertEqual(self.seen[2:], [("records", [("d", b"4")])])
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 7))
        self.assertEqual(self.store.call_names(), [])

    def test_records_that_come_in_time_are_not_read_twice(self):
        """Guards against a second read for each hand-in."""
        self.reader.expect(5)
        self.store.pop_call("read").callback(
            store.Records(first=0, end=5, next=5, records=[("b", b"2")])
        )
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").wait_s, 1.0)
        self.assertEqual(self.store.call_names(), [])

    def test_failed_read_is_repeated_from_the_same_place(self):
        """Guards against records that are skipped when an answer is lost."""
        with self.assertLogs(level="WARNING"):
            self.store.pop_call("read").callback(store.NoResponse(detail="reset"))
        self.assertTrue(self.reader.has_read_failed)
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 4))


class JobWriterTest(unittest.TestCase):
    """Hand-ins while the store is slow."""

    def setUp(self):
        """Make a writer."""
        self.store = scripted.FakeStore()
        self.owned = frozenset({5, 3})
        self.results = []
        self.told = []
        self.writer = job_writer.JobWriter(
            store_client=self.store,
            partition_count=8,
            instance="entry-1",
            owned_partitions=lambda: self.owned,
            on_stored=lambda *told: self.told.append(told),
        )

    def _write(self, key, size=1):
        self.writer.write(
            (key, b"x" * size),
            timeout_s=1.0,
            callback=lambda result: self.results.append((key, result)),
        )

    def test_what_comes_during_an_append_shares_the_next(self):
        """Guards against jobs that wait for one append each while the store is slow.

        Seen on scoica trouble-2: at 60 times 4 ms, 190 hand-ins got no answer in time.
        """
        for key in ("a", "b", "c"):
            self._write(key)
        first = self.store.pop_call("append")
        self.assertEqual([key for key, _ in first.arguments[1]], ["a"])
        self.assertEqual(self.store.call_names(), [])
        done = store.Appended(offset=0, end=1)
        first.callback(done)
        second = self.store.pop_call("append")
        self.assertEqual([key for key, _ in second.arguments[1]], ["b", "c"])
        failed = store.NoResponse(detail="reset")
        second.callback(failed)
        self.assertEqual(self.results, [("a", done), ("b", failed), ("c", failed)])

    def test_end_of_the_partition_is_told(self):
        """Guards against a controller that does not hear of what is stored."""
        self._write("a")
        self.store.pop_call("append").callback(store.Appended(offset=6, end=7))
        self._write("b")
        self.store.pop_call("append").callback(store.NoResponse(detail="reset"))
        self.assertEqual(self.told, [(3, 7)])

    def test_instances_write_to_partitions_of_their_own(self):
        """Guards against all instances in turn on one partition."""
        self._write("a")
        self.assertEqual(self.store.pop_call("append").partition, 3)
        self.owned = frozenset()
        self.assertIn(self.writer.partition, range(8))

    def test_batch_stays_below_the_limit_of_a_call(self):
        """Guards against an append that the store refuses for its size."""
        self._write("a")
        for key in ("b", "c", "d"):
            self._write(key, size=600_000)
        self.store.pop_call("append").callback(store.Appended(offset=0, end=1))
        self.assertEqual(len(self.store.pop_call("append").arguments[1]), 1)
