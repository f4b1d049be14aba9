"""Finds what happened to one request or job in the logs of the entry instances.

Several instances can take part in one job, and a delay can be caused by a change of the
controller. The lines of all instances are therefore merged in order of time, together
with the events of such changes.
"""

import json

# Fields that are printed in columns; the others follow as name=value.
_COLUMNS = ("time", "instance", "event")
_OMITTED_DETAILS = frozenset({*_COLUMNS, "level", "request"})


def is_about_request(fields, request):
    """Return whether a log line is about a request or a job.

    Parameters
    ----------
    fields : dict
        Fields of the log line.
    request : str
        Id of the request or job. The ids of a job's tasks begin with the job's id.
    """
    if fields.get("request") == request:
        return True
    task = fields.get("task")
    return isinstance(task, str) and task.partition(".")[0] == request


def parse_log_lines(lines):
    """Yield the fields of log lines, skipping lines without a JSON object.

    Parameters
    ----------
    lines : iterable of str
        Lines of one or several instances. Text before the JSON object, such as the
        prefix of a log collector, is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def explain_request(lines, request):
    """Return the log events of a request or job in order of time.

    Parameters
    ----------
    lines : iterable of str
        Log lines in any order.
    request : str
        Id of the request or job.

    Returns
    -------
    list of str
        One line for each event, which begins with the seconds since the first one.
        Events between the first and the last one that tell of a change of the
        controller, a loss of the store or a stopping instance are included. Empty if no
        line is about the request.
    """
    events, context_events = [], []
    for fields in parse_log_lines(lines):
        if is_about_request(fields, request):
            events.append(fields)
        elif str(fields["event"]).startswith(("controller", "store", "stopping")):
            context_events.append(fields)
    if not events:
        return []
    start_time = min(fields["time"] for fields in events)
    end_time = max(fields["time"] for fields in events)
    events += [
        fields for fields in context_events if start_time <= fields["time"] <= end_time
    ]
    events.sort(key=lambda fields: fields["time"])
    return [_render_event(fields, start_time) for fields in events]


def _render_event(fields, start_time):
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _OMITTED_DETAILS
    )
    offset_s = fields["time"] - start_time
    instance = fields.get("instance", "")
    return f"{offset_s:9.3f}  {instance:<20}  {fields['event']:<22}  {details}".rstrip()
