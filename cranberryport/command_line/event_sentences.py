"""Plain sentences about log events of organisations, keys and waits for a place.

The sentences say what an operator can do with the fields of these events. A field that
is missing, for example in lines of another version, is spoken of as unknown.
"""

_UNKNOWN = "unknown"
# Reasons of refusals with status 503 that have nothing to do with keys.
_REASONS_WITHOUT_KEYS = (
    "no configuration is known yet",
    "the controller cannot be reached",
    "the store cannot be reached",
)


def describe_event(fields):
    """Return a sentence about a log line, None if its event needs none.

    Parameters
    ----------
    fields : dict
        Fields of the log line.
    """
    describe = _DESCRIPTIONS.get(fields.get("event"))
    return None if describe is None else describe(fields)


def _get(fields, name):
    value = fields.get(name)
    return _UNKNOWN if value is None else _format_value(value)


def _format_value(value):
    if isinstance(value, dict):
        return ", ".join(f"{key} {_format_value(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(map(_format_value, value))
    return str(value)


def _organisation(fields):
    name = fields.get("organisation")
    return f"organisation {name!r}" if name else "an unknown organisation"


def _configuration(fields):
    """Name the configuration by which keys were compared, and the age of its proof."""
    version = _get(fields, "configuration")
    age_s = fields.get("proof_age_s")
    if age_s is None:
        return f"configuration {version}, never proven current"
    return f"configuration {version}, proven current {age_s} s before"


def _describe_refused_request(fields):
    status = fields.get("status")
    if status == 401:
        return (
            "the request had no key, a malformed header or a key that is not valid in "
            f"{_configuration(fields)}"
        )
    if status == 403:
        return (
            f"the key belongs to {_organisation(fields)}, and the job with this id to "
            "another organisation"
        )
    is_about_keys = fields.get("reason") not in _REASONS_WITHOUT_KEYS
    if status == 503 and "proof_age_s" in fields and is_about_keys:
        return (
            "nothing ran: the instance could not prove that no key was withdrawn since "
            f"its last read of the store ({_configuration(fields)})"
        )
    return None


def _describe_refused_job(fields):
    name = _organisation(fields)
    retry = ""
    if fields.get("retry_after_s") is not None:
        retry = f"; the caller was asked to wait for {fields['retry_after_s']} s"
    reason = fields.get("reason")
    if reason == "limit":
        return f"the limit of {name} leaves no room for the job in time{retry}"
    if reason == "share":
        return f"{name} has more work waiting than its share serves in time{retry}"
    if reason == "backlog":
        return f"more work is waiting in the pool than it serves in time{retry}"
    return None


def _usage(fields):
    return f"use {_get(fields, 'use')}, limit {_get(fields, 'limits')}"


def _share(fields):
    return f"received {_get(fields, 'received')}, share {_get(fields, 'share')}"


def _describe_limit_reached(fields):
    return (
        f"{_organisation(fields)} is at its limit ({_usage(fields)}): its waiting "
        "tasks start as its own runs end"
    )


def _describe_limit_left(fields):
    return f"{_organisation(fields)} is below its limit again ({_usage(fields)})"


def _describe_share_exceeded(fields):
    return (
        f"{_organisation(fields)} is over its share ({_share(fields)}): its work waits "
        "behind that of organisations within theirs while capacity is short"
    )


def _describe_share_kept(fields):
    return f"{_organisation(fields)} is within its share again ({_share(fields)})"


def _work(fields):
    if fields.get("task"):
        return f"task {fields['task']}"
    return f"step {_get(fields, 'step')}"


def _place(fields):
    rack = fields.get("rack")
    return f"a place on rack {rack}" if rack else "a place on the rack of its step"


def _reason(fields):
    reason = fields.get("reason")
    return f": {reason}" if reason else ""


def _describe_wait_begun(fields):
    return (
        f"{_work(fields)} waits for {_place(fields)}, expected in "
        f"{_get(fields, 'expected_s')} s{_reason(fields)}"
    )


def _describe_wait_fulfilled(fields):
    return f"{_work(fields)} got {_place(fields)} after its wait{_reason(fields)}"


def _describe_wait_given_up(fields):
    return f"{_work(fields)} waits no longer for {_place(fields)}{_reason(fields)}"


def _describe_remote_start(fields):
    return (
        f"{_work(fields)} was started away from its rack {_get(fields, 'rack')}, where "
        f"it runs longer (expected {_get(fields, 'remote_run_s')} s){_reason(fields)}"
    )


_DESCRIPTIONS = {
    "request refused": _describe_refused_request,
    "job refused": _describe_refused_job,
    "organisation at its limit": _describe_limit_reached,
    "organisation below its limit": _describe_limit_left,
    "organisation over its share": _describe_share_exceeded,
    "organisation within its share": _describe_share_kept,
    "place wait begun": _describe_wait_begun,
    "placed after a wait": _describe_wait_fulfilled,
    "place wait given up": _describe_wait_given_up,
    "started remotely": _describe_remote_start,
}
