"""Division of a job's state among records that the store accepts.

Load pattern: a job has 10,000 tasks, all of which run. The store refuses a record that
exceeds its limit each time it is sent, and no job would be decided any more.

Most jobs have one record of their progress and, after crashes of executors, one record
of these. If the progress does not fit into one record, its tasks are divided into
parts with a record each, and the record under the id of the job lists the parts. All
records of a job are stored in one append, so that they always belong together.
"""

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.scheduling import records

# Limits of the store for a record, and for the records of one append (platform's
# settings).
RECORD_LIMIT_BYTES = 262_144
CALL_LIMIT_BYTES = 2_097_152
# A task takes at most 757 bytes: 29 for its numbers, 200 for its checkpoint, and 264
# for each of two runs, as the store limits the key of an executor to 255 bytes. So this
# many tasks fit into a record, beside the numbers of 10,000 completed occurrences.
TASKS_PER_RECORD = 300
# Bytes that a task takes in a record without its checkpoint and runs, at most, that a
# run takes without the id of its executor, and a text without its characters.
TASK_BYTES = 38
RUN_BYTES = 9
TEXT_BYTES = 3
# Bytes that the crash history of a task takes without its hosts, at most.
CRASH_HISTORY_BYTES = 130
# Bytes left for the record that lists the parts and the completed occurrences.
INDEX_BYTES = 100_000
# Prefix of the keys of parts. Versions without them skip keys with this prefix.
TASKS_KEY_PREFIX = "tasks/"


class RecordGroup:
    """Records that are stored, and keys that are deleted, in one append.

    Parameters
    ----------
    new_records : list
        Messages; the field ``job`` holds the key, also where that is no job id.
    deleted_keys : list of str
        Keys of records to delete before the new ones are stored.

    Attributes
    ----------
    tasks_bytes : int
        Upper bound of the size of the records of divided tasks and crashes; 0 if
        nothing is divided.
    """

    __slots__ = ("deleted_keys", "new_records", "tasks_bytes")

    def __init__(self, *, new_records, deleted_keys=()):
        self.new_records = new_records
        self.deleted_keys = list(deleted_keys)
        self.tasks_bytes = 0

    @property
    def fits_into_call(self):
        """Whether the store takes all records in one append."""
        return self.tasks_bytes + INDEX_BYTES < CALL_LIMIT_BYTES


def tasks_key(job_id, number):
    """Return the key of a part of a job's tasks."""
    return f"{TASKS_KEY_PREFIX}{job_id}/{number}"


def parse_part_key(key, prefix):
    """Return job id and number of the part that a key names.

    Parameters
    ----------
    key : str
        Key of a record that begins with the prefix.
    prefix : str
        Prefix of the keys of a kind of record.

    Returns
    -------
    tuple of (str, int or None)
        None for a key without a number.
    """
    job_id, _, number = key.removeprefix(prefix).partition("/")
    return job_id, int(number) if number.isdecimal() else None


def stored_keys(job):
    """Return the keys of a job's records beside that of its progress."""
    part_keys = [tasks_key(job.id, number) for number in job.stored_task_parts]
    return part_keys + sorted(job.stored_crash_keys)


def make_group(job, *, has_crashes):
    """Return the records of a job's present state.

    Parameters
    ----------
    job : model.Job
        The job. Its attributes ``stored_task_parts`` and ``stored_crash_keys`` tell
        what the store has, and are changed to what it will have.
    has_crashes : bool
        Whether executors have crashed under tasks of the job.

    Returns
    -------
    RecordGroup
        Parts that have not changed are left out.
    """
    group = RecordGroup(new_records=[])
    _add_progress(job, group)
    if has_crashes or job.stored_crash_keys:
        _add_crashes(job, group)
    return group


def _add_progress(job, group):
    progress = records.progress_to_record(job)
    parts = {}
    if not _fits_into_record(progress, is_divided=bool(job.stored_task_parts)):
        parts = _divide(job, progress.tasks)
        changed = [
            n for n, rows in parts.items() if job.stored_task_parts.get(n) != rows
        ]
        group.tasks_bytes += sum(_largest_size(parts[n]) for n in changed)
        group.new_records += [
            messages.TasksStored(job=tasks_key(job.id, n), tasks=parts[n])
            for n in changed
        ]
        progress = messages.DividedProgressStored(
            job=progress.job,
            state=progress.state,
            done=progress.done,
            has_started=progress.has_started,
            ended_at=progress.ended_at,
            parts=sorted(parts),
        )
    group.new_records.append(progress)
    group.deleted_keys += [
        tasks_key(job.id, n) for n in job.stored_task_parts if n not in parts
    ]
    job.stored_task_parts = parts


def _fits_into_record(progress, *, is_divided):
    if len(progress.tasks) <= TASKS_PER_RECORD:
        return True
    if is_divided:
        # The parts that have not changed are not written again.
        return False
    if _largest_size(progress.tasks) < RECORD_LIMIT_BYTES // 2:
        return True
    return len(codec.encode(progress)) + len(progress.job) < RECORD_LIMIT_BYTES


def _largest_size(rows):
    """Return an upper bound of the encoded size of tasks."""
    size = 0
    for row in rows:
        size += TASK_BYTES + len(row[6].encode())
        for _, executor in row[7]:
            size += RUN_BYTES + len(executor.encode())
    return size


def _divide(job, rows):
    """Return the rows of tasks by part; a task always belongs to the same one."""
    offsets, count = [], 0
    for step in job.steps:
        offsets.append(count)
        count += step.count
    parts = {}
    for row in rows:
        occurrence, step_number, index = row[:3]
        position = occurrence * count + offsets[step_number] + index
        parts.setdefault(position // TASKS_PER_RECORD, []).append(row)
    return parts


def _add_crashes(job, group):
    whole = records.crashes_to_record(job)
    new_records = []
    if len(whole.tasks) <= TASKS_PER_RECORD:
        new_records = [whole] if whole.tasks else []
    else:
        group.tasks_bytes += sum(
            CRASH_HISTORY_BYTES
            + sum(TEXT_BYTES + len(host) for host in row.sole_crash_hosts)
            for row in whole.tasks
        )
        for start in range(0, len(whole.tasks), TASKS_PER_RECORD):
            number = start // TASKS_PER_RECORD
            rows = whole.tasks[start : start + TASKS_PER_RECORD]
            key = f"{whole.job}/{number}"
            new_records.append(messages.CrashesStored(job=key, tasks=rows))
    keys = {record.job for record in new_records}
    group.new_records += new_records
    group.deleted_keys += sorted(job.stored_crash_keys - keys)
    job.stored_crash_keys = keys


def join_progress(divided, parts):
    """Return the progress of a job that is divided among several records.

    Parameters
    ----------
    divided : messages.DividedProgressStored
        Record that lists the parts.
    parts : dict of int to list
        Rows of tasks of each part that was read.

    Returns
    -------
    messages.ProgressStored or None
        None if a part is missing.
    """
    if not parts.keys() >= set(divided.parts):
        return None
    return messages.ProgressStored(
        job=divided.job,
        state=divided.state,
        done=divided.done,
        tasks=[row for number in divided.parts for row in parts[number]],
        has_started=divided.has_started,
        ended_at=divided.ended_at,
    )


def make_end_group(job):
    """Return the record of an ended job without its runs that are being stopped.

    Parameters
    ----------
    job : model.Job
        A job whose progress exceeds the limit of an append.
    """
    progress = records.progress_to_record(job)
    progress.tasks = []
    deleted_keys = stored_keys(job)
    job.stored_task_parts, job.stored_crash_keys = {}, set()
    return RecordGroup(new_records=[progress], deleted_keys=deleted_keys)
