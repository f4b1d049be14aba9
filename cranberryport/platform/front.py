"""Serves callers' requests to submit, query and cancel jobs.

A job is accepted once its record is stored. Status 429 or 503 promises that the job
will not run, so it is sent only if no append can have stored the record. If one may
have stored it, the status is 504. The same holds for status 401, for a request without
a valid key of an organisation.
"""

import logging
import time

from circuits import BaseComponent, handler
from circuits.web import events as web_events

from cranberryport import codec
from cranberryport.callers import api_keys
from cranberryport.control import append_policy, controller, job_ownership, job_writer
from cranberryport.generated import messages
from cranberryport.platform import bodies, store, submissions
from cranberryport.scheduling import admission, organisation_limits

DEADLINE_HEADER = b"deadline-ms"
KEY_HEADER = b"authorization"
KEY_SCHEME = b"token"
# Value of WWW-Authenticate, which a response with status 401 must have.
KEY_CHALLENGE = "Token"
# The same text for a missing, a malformed and an unknown key.
KEY_ERROR = "a valid key is needed; allowed: Authorization: Token KEY"
DEFAULT_DEADLINE_S = 3.0
# Longest time for which a request is kept; callers wait 3 s on the users' deployments.
DEADLINE_LIMIT_S = 60.0
# A value of milliseconds with more digits is beyond the limit.
DEADLINE_LIMIT_DIGITS = 9
# Subtracted from the caller's deadline, so that the response reaches it in time: at
# most this, and at most this share. The last try of a caller has little time left.
DEADLINE_MARGIN_S = 0.3
DEADLINE_MARGIN_SHARE = 0.25
STORE_RETRY_DELAY_S = 0.06
# The same delay once the own and the relayed append have failed; then the store is
# probably away for all.
BOTH_WAYS_RETRY_DELAY_S = 0.15
# A job is accepted if the controller does not answer the admission question in this
# time: once it is stored, the controller reads it from the store later.
ADMISSION_TIMEOUT_S = 0.08
# The smallest value of Retry-After, which has whole seconds. A short wait is enough,
# since another entry instance may be able to serve the request at once.
RETRY_AFTER_S = 1
# State in a response by state of the job.
STATES = {
    "accepted": "queued",
    "active": "active",
    "completed": "completed",
    "failed": "failed",
    "cancelled": "cancelled",
}

_logger = logging.getLogger(__name__)


_NO_RESULT = store.NoResponse(reason="no result in time")


class _PendingRequest:
    """A caller's request that has no response yet.

    ``arrived`` and ``deadline`` are monotonic times in seconds. ``is_possibly_stored``
    is set after an append that may have stored the record without confirming it.
    ``previous_way`` is the way of the last append, see :mod:`append_policy`.
    ``needs_key`` tells whether the request is served for a valid key only; then
    ``key_digest`` is the digest of its key, None if it has none, and ``organisation``
    the organisation that the key belonged to at the arrival. ``is_public`` tells
    whether it needs no key although there are organisations.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "is_possibly_stored",
        "is_public",
        "job_id",
        "key_digest",
        "needs_key",
        "organisation",
        "previous_way",
        "response",
    )

    def __init__(self, *, response, job_id, arrived, deadline):
        self.response = response
        self.job_id = job_id
        self.arrived = arrived
        self.deadline = deadline
        self.is_possibly_stored = False
        self.is_public = False
        self.key_digest = None
        self.needs_key = False
        self.organisation = ""
        self.previous_way = None


class JobApi(BaseComponent):
    """Handles callers' requests to submit, query and cancel jobs.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force, or None.
    writer : cranberryport.control.job_writer.JobWriter
        Stores the records of jobs and of cancellations.
    controller_client : cranberryport.control.controller_client.ControllerClient
        Sends questions to the controller.
    timers : cranberryport.timers.Timers
        Timers of the process.
    metrics : cranberryport.observability.node_metrics.NodeMetrics
        Counters and histograms.
    is_store_unreadable : callable
        Returns whether reads of the store fail.
    proof : cranberryport.callers.configuration_proof.ConfigurationProof
        Tells whether the configuration in force is proven to be recent.
    limit_overshoot : float
        Share by which the platform's rule allows the limit of an organisation to be
        exceeded.
    """

    channel = "front"

    def __init__(
        self,
        *,
        configuration,
        writer,
        controller_client,
        timers,
        metrics,
        is_store_unreadable,
        proof,
        limit_overshoot,
    ):
        super().__init__()
        self._limit_overshoot = limit_overshoot
        self._proof = proof
        self._is_store_unreadable = is_store_unreadable
        # Monotonic times until which own appends count as failing or slow.
        self._own_way_failing_until = 0.0
        self._own_way_slow_until = 0.0
        self._configuration = configuration
        self._writer = writer
        self._controller_client = controller_client
        self._timers = timers
        self._metrics = metrics
        self._pending_requests = set()

    @property
    def in_progress_count(self):
        """Number of requests that have no response yet."""
        return len(self._pending_requests)

    @handler("request", channel="web")
    def _on_request(self, request, response):
        arrived = time.monotonic()
        headers = dict(request.raw_headers)
        configuration = self._configuration()
        wait_s = _read_deadline_s(headers)
        margin_s = min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_SHARE * wait_s)
        pending = _PendingRequest(
            response=response,
            job_id="",
            arrived=arrived,
            deadline=arrived + wait_s - margin_s,
        )
        self._pending_requests.add(pending)
        if configuration is None:
            self._respond_refused(pending, 503, "no configuration is known yet")
            return True
        host = headers.get(b"host", b"").decode("latin-1")
        path = request.path
        route = configuration.find_route(host, path)
        if route is None:
            self._respond(pending, 404, {"Error": f"no queue at {path!r}"})
            return True
        pending.job_id = path[len(route.prefix) :]
        has_organisations = configuration.organisations is not None
        pending.is_public = has_organisations and route.is_public
        pending.needs_key = has_organisations and not route.is_public
        if pending.needs_key:
            pending.key_digest = _read_key_digest(request.raw_headers)
            found = configuration.key_table.find_organisation(pending.key_digest)
            pending.organisation = found or ""
            if self._refuse_without_key(pending):
                return True
        if not pending.job_id and request.method == "GET":
            self._report_queue_length(pending, route.queue)
        elif not submissions.ID_PATTERN.match(pending.job_id):
            reason = f"job id {pending.job_id!r}; allowed: 16 hexadecimal digits"
            self._respond(pending, 400, {"Error": reason})
        elif request.method == "POST":
            self._submit_job(
                pending, route.queue, request.body.getvalue(), configuration
            )
        elif request.method == "GET":
            self._report_state(pending)
        elif request.method == "DELETE":
            self._cancel_job(pending)
        else:
            response.headers["Allow"] = "DELETE, GET, POST"
            self._respond(pending, 405, {"Error": f"method {request.method!r}"})
        return True

    # Requests

    def _submit_job(self, pending, queue, body, configuration):
        try:
            job = submissions.parse_job(
                pending.job_id,
                body,
                queue=queue.name,
                service=queue.service,
                now_unix_s=time.time(),
            )
            job.failed_runs_limit = queue.failed_runs_limit
            job.organisation = pending.organisation
            value = submissions.encode_job(job)
        except submissions.InvalidJob as error:
            self._respond(pending, 400, {"Error": str(error)})
            return
        record = (controller.JOB_KEY_PREFIX + job.id, value)

        def on_stored():
            _logger.info(
                "job accepted",
                extra={
                    "request": job.id,
                    "queue": queue.name,
                    "pool": queue.service,
                    "configuration": configuration.version,
                    "organisation": job.organisation,
                    "ms": _elapsed_ms(pending),
                },
            )
            self._metrics.observe("accept", time.monotonic() - pending.arrived)
            self._respond(pending, 200, {})

        def on_admission_reply(reply):
            if reply is not None and reply.state == append_policy.RELAYED:
                self._own_way_slow_until = (
                    time.monotonic() + append_policy.SLOWNESS_MEMORY_S
                )
            if self._refuse_without_key(pending):
                return
            if reply is not None and reply.state == job_ownership.FOREIGN:
                self._respond_foreign(pending)
            elif reply is not None and reply.retry_after_s > 0:
                reason = f"the pool of {queue.name!r} cannot serve the job in time"
                self._respond_refused(
                    pending, 429, reason, retry_after_s=reply.retry_after_s
                )
            else:
                self._store_record(pending, record, on_stored)

        limit_reason = organisation_limits.refusal_reason(
            job.steps,
            (configuration.organisations or {}).get(job.organisation),
            self._limit_overshoot,
        )

        def on_job_reply(reply):
            if self._refuse_without_key(pending):
                return
            if reply is not None and not reply.state:
                # No backlog has to fall first: only a higher limit would help.
                self._respond_refused(
                    pending,
                    429,
                    limit_reason,
                    retry_after_s=admission.LONGEST_RETRY_AFTER_S,
                )
            else:
                self._store_record(pending, record, on_stored)

        if limit_reason is not None:
            # A job that was accepted before its limit was lowered may still run, so a
            # repeated submission of it is not refused.
            self._controller_client.ask(
                lambda number: messages.JobQuestion(
                    number=number, job=job.id, organisation=job.organisation
                ),
                on_job_reply,
                timeout_s=ADMISSION_TIMEOUT_S,
            )
            return
        if job.repeats or any(step.is_lasting for step in job.steps):
            if pending.needs_key or pending.is_public:
                # These are not refused for lack of capacity, but the id may belong to
                # the job of another organisation.
                self._controller_client.ask(
                    lambda number: messages.JobQuestion(
                        number=number,
                        job=job.id,
                        organisation=job.organisation,
                        is_submission=True,
                    ),
                    on_admission_reply,
                    timeout_s=ADMISSION_TIMEOUT_S,
                )
            else:
                self._store_record(pending, record, on_stored)
            return
        work_millicore_s = sum(
            step.count * step.processors * step.estimate_s for step in job.steps
        )
        self._controller_client.ask(
            lambda number: messages.AdmissionQuestion(
                number=number,
                queue=queue.name,
                service=queue.service,
                work=work_millicore_s / 1000,
                chain_s=job.critical_path_s,
                job=job.id,
                organisation=job.organisation,
            ),
            on_admission_reply,
            timeout_s=ADMISSION_TIMEOUT_S,
        )

    def _store_record(self, pending, record, on_stored):
        if self._refuse_without_key(pending):
            return
        now = time.monotonic()
        choice = append_policy.choose_way(
            now=now,
            arrived=pending.arrived,
            deadline=pending.deadline,
            is_own_way_failing=now < self._own_way_failing_until
            or self._is_store_unreadable(),
            is_own_way_slow=now < self._own_way_slow_until,
            is_controller_connected=self._controller_client.is_connected,
            previous_way=pending.previous_way,
        )
        if choice is None:
            self._respond_store_failure(pending)
            return
        way, timeout_s = choice
        # Queued behind an append in progress, a record can wait longer than its limit.
        timer = self._timers.after(timeout_s, lambda: on_result(_NO_RESULT))

        def on_result(result):
            if way == append_policy.OWN and not isinstance(result, job_writer.Withheld):
                self._update_own_way(result, now)
            is_timely = timer.is_pending or result is _NO_RESULT
            timer.cancel()
            if isinstance(result, store.Appended):
                if pending in self._pending_requests:
                    on_stored()
                return
            if not is_timely:
                return
            if isinstance(result, job_writer.Withheld):
                # The key is checked again, and the reason is sent to the caller.
                self._store_record(pending, record, on_stored)
                return
            if isinstance(result, store.NoResponse) and result.was_sent:
                pending.is_possibly_stored = True
            _logger.warning(
                "append not confirmed",
                extra={
                    "request": pending.job_id,
                    "way": way,
                    "reason": str(result),
                },
            )
            delay_s = STORE_RETRY_DELAY_S
            if way == append_policy.RELAYED:
                delay_s = BOTH_WAYS_RETRY_DELAY_S
            elif self._controller_client.is_connected:
                # The next append goes the other way.
                delay_s = 0.0
            self._timers.after(
                delay_s, lambda: self._store_record(pending, record, on_stored)
            )

        pending.previous_way = way
        if way == append_policy.RELAYED:
            self._controller_client.relay_record(
                record, callback=on_result, timeout_s=timeout_s
            )
        else:
            self._writer.write(
                record,
                callback=on_result,
                timeout_s=timeout_s,
                may_send=lambda: self._key_refusal(pending) is None,
            )

    def _update_own_way(self, result, started_at):
        now = time.monotonic()
        if now - started_at > append_policy.SLOW_APPEND_S:
            self._own_way_slow_until = now + append_policy.SLOWNESS_MEMORY_S
        elif isinstance(result, store.Appended):
            self._own_way_failing_until = self._own_way_slow_until = 0.0
        else:
            self._own_way_failing_until = now + append_policy.FAILURE_MEMORY_S

    def _respond_store_failure(self, pending):
        if pending.is_possibly_stored:
            _logger.info(
                "request outcome unknown",
                extra={
                    "request": pending.job_id,
                    "status": 504,
                    "ms": _elapsed_ms(pending),
                },
            )
            self._respond(
                pending, 504, {"Error": "it is not known whether it is stored"}
            )
        else:
            self._respond_refused(pending, 503, "the store cannot be reached")

    def _cancel_job(self, pending):
        key, message = job_ownership.make_cancellation(
            job_id=pending.job_id,
            at_unix_s=time.time(),
            organisation=pending.organisation,
            is_public=pending.is_public,
        )
        record = (key, codec.encode(message))

        def on_stored():
            _logger.info(
                "cancellation accepted",
                extra={
                    "request": pending.job_id,
                    "organisation": pending.organisation,
                    "ms": _elapsed_ms(pending),
                },
            )
            self._respond(pending, 200, {})

        def on_reply(reply):
            if self._refuse_without_key(pending):
                return
            if reply is not None and not reply.state:
                self._respond(pending, 410, {"Error": f"no job {pending.job_id!r}"})
            else:
                self._store_record(pending, record, on_stored)

        self._controller_client.ask(
            lambda number: _make_state_question(number, pending),
            on_reply,
            # Leaves time to store the cancellation if the controller does not answer.
            timeout_s=min(0.8, pending.deadline - time.monotonic()),
        )

    def _report_state(self, pending):
        def on_reply(reply):
            if self._refuse_without_key(pending):
                return
            if reply is None:
                self._respond_refused(pending, 503, "the controller cannot be reached")
            elif not reply.state:
                self._respond(pending, 410, {"Error": f"no job {pending.job_id!r}"})
            else:
                self._respond(pending, 200, {"State": STATES[reply.state]})

        self._controller_client.ask(
            lambda number: _make_state_question(number, pending),
            on_reply,
            timeout_s=pending.deadline - time.monotonic(),
        )

    def _report_queue_length(self, pending, queue):
        def on_reply(reply):
            if self._refuse_without_key(pending):
                return
            if reply is None:
                self._respond_refused(pending, 503, "the controller cannot be reached")
            else:
                self._respond(pending, 200, {"Pending": reply.waiting})

        self._controller_client.ask(
            lambda number: messages.QueueQuestion(number=number, queue=queue.name),
            on_reply,
            timeout_s=pending.deadline - time.monotonic(),
        )

    # Keys

    def _key_refusal(self, pending):
        """Return status and reason if a request may not be served now, else None.

        The proof comes first: without it an unknown key may have been added, and a
        known one withdrawn.
        """
        configuration = self._configuration()
        if not pending.needs_key or configuration.organisations is None:
            return None
        if not self._proof.is_fresh:
            return 503, "the configuration is not proven to be recent"
        if pending.key_digest is None:
            return 401, "no key, or a malformed header"
        found = configuration.key_table.find_organisation(pending.key_digest)
        if found is None:
            return 401, "unknown key"
        if found != pending.organisation:
            return 401, "the key belongs to another organisation now"
        return None

    def _refuse_without_key(self, pending):
        """Respond to a request that may not be served now; return whether it is one."""
        refusal = self._key_refusal(pending)
        if refusal is None:
            return False
        status, reason = refusal
        if pending.is_possibly_stored:
            self._respond_store_failure(pending)
        elif status == 503:
            self._respond_refused(pending, status, reason)
        else:
            pending.response.headers["WWW-Authenticate"] = KEY_CHALLENGE
            self._log_refusal(pending, status, reason)
            self._respond(pending, status, {"Error": KEY_ERROR})
        return True

    def _respond_foreign(self, pending):
        reason = f"id {pending.job_id!r} is not available; allowed: another id"
        self._log_refusal(pending, 403, reason)
        self._respond(pending, 403, {"Error": reason})

    def _log_refusal(self, pending, status, reason):
        fields = {
            "request": pending.job_id,
            "status": status,
            "reason": reason,
            "ms": _elapsed_ms(pending),
        }
        if pending.needs_key or pending.is_public:
            age_s = self._proof.age_s
            fields |= {
                "organisation": pending.organisation,
                "configuration": self._configuration().version,
                "proof_age_s": None if age_s is None else round(age_s, 3),
            }
        _logger.info("request refused", extra=fields)

    # Responses

    def _respond_refused(self, pending, status, reason, *, retry_after_s=RETRY_AFTER_S):
        pending.response.headers["Retry-After"] = str(int(retry_after_s))
        self._log_refusal(pending, status, reason)
        self._respond(pending, status, {"Error": reason})

    def _respond(self, pending, status, fields):
        if pending not in self._pending_requests:
            return
        self._pending_requests.discard(pending)
        self._metrics.count(f"front.{pending.response.request.method}.{status}")
        pending.response.status = status
        pending.response.headers["Content-Type"] = "application/json"
        pending.response.body = bodies.encode(fields)
        self.fire(web_events.response(pending.response), "web")


def _make_state_question(number, pending):
    return messages.JobQuestion(
        number=number, job=pending.job_id, organisation=pending.organisation
    )


def _read_key_digest(raw_headers):
    """Return the digest of the key in a request's headers.

    None if there is no key, or if the header is malformed or given more than once.
    """
    values = [value for name, value in raw_headers if name == KEY_HEADER]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip(b" ")
    # The names of schemes are case-insensitive (RFC 9110, section 11.1).
    if scheme.lower() != KEY_SCHEME or not key or len(key.split()) != 1:
        return None
    return api_keys.digest(key)


def _elapsed_ms(pending):
    return round((time.monotonic() - pending.arrived) * 1000, 1)


def _read_deadline_s(headers):
    """Return how many seconds the caller waits, at most ``DEADLINE_LIMIT_S``."""
    value = headers.get(DEADLINE_HEADER, b"")
    if not value.isdigit():
        return DEFAULT_DEADLINE_S
    digits = value.lstrip(b"0")
    if len(digits) > DEADLINE_LIMIT_DIGITS:
        # Converting thousands of digits would fail.
        return DEADLINE_LIMIT_S
    return min(int(digits or b"0") / 1000, DEADLINE_LIMIT_S)
