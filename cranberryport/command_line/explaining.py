"""Finds the story of one request in the log lines of all entry instances."""

import json

# Fields that stand in columns of their own.
_COLUMNS = ("time", "instance", "event")
_HIDDEN = frozenset({*_COLUMNS, "level", "request"})


def is_about_request(fields, request):
    """Return whether a log line is about a request.

    Parameters
    ----------
    fields : dict
        Fields of the line.
    request : str
        Id of a job.
    """
    if fields.get("request") == request:
        return True
    task = fields.get("task")
    return isinstance(task, str) and task.partition(".")[0] == request


def parse_log_lines(lines):
    """Yield the fields of log lines; other text around them is skipped.

    Parameters
    ----------
    lines : iterable of str
        Lines of one or several instances. A prefix before the JSON object, such as that
        of a log collector, does no harm.
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
    """Return the story of a request.

    Parameters
    ----------
    lines : iterable of str
        Log lines in any order.
    request : str
        Id of a job.

    Returns
    -------
    list of str
        One line for each step, in order of time; changes of the controller between the
        first and the last step are told as well.
    """
    steps, changes = [], []
    for fields in parse_log_lines(lines):
        if is_about_request(fields, request):
            steps.append(fields)
        elif str(fields["event"]).startswith(("controller", "store", "stopping")):
            changes.append(fields)
    if not steps:
        return []
    first = min(fields["time"] for fields in steps)
    last = max(fields["time"] for fields in steps)
    steps += [fields for fields in changes if first <= fields["time"] <= last]
    steps.sort(key=lambda fields: fields["time"])
    return [_render(fields, first) for fields in steps]


def _render(fields, first):
    details = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _HIDDEN
    )
    offset_s = fields["time"] - first
    instance = fields.get("instance", "")
    return f"{offset_s:9.3f}  {instance:<20}  {fields['event']:<22}  {details}".rstrip()
