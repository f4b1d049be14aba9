"""Pages for operators that only the controller can answer.

They are served on the metrics address of each entry instance. An instance that is not
the controller, or has not loaded the state yet, answers 503 with the reason and the
address at which its peers reach the controller.
"""

import time

from cranberryport.observability import organisation_report
from cranberryport.platform import bodies, submissions

ORGANISATIONS_PATH = "/organisations"
PLACEMENT_PATH = "/placement"
# Id of a job that is only asked about; it is not stored and not compared with others.
_QUESTION_ID = "0" * 16
# Names of a bad value's alternatives in an error; a deployment has some ten queues.
_LISTED_NAMES = 20


def respond(request, response, *, controller, controller_address):
    """Fill the response to a request for one of ``PATHS``.

    Parameters
    ----------
    request : cranberryport.http.caller_messages.CallerHttpRequest
        The request.
    response : cranberryport.http.caller_messages.CallerResponse
        The response to fill.
    controller : cranberryport.control.controller.Controller or None
        Controller in this process, if it is here.
    controller_address : str or None
        Peer address of the controller as ``host:port``; None if it is not known.
    """
    response.headers["Content-Type"] = "application/json"
    method, make_page = _PAGES[request.path]
    if request.method != method:
        response.status = 405
        response.headers["Allow"] = method
        fields = {"Error": f"method {request.method!r}; allowed: {method}"}
    elif controller is None or controller.state is None:
        response.status = 503
        place = "is not known"
        if controller_address is not None:
            place = f"has the peer address {controller_address}"
        fields = {"Error": f"no state of a controller here; the controller {place}"}
    else:
        response.status, fields = make_page(request, controller)
    response.body = bodies.encode(fields)


def _make_organisations_page(_, controller):
    report = organisation_report.make_report(
        controller.state, time.monotonic(), controller.organisation_statuses
    )
    return 200, report.to_page()


def _make_placement_page(request, controller):
    """Answer where the job in the body would be placed now.

    The body has ``queue``, ``job`` (text of the body of a submission) and optionally
    ``organisation``.
    """
    fields = bodies.decode(request.body.getvalue())
    text = None if fields is None else fields.get("job")
    if not isinstance(text, str):
        return 400, {"Error": "the body is no JSON object with the text 'job'"}
    state = controller.state
    queue, organisation = fields.get("queue"), fields.get("organisation", "")
    if not _has_name(queue, state.queues):
        return 404, {"Error": f"queue {queue!r}; known: {_list_names(state.queues)}"}
    if organisation != "" and not _has_name(organisation, state.organisations):
        known = _list_names(state.organisations)
        return 404, {"Error": f"organisation {organisation!r}; known: {known}"}
    try:
        job = submissions.parse_job(
            _QUESTION_ID,
            text.encode(),
            queue=queue,
            service=state.queues[queue].service,
            now_unix_s=time.time(),
        )
    except submissions.InvalidJob as error:
        return 400, {"Error": f"unusable job: {error}"}
    job.organisation = organisation
    placement = controller.explain_placement(job)
    return 200, {
        "queue": queue,
        "pool": job.service,
        "organisation": organisation,
        "is_admitted": not placement.retry_after_s,
        "retry_after_s": placement.retry_after_s,
        "reason": placement.reason,
        "jobs_ahead": placement.jobs_ahead,
        "executors": placement.executor_count,
        "steps": [
            {
                "step": step.number,
                "executors": step.executor_ids,
                "remote": step.remote_count,
                "limited": step.limited_count,
                "ruled_out": step.ruled_out,
            }
            for step in placement.steps
        ],
    }


def _has_name(value, names):
    # A value of the JSON body may be of any type.
    return isinstance(value, str) and value in names


def _list_names(names):
    listed = sorted(names)[:_LISTED_NAMES]
    more = "" if len(listed) == len(names) else f" and {len(names) - len(listed)} more"
    return (", ".join(listed) or "none") + more


# Method and function by path.
_PAGES = {
    ORGANISATIONS_PATH: ("GET", _make_organisations_page),
    PLACEMENT_PATH: ("POST", _make_placement_page),
}
PATHS = frozenset(_PAGES)
