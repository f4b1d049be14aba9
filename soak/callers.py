"""Callers that hand in jobs, repeat what was not answered, and look at the states."""

import http.client
import json
import random
import threading
import time

from standins.platform import local_deployment

HOST = "fleet.example"
# Seconds that a caller waits for an answer, and repeats of a hand-in, as on the users'
# sheets.
DEADLINE_S = 3.0
TRIES = 4
# Seconds before a repeat, and between two jobs of a caller.
RETRY_S = 0.2
PAUSE_S = (0.05, 0.4)
# Shares of the jobs that last, and of the accepted ones that are cancelled.
LASTING_SHARE = 0.05
CANCELLED_SHARE = 0.1
# A job may be unknown elsewhere for this long after its acknowledgement (visible_ms of
# the deployments).
VISIBLE_S = 3.0
ENDED = ("completed", "failed", "cancelled")


class Job:
    """A job as its caller knows it."""

    __slots__ = (
        "accepted_at",
        "answers",
        "id",
        "is_cancelled",
        "lasts",
        "pool",
        "states",
        "tasks",
    )

    def __init__(self, *, id, pool, lasts, tasks):
        self.id = id
        self.pool = pool
        self.lasts = lasts
        self.tasks = tasks
        self.accepted_at = None
        self.answers = []
        self.states = []
        self.is_cancelled = False

    @property
    def is_accepted(self):
        """Whether a hand-in was acknowledged."""
        return 200 in self.answers

    @property
    def is_refused(self):
        """Whether every hand-in was answered, and refused."""
        return bool(self.answers) and set(self.answers) <= {404, 429, 503}


class Caller(threading.Thread):
    """One caller; keeps its connections as long as they work.

    Parameters
    ----------
    number : int
        Number of the caller.
    seed : int
        Seed of the run.
    ports : list of int
        Ports of the entry instances for callers.
    pools : list of str
        Pools to use.
    report : callable
        Called with an invariant and the detail of its violation.
    """

    def __init__(self, *, number, seed, ports, pools, report):
        super().__init__(daemon=True)
        self._numbers = random.Random(seed * 1000 + number)
        self._number = number
        self._ports = ports
        self._pools = pools
        self._report = report
        self._connections = {}
        self._is_over = threading.Event()
        self.jobs = []

    def finish(self):
        """Hand in nothing more."""
        self._is_over.set()

    def run(self):
        """Hand in jobs, look at some of them, cancel a few."""
        while not self._is_over.wait(self._numbers.uniform(*PAUSE_S)):
            job = self._hand_in()
            if job.is_accepted and self._numbers.random() < CANCELLED_SHARE:
                self._cancel(job)
            known = [j for j in self.jobs if j.is_accepted]
            if known:
                self.look(self._numbers.choice(known))

    def _hand_in(self):
        numbers = self._numbers
        lasts = numbers.random() < LASTING_SHARE
        step = {
            "count": numbers.randint(1, 4),
            "ms": numbers.randint(100, 900),
            "processors": 1000,
            "memory": 1000,
        }
        if lasts:
            steps = [{**step, "lasts": True, "unavailable": 1}]
        else:
            steps = [step, {**step, "after": [0]}][: numbers.randint(1, 2)]
        job_id, body = local_deployment.make_job_request(*steps, prefix=self._number)
        job = Job(
            id=job_id,
            pool=numbers.choice(self._pools),
            lasts=lasts,
            tasks=steps[0]["count"],
        )
        self.jobs.append(job)
        for _ in range(TRIES):
            status, _ = self._ask("POST", job, body)
            job.answers.append(status)
            if status == 200:
                job.accepted_at = time.monotonic()
                break
            time.sleep(RETRY_S)
        return job

    def _cancel(self, job):
        status, _ = self._ask("DELETE", job)
        # Without an answer the job may be cancelled or not.
        job.is_cancelled = True
        self._check_known(job, status)

    def _check_known(self, job, status):
        if status == 410 and time.monotonic() - job.accepted_at > VISIBLE_S:
            self._report("accepted job is not known", job.id)

    def look(self, job):
        """Ask for the state of a job and compare it with what was told before.

        Returns
        -------
        str
            The state; empty if it was not told.
        """
        status, body = self._ask("GET", job)
        self._check_known(job, status)
        if status != 200:
            return ""
        state = json.loads(body)["State"]
        if job.states and job.states[-1] in ENDED and state != job.states[-1]:
            self._report("ended job goes on", f"{job.id} {job.states[-1]} {state}")
        if state in ("failed", "cancelled") and not job.is_cancelled:
            self._report("job ended without cause", f"{job.id} {state}")
        if job.lasts and state == "completed":
            self._report("lasting job told as completed", job.id)
        job.states.append(state)
        return state

    def _ask(self, method, job, body=None):
        port = self._numbers.choice(self._ports)
        client = self._connections.pop(port, None)
        if client is None:
            client = http.client.HTTPConnection("127.0.0.1", port, timeout=DEADLINE_S)
        headers = {"Host": HOST, "Deadline-Ms": str(int(DEADLINE_S * 1000))}
        try:
            client.request(method, f"/{job.pool}/{job.id}", body, headers)
            answer = client.getresponse()
            found = answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            # No whole answer; the job notes it as status 0.
            client.close()
            return 0, b""
        self._connections[port] = client
        return found
