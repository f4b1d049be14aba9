"""Callers' requests about jobs."""

import logging
import time

from circuits import BaseComponent, handler
from circuits.web import events as web_events

from cranberryport import codec
from cranberryport.control import controller
from cranberryport.generated import messages
from cranberryport.platform import bodies, store, submissions
from cranberryport.scheduling import records

DEADLINE_HEADER = b"deadline-ms"
DEFAULT_DEADLINE_S = 3.0
# The answer has to reach the caller before it gives up.
DEADLINE_MARGIN_S = 0.3
# A request waits this long for the store, so that its caller can still try another
# instance; a store at 60 times its usual 4 ms answers within it.
STORE_HOLD_S = 1.2
# The same while reads of the store fail as well.
LOST_STORE_HOLD_S = 0.3
STORE_RETRY_S = 0.06
# Without an answer in this time a job is accepted, since the store keeps it anyway.
ADMISSION_TIMEOUT_S = 0.08
# Another instance may reach what this one cannot; a whole second is the least there is.
RETRY_AFTER_S = 1
# The platform's words for the states of jobs.
STATES = {
    "accepted": "queued",
    "active": "active",
    "completed": "completed",
    "failed": "failed",
    "cancelled": "cancelled",
}

_logger = logging.getLogger(__name__)


class _Call:
    """One request of a caller."""

    __slots__ = ("arrived", "deadline", "is_possibly_stored", "job_id", "response")

    def __init__(self, *, response, job_id, arrived, deadline):
        self.response = response
        self.job_id = job_id
        self.arrived = arrived
        self.deadline = deadline
        self.is_possibly_stored = False


class Front(BaseComponent):
    """Takes jobs, tells their states and cancels them.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or None.
    writer : cranberryport.control.job_writer.JobWriter
        Stores jobs and cancels.
    questions : cranberryport.control.controller_client.ControllerClient
        Asks the controller.
    timers : cranberryport.timers.Timers
        Timers of the process.
    metrics : cranberryport.observability.node_metrics.NodeMetrics
        Counters.
    is_store_lost : callable
        Returns whether reads of the store fail.
    """

    channel = "front"

    def __init__(
        self,
        *,
        configuration,
        writer,
        questions,
        timers,
        metrics,
        is_store_lost,
    ):
        super().__init__()
        self._is_store_lost = is_store_lost
        self._configuration = configuration
        self._writer = writer
        self._questions = questions
        self._timers = timers
        self._metrics = metrics
        self._calls = set()

    @property
    def in_progress_count(self):
        """Requests that wait for their answer."""
        return len(self._calls)

    @handler("request", channel="web")
    def _on_request(self, request, response):
        arrived = time.monotonic()
        headers = dict(request.raw_headers)
        found = self._configuration()
        call = _Call(
            response=response,
            job_id="",
            arrived=arrived,
            deadline=arrived + _read_deadline_s(headers) - DEADLINE_MARGIN_S,
        )
        self._calls.add(call)
        if found is None:
            self._refuse(call, 503, "no configuration is known yet")
            return True
        host = headers.get(b"host", b"").decode("latin-1")
        path = request.path
        route = found.find(host, path)
        if route is None:
            self._answer(call, 404, {"Error": f"no queue at {path!r}"})
            return True
        call.job_id = path[len(route.prefix) :]
        if not call.job_id and request.method == "GET":
            self._tell_waiting(call, route.queue)
        elif not submissions.ID_PATTERN.match(call.job_id):
            reason = f"job id {call.job_id!r}; allowed: 16 hexadecimal digits"
            self._answer(call, 400, {"Error": reason})
        elif request.method == "POST":
            self._take_job(call, route.queue, request.body.getvalue(), found.version)
        elif request.method == "GET":
            self._tell_state(call)
        elif request.method == "DELETE":
            self._cancel(call)
        else:
            response.headers["Allow"] = "DELETE, GET, POST"
            self._answer(call, 405, {"Error": f"method {request.method!r}"})
        return True

    # Jobs

    def _take_job(self, call, queue, body, version):
        try:
            job = submissions.read(
                call.job_id,
                body,
                queue=queue.name,
                service=queue.service,
                wall=time.time(),
            )
        except submissions.InvalidJob as error:
            self._answer(call, 400, {"Error": str(error)})
            return
        job.attempts = queue.attempts
        value = codec.encode(records.job_to_record(job))
        record = (controller.JOB_KEY_PREFIX + job.id, value)

        def stored():
            _logger.info(
                "job accepted",
                extra={
                    "request": job.id,
                    "queue": queue.name,
                    "pool": queue.service,
                    "configuration": version,
                    "ms": _elapsed_ms(call),
                },
            )
            self._metrics.observe("accept", time.monotonic() - call.arrived)
            self._answer(call, 200, {})

        def admitted(reply):
            if reply is not None and reply.retry_after_s > 0:
                reason = f"the pool of {queue.name!r} cannot serve the job in time"
                self._refuse(call, 429, reason, retry_after_s=reply.retry_after_s)
            else:
                self._append(call, record, stored)

        if job.repeats or any(step.is_lasting for step in job.steps):
            self._append(call, record, stored)
            return
        work = sum(step.count * step.processors * step.estimate_s for step in job.steps)
        self._questions.ask(
            lambda number: messages.AdmissionQuestion(
                number=number,
                queue=queue.name,
                service=queue.service,
                work=work / 1000,
                chain_s=job.critical_path_s,
                job=job.id,
            ),
            admitted,
            timeout_s=ADMISSION_TIMEOUT_S,
        )

    def _append(self, call, record, done):
        hold_s = LOST_STORE_HOLD_S if self._is_store_lost() else STORE_HOLD_S
        give_up_at = min(call.deadline, call.arrived + hold_s)
        left_s = give_up_at - time.monotonic()
        if left_s <= 0:
            self._give_up(call)
            return

        def finish(result):
            if isinstance(result, store.Appended):
                done()
                return
            if isinstance(result, store.NoResponse) and result.was_sent:
                call.is_possibly_stored = True
            _logger.warning(
                "not stored", extra={"request": call.job_id, "reason": str(result)}
            )
            self._timers.after(STORE_RETRY_S, lambda: self._append(call, record, done))

        self._writer.write(record, callback=finish, timeout_s=left_s)

    def _give_up(self, call):
        if call.is_possibly_stored:
            self._answer(call, 504, {"Error": "it is not known whether it is stored"})
        else:
            self._refuse(call, 503, "the store cannot be reached")

    def _cancel(self, call):
        value = codec.encode(messages.CancelStored(job=call.job_id, at=time.time()))
        record = (controller.CANCEL_KEY_PREFIX + call.job_id, value)

        def stored():
            _logger.info(
                "cancel accepted",
                extra={"request": call.job_id, "ms": _elapsed_ms(call)},
            )
            self._answer(call, 200, {})

        def answered(reply):
            if reply is not None and not reply.state:
                self._answer(call, 410, {"Error": f"no job {call.job_id!r}"})
            else:
                self._append(call, record, stored)

        self._questions.ask(
            lambda number: messages.JobQuestion(number=number, job=call.job_id),
            answered,
            timeout_s=min(0.8, call.deadline - time.monotonic()),
        )

    def _tell_state(self, call):
        def answered(reply):
            if reply is None:
                self._refuse(call, 503, "the controller cannot be reached")
            elif not reply.state:
                self._answer(call, 410, {"Error": f"no job {call.job_id!r}"})
            else:
                self._answer(call, 200, {"State": STATES[reply.state]})

        self._questions.ask(
            lambda number: messages.JobQuestion(number=number, job=call.job_id),
            answered,
            timeout_s=call.deadline - time.monotonic(),
        )

    def _tell_waiting(self, call, queue):
        def answered(reply):
            if reply is None:
                self._refuse(call, 503, "the controller cannot be reached")
            else:
                self._answer(call, 200, {"Pending": reply.waiting})

        self._questions.ask(
            lambda number: messages.QueueQuestion(number=number, queue=queue.name),
            answered,
            timeout_s=call.deadline - time.monotonic(),
        )

    # Answers

    def _refuse(self, call, status, reason, *, retry_after_s=RETRY_AFTER_S):
        call.response.headers["Retry-After"] = str(int(retry_after_s))
        _logger.info(
            "request refused",
            extra={
                "request": call.job_id,
                "status": status,
                "reason": reason,
                "ms": _elapsed_ms(call),
            },
        )
        self._answer(call, status, {"Error": reason})

    def _answer(self, call, status, fields):
        if call not in self._calls:
            return
        self._calls.discard(call)
        self._metrics.count(f"front.{call.response.request.method}.{status}")
        call.response.status = status
        call.response.headers["Content-Type"] = "application/json"
        call.response.body = bodies.encode(fields)
        self.fire(web_events.response(call.response), "web")


def _elapsed_ms(call):
    return round((time.monotonic() - call.arrived) * 1000, 1)


def _read_deadline_s(headers):
    value = headers.get(DEADLINE_HEADER, b"")
    if not value.isdigit():
        return DEFAULT_DEADLINE_S
    return min(int(value) / 1000, 60.0)
