"""Parses and checks the jobs that callers submit."""

import re

from cranberryport import codec
from cranberryport.platform import bodies
from cranberryport.scheduling import model, record_groups, records

ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
SPEC_LIMIT_BYTES = 4000
STEPS_LIMIT = 100
TASKS_LIMIT = 10_000
# Bytes of a record that are left for its key and for fields of the program.
RECORD_MARGIN_BYTES = 1000
# Each progress record has the numbers of all occurrences of its job that are done, and
# the store takes up to 262,144 bytes in a record (platform's protocol).
REPEATS_LIMIT = 10_000


class InvalidJob(ValueError):
    """A job that cannot be accepted; the text, sent to the caller, names the field."""


def parse_job(job_id, body, *, queue, service, now_unix_s):
    """Return the job in the body of a request.

    Parameters
    ----------
    job_id : str
        Id of the job, from the path of the request.
    body : bytes
        Body of the request.
    queue, service : str
        Name of the queue and of the service that runs its tasks.
    now_unix_s : float
        Unix time in seconds, at which the job counts as accepted.

    Returns
    -------
    model.Job
        The job.

    Raises
    ------
    InvalidJob
        If a field is missing, of a wrong type or outside its limits.
    """
    fields = bodies.decode(body)
    if fields is None:
        raise InvalidJob("the body is no JSON object")
    spec = fields.get("Spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > SPEC_LIMIT_BYTES:
        found = f"{len(spec)} characters" if isinstance(spec, str) else None
        found = found or bodies.quote(spec)
        raise InvalidJob(
            f"Spec is {found}; allowed: a text of up to {SPEC_LIMIT_BYTES} bytes"
        )
    rows = fields.get("Steps")
    if not isinstance(rows, list) or not 0 < len(rows) <= STEPS_LIMIT:
        found = f"a list of {len(rows)}" if isinstance(rows, list) else None
        found = found or bodies.quote(rows)
        raise InvalidJob(
            f"Steps is {found}; allowed: a list of 1 to {STEPS_LIMIT} steps"
        )
    steps = [_parse_step(number, row) for number, row in enumerate(rows)]
    tasks = sum(step.count for step in steps)
    if tasks > TASKS_LIMIT:
        raise InvalidJob(f"{tasks} tasks; allowed: up to {TASKS_LIMIT}")
    repeats = int(_parse_number(fields, "RepeatCount", "the job"))
    if repeats > REPEATS_LIMIT:
        raise InvalidJob(
            f"RepeatCount of the job is {repeats}; allowed: up to {REPEATS_LIMIT}"
        )
    return model.Job(
        id=job_id,
        queue=queue,
        service=service,
        spec=spec,
        steps=steps,
        accepted_at=now_unix_s,
        first_due_at=_parse_number(fields, "StartAtMs", "the job") / 1000,
        interval_s=_parse_number(fields, "IntervalMs", "the job") / 1000,
        repeats=repeats,
    )


def encode_job(job):
    """Return the value of the record of a submitted job.

    Parameters
    ----------
    job : model.Job
        The job.

    Raises
    ------
    InvalidJob
        If the store does not take such a large record. It would refuse the jobs of
        other callers in the same append as well.
    """
    value = codec.encode(records.job_to_record(job))
    limit = record_groups.RECORD_LIMIT_BYTES - RECORD_MARGIN_BYTES
    if len(value) > limit:
        raise InvalidJob(f"the job takes {len(value)} bytes; allowed: up to {limit}")
    return value


def _parse_step(number, row):
    place = f"step {number}"
    if not isinstance(row, dict):
        raise InvalidJob(f"{place} is {bodies.quote(row)}; allowed: an object")
    count = row.get("Count")
    if isinstance(count, bool) or not isinstance(count, int) or count < 1:
        found = bodies.quote(count)
        raise InvalidJob(f"Count of {place} is {found}; allowed: 1 or more")
    depends_on = row.get("DependsOn") or []
    if not isinstance(depends_on, list) or any(
        not isinstance(step_number, int) or not 0 <= step_number < number
        for step_number in depends_on
    ):
        found = bodies.quote(depends_on)
        raise InvalidJob(f"DependsOn of {place} is {found}; allowed: earlier steps")
    max_unavailable = row.get("MaxUnavailable")
    return model.Step(
        count=count,
        processors=int(_parse_number(row, "Cpu", place)),
        memory=int(_parse_number(row, "MemMb", place)),
        accelerators=int(_parse_number(row, "Gpu", place)),
        estimate_s=_parse_number(row, "EstimateMs", place) / 1000,
        depends_on=tuple(depends_on),
        saves_checkpoints=row.get("Checkpointing") is True,
        is_gang=row.get("Gang") is True,
        is_coupled=row.get("TightlyCoupled") is True,
        may_copy=row.get("Speculative") is True,
        is_lasting=row.get("LongRunning") is True,
        is_filling=row.get("Utilization") is True,
        label=_parse_label(row, place),
        rack=bodies.get_text(row, "DataLocality"),
        spread=int(_parse_number(row, "AntiAffinity", place)),
        image=bodies.get_text(row, "Image"),
        tail_target_ms=_parse_number(row, "TargetMs", place),
        max_unavailable=int(max_unavailable)
        if bodies.is_number(max_unavailable)
        else None,
    )


def _parse_label(row, place):
    value = row.get("Requirements") or ""
    if not isinstance(value, str):
        found = bodies.quote(value)
        raise InvalidJob(f"Requirements of {place} is {found}; allowed: a label")
    return value


def _parse_number(row, name, place):
    value = row.get(name) or 0
    if not bodies.is_number(value) or value < 0:
        found = bodies.quote(value)
        raise InvalidJob(
            f"{name} of {place} is {found}; allowed: 0 to {bodies.NUMBER_LIMIT}"
        )
    return value
