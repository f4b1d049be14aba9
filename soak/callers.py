"""Callers of the soak: submit jobs, retry, cancel, and check the reported states."""

import http.client
import json
import random
import threading
import time

from soak import organisations
from standins.platform import local_deployment

HOST = "fleet.example"
# Time limit of a request, and attempts to submit a job, as the users specify them.
REQUEST_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.2
# Least and greatest pause between two jobs of a caller.
PAUSE_RANGE_S = (0.05, 0.4)
# Least and greatest run time of a task, and of one that outlasts the leases that the
# controller asks for.
TASK_DURATION_RANGE_MS = (100, 900)
LONG_TASK_DURATION_RANGE_MS = (1_200, 10_800)
# Probabilities that a job is long-running, that one of its tasks crashes each executor
# that starts it, and that an accepted job is cancelled.
LONG_RUNNING_PROBABILITY = 0.05
CRASHING_PROBABILITY = 0.02
CANCEL_PROBABILITY = 0.1
# Other entry instances may report an acknowledged job as unknown for this long
# (visible_ms of the deployments).
MAX_VISIBILITY_DELAY_S = 3.0
FINAL_STATES = ("completed", "failed", "cancelled")


class Job:
    """A submitted job and what its caller has been told about it.

    Parameters
    ----------
    id : str
        Id of the job.
    pool : str
        Pool that it is submitted to.
    is_long_running : bool
        Whether its tasks run until the job is cancelled.
    is_crashing : bool
        Whether a task of its first step crashes each executor that starts it.
    task_count : int
        Number of tasks of its first step.
    """

    __slots__ = (
        "accepted_at",
        "id",
        "is_cancelled",
        "is_crashing",
        "is_long_running",
        "pool",
        "response_statuses",
        "states",
        "task_count",
    )

    def __init__(self, *, id, pool, is_long_running, is_crashing, task_count):
        self.id = id
        self.is_crashing = is_crashing
        self.pool = pool
        self.is_long_running = is_long_running
        self.task_count = task_count
        self.accepted_at = None
        # HTTP statuses of the attempts to submit it; 0 stands for no complete response.
        self.response_statuses = []
        self.states = []
        # Also true if the response to the cancellation was lost.
        self.is_cancelled = False

    @property
    def is_accepted(self):
        """Whether an attempt to submit the job was acknowledged."""
        return 200 in self.response_statuses

    @property
    def is_refused(self):
        """Whether every attempt to submit the job got a response that refused it."""
        return bool(self.response_statuses) and set(self.response_statuses) <= {
            401,
            403,
            404,
            429,
            503,
        }


class Caller(threading.Thread):
    """A caller in a thread of its own; reuses its connections until they fail.

    Parameters
    ----------
    number : int
        Number of the caller.
    seed : int
        Seed of the run.
    ports : list of int
        Ports of the entry instances for callers.
    pools : list of str
        Pools to submit jobs to.
    report_violation : callable
        Takes the violated invariant and the detail, both str.
    long_task_probability : float, default=0.0
        Probability that the tasks of a job are long.
    organisation : str, default=""
        Organisation of the caller; empty for none.
    run_organisations : organisations.Organisations or None
        Provides the keys and checks the responses; None for a run without any.
    """

    def __init__(
        self,
        *,
        number,
        seed,
        ports,
        pools,
        report_violation,
        long_task_probability=0.0,
        organisation="",
        run_organisations=None,
    ):
        super().__init__(daemon=True)
        self._generator = random.Random(seed * 1000 + number)
        # Keep the other jobs of a seed as they were before there were crashing ones and
        # ones with long tasks.
        self._crash_generator = random.Random(f"crashing {seed} {number}")
        self._duration_generator = random.Random(f"durations {seed} {number}")
        self._long_task_probability = long_task_probability
        self._key_generator = random.Random(f"keys {seed} {number}")
        self._organisation = organisation
        self._organisations = run_organisations
        self._number = number
        self._ports = ports
        self._pools = pools
        self._report_violation = report_violation
        self._connections = {}
        self._stop_requested = threading.Event()
        self.jobs = []

    def stop_submitting(self):
        """Submit no more jobs; the thread ends after the present one."""
        self._stop_requested.set()

    def run(self):
        """Submit jobs, cancel a few of them, and check the states of some."""
        while not self._stop_requested.wait(self._draw_pause_s()):
            job = self._submit_job()
            self._try_other_key(job)
            if job.is_accepted and self._generator.random() < CANCEL_PROBABILITY:
                self._cancel_job(job)
            accepted = [j for j in self.jobs if j.is_accepted]
            if accepted:
                self.check_state(self._generator.choice(accepted))

    def _draw_pause_s(self):
        pause_s = self._generator.uniform(*PAUSE_RANGE_S)
        if self._organisations is None:
            return pause_s
        return pause_s * self._organisations.pause_factor(self._organisation)

    def _submit_job(self):
        generator = self._generator
        is_long_running = generator.random() < LONG_RUNNING_PROBABILITY
        if self._organisation == organisations.LIMITED:
            # A few long-running jobs would fill the limit for the rest of the run.
            is_long_running = False
        step = {
            "count": generator.randint(1, 4),
            "ms": generator.randint(*TASK_DURATION_RANGE_MS),
            "processors": 1000,
            "memory": 1000,
        }
        is_crashing = self._crash_generator.random() < CRASHING_PROBABILITY
        if is_crashing:
            step["crashing"] = [0]
        if self._duration_generator.random() < self._long_task_probability:
            step["ms"] = self._duration_generator.randint(*LONG_TASK_DURATION_RANGE_MS)
        if is_long_running:
            steps = [{**step, "lasts": True, "unavailable": 1}]
        else:
            steps = [step, {**step, "after": [0]}][: generator.randint(1, 2)]
        job_id, body = local_deployment.make_job_request(
            *steps, prefix=self._number, organisation=self._organisation
        )
        job = Job(
            id=job_id,
            pool=generator.choice(self._pools),
            is_long_running=is_long_running,
            is_crashing=is_crashing,
            task_count=steps[0]["count"],
        )
        self.jobs.append(job)
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._send_request("POST", job, body)
            job.response_statuses.append(status)
            if status == 200:
                job.accepted_at = time.monotonic()
                break
            time.sleep(RETRY_DELAY_S)
        return job

    def _cancel_job(self, job):
        status, _ = self._send_request("DELETE", job)
        # Without a response the job may or may not have been cancelled.
        job.is_cancelled = True
        self._check_still_known(job, status)

    def _check_still_known(self, job, status):
        if (
            status == 410
            and time.monotonic() - job.accepted_at > MAX_VISIBILITY_DELAY_S
        ):
            self._report_violation("accepted job is not known", job.id)

    def check_state(self, job):
        """Ask for the state of a job and check it against the states seen before.

        Returns
        -------
        str
            The state; empty if the response did not contain it.
        """
        status, body = self._send_request("GET", job)
        self._check_still_known(job, status)
        if status != 200:
            return ""
        state = json.loads(body)["State"]
        if job.states and job.states[-1] in FINAL_STATES and state != job.states[-1]:
            self._report_violation(
                "final state of a job changed", f"{job.id} {job.states[-1]} {state}"
            )
        is_failure_expected = job.is_crashing and state == "failed"
        is_end_unexpected = state in ("failed", "cancelled") and not job.is_cancelled
        if is_end_unexpected and not is_failure_expected:
            self._report_violation(
                "job failed or was cancelled without a request to cancel it",
                f"{job.id} {state}",
            )
        if job.is_long_running and state == "completed":
            self._report_violation("long-running job reported as completed", job.id)
        job.states.append(state)
        return state

    def _try_other_key(self, job):
        """Now and then use a key of another organisation, which must not work.

        A cancellation may be answered 200 while the controller cannot be reached; that
        it cancels nothing is checked by the state of the job.
        """
        generator = self._key_generator
        if (
            self._organisations is None
            or generator.random() > organisations.OTHER_KEY_PROBABILITY
        ):
            return
        method = generator.choice(("GET", "DELETE"))
        key = self._organisations.choose_other_key(self._organisation, generator)
        status, _ = self._send_request(method, job, key=key)
        if method == "GET" and status == 200:
            self._report_violation("job shown to another organisation", job.id)

    def _send_request(self, method, job, body=None, *, key=None):
        port = self._generator.choice(self._ports)
        connection = self._connections.pop(port, None)
        if connection is None:
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=REQUEST_TIMEOUT_S
            )
        headers = {"Host": HOST, "Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000))}
        if self._organisations is not None:
            return self._send_with_key(
                connection, port, method, job, body, headers, key
            )
        return self._exchange(connection, port, method, job, body, headers)

    def _send_with_key(self, connection, port, method, job, body, headers, key):
        if key is None:
            key = self._organisations.choose_key(
                self._organisation, self._key_generator
            )
        headers["Authorization"] = f"Token {key}"
        sent_at = time.monotonic()
        result = self._exchange(connection, port, method, job, body, headers)
        self._organisations.on_response(
            key, sent_at=sent_at, status=result[0], detail=f"{method} {job.id}"
        )
        return result

    def _exchange(self, connection, port, method, job, body, headers):
        try:
            connection.request(method, f"/{job.pool}/{job.id}", body, headers)
            response = connection.getresponse()
            result = response.status, response.read()
        except (OSError, http.client.HTTPException):
            # Status 0 stands for no complete response.
            connection.close()
            return 0, b""
        self._connections[port] = connection
        return result
