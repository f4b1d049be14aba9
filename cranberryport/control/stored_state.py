"""Reads what a previous controller has stored in the progress topic."""

import collections
import logging
import time

from cranberryport.control import stored_records
from cranberryport.generated import messages
from cranberryport.platform import submissions
from cranberryport.scheduling import (
    model,
    record_groups,
    records,
    unanswered_starts,
)

WAVE_KEY_PREFIX = "wave/"
# The field ``job`` of a wave or orders record holds its key instead of a job id.
ORDERS_KEY = "orders"
# Written only where the platform does not fence orders.
UNANSWERED_ORDERS_KEY = "orders/unanswered"
# Orders for maintenance without a response. Versions without this record skip the key.
MAINTENANCE_ORDERS_KEY = "orders/maintenance"
ORDERS_KEYS = (ORDERS_KEY, UNANSWERED_ORDERS_KEY, MAINTENANCE_ORDERS_KEY)

_logger = logging.getLogger(__name__)


class StoredState:
    """Records of the progress topic by job, wave and kind.

    Attributes
    ----------
    progress : dict of str to messages.ProgressStored
        Progress of jobs by id, joined from its parts.
    crash_records : dict of str to messages.CrashesStored
        Crashes under the tasks of jobs by id, joined from their parts.
    task_parts : dict of str to dict
        By id of a job: the tasks in each of its parts by number, None for a part that
        is not in use.
    crash_keys : dict of str to set of str
        By id of a job: keys of its crash records.
    done_instances_by_wave : dict of int to set of str
        Instances whose maintenance is over, by number of the wave.
    orders : dict of str to dict
        Content of the records of orders by key.
    unanswered_starts : messages.UnansweredStartsStored or None
        Runs whose start may still be carried out; None if there is no usable record.
    """

    __slots__ = (
        "crash_keys",
        "crash_records",
        "done_instances_by_wave",
        "orders",
        "progress",
        "task_parts",
        "unanswered_starts",
    )

    def __init__(self):
        self.progress = {}
        self.crash_records = {}
        self.task_parts = collections.defaultdict(dict)
        self.crash_keys = collections.defaultdict(set)
        self.done_instances_by_wave = {}
        self.orders = {}
        self.unanswered_starts = None

    def add(self, stored):
        """Add the newest record of each key.

        Parameters
        ----------
        stored : list of (str, bytes)
            Keys and values.
        """
        divided = {}
        for key, value in stored:
            if key.startswith(WAVE_KEY_PREFIX):
                self._add_wave(key, value)
            elif key in ORDERS_KEYS:
                record = stored_records.decode(key, value, messages.OrdersStored)
                if record is not None:
                    self.orders[key] = record.sent
            elif key == unanswered_starts.KEY:
                self.unanswered_starts = stored_records.decode(
                    key, value, messages.UnansweredStartsStored
                )
            elif key.startswith(records.CRASHES_KEY_PREFIX):
                self._add_crashes(key, value)
            elif key.startswith(record_groups.TASKS_KEY_PREFIX):
                self._add_part(key, value)
            elif submissions.ID_PATTERN.match(key):
                self._add_progress(key, value, divided)
            else:
                # A kind of record that this version does not know.
                _logger.warning("unknown record left as it is", extra={"key": key})
        for job_id, record in divided.items():
            self._join_progress(job_id, record)

    def keys_of_job(self, job_id):
        """Return the keys of all records that belong to a job."""
        crash_key = f"{records.CRASHES_KEY_PREFIX}{job_id}"
        part_keys = [
            record_groups.tasks_key(job_id, number)
            for number in self.task_parts.get(job_id, ())
        ]
        return [
            job_id,
            crash_key,
            *sorted(self.crash_keys.get(job_id, set()) - {crash_key}),
            *part_keys,
        ]

    def prepare_job(self, job):
        """Tell a job of which records about it the store has.

        Parameters
        ----------
        job : model.Job
            Job that was just made from its own record.
        """
        job.stored_task_parts = dict(self.task_parts.get(job.id, {}))
        job.stored_crash_keys = set(self.crash_keys.get(job.id, ()))

    def _add_wave(self, key, value):
        record = stored_records.decode(key, value, messages.WaveStored)
        if record is not None:
            number = int(key.removeprefix(WAVE_KEY_PREFIX))
            self.done_instances_by_wave[number] = set(record.done)

    def _add_crashes(self, key, value):
        record = stored_records.decode(key, value, messages.CrashesStored)
        if record is None:
            return
        job_id, _ = record_groups.parse_part_key(key, records.CRASHES_KEY_PREFIX)
        self.crash_keys[job_id].add(key)
        known = self.crash_records.get(job_id)
        if known is not None:
            known.tasks += record.tasks
            return
        record.job = records.CRASHES_KEY_PREFIX + job_id
        self.crash_records[job_id] = record

    def _add_part(self, key, value):
        job_id, number = record_groups.parse_part_key(
            key, record_groups.TASKS_KEY_PREFIX
        )
        if number is None:
            _logger.warning("unknown record left as it is", extra={"key": key})
            return
        record = stored_records.decode(key, value, messages.TasksStored)
        if record is not None:
            self.task_parts[job_id][number] = record.tasks

    def _add_progress(self, job_id, value, divided):
        if not value:
            return
        record = stored_records.decode(
            job_id, value, (messages.ProgressStored, messages.DividedProgressStored)
        )
        if isinstance(record, messages.DividedProgressStored):
            divided[job_id] = record
        else:
            self.progress[job_id] = record or _unreadable_progress(job_id)

    def _join_progress(self, job_id, record):
        parts = self.task_parts[job_id]
        progress = record_groups.join_progress(record, parts)
        if progress is None:
            missing = sorted(set(record.parts) - parts.keys())
            _logger.error(
                "progress of a job is incomplete",
                extra={"request": job_id, "missing_parts": missing[:20]},
            )
            progress = _unreadable_progress(job_id)
        self.progress[job_id] = progress
        for number in parts.keys() - set(record.parts):
            parts[number] = None


def _unreadable_progress(job_id):
    # Without its progress the job would run again.
    return messages.ProgressStored(
        job=job_id,
        state=model.FAILED,
        done=[],
        tasks=[],
        has_started=True,
        ended_at=time.time(),
    )
