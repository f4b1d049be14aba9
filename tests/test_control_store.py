"""Tests for cranberryport.control: membership, topic reader and the two writers."""

import time
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
from cranberryport.scheduling import record_groups, takeover
from tests import scripted


class MembershipTestCase(unittest.TestCase):
    """A member with a fake store."""

    def make_member(self, **keywords):
        """Make and start a member."""
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.events = []
        self.member = membership.Membership(
            store_client=self.store,
            timers=self.timers,
            address="127.0.0.1:7",
            on_role_gained=self.events.append,
            on_role_lost=self._on_role_lost,
            **keywords,
        )
        self.member.start()

    def _on_role_lost(self, may_renew_leases):
        self.events.append("lost")
        self.may_renew_leases = may_renew_leases


class MembershipTest(MembershipTestCase):
    """The controller role of a regular member."""

    def setUp(self):
        """Make a member."""
        self.make_member()

    def _answer(self, generation, *partitions):
        self.store.pop_call("join").callback(
            store.GroupMembership(
                generation=generation, partitions=frozenset(partitions)
            )
        )

    def test_epoch_is_the_generation_in_which_the_role_was_gained(self):
        """Guards against an epoch that changes while the controller is the same."""
        self._answer(5, 0, 3)
        self.timers.run()
        self._answer(6, 0)
        self.assertEqual((self.events, self.member.epoch), ([5], 5))

    def test_member_that_loses_the_partition_joins_again_at_once(self):
        """Guards against a time without a controller until the next regular join.

        The store assigns the partition only after its previous owner has joined again.
        """
        self._answer(5, 0)
        self.timers.run()
        self._answer(6, 1)
        self.assertEqual(self.events, [5, "lost"])
        self.assertEqual(self.store.pop_call("join").generation, 6)

    def test_membership_expires_while_the_machine_is_suspended(self):
        """Guards against orders by a controller that has been replaced meanwhile.

        The monotonic clock stops while a machine is suspended.
        """
        with unittest.mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            boot_now_s.return_value = 100.0
            self.timers.run()
            self.store.pop_call("join")
            self._answer(5, 0)
            self.assertTrue(self.member.is_sole_controller)
            boot_now_s.return_value += membership.TTL_S
            self.assertFalse(self.member.is_sole_controller)

    def test_proof_of_the_role_ends_by_the_own_clock(self):
        """Guards against a cut-off controller that goes on while another one acts.

        The age counts from the sending of the last join that was answered.
        """
        with unittest.mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            boot_now_s.return_value = 100.0
            self.timers.run()
            self.store.pop_call("join")
            boot_now_s.return_value = 101.0
            self._answer(5, 0)
            boot_now_s.return_value = 100.0 + takeover.ROLE_VALIDITY_S - 0.01
            self.assertTrue(self.member.is_role_proven)
            self.timers.run()
            boot_now_s.return_value = 100.0 + takeover.ROLE_VALIDITY_S
            self.assertFalse(self.member.is_role_proven)
            self._answer(5, 0)
            self.assertTrue(self.member.is_role_proven)
            self.timers.run()
            self._answer(6)
            self.assertFalse(self.member.is_role_proven)

    def test_leases_are_renewed_after_the_role_as_long_as_with_it(self):
        """Guards against renewals for which the successor does not wait.

        The join that takes the role away proves nothing.
        """
        with unittest.mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            boot_now_s.return_value = 100.0
            self.timers.run()
            self.store.pop_call("join")
            self._answer(5, 0)
            boot_now_s.return_value = 101.0
            self.timers.run()
            self._answer(6)
            self.assertFalse(self.member.is_role_proven)
            boot_now_s.return_value = 100.0 + takeover.ROLE_VALIDITY_S - 0.01
            self.assertTrue(self.may_renew_leases())
            boot_now_s.return_value = 100.0 + takeover.ROLE_VALIDITY_S
            self.assertFalse(self.may_renew_leases())

    def test_role_regained_in_another_epoch_prolongs_no_former_one(self):
        """Guards against renewals by the proof of another epoch."""
        with unittest.mock.patch("cranberryport.boot_clock.now_s") as boot_now_s:
            boot_now_s.return_value = 100.0
            self.timers.run()
            self.store.pop_call("join")
            self._answer(5, 0)
            self.timers.run()
            self._answer(6)
            boot_now_s.return_value = 103.0
            self._answer(6)
            self.timers.run()
            self._answer(7, 0)
            self.assertEqual(self.events, [5, "lost", 7])
            self.assertTrue(self.may_renew_leases())
            boot_now_s.return_value = 100.0 + takeover.ROLE_VALIDITY_S
            self.assertFalse(self.may_renew_leases())

    def test_role_regained_in_the_same_epoch_ends_the_former_renewals(self):
        """Guards against renewals that the executors do not tell from the present ones.

        Their tokens are the same, and the controller does not know of them.
        """
        self._answer(5, 0)
        self.member.step_down()
        self.assertTrue(self.may_renew_leases())
        self.timers.run()
        self._answer(5, 0)
        self.assertEqual(self.events, [5, "lost", 5])
        self.assertFalse(self.may_renew_leases())

    def test_late_answer_to_an_earlier_join_is_ignored(self):
        """Guards against a controller role that is regained by an outdated answer."""
        self.timers.run()
        earlier, later = self.store.pop_call("join"), self.store.pop_call("join")
        later.callback(store.GroupMembership(generation=6, partitions=frozenset()))
        earlier.callback(store.GroupMembership(generation=5, partitions=frozenset({0})))
        self.assertEqual(self.events, [])

    def test_each_process_has_its_own_member_name(self):
        """Guards against a restarted process that continues its previous epoch.

        This happened after a power cut.
        """
        other = scripted.FakeStore()
        membership.Membership(
            store_client=other,
            timers=self.timers,
            address="127.0.0.1:7",
            on_role_gained=self.events.append,
            on_role_lost=lambda _: None,
        ).start()
        names = {s.pop_call("join").arguments[1] for s in (self.store, other)}
        self.assertEqual(len(names), 2)


class FallbackMemberTest(MembershipTestCase):
    """Members with too few cores to be the controller if there is another one."""

    def setUp(self):
        """Make a fallback member and a clock that the test sets."""
        self.now = 100.0
        patcher = unittest.mock.patch("time.monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.make_member(is_fallback=True)

    def _answer_owners(self, *names):
        members = dict(enumerate(names))
        self.store.pop_call("list_owners").callback(
            store.PartitionOwners(members=members)
        )

    def _advance(self, delay_s):
        self.now += delay_s
        self.timers.run()

    def test_fallback_member_does_not_join_beside_a_regular_one(self):
        """Guards against a controller with too few cores for a large fleet.

        A controller with half a core could not keep up.
        """
        self._answer_owners("127.0.0.1:8#1")
        self._advance(membership.FALLBACK_QUERY_INTERVAL_S)
        self._answer_owners("127.0.0.1:8#1")
        self.assertEqual(self.member.controller_address, "127.0.0.1:8")
        self.assertNotIn("join", self.store.call_names())

    def test_fallback_member_joins_after_no_member_was_seen(self):
        """Guards against a fleet without a controller."""
        self._answer_owners()
        self._advance(membership.FALLBACK_JOIN_DELAY_S / 2)
        self._answer_owners()
        self.assertNotIn("join", self.store.call_names())
        self._advance(membership.FALLBACK_JOIN_DELAY_S)
        self.assertIn("join", self.store.call_names())

    def test_failed_queries_do_not_count_as_no_member(self):
        """Guards against fallback members that all join when the store recovers."""
        self._answer_owners("127.0.0.1:8#1")
        for _ in range(4):
            self._advance(membership.FALLBACK_QUERY_INTERVAL_S)
            self.store.pop_call("list_owners").callback(
                store.NoResponse(reason="reset")
            )
        self.assertNotIn("join", self.store.call_names())

    def test_fallback_member_leaves_when_a_regular_one_joins(self):
        """Guards against a fallback member that remains the controller."""
        self._answer_owners()
        self._advance(membership.FALLBACK_JOIN_DELAY_S + 0.1)
        self.store.pop_call("join").callback(
            store.GroupMembership(generation=5, partitions=frozenset({0}))
        )
        self.assertEqual(self.events, [5])
        self._advance(membership.FALLBACK_QUERY_INTERVAL_S)
        self._answer_owners("127.0.0.1:7#r1", "127.0.0.1:9#r2")
        self.assertEqual(self.events, [5])
        self._advance(membership.FALLBACK_QUERY_INTERVAL_S)
        self._answer_owners("127.0.0.1:7#r1", "127.0.0.1:8#1")
        self.assertEqual(self.events, [5, "lost"])
        left = self.store.pop_call("leave")
        with self.assertLogs(level="WARNING"):
            left.callback(store.NoResponse(reason="reset"))
        with self.assertNoLogs(level="WARNING"):
            left.callback(store.LeftGroup())


class ProgressWriterTest(unittest.TestCase):
    """Appends under an epoch."""

    def setUp(self):
        """Make a writer that has set its epoch and has sent a batch."""
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.events = []
        self.writer = progress_writer.ProgressWriter(
            store_client=self.store,
            timers=self.timers,
            epoch=9,
            on_superseded=lambda: self.events.append("fenced"),
        )
        self.writer.fence(lambda: self.events.append("set"))
        self.store.pop_call("append").callback(store.Appended(offset=0, end=0))
        message = messages.ProgressStored(job="j", state="active")
        group = record_groups.RecordGroup(new_records=[message])
        self.writer.write([group], lambda: self.events.append("stored"))

    def test_append_without_answer_is_repeated_under_its_sequence_number(self):
        """Guards against a batch that is stored twice or lost."""
        first = self.store.pop_call("append")
        with self.assertLogs(level="WARNING"):
            first.callback(store.NoResponse(reason="reset"))
        self.assertEqual(self.events, ["set"])
        self.timers.run()
        repeated = self.store.pop_call("append")
        self.assertEqual(repeated.producer, first.producer)
        repeated.callback(store.Appended(offset=1, end=2))
        self.assertEqual(self.events, ["set", "stored"])

    def test_fenced_writer_calls_on_fenced(self):
        """Guards against a controller that continues beside its successor."""
        with self.assertLogs(level="WARNING"):
            self.store.pop_call("append").callback(
                store.Refused(status=409, reason="fenced")
            )
        self.assertEqual(self.events, ["set", "fenced"])
        self.assertEqual(self.timers.calls, [])

    def test_batch_beyond_the_limit_of_an_append_takes_several(self):
        """Guards against a refused append that stops all decisions.

        Nothing that the batch holds back may start before all of it is stored.
        """
        self.store.pop_call("append").callback(store.Appended(offset=0, end=1))
        self.events.clear()
        groups = [
            record_groups.RecordGroup(
                new_records=[
                    messages.TasksStored(
                        job=f"tasks/{job}/{part}", tasks=[["x" * 200_000]]
                    )
                    for part in range(4)
                ],
                deleted_keys=[f"tasks/{job}/9"],
            )
            for job in "abc"
        ]
        self.writer.write(groups, lambda: self.events.append("stored"))
        sequences = []
        for names in ("ab", "c"):
            call = self.store.pop_call("append")
            keys = [key for key, _ in call.arguments[1]]
            self.assertEqual(
                keys,
                [f"tasks/{job}/{n}" for job in names for n in (9, 0, 1, 2, 3)],
            )
            size = len(store.encode_records(call.arguments[1]))
            self.assertLessEqual(size, record_groups.CALL_LIMIT_BYTES)
            sequences.append(call.producer[2])
            self.assertEqual(self.events, [])
            call.callback(store.Appended(offset=0, end=1))
        self.assertEqual(self.events, ["stored"])
        self.assertEqual(sequences[1], sequences[0] + 1)


class TopicReaderTest(unittest.TestCase):
    """The snapshot of a topic and the reads after it."""

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

    def test_reading_continues_at_the_end_of_the_snapshot(self):
        """Guards against a loss of records between the snapshot and the first read."""
        call = self.store.pop_call("read")
        self.assertEqual(call.arguments, ("t", 4))
        call.callback(store.Records(first=0, end=5, next=5, records=[("b", b"2")]))
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 5))
        self.assertEqual(self.seen[1], ("records", [("b", b"2")]))

    def test_expired_history_leads_to_a_new_snapshot(self):
        """Guards against a reader that misses expired records."""
        self.store.pop_call("read").callback(store.Expired(first=90))
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=[], end=95)
        )
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 95))

    def test_records_missing_from_a_long_poll_are_read(self):
        """Guards against jobs that are read late while the store drops history.

        The long polls returned nothing for 1.2 s of a peak, and then 98 jobs were read
        at once.
        """
        waiting = self.store.pop_call("read")
        self.reader.catch_up(6)
        self.reader.catch_up(5)
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

    def test_records_that_arrive_in_time_are_not_read_twice(self):
        """Guards against a second read for each submission."""
        self.reader.catch_up(5)
        self.store.pop_call("read").callback(
            store.Records(first=0, end=5, next=5, records=[("b", b"2")])
        )
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").wait_s, 1.0)
        self.assertEqual(self.store.call_names(), [])

    def test_record_that_cannot_be_handled_hides_no_other_one(self):
        """Guards against a reader that one record of another program ends.

        Review case 3: an executor's entry with port 99999 ended the reading of the list
        of executors, and jobs stayed queued for ever.
        """

        def handle(found):
            for record in found:
                if record[1] == b"bad":
                    raise OverflowError("port must be 0-65535")
                self.seen.append(record)

        self.reader._on_records = handle
        read = self.store.pop_call("read")
        self.reader.catch_up(7)
        self.timers.run()
        found = [("a", b"2"), ("b", b"bad"), ("c", b"3")]
        with self.assertLogs(level="ERROR") as logs:
            self.store.pop_call("read").callback(
                store.Records(first=0, end=7, next=7, records=found)
            )
        self.assertIn(("c", b"3"), self.seen)
        self.assertEqual(self.reader.not_applied_count, 1)
        self.assertEqual(logs.records[-1].key, "b")
        later = [*found, ("d", b"4")]
        read.callback(store.Records(first=0, end=8, next=8, records=later))
        self.assertEqual(self.seen[-1], ("d", b"4"))
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 8))

    def test_failed_read_is_repeated_from_the_same_offset(self):
        """Guards against records that are skipped when an answer is lost."""
        with self.assertLogs(level="WARNING"):
            self.store.pop_call("read").callback(store.NoResponse(reason="reset"))
        self.assertTrue(self.reader.has_read_failed)
        self.timers.run()
        self.assertEqual(self.store.pop_call("read").arguments, ("t", 4))


class CompleteReadTest(unittest.TestCase):
    """Time until which all records are known, by the clock that never stops."""

    def setUp(self):
        """Make a reader with its snapshot, which was sent at 10 and answered at 12."""
        patcher = unittest.mock.patch("cranberryport.boot_clock.now_s")
        self.boot_now_s = patcher.start()
        self.addCleanup(patcher.stop)
        self.boot_now_s.return_value = 10.0
        self.store = scripted.FakeStore()
        self.timers = scripted.FakeTimers()
        self.on_records = unittest.mock.Mock()
        self.reader = topic_reader.TopicReader(
            store_client=self.store,
            timers=self.timers,
            topic="t",
            on_snapshot=lambda found: None,
            on_records=self.on_records,
            long_poll_s=1.0,
            min_interval_s=0.0,
        )
        self.reader.start()
        self.boot_now_s.return_value = 12.0
        self.assertIsNone(self.reader.complete_read_sent_at)
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=[("a", b"1")], end=4)
        )

    def _answer(self, result):
        """Answer the read of 12 at 20."""
        self.boot_now_s.return_value = 20.0
        self.store.pop_call("read").callback(result)

    def test_time_is_that_at_which_the_read_was_sent(self):
        """Guards against a slow answer that counts from its arrival."""
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)
        self._answer(store.Records(first=0, end=4, next=4, records=[]))
        self.assertEqual(self.reader.complete_read_sent_at, 12.0)

    def test_failed_read_proves_nothing(self):
        """Guards against an instance without the store that seems to be current."""
        for result in (
            store.NoResponse(reason="reset"),
            store.Refused(status=503),
            store.Expired(first=90),
        ):
            with self.subTest(result=result):
                self._answer(result)
                self.assertEqual(self.reader.complete_read_sent_at, 10.0)
                self.setUp()

    def test_answer_with_a_part_of_the_records_proves_nothing(self):
        """Guards against a newer record that did not fit into the answer."""
        found = [("b", b"2")]
        self._answer(store.Records(first=0, end=9, next=5, records=found))
        self.on_records.assert_called_once_with(found)
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)

    def test_catch_up_read_does_not_make_an_earlier_read_newer(self):
        """Guards against the answer to one read that counts as that to another."""
        self.reader.catch_up(6)
        self.boot_now_s.return_value = 15.0
        self.timers.run()
        waiting, catch_up = self.store.pop_call("read"), self.store.pop_call("read")
        catch_up.callback(store.Records(first=0, end=5, next=5, records=[("b", b"2")]))
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)
        waiting.callback(store.Records(first=0, end=4, next=4, records=[]))
        self.assertEqual(self.reader.complete_read_sent_at, 12.0)

    def test_confirming_read_counts_although_the_long_poll_is_answered_later(self):
        """Guards against a job that has to be asked about until the long poll ends."""
        self.boot_now_s.return_value = 15.0
        self.reader.confirm()
        waiting, confirming = self.store.pop_call("read"), self.store.pop_call("read")
        confirming.callback(store.Records(first=0, end=4, next=4, records=[]))
        self.assertTrue(self.reader.has_read_since(15.0))
        waiting.callback(store.Records(first=0, end=4, next=4, records=[]))
        self.assertEqual(self.reader.complete_read_sent_at, 15.0)

    def test_failed_confirming_read_proves_nothing_and_is_logged(self):
        """Guards against status 503 for a question, for which no log line says why."""
        self.boot_now_s.return_value = 15.0
        self.reader.confirm()
        self.store.pop_call("read")
        with self.assertLogs(level="INFO") as logs:
            self.store.pop_call("read").callback(store.Refused(status=503))
        self.assertEqual(logs.records[0].getMessage(), "confirming read failed")
        self.assertIn("503", logs.records[0].reason)
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)

    def test_records_whose_callback_raises_are_not_taken_as_applied(self):
        """Guards against a configuration that was read but not put in force.

        Only a snapshot that is applied as a whole shows that nothing is missing.
        """
        self.on_records.side_effect = ValueError
        with self.assertLogs(level="ERROR"):
            self._answer(store.Records(first=0, end=5, next=5, records=[("b", b"2")]))
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)
        self.timers.run()
        self._answer(store.Records(first=0, end=5, next=5, records=[]))
        self.assertEqual(self.reader.complete_read_sent_at, 10.0)
        later = time.monotonic() + topic_reader.REPAIR_DELAY_S
        with unittest.mock.patch("time.monotonic", lambda: later):
            self.timers.run()
        self.boot_now_s.return_value = 30.0
        self.store.pop_call("read_newest").callback(
            store.NewestRecords(records=[("b", b"2")], end=5)
        )
        self.assertEqual(self.reader.complete_read_sent_at, 20.0)

    def test_lost_records_lead_to_a_snapshot(self):
        """Guards against records that a store without part of its history hides."""
        for first, end in ((0, 3), (5, 9)):
            with self.subTest(first=first, end=end):
                with self.assertLogs(level="ERROR"):
                    self._answer(
                        store.Records(first=first, end=end, next=end, records=[])
                    )
                self.assertEqual(self.reader.complete_read_sent_at, 10.0)
                self.timers.run()
                self.store.pop_call("read_newest")
                self.setUp()


class SlowStoreTest(unittest.TestCase):
    """Recognition of a slow store by the controller's own appends."""

    def test_append_in_progress_or_the_last_one_shows_a_slow_store(self):
        """Guards against 43 instances that each find out by a late append.

        Seen on day trouble-2 of vhs-klagenfurt-grown, with appends of 0.4 s.
        """
        fake_store = scripted.FakeStore()
        writer = progress_writer.ProgressWriter(
            store_client=fake_store,
            timers=scripted.FakeTimers(),
            epoch=1,
            on_superseded=self.fail,
        )
        done = store.Appended(offset=0, end=1)
        with unittest.mock.patch("time.monotonic") as monotonic:
            monotonic.return_value = 10.0
            writer.write([], lambda: None)
            self.assertFalse(writer.is_slow)
            monotonic.return_value = 10.4
            self.assertTrue(writer.is_slow)
            fake_store.pop_call("append").callback(done)
            self.assertTrue(writer.is_slow)
            writer.write([], lambda: None)
            monotonic.return_value = 10.41
            fake_store.pop_call("append").callback(done)
            self.assertFalse(writer.is_slow)


class JobWriterTest(unittest.TestCase):
    """Appends of submissions while the store is slow."""

    def setUp(self):
        """Make a writer."""
        self.store = scripted.FakeStore()
        self.owned = frozenset({5, 3})
        self.results = []
        self.reported = []
        self.writer = job_writer.JobWriter(
            store_client=self.store,
            partition_count=8,
            instance="entry-1",
            owned_partitions=lambda: self.owned,
            on_stored=lambda *reported: self.reported.append(reported),
        )

    def _write(self, key, size=1):
        self.writer.write(
            (key, b"x" * size),
            timeout_s=1.0,
            callback=lambda result: self.results.append((key, result)),
        )

    def test_records_that_arrive_during_an_append_share_the_next_one(self):
        """Guards against jobs that wait for one append each while the store is slow.

        With appends of 60 times 4 ms, 190 submissions got no answer in time.
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
        failed = store.NoResponse(reason="reset")
        second.callback(failed)
        self.assertEqual(self.results, [("a", done), ("b", failed), ("c", failed)])

    def test_record_that_waits_too_long_is_not_appended(self):
        """Guards against callers that get no response before their deadline.

        Seen on day trouble-2 of vhs-klagenfurt-grown: records waited for the append in
        progress and then for one with their whole time limit again.
        """
        with unittest.mock.patch("time.monotonic") as monotonic:
            monotonic.return_value = 10.0
            self._write("a")
            self._write("b")
            monotonic.return_value = 10.5
            self._write("c")
            monotonic.return_value = 11.2
            self.store.pop_call("append").callback(store.Appended(offset=0, end=1))
            second = self.store.pop_call("append")
        self.assertEqual([key for key, _ in second.arguments[1]], ["c"])
        expired = dict(self.results)["b"]
        self.assertFalse(expired.was_sent)

    def test_record_that_may_not_be_sent_any_more_is_withheld(self):
        """Guards against a record that is stored after its key was withdrawn.

        The append in progress can take seconds, so a check before ``write`` is not
        enough.
        """
        is_allowed = {"b": True, "c": True}
        self._write("a")
        for key in is_allowed:
            self.writer.write(
                (key, b"x"),
                timeout_s=1.0,
                callback=lambda result, key=key: self.results.append((key, result)),
                may_send=lambda key=key: is_allowed[key],
            )
        is_allowed["b"] = False
        self.store.pop_call("append").callback(store.Appended(offset=0, end=1))
        second = self.store.pop_call("append")
        self.assertEqual([key for key, _ in second.arguments[1]], ["c"])
        self.assertIn(("b", job_writer.Withheld()), self.results)

    def test_end_of_the_partition_is_reported(self):
        """Guards against a controller that is not notified of stored records."""
        self._write("a")
        self.store.pop_call("append").callback(store.Appended(offset=6, end=7))
        self._write("b")
        self.store.pop_call("append").callback(store.NoResponse(reason="reset"))
        self.assertEqual(self.reported, [(3, 7)])

    def test_instance_writes_to_a_partition_that_it_owns(self):
        """Guards against all instances that write to the same partition."""
        self._write("a")
        self.assertEqual(self.store.pop_call("append").partition, 3)
        self.owned = frozenset()
        self.assertIn(self.writer.partition, range(1, 8))

    def test_only_the_owner_of_partition_0_writes_to_it(self):
        """Guards against relayed records that wait for the appends of other instances.

        Seen on day trouble-2 of vhs-klagenfurt-grown, with appends of 0.4 s.
        """
        self.owned = frozenset()
        for number in range(50):
            writer = job_writer.JobWriter(
                store_client=self.store,
                partition_count=8,
                instance=f"entry-{number}",
                owned_partitions=frozenset,
                on_stored=None,
            )
            self.assertIn(writer.partition, range(1, 8))

    def test_batch_stays_below_the_limit_of_a_call(self):
        """Guards against an append that the store refuses because of its size."""
        self._write("a")
        for key in ("b", "c", "d"):
            self._write(key, size=600_000)
        self.store.pop_call("append").callback(store.Appended(offset=0, end=1))
        self.assertEqual(len(self.store.pop_call("append").arguments[1]), 1)
