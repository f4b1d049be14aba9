"""What the stand-ins of executors tell a controller about their lives."""

import asyncio
import json
import types
import unittest

from standins.platform import executors, invariants

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
