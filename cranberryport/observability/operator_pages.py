"""Pages for operators that only the controller can answer.

They are served on the metrics address of each entry instance. An instance that is not
the controller, or has not loaded the state yet, answers 503 with the reason and the
address at which its peers reach the controller.
"""

from cranberryport.observability import organisation_report
from cranberryport.platform import bodies

ORGANISATIONS_PATH = "/organisations"
PATHS = frozenset({ORGANISATIONS_PATH})


def respond(request, response, *, state, controller_address):
    """Fill the response to a request for one of ``PATHS``.

    Parameters
    ----------
    request : cranberryport.http.caller_messages.CallerHttpRequest
        The request.
    response : cranberryport.http.caller_messages.CallerResponse
        The response to fill.
    state : cranberryport.scheduling.scheduler.Scheduler or None
        State of all jobs and executors; None if this process does not have it.
    controller_address : str or None
        Peer address of the controller as ``host:port``; None if it is not known.
    """
    response.headers["Content-Type"] = "application/json"
    if request.method != "GET":
        response.status = 405
        response.headers["Allow"] = "GET"
        fields = {"Error": f"method {request.method!r}; allowed: GET"}
    elif state is None:
        response.status = 503
        place = "is not known"
        if controller_address is not None:
            place = f"has the peer address {controller_address}"
        fields = {"Error": f"no state of a controller here; the controller {place}"}
    else:
        response.status = 200
        fields = organisation_report.make_report(state).to_page()
    response.body = bodies.encode(fields)
