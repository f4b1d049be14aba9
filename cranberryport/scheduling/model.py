"""Jobs, their steps and tasks, and the runs of tasks.

A job consists of steps that may depend on earlier ones, and a step of equal tasks.
Each occurrence of a job executes all its steps once. Each start of a task on an
executor is a run.
"""

ACCEPTED = "accepted"
ACTIVE = "active"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ENDED_STATES = frozenset({COMPLETED, FAILED, CANCELLED})

PLANNED = "planned"
ORDERED = "ordered"
RUNNING = "running"
STOPPING = "stopping"


class Step:
    """Requirements and properties that all tasks of a step share.

    Parameters
    ----------
    count : int
        Number of tasks.
    processors : int
        Thousandths of a core that a task needs.
    memory : int
        Mebibytes that a task needs.
    accelerators : int
        Number of accelerators that a task needs.
    estimate_s : float
        Declared run time of a task in seconds; often far off.
    depends_on : tuple of int
        Numbers of the earlier steps that must be completed before this one starts.
    saves_checkpoints : bool
        Whether a task saves checkpoints from which another run can continue.
    is_gang : bool
        Whether all tasks of the step have to run at the same time.
    is_coupled : bool
        Whether the tasks are tightly coupled and should share a rack.
    may_copy : bool
        Whether a second run of a task may be started while the first one goes on.
    is_lasting : bool
        Whether the tasks are long-running: they run until the job is cancelled. They
        are also called serving tasks, as they serve once they have started up. The
        attribute has the name of the stored field.
    is_filling : bool
        Whether the tasks are best-effort: they use only processors that are idle, so
        none are subtracted from the free ones. The attribute has the name of the stored
        field.
    label : str
        Label (kind or rack) that an executor must have; empty for none.
    rack : str
        Rack that holds the input data; empty for none.
    spread : int
        Limit of the tasks of the step on one executor; 0 for no limit.
    image : str
        Name of the image that a task runs. Tasks with the same image behave alike, but
        no decision uses this.
    tail_target_ms : float
        Bound on the tail latency of a serving task in milliseconds; 0 for none.
    max_unavailable : int or None
        Number of tasks of the step that may be unavailable at once because they are
        moved or their executor is taken down; None for no limit.
    """

    __slots__ = (
        "accelerators",
        "count",
        "depends_on",
        "estimate_s",
        "image",
        "is_coupled",
        "is_filling",
        "is_gang",
        "is_lasting",
        "label",
        "max_unavailable",
        "may_copy",
        "memory",
        "processors",
        "rack",
        "saves_checkpoints",
        "spread",
        "tail_target_ms",
    )

    def __init__(
        self,
        *,
        count,
        processors=0,
        memory=0,
        accelerators=0,
        estimate_s=0.0,
        depends_on=(),
        saves_checkpoints=False,
        is_gang=False,
        is_coupled=False,
        may_copy=False,
        is_lasting=False,
        is_filling=False,
        label="",
        rack="",
        spread=0,
        image="",
        tail_target_ms=0.0,
        max_unavailable=None,
    ):
        self.count = count
        self.processors = processors
        self.memory = memory
        self.accelerators = accelerators
        self.estimate_s = estimate_s
        self.depends_on = tuple(depends_on)
        self.saves_checkpoints = saves_checkpoints
        self.is_gang = is_gang
        self.is_coupled = is_coupled
        self.may_copy = may_copy
        self.is_lasting = is_lasting
        self.is_filling = is_filling
        self.label = label
        self.rack = rack
        self.spread = spread
        self.image = image
        self.tail_target_ms = tail_target_ms
        self.max_unavailable = max_unavailable


class Run:
    """One start of a task on one executor.

    Parameters
    ----------
    task : Task
        Task that runs.
    number : int
        Number of the start within the task, from 1; members of a gang share it.
    executor : str
        Id of the executor.
    state : {'planned', 'ordered', 'running', 'stopping'}
        A planned run is not stored yet. An ordered run is stored, and the order to
        start it is sent until the executor confirms it; then the run is running. A run
        is stopping from the decision to stop it until its end is listed.

    Attributes
    ----------
    confirmed_at : float or None
        Monotonic time at which the executor first confirmed the start, or a stop of a
        run whose start it had not confirmed.
    ordered_at : float or None
        Monotonic time at which the start was stored and could be sent; None for a run
        that a previous controller started.
    start_sent_at : float or None
        Monotonic time at which the start was last sent, or at which a previous
        controller may last have sent it; None if it was not sent.
    start_ended_at : float or None
        Monotonic time at which the last attempt to send the start had an answer or was
        withdrawn; None while one is under way, or if there was none.
    start_expires_at : float or None
        Monotonic time after which an unanswered start is not carried out any more;
        None for a run that a previous controller started.
    has_unanswered_start : bool
        Whether an attempt to send the start had no response, or one of another life of
        the executor, and may have been or still be carried out. For a run that a
        previous controller started it is True unless that controller has stored that
        all attempts were answered.
    is_start_recorded : bool
        Whether the stored record of unanswered starts covers the run, see
        :mod:`unanswered_starts`; False if an earlier version has stored the run.
    is_start_withdrawn : bool
        Whether the start is not sent again, as the executor has restarted since.
    life : int or None
        Life of the executor for which the run was ordered, or in which it was listed;
        None for a run that a previous controller started.
    begun_in_life : int or None
        Life of the executor in which the run has certainly begun; None if not known.
    counts_in_crash : bool
        Whether a crash of its executor counts for the run. It counts in no further one,
        unless a later life lists the run.
    deadline_ms : int or None
        Deadline sent with the start, on the executor's clock.
    stop_sent_at : float or None
        Monotonic time at which a stop was last sent.
    checkpoint : str
        Newest checkpoint; empty for none.
    progress_percent : int
        Listed progress; 100 for a long-running task that serves.
    progressed_at : float or None
        Monotonic time at which the start was confirmed or, later, the listed progress
        last changed.
    percent_per_s : float or None
        Rate of progress; None until two lists have shown progress.
    pace : int or None
        Percentage of its full speed at which a best-effort task may run; None for a run
        that a previous controller started, until its pace is set anew.
    reported_load : float
        For a serving task its tail latency in milliseconds, for others the processors
        in use, in thousandths of a core.
    ticket : str
        Proof that the advice service permits this start; empty if none is needed.
    remote_factor : float or None
        Factor by which the run takes longer because it is away from its data or from
        the other tasks of its step; 1 for a local run. None for a run that a previous
        controller started, until it is worked out again.
    """

    __slots__ = (
        "begun_in_life",
        "checkpoint",
        "confirmed_at",
        "counts_in_crash",
        "deadline_ms",
        "executor",
        "has_unanswered_start",
        "is_start_recorded",
        "is_start_withdrawn",
        "life",
        "number",
        "ordered_at",
        "pace",
        "percent_per_s",
        "progress_percent",
        "progressed_at",
        "remote_factor",
        "reported_load",
        "start_ended_at",
        "start_expires_at",
        "start_sent_at",
        "state",
        "stop_sent_at",
        "task",
        "ticket",
    )

    def __init__(self, *, task, number, executor, state=PLANNED):
        self.task = task
        self.number = number
        self.executor = executor
        self.state = state
        self.confirmed_at = None
        self.ordered_at = None
        self.start_expires_at = None
        self.start_sent_at = None
        self.start_ended_at = None
        self.has_unanswered_start = False
        self.is_start_recorded = True
        self.is_start_withdrawn = False
        self.life = None
        self.begun_in_life = None
        self.counts_in_crash = False
        self.deadline_ms = None
        self.stop_sent_at = None
        self.checkpoint = ""
        self.progress_percent = 0
        self.progressed_at = None
        self.percent_per_s = None
        self.pace = 100
        self.reported_load = 0
        self.ticket = ""
        self.remote_factor = None

    @property
    def is_start_answered(self):
        """Whether all attempts to send the start had an answer, and none will follow.

        So no executor carries the start out any more. The life of the executor that has
        answered may have ended since.
        """
        if self.state == PLANNED or self.has_unanswered_start:
            return False
        if self.ordered_at is None:
            # A previous controller has sent it.
            return True
        return self.start_ended_at is not None and self.confirmed_at is not None

    def mark_unknown(self):
        """Record that it is not known whether the run goes on; a list may show it."""
        if self.state == RUNNING:
            self.state = ORDERED


class Task:
    """One task of one occurrence of a job.

    Parameters
    ----------
    occurrence : Occurrence
        Occurrence that the task belongs to.
    step_number : int
        Number of the step in the job.
    index : int
        Number of the task within the step.

    Attributes
    ----------
    name : str
        Name of the task in messages to executors.
    step : Step
        Requirements and properties of the task.
    next_run_number : int
        Number of the next run.
    failed_run_count : int
        Number of runs that failed; members of a gang share the largest number.
    last_failed_run : int
        Number of the last run of a gang that counts as failed, for each of its members;
        0 for none and for other tasks.
    is_done : bool
        Whether the task is completed.
    replacements : int
        Number of times that a slow run was stopped, or a second one was started, to
        run the task elsewhere.
    checkpoint : str
        Newest checkpoint of the runs that have ended; empty for none.
    last_run_s : float or None
        Seconds from the order to the listed end of the run that completed the task;
        None if not known.
    runs : list of Run
        Runs that are planned or may be in progress.
    avoided_executors : tuple of str
        Executors on which the task failed or was stopped lately.
    crash_history : crashes.CrashHistory or None
        Crashes of executors under the task; None if there was none since its last
        proven run.
    place_wait : place_waits.PlaceWait or None
        Its wait for a local place; None if this controller has begun none.
    retry_at : float
        Monotonic time before which the task is not started again.
    """

    __slots__ = (
        "avoided_executors",
        "checkpoint",
        "crash_history",
        "failed_run_count",
        "index",
        "is_done",
        "last_failed_run",
        "last_run_s",
        "name",
        "next_run_number",
        "occurrence",
        "place_wait",
        "replacements",
        "retry_at",
        "runs",
        "step",
        "step_number",
    )

    def __init__(self, *, occurrence, step_number, index):
        self.occurrence = occurrence
        self.step_number = step_number
        # Stored because each decision reads it for every run.
        self.step = occurrence.job.steps[step_number]
        self.index = index
        self.name = f"{self.step_name}.{index}"
        self.next_run_number = 1
        self.failed_run_count = 0
        self.last_failed_run = 0
        self.is_done = False
        self.replacements = 0
        self.checkpoint = ""
        self.last_run_s = None
        self.runs = []
        self.avoided_executors = ()
        self.crash_history = None
        self.place_wait = None
        self.retry_at = 0.0

    @property
    def job(self):
        """Job that the task belongs to."""
        return self.occurrence.job

    @property
    def step_name(self):
        """Name of the step for the advice service: job id, occurrence, step number."""
        occurrence = self.occurrence
        return f"{occurrence.job.id}.{occurrence.number}.{self.step_number}"


class Occurrence:
    """One execution of all steps of a job.

    Parameters
    ----------
    job : Job
        Job that is executed.
    number : int
        Number of the occurrence, from 0; a job that does not recur has only number 0.
    due_at : float
        Unix time in seconds before which no task starts.

    Attributes
    ----------
    tasks : list of list of Task
        Tasks by step.
    remaining_counts : list of int
        Number of tasks that are not completed, by step.
    ready_steps : set of int
        Uncompleted steps whose dependencies are completed.
    """

    __slots__ = (
        "_remaining_cache",
        "_remote_factors",
        "_step_ended_at",
        "due_at",
        "job",
        "number",
        "ready_steps",
        "remaining_counts",
        "tasks",
    )

    def __init__(self, *, job, number, due_at):
        self._remaining_cache = None
        # Only for steps with remote runs, by number.
        self._remote_factors = {}
        # Unix time of the end of steps under this controller, by number.
        self._step_ended_at = {}
        self.job = job
        self.number = number
        self.due_at = due_at
        self.tasks = [
            [Task(occurrence=self, step_number=s, index=i) for i in range(step.count)]
            for s, step in enumerate(job.steps)
        ]
        self.remaining_counts = [step.count for step in job.steps]
        self.ready_steps = set()

    @property
    def is_done(self):
        """Whether every task is completed."""
        return not any(self.remaining_counts)

    @property
    def remaining_critical_path_s(self):
        """Seconds of the critical path through the uncompleted steps.

        The declared times, multiplied by the factor of a step's remote runs.
        """
        return self._remaining()[0]

    @property
    def remaining_core_s(self):
        """Declared core-seconds of the uncompleted tasks."""
        return self._remaining()[1]

    def _remaining(self):
        # Every decision reads the values, which change only when a task is completed.
        if self._remaining_cache is None:
            steps = list(zip(self.job.steps, self.remaining_counts, strict=True))
            factors = self._remote_factors
            critical_path_s = _critical_path_s(
                (
                    step.depends_on,
                    step.estimate_s * factors.get(number, 1.0) if count else 0.0,
                )
                for number, (step, count) in enumerate(steps)
            )
            core_s = sum(
                count * step.processors * step.estimate_s / 1000
                for step, count in steps
            )
            self._remaining_cache = critical_path_s, core_s
        return self._remaining_cache

    def mark_task_done(self, number, now_unix_s):
        """Count a task of the step with this number as completed."""
        self.remaining_counts[number] -= 1
        self._remaining_cache = None
        if not self.remaining_counts[number]:
            self._step_ended_at[number] = now_unix_s

    def raise_remote_factor(self, number, factor):
        """Take the factor of a further run of a step into the remaining critical path.

        Unlike :meth:`update_remote_factor` it does not read the other runs.
        """
        if factor > self._remote_factors.get(number, 1.0):
            self._remote_factors[number] = factor
            self._remaining_cache = None

    def update_remote_factor(self, number):
        """Take the largest factor of a step's runs into the remaining critical path."""
        factor = max(
            (
                run.remote_factor or 1.0
                for task in self.tasks[number]
                for run in task.runs
            ),
            default=1.0,
        )
        if factor != self._remote_factors.get(number, 1.0):
            self._remote_factors[number] = factor
            self._remaining_cache = None

    def ready_since(self, number):
        """Return the Unix time since which a step is ready.

        The ends of steps that a previous controller has seen are not known. Then the
        time is earlier than the true one, so that no wait is begun anew.
        """
        ended_at = self._step_ended_at
        depends_on = self.job.steps[number].depends_on
        began_at = max(self.job.accepted_at, self.due_at)
        return max(began_at, *(ended_at.get(d, 0.0) for d in depends_on), 0.0)

    def are_dependencies_done(self, number):
        """Return whether the steps that a step depends on are completed."""
        return all(
            self.remaining_counts[d] == 0 for d in self.job.steps[number].depends_on
        )

    def recount_remaining(self):
        """Count the uncompleted tasks after a change that bypassed the counters."""
        self.remaining_counts = [
            sum(not task.is_done for task in tasks) for tasks in self.tasks
        ]
        self._remaining_cache = None


class Job:
    """An accepted job.

    Parameters
    ----------
    id : str
        Id that the caller chose.
    queue : str
        Name of the queue.
    service : str
        Service whose executors run the tasks; also the name of their pool.
    spec : str
        Description of the work, passed to executors unchanged.
    steps : list of Step
        Steps in order.
    accepted_at : float
        Unix time in seconds.
    first_due_at : float
        Unix time in seconds from which the first occurrence may start; 0 for at once.
    interval_s : float
        Seconds from one occurrence to the next.
    repeats : int
        Number of occurrences; 0 for a job that does not recur.
    failed_runs_limit : int
        Number of failed runs of a task after which the job fails, as configured for
        its queue when it was accepted. Used if the queue was removed from the
        configuration since then.
    organisation : str, default=""
        Name of the organisation that submitted it; empty for none.

    Attributes
    ----------
    state, stored_state : str
        Present state, and the state in the newest stored record.
    occurrences : dict of int to Occurrence
        Occurrences that are in progress, by number.
    done_occurrences : set of int
        Numbers of the completed occurrences.
    ended_at : float or None
        Unix time in seconds at which the job ended.
    has_started : bool
        Whether a run of any task is known to have started. A planned run, or an order
        that an executor refuses, is no start.
    stored_crash_keys : set of str
        Keys of the records that the store has of the crashes under its tasks.
    stored_task_parts : dict of int to (list or None)
        Tasks in each part of its progress that the store has, see
        :mod:`record_groups`; None for a part whose content is not in use. Empty for a
        job whose progress is one record.
    critical_path_s : float
        Declared seconds of the longest chain of dependent steps.
    """

    __slots__ = (
        "accepted_at",
        "failed_runs_limit",
        "cancel_requested",
        "critical_path_s",
        "done_occurrences",
        "ended_at",
        "first_due_at",
        "has_started",
        "id",
        "interval_s",
        "is_cancelled",
        "is_dirty",
        "occurrences",
        "organisation",
        "queue",
        "repeats",
        "service",
        "spec",
        "state",
        "steps",
        "stored_crash_keys",
        "stored_state",
        "stored_task_parts",
    )

    def __init__(
        self,
        *,
        id,
        queue,
        service,
        spec,
        steps,
        accepted_at,
        first_due_at=0.0,
        interval_s=0.0,
        repeats=0,
        failed_runs_limit=0,
        organisation="",
    ):
        self.id = id
        self.organisation = organisation
        self.queue = queue
        self.service = service
        self.spec = spec
        self.steps = steps
        self.accepted_at = accepted_at
        self.first_due_at = first_due_at
        self.interval_s = interval_s
        self.repeats = repeats
        self.failed_runs_limit = failed_runs_limit
        self.state = ACCEPTED
        self.stored_state = ACCEPTED
        self.occurrences = {}
        self.done_occurrences = set()
        self.ended_at = None
        self.has_started = False
        self.stored_crash_keys = set()
        self.stored_task_parts = {}
        self.is_dirty = False
        self.cancel_requested = False
        self.is_cancelled = False
        self.critical_path_s = critical_path_s(steps)

    @property
    def occurrence_count(self):
        """Number of occurrences."""
        return max(1, self.repeats)

    @property
    def task_count(self):
        """Number of tasks of an occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def has_ended(self):
        """Whether the job is completed, failed or cancelled."""
        return self.state in ENDED_STATES

    @property
    def is_end_stored(self):
        """Whether the job has ended and the store knows it."""
        return (
            self.has_ended
            and self.ended_at is not None
            and self.stored_state == self.state
        )

    @property
    def reported_state(self):
        """State for callers; an end is reported only once it is stored.

        Otherwise the next controller could run the job again. The record of
        a cancellation is stored separately before this process learns of it.
        """
        if self.state == self.stored_state or self.state in (ACTIVE, CANCELLED):
            return self.state
        return ACTIVE

    def mark_started(self):
        """Record that a run of a task has started."""
        self.has_started = True
        if self.state == ACCEPTED:
            self.state = ACTIVE

    def occurrence_due_at(self, number):
        """Return the Unix time in seconds from which an occurrence may start."""
        return self.first_due_at + number * self.interval_s

    def tasks(self):
        """Yield the tasks of the occurrences that are in progress."""
        for occurrence in self.occurrences.values():
            for tasks in occurrence.tasks:
                yield from tasks


def critical_path_s(steps):
    """Return the declared run time of the longest chain of dependent steps.

    Parameters
    ----------
    steps : list of Step
        Steps in order; each depends only on earlier ones.

    Returns
    -------
    float
        Seconds.
    """
    return _critical_path_s((step.depends_on, step.estimate_s) for step in steps)


def _critical_path_s(steps):
    """Return the critical path of steps given as pairs (dependencies, seconds)."""
    ends = []
    for depends_on, length_s in steps:
        begin = max((ends[d] for d in depends_on if d < len(ends)), default=0.0)
        ends.append(begin + length_s)
    return max(ends, default=0.0)
