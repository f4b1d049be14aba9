"""HTTP interface for callers to submit, query and cancel jobs.

A job is reported as accepted only after its record has been folded, so that every job a
caller was told of is part of the control state.
"""

import hashlib
import json
import math
import re
import secrets
import time
import uuid

from circuits import BaseComponent, handler
from circuits.web import events as web_events

from cranberryport import findings, outcomes
from cranberryport.callers import caller_headers, idempotency, requests
from cranberryport.generated import messages
from cranberryport.http import caller_messages
from cranberryport.state import jobs as jobs_module
from cranberryport.stream import log_writer_events

DECISION_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1
PAYLOAD_LIMIT_BYTES = 16 * 1024
DEFAULT_REQUEST_CLASS = "batch"
# No worker is as large as this, and integers in the control state have up to 63 bits.
LARGEST_NUMBER = 10**12
SIZES = ("processors", "memory_mb", "accelerators", "runtime_s")
FIELDS = (*SIZES, "payload", "class", "deadline")

_path_pattern = re.compile(r"/jobs/([^/]+)")


class JobsApi(BaseComponent):
    """Handles the requests of callers under ``/jobs``.

    Parameters
    ----------
    follower : cranberryport.stream.log_follower.LogFollower
        Source of the control state.
    session_keeper : cranberryport.stream.session_keeper.SessionKeeper
        Source of this process's session.
    jobs : cranberryport.fleet.jobs.JobManager
        Decides whether any worker is large enough for a job.
    """

    channel = "jobs_api"

    def __init__(self, *, follower, session_keeper, jobs):
        super().__init__()
        self._follower = follower
        self._session_keeper = session_keeper
        self._jobs = jobs
        # Requests that wait for the outcome of their record, each with its response. A
        # request whose caller has disconnected is removed.
        self._responses = {}

    @handler("request", channel="web", priority=1)
    def _on_request(self, event, request, response):
        if request.path != "/jobs" and not request.path.startswith("/jobs/"):
            return None
        event.stop()
        match = _path_pattern.fullmatch(request.path)
        actions = {
            "POST": self._accept_job,
            "GET": self._show_job,
            "DELETE": self._cancel_job,
        }
        action = actions.get(request.method)
        if match is None or action is None:
            reason = f"{request.method} {request.path!r} is no request for jobs"
            allowed = "POST /jobs/{service}, GET or DELETE /jobs/{id}"
            return _refuse(response, 404, f"{reason}; allowed: {allowed}")
        if not self._session_keeper.is_open or not self._follower.has_dispatch_right:
            # An outdated state can lack jobs that other instances have accepted.
            return _refuse(response, 503, "the log cannot be read at present")
        return action(match[1], request, response)

    @handler("caller_gone", channel="web")
    def _on_caller_gone(self, request):
        self._responses.pop(request, None)

    def _accept_job(self, service, request, response):
        configuration = self._follower.state.configuration
        if service not in configuration.services:
            allowed = ", ".join(configuration.services) or "none"
            reason = f"unknown service {service!r}; allowed: {allowed}"
            return _refuse(response, 404, reason)
        try:
            desk = caller_headers.read_desk_header(request.raw_headers)
            key = _read_idempotency_key(request.raw_headers)
        except caller_headers.BadRequest as error:
            return _refuse(response, error.outcome.status, error.outcome.reason)
        fields, found = read_job(request.body.getvalue(), now=time.time())
        if found:
            return _refuse(response, 422, "the job is not valid", found=found)
        fields["request_class"] = (
            configuration.desk(desk).request_class or fields["request_class"]
        )
        record = messages.JobAccepted(
            job=_job_id(desk, service, key),
            desk=desk,
            service=service,
            by=self._session_keeper.session,
            **fields,
        )
        reason = self._jobs.impossible_reason(
            jobs_module.Job(accepted=record, offset=0)
        )
        if reason:
            return _refuse(response, 422, reason)
        return self._propose(record, request, response)

    def _show_job(self, name, request, response):
        job = self._follower.state.jobs.get(name)
        if job is None:
            return _refuse(response, 404, f"unknown job {name!r}")
        body = _describe_job(job)
        if job.state == "waiting":
            body["reason"] = self._jobs.impossible_reason(job) or job.reason
        return _fill_response(response, 200, outcomes.ANSWERED, body)

    def _cancel_job(self, name, request, response):
        job = self._follower.state.jobs.get(name)
        if job is None:
            return _refuse(response, 404, f"unknown job {name!r}")
        if job.state == "cancelled":
            return _fill_response(response, 200, outcomes.ANSWERED, _describe_job(job))
        return self._propose(messages.JobCancelled(job=name), request, response)

    def _propose(self, record, request, response):
        self._responses[request] = response
        log_writer_events.propose(
            self, record, context=request, timeout_s=DECISION_TIMEOUT_S
        )
        # True means to circuits.web that the response follows later.
        return True

    @handler("decided")
    def _on_decided(self, ticket, outcome):
        response = self._responses.pop(ticket.context, None)
        if response is None:
            return
        name = outcome.record.job
        kind = type(outcome).__name__
        if kind == "Undecided":
            reason = "the log did not confirm the request; ask again with the id"
            body = {"outcome": outcomes.UNKNOWN, "reason": reason, "job": name}
            _fill_response(response, 504, outcomes.UNKNOWN, body)
        elif kind == "Rejected":
            is_new = isinstance(outcome.record, messages.JobAccepted)
            _refuse(response, 422 if is_new else 409, outcome.reason, job=name)
        elif isinstance(outcome.record, messages.JobAccepted):
            _fill_response(response, 202, outcomes.ANSWERED, {"job": name})
        else:
            body = {"job": name, "state": "cancelled"}
            _fill_response(response, 200, outcomes.ANSWERED, body)
        self.fire(web_events.response(response), "web")


def read_job(body, *, now):
    """Check the body of a submission and return the fields of the job.

    Parameters
    ----------
    body : bytes
        JSON object from the caller.
    now : float
        Unix time in seconds.

    Returns
    -------
    tuple of (dict, list of findings.Finding)
        Values for the fields of ``JobAccepted``, which may be used only if the list is
        empty, and one finding for each fault of the body.
    """
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        values = None
    if not isinstance(values, dict):
        return {}, [findings.Finding(place="body", message="is no JSON object")]
    allowed = ", ".join(FIELDS)
    found = [
        _make_finding(name, "is unknown", name, allowed)
        for name in values
        if name not in FIELDS
    ]
    fields = {name: _read_size(values, name, found) for name in SIZES}
    fields["payload"] = _read_payload(values, found)
    fields["request_class"] = _read_class(values, found)
    fields["deadline"] = _read_deadline(values, now, found)
    return fields, found


def _make_finding(name, message, value, allowed):
    displayed = repr(value)[:80]
    return findings.Finding(
        place=name, message=message, found=displayed, allowed=allowed
    )


def _is_number(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isinstance(value, int) or math.isfinite(value)


def _read_size(values, name, found):
    is_whole = name in ("memory_mb", "accelerators")
    is_optional = name == "accelerators"
    value = values.get(name, 0 if is_optional else None)
    smallest = "0 or more" if is_optional else "more than 0"
    kind = "a whole number" if is_whole else "a number"
    is_valid = (
        _is_number(value)
        and (value > 0 or (is_optional and value == 0))
        and value <= LARGEST_NUMBER
        and (isinstance(value, int) or not is_whole)
    )
    if not is_valid:
        allowed = f"{kind}, {smallest}, up to {LARGEST_NUMBER}"
        found.append(_make_finding(name, "is not valid", value, allowed))
        return 0
    return value if is_whole else float(value)


def _read_payload(values, found):
    value = values.get("payload", "")
    # A lone surrogate is valid in JSON but cannot be encoded as UTF-8.
    size = len(value.encode(errors="replace")) if isinstance(value, str) else -1
    is_text = size >= 0 and not any(
        "\ud800" <= character <= "\udfff" for character in value
    )
    if not is_text or size > PAYLOAD_LIMIT_BYTES:
        allowed = f"text of up to {PAYLOAD_LIMIT_BYTES} bytes"
        displayed = value if size < 0 else f"{size} bytes"
        found.append(_make_finding("payload", "is not valid", displayed, allowed))
        return ""
    return value


def _read_class(values, found):
    value = values.get("class", DEFAULT_REQUEST_CLASS)
    if value not in requests.REQUEST_CLASSES:
        allowed = ", ".join(requests.REQUEST_CLASSES)
        found.append(_make_finding("class", "is unknown", value, allowed))
    return value


def _read_deadline(values, now, found):
    value = values.get("deadline", 0)
    if not _is_number(value) or (value != 0 and not now < value <= LARGEST_NUMBER):
        allowed = "Unix seconds in the future, or 0 for none"
        found.append(_make_finding("deadline", "is not valid", value, allowed))
        return 0.0
    return float(value)


def _read_idempotency_key(headers):
    value = caller_headers.read_single_header(headers, "Idempotency-Key")
    if value is None:
        return ""
    checked = idempotency.check_key(value, now=time.time())
    if isinstance(checked, idempotency.InvalidKey):
        raise caller_headers.BadRequest(status=422, reason=checked.reason)
    return checked.key


def _job_id(desk, service, key):
    """Return the id of a new job.

    Without a key it is random. Otherwise it is derived from the desk, the service and
    the key, so that a repeated submission gets the same id.
    """
    if not key:
        return uuid.uuid4().hex
    text = json.dumps([desk, service, key]).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def _describe_job(job):
    return {
        "job": job.accepted.job,
        "state": job.state,
        "result": job.result,
        "reason": job.reason,
        "term": job.term,
        "worker": job.worker,
    }


def _refuse(response, status, reason, *, found=(), **fields):
    body = {"outcome": outcomes.NOT_RUN, "reason": reason, **fields}
    if found:
        body["findings"] = [str(finding) for finding in found]
    if status == 503:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return _fill_response(response, status, outcomes.NOT_RUN, body)


def _fill_response(response, status, outcome, body):
    response.status = status
    response.headers["Content-Type"] = "application/json"
    response.headers["Request-Outcome"] = outcome
    response.headers["Request-Id"] = secrets.token_hex(caller_messages.REQUEST_ID_BYTES)
    response.body = json.dumps(body).encode()
    return response
