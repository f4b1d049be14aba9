"""Tests of :mod:`cranberryport.fleet.jobs` with a stand-in worker on loopback."""

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

WAIT_LIMIT_S = 20.0
MISSING = types.SimpleNamespace(state="missing")
SIZES = {"processors": 4, "memory_mb": 100, "accelerators": 0}


class submit(Event):
    """Append a record from the thread of the test."""


class Log(BaseComponent):
    """Folds each record at once and tells its outcome."""

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
    """An accepted job ends with a true answer, whatever happens to its worker."""

    def setUp(self):
        short = {"PATIENCE_S": 0.1, "LOST_AFTER_S": 0.5, "POLL_INTERVAL_S": 0.1}
        short |= {"WATCH_INTERVAL_S": 0.05, "IDLE_POLL_INTERVAL_S": 0.2}
        short |= {"USAGE_INTERVAL_S": 0.1}
        for name, value in short.items():
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
        self.root = Log(stream=self.stream)
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
        self.addCleanup(thread.join, WAIT_LIMIT_S)
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

    def accept(self, name, *, seconds=0.0, **changes):
        payload = json.dumps({"seconds": seconds, "result": f"result of {name}"})
        record = control_stream.job(name, **{"payload": payload, **changes})
        self.submit(record)

    def job(self, name):
        return self.stream.state.jobs.get(name) or MISSING

    def wait(self, condition):
        limit = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), limit, "the condition never held")
            time.sleep(0.01)

    def starts(self, name):
        return [
            (host, start["term"])
            for host, one in self.workers.items()
            for start in one.describe()["starts"]
            if start["id"] == name
        ]

    def running(self, name):
        return [
            task["term"]
            for one in self.workers.values()
            for task in one.describe()["tasks"]
            if task["id"] == name and task["state"] == "running"
        ]

    def test_job_runs_once_and_gives_its_result(self):
        self.accept("x", seconds=0.2)
        self.wait(lambda: self.job("x").state == "finished")
        self.assertEqual(self.job("x").result, "result of x")
        self.assertEqual(len(self.starts("x")), 1)
        self.assertEqual(self.jobs.status()["jobs"], {"finished": {"batch": 1}})

    def test_job_goes_to_another_worker_after_a_failure(self):
        self.workers["w1"].mode = "fail"
        for name in "xyz":
            self.accept(name)
        self.wait(lambda: all(self.job(n).state == "finished" for n in "xyz"))
        self.assertEqual({self.job(name).worker for name in "xyz"}, {"w2"})

    def test_impossible_job_is_reported_and_stays_off_the_workers(self):
        self.accept("x", processors=5.0)
        self.accept("y")
        self.wait(lambda: self.job("y").state == "finished")
        self.assertEqual(self.jobs.status()["impossible"], ["x"])
        self.assertIn("5.0", self.jobs.impossible_reason(self.job("x")))
        self.assertEqual(self.starts("x"), [])

    def test_cancelled_task_is_stopped(self):
        self.accept("x", seconds=60)
        self.wait(lambda: self.running("x"))
        self.submit(messages.JobCancelled(job="x"))
        self.wait(lambda: not self.running("x"))
        self.assertEqual(self.job("x").state, "cancelled")

    def test_placed_job_whose_placer_is_gone_is_started_with_its_term(self):
        self.session_keeper.rank = 1_000
        self.accept("x")
        self.submit(messages.JobPlaced(job="x", worker="w2", term=1, by="gone"))
        self.wait(lambda: self.job("x").state == "finished")
        self.assertEqual(self.starts("x"), [("w2", 1)])

    def test_lost_worker_gives_its_jobs_back_after_the_lease(self):
        self.accept("x", seconds=0.5)
        self.wait(lambda: self.running("x"))
        lost = self.job("x").worker
        self.servers[lost].stop()
        self.wait(lambda: self.job("x").state == "finished")
        self.assertNotEqual(self.job("x").worker, lost)
        self.assertEqual(self.job("x").failed_workers, [])

    def test_old_term_is_stopped(self):
        self.accept("x", seconds=60)
        self.wait(lambda: self.running("x"))
        old = self.job("x").worker
        new = "w1" if old == "w2" else "w2"
        record = messages.JobPlaced(job="x", worker=new, term=2, by="a")
        self.submit(record)
        self.wait(lambda: self.running("x") == [2])

    def test_task_ended_by_a_reboot_runs_again_without_a_failure(self):
        self.accept("x", seconds=0.5)
        self.wait(lambda: self.running("x"))
        self.workers[self.job("x").worker].stop_all_tasks()
        self.wait(lambda: self.job("x").state == "finished")
        self.assertEqual((self.job("x").term, self.job("x").failed_workers), (2, []))

    def test_rush_job_preempts_and_the_victim_goes_on_from_its_checkpoint(self):
        del self.entries["w2"]
        self.accept("b", seconds=1.0, processors=4.0)
        self.wait(lambda: self.running("b"))
        self.accept("r", seconds=0.2, request_class="rush")
        self.wait(lambda: self.job("r").state == "finished")
        self.assertNotEqual(self.job("b").checkpoint, "")
        self.wait(lambda: self.job("b").state == "finished")
        self.assertEqual(self.job("b").failed_workers, [])
        self.assertEqual(self.starts("b"), [("w1", 1), ("w1", 2)])

    def test_without_dispatch_right_nothing_starts(self):
        self.follower.has_dispatch_right = False
        self.accept("x")
        self.wait(lambda: self.job("x").state == "waiting")
        time.sleep(2 * jobs.TICK_S)
        self.assertEqual(self.job("x").state, "waiting")


class ResponsibleTest(unittest.TestCase):
    """Every worker has exactly one watcher."""

    def test_an_end_moves_only_the_workers_of_the_ended_session(self):
        before = {n: jobs.responsible(str(n), ("a", "b", "c")) for n in range(90)}
        self.assertEqual(set(before.values()), {"a", "b", "c"})
        for n, owner in before.items():
            if owner != "c":
                self.assertEqual(jobs.responsible(str(n), ("a", "b")), owner)
        self.assertEqual(jobs.responsible("w", ()), "")


class ReplyTest(unittest.TestCase):
    """Only proof that nothing ran may lead to another placement."""

    def test_proof_that_nothing_ran(self):
        failed = connection.Failed(reason="timeout", detail="", bytes_sent=1)
        self.assertFalse(worker_client.parse_reply(failed).is_not_run)
        failed.bytes_sent = 0
        self.assertTrue(worker_client.parse_reply(failed).is_not_run)
        broken = connection.Answer(status=200, headers=[], body=b"x")
        self.assertEqual(worker_client.parse_reply(broken).status, 0)
