"""Tests of :mod:`cranberryport.fleet.jobs` with stand-in workers on loopback."""

import json
import time
import types
import unittest
from unittest import mock

from circuits import BaseComponent, Event, handler
from circuits.core import pollers

from cranberryport import timers
from cranberryport.fleet import jobs, worker_client
from cranberryport.generated import messages
from cranberryport.http import connection
from cranberryport.stream import log_follower, log_writer_events
from standins import serving, worker
from tests import control_stream

WAIT_TIMEOUT_S = 20.0
MISSING_JOB = types.SimpleNamespace(state="missing")
SIZES = {"processors": 4, "memory_mb": 100, "accelerators": 0}


class submit(Event):
    """Request from the test's thread to append a record."""


class FoldingLogWriter(BaseComponent):
    """Takes the place of the log writer: folds each record at once."""

    channel = "log_writer"

    def __init__(self, *, stream):
        super().__init__()
        self.stream = stream

    @handler("submit")
    def _on_submit(self, record):
        outcomes = self.stream.append("a", record)
        self.fire(log_follower.folded(0, b"", outcomes), "*")
        return outcomes

    @handler("append")
    def _on_append(self, record, ticket):
        outcomes = self._on_submit(record)
        decided = log_writer_events.decided(ticket, outcomes[0])
        self.fire(decided, ticket.reply_channel)


class JobsTest(unittest.TestCase):
    """Guards against jobs that are lost, run twice, or end with a wrong result."""

    def setUp(self):
        short_intervals = {
            "NOT_RUNNING_GRACE_S": 0.1,
            "WORKER_LOST_AFTER_S": 0.5,
            "POLL_INTERVAL_S": 0.1,
        }
        short_intervals |= {
            "WORKER_CHECK_INTERVAL_S": 0.05,
            "IDLE_POLL_INTERVAL_S": 0.2,
        }
        short_intervals |= {"USAGE_INTERVAL_S": 0.1}
        for name, value in short_intervals.items():
            patcher = mock.patch.object(jobs, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.stream = control_stream.Stream("a")
        self.workers, self.servers, self.entries = {}, {}, {}
        for name in ("w1", "w2"):
            self._add_worker(name)
        self.follower = types.SimpleNamespace(
            state=self.stream.state, has_dispatch_right=True
        )
        self.session_keeper = types.SimpleNamespace(is_open=True, session="a", rank=0)
        instances = types.SimpleNamespace(
            entries=self.entries, workers=lambda: list(self.entries.values())
        )
        self.root = FoldingLogWriter(stream=self.stream)
        pollers.EPoll().register(self.root)
        clock = timers.Timers().register(self.root)
        client = connection.Client(timers=clock).register(self.root)
        self.jobs = jobs.JobManager(
            follower=self.follower,
            session_keeper=self.session_keeper,
            instance_list=instances,
            timers=clock,
            client=client,
        ).register(self.root)
        thread, _ = self.root.start()
        self.addCleanup(thread.join, WAIT_TIMEOUT_S)
        self.addCleanup(self.root.stop)

    def submit(self, record):
        self.root.fire(submit(record), "log_writer")

    def _add_worker(self, name):
        self.workers[name] = worker.Worker(name=name, sizes=SIZES, usage_lag_s=0.0)
        server = serving.Server(
            host="127.0.0.1", port=0, application=self.workers[name]
        )
        server.start()
        self.addCleanup(server.close)
        self.servers[name] = server
        entry = {"name": name, "kind": "worker", "status": "live", "rack": name}
        entry |= {"host": "127.0.0.1", "port": server.port, **SIZES}
        self.entries[name] = entry

    def accept_job(self, name, *, seconds=0.0, **changes):
        payload = json.dumps({"seconds": seconds, "result": f"result of {name}"})
        record = control_stream.make_job(name, **{"payload": payload, **changes})
        self.submit(record)

    def job(self, name):
        return self.stream.state.jobs.get(name) or MISSING_JOB

    def wait_until(self, condition):
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition never held")
            time.sleep(0.01)

    def started_on(self, name):
        """Return worker and term of each started task of a job."""
        return [
            (host, start["term"])
            for host, stand_in in self.workers.items()
            for start in stand_in.describe()["starts"]
            if start["id"] == name
        ]

    def running_terms(self, name):
        """Return the terms of the running tasks of a job."""
        return [
            task["term"]
            for stand_in in self.workers.values()
            for task in stand_in.describe()["tasks"]
            if task["id"] == name and task["state"] == "running"
        ]

    def test_job_runs_once_and_its_result_is_recorded(self):
        self.accept_job("x", seconds=0.2)
        self.wait_until(lambda: self.job("x").state == "finished")
        self.assertEqual(self.job("x").result, "result of x")
        self.assertEqual(len(self.started_on("x")), 1)
        self.assertEqual(self.jobs.status()["jobs"], {"finished": {"batch": 1}})

    def test_failed_job_is_placed_on_another_worker(self):
        self.workers["w1"].mode = "fail"
        for name in "xyz":
            self.accept_job(name)
        self.wait_until(lambda: all(self.job(n).state == "finished" for n in "xyz"))
        self.assertEqual({self.job(name).worker for name in "xyz"}, {"w2"})

    def test_job_larger_than_every_worker_is_reported(self):
        self.accept_job("x", processors=5.0)
        self.accept_job("y")
        self.wait_until(lambda: self.job("y").state == "finished")
        self.assertEqual(self.jobs.status()["impossible"], ["x"])
        self.assertIn("5.0", self.jobs.impossible_reason(self.job("x")))
        self.assertEqual(self.started_on("x"), [])

    def test_task_of_a_cancelled_job_is_stopped(self):
        self.accept_job("x", seconds=60)
        self.wait_until(lambda: self.running_terms("x"))
        self.submit(messages.JobCancelled(job="x"))
        self.wait_until(lambda: not self.running_terms("x"))
        self.assertEqual(self.job("x").state, "cancelled")

    def test_job_placed_by_an_ended_session_is_started_with_its_term(self):
        self.session_keeper.rank = 1_000
        self.accept_job("x")
        self.submit(messages.JobPlaced(job="x", worker="w2", term=1, by="gone"))
        self.wait_until(lambda: self.job("x").state == "finished")
        self.assertEqual(self.started_on("x"), [("w2", 1)])

    def test_job_of_an_unreachable_worker_is_requeued_after_the_lease(self):
        self.accept_job("x", seconds=0.5)
        self.wait_until(lambda: self.running_terms("x"))
        lost_worker = self.job("x").worker
        self.servers[lost_worker].stop()
        self.wait_until(lambda: self.job("x").state == "finished")
        self.assertNotEqual(self.job("x").worker, lost_worker)
        self.assertEqual(self.job("x").failed_workers, [])

    def test_task_of_an_old_term_is_stopped(self):
        self.accept_job("x", seconds=60)
        self.wait_until(lambda: self.running_terms("x"))
        old_worker = self.job("x").worker
        new_worker = "w1" if old_worker == "w2" else "w2"
        record = messages.JobPlaced(job="x", worker=new_worker, term=2, by="a")
        self.submit(record)
        self.wait_until(lambda: self.running_terms("x") == [2])

    def test_reboot_of_a_worker_does_not_count_as_a_failed_attempt(self):
        self.accept_job("x", seconds=0.5)
        self.wait_until(lambda: self.running_terms("x"))
        self.workers[self.job("x").worker].stop_all_tasks()
        self.wait_until(lambda: self.job("x").state == "finished")
        self.assertEqual((self.job("x").term, self.job("x").failed_workers), (2, []))

    def test_preempted_job_continues_from_its_checkpoint(self):
        del self.entries["w2"]
        self.accept_job("b", seconds=1.0, processors=4.0)
        self.wait_until(lambda: self.running_terms("b"))
        self.accept_job("r", seconds=0.2, request_class="rush")
        self.wait_until(lambda: self.job("r").state == "finished")
        self.assertNotEqual(self.job("b").checkpoint, "")
        self.wait_until(lambda: self.job("b").state == "finished")
        self.assertEqual(self.job("b").failed_workers, [])
        self.assertEqual(self.started_on("b"), [("w1", 1), ("w1", 2)])

    def test_no_job_is_placed_without_dispatch_right(self):
        self.follower.has_dispatch_right = False
        self.accept_job("x")
        self.wait_until(lambda: self.job("x").state == "waiting")
        time.sleep(2 * jobs.PLACEMENT_INTERVAL_S)
        self.assertEqual(self.job("x").state, "waiting")


class ResponsibleSessionTest(unittest.TestCase):
    """Guards against workers for which no session, or more than one, is responsible."""

    def test_end_of_a_session_moves_only_its_own_workers(self):
        before = {
            n: jobs.responsible_session(str(n), ("a", "b", "c")) for n in range(90)
        }
        self.assertEqual(set(before.values()), {"a", "b", "c"})
        for n, owner in before.items():
            if owner != "c":
                self.assertEqual(jobs.responsible_session(str(n), ("a", "b")), owner)
        self.assertEqual(jobs.responsible_session("w", ()), "")


class ReplyTest(unittest.TestCase):
    """Guards against a second run of a task that may have been started."""

    def test_call_with_bytes_sent_may_have_run(self):
        failed = connection.ExchangeFailure(reason="timeout", detail="", bytes_sent=1)
        self.assertFalse(worker_client.parse_reply(failed).is_not_run)
        failed.bytes_sent = 0
        self.assertTrue(worker_client.parse_reply(failed).is_not_run)
        broken = connection.Response(status=200, headers=[], body=b"x")
        self.assertEqual(worker_client.parse_reply(broken).status, 0)
