"""Tasks that crash their executors, with processes against the stand-in platform."""

import json
import pathlib
import time
import unittest

from standins import calls
from standins.platform import local_deployment

LOG_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "build" / "crashing"
HEADERS = {"Host": "fleet.example", "Deadline-Ms": "3000"}
STEP = {"count": 6, "ms": 400, "processors": 1000, "memory": 1000}
# Six crashes of 3 s each, one after the other, and a takeover of the controller.
TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.2


class CrashingTaskTest(unittest.TestCase):
    """Jobs beside a job with a task that crashes each executor that starts it."""

    def setUp(self):
        """Start the stand-in platform and two entry instances."""
        directory = LOG_DIRECTORY / self.id().rpartition(".")[2]
        directory.mkdir(parents=True, exist_ok=True)
        self.deployment = local_deployment.LocalDeployment(
            directory=directory,
            pools={"one": 4, "spare": 4},
            entry_count=2,
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()

    def _submit(self, *steps):
        job, body = local_deployment.make_job_request(*steps)

        def is_accepted():
            answer = self._call("POST", job, body)
            return answer.status == 200

        calls.wait_until(is_accepted, TIMEOUT_S, "the job is accepted")
        return job

    def _call(self, method, job, body=None):
        for entry in self.deployment.entries:
            answer = calls.send_request(
                entry.front_port, method, f"/one/{job}", headers=HEADERS, body=body
            )
            if answer.status in (200, 410):
                break
        return answer

    def _state(self, job):
        answer = self._call("GET", job)
        return json.loads(answer.body)["State"] if answer.status == 200 else ""

    def _wait_until_ended(self, jobs):
        states = {}
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            states = {job: self._state(job) for job in jobs}
            if all(state in ("completed", "failed") for state in states.values()):
                break
            time.sleep(POLL_INTERVAL_S)
        return [states[job] for job in jobs]

    def _crash_finding(self):
        return [
            violation["detail"]
            for violation in self.deployment.findings()["violations"]
            if violation["invariant"] == "crashing task is started again"
        ]

    def test_crashing_task_is_given_up_and_its_neighbours_complete(self):
        """Guards against one task that crashes executor after executor."""
        crashing = self._submit({**STEP, "crashing": [2]})
        others = [self._submit(STEP, {**STEP, "after": [0]}) for _ in range(4)]
        states = self._wait_until_ended([crashing, *others])
        self.assertEqual(self._crash_finding(), [])
        self.assertEqual(states, ["failed"] + ["completed"] * 4)

    def test_crashes_are_remembered_by_the_next_controllers(self):
        """Guards against a count of crashes that starts anew at each takeover."""
        crashing = self._submit({**STEP, "crashing": [2]})
        for entry in self.deployment.entries * 2:
            time.sleep(3.0)
            entry.process.kill()
            entry.process.start()
        states = self._wait_until_ended([crashing])
        self.assertEqual(self._crash_finding(), [])
        self.assertEqual(states, ["failed"])
