"""Finds what happened to one request or job in the logs of the entry instances.

Several instances can take part in one job, and a delay can be caused by a change of the
controller, or by the limit or share of the job's organisation. The lines of all
instances are therefore merged in order of time, together with the events of such
changes.
"""

import json

from cranberryport.command_line import event_sentences

# Fields that are printed in columns; the others follow as name=value.
_COLUMNS = ("time", "instance", "event")
_OMITTED_DETAILS = frozenset({*_COLUMNS, "level", "request"})
# Events that change how an organisation is served: the restriction, and its end.
_RESTRICTIONS = {
    "organisation at its limit": "organisation below its limit",
    "organisation over its share": "organisation within its share",
}
_ORGANISATION_EVENTS = frozenset({*_RESTRICTIONS, *_RESTRICTIONS.values()})


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
        controller, a loss of the store or a stopping instance are included, and those
        about the limit and the share of the job's organisation. If it was already at
        its limit or over its share, that event is included as well, with a negative
        time. Empty if no line is about the request.
    """
    events, context_events, organisation_events = [], [], []
    for fields in parse_log_lines(lines):
        if is_about_request(fields, request):
            events.append(fields)
        elif fields["event"] in _ORGANISATION_EVENTS:
            organisation_events.append(fields)
        elif str(fields["event"]).startswith(("controller", "store", "stopping")):
            context_events.append(fields)
    if not events:
        return []
    start_time = min(fields["time"] for fields in events)
    end_time = max(fields["time"] for fields in events)
    names = {fields.get("organisation") for fields in events} - {None, ""}
    organisation_events = [
        fields
        for fields in organisation_events
        if fields.get("organisation") in names and fields["time"] <= end_time
    ]
    organisation_events.sort(key=lambda fields: fields["time"])
    events += _find_restrictions(organisation_events, start_time)
    context_events += organisation_events
    events += [
        fields for fields in context_events if start_time <= fields["time"] <= end_time
    ]
    events.sort(key=lambda fields: fields["time"])
    return [_render_event(fields, start_time) for fields in events]


def _find_restrictions(organisation_events, start_time):
    """Return the events of restrictions that began before a time and last until then.

    Parameters
    ----------
    organisation_events : list of dict
        Events in order of time.
    start_time : float
        Unix time in seconds.
    """
    in_force = {}
    for fields in organisation_events:
        if fields["time"] >= start_time:
            break
        for beginning, end in _RESTRICTIONS.items():
            key = fields["organisation"], beginning
            if fields["event"] == beginning:
                in_force[key] = fields
            elif fields["event"] == end:
                in_force.pop(key, None)
    return list(in_force.values())


def _render_event(fields, start_time):
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _OMITTED_DETAILS
    )
    sentence = event_sentences.describe_event(fields)
    if sentence is not None:
        details = f"{sentence} ({details})"
    offset_s = fields["time"] - start_time
    instance = fields.get("instance", "")
    return f"{offset_s:9.3f}  {instance:<20}  {fields['event']:<22}  {details}".rstrip()
