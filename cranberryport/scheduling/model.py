"""Jobs, their steps and tasks, and the runs of tasks."""

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
    """What all tasks of one step of a job have in common.

    Parameters
    ----------
    count : int
        Number of tasks.
    processors : int
        Thousandths of a core a task needs.
    memory : int
        Mebibytes a task needs.
    accelerators : int
        Accelerators a task needs.
    estimate_s : float
        Declared run time of a task in seconds; often far off.
    depends_on : tuple of int
        Earlier steps whose tasks must all be done first.
    saves_checkpoints, is_gang, is_coupled, may_copy, is_lasting, is_filling : bool
        Whether tasks save their progress, work only together, want one rack, may
        run twice at once, run until cancelled, use only idle processors.
    label : str
        Label that an executor must have; empty for none.
    rack : str
        Rack that holds the data; empty for none.
    spread : int
        Most tasks of the step on one executor; 0 for no limit.
    image : str
        Tasks with the same image behave alike.
    tail_target_ms : float
        Bound on the tail latency of a serving task in milliseconds; 0 for none.
    max_unavailable : int or None
        Tasks of the step that may be away at once by our own actions.
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
        What runs.
    number : int
        Number of the start, from 1.
    executor : str
        Id of the executor.
    state : {'planned', 'ordered', 'running', 'stopping'}
        Planned runs are not stored yet; ordered ones are stored and were sent.
    """

    __slots__ = (
        "confirmed_at",
        "deadline_ms",
        "executor",
        "number",
        "pace",
        "progress_percent",
        "progressed_at",
        "percent_per_s",
        "checkpoint",
        "start_expires_at",
        "state",
        "stop_sent_at",
        "reported_load",
        "task",
        "ticket",
    )

    def __init__(self, *, task, number, executor, state=PLANNED):
        self.task = task
        self.number = number
        self.executor = executor
        self.state = state
        self.confirmed_at = None
        self.start_expires_at = None
        self.deadline_ms = None
        self.stop_sent_at = None
        self.checkpoint = ""
        self.progress_percent = 0
        self.progressed_at = None
        # Progress in percent a second, None until two lists have shown it.
        self.percent_per_s = None
        self.pace = 100
        self.reported_load = 0
        self.ticket = ""


class Task:
    """One task of one occurrence of a job.

    Parameters
    ----------
    occurrence : Occurrence
        Owner.
    step : int
        Number of the step.
    index : int
        Number within the step.

    Attributes
    ----------
    name : str
        Name for executors.
    """

    __slots__ = (
        "avoided_executors",
        "failed_run_count",
        "index",
        "is_done",
        "replacements",
        "name",
        "next_run_number",
        "occurrence",
        "retry_at",
        "runs",
        "checkpoint",
        "step",
        "step_number",
    )

    def __init__(self, *, occurrence, step, index):
        self.occurrence = occurrence
        self.step_number = step
        # Read at every decision for each run, so they are kept.
        self.step = occurrence.job.steps[step]
        self.index = index
        self.name = f"{self.step_name}.{index}"
        self.next_run_number = 1
        self.failed_run_count = 0
        self.is_done = False
        self.replacements = 0
        self.checkpoint = ""
        self.runs = []
        self.avoided_executors = ()
        self.retry_at = 0.0

    @property
    def job(self):
        """Job of the task."""
        return self.occurrence.job

    @property
    def step_name(self):
        """Name of the step in its occurrence for the advice service."""
        occurrence = self.occurrence
        return f"{occurrence.job.id}.{occurrence.number}.{self.step_number}"


class Occurrence:
    """One execution of all steps of a job.

    Parameters
    ----------
    job : Job
        Owner.
    number : int
        From 0; jobs that do not recur have only number 0.
    due : float
        Wall-clock time in seconds before which nothing starts.
    """

    __slots__ = (
        "_left",
        "due_at",
        "job",
        "number",
        "open_steps",
        "remaining",
        "tasks",
    )

    def __init__(self, *, job, number, due_at):
        self._left = None
        self.job = job
        self.number = number
        self.due_at = due_at
        self.tasks = [
            [Task(occurrence=self, step=s, index=i) for i in range(step.count)]
            for s, step in enumerate(job.steps)
        ]
        self.remaining = [step.count for step in job.steps]
        self.open_steps = set()

    @property
    def is_done(self):
        """Whether every task has ended well."""
        return not any(self.remaining)

    @property
    def remaining_critical_path_s(self):
        """Declared seconds of the longest chain that is still to be done."""
        return self._remaining()[0]

    @property
    def remaining_core_s(self):
        """Declared core-seconds that are still to be done."""
        return self._remaining()[1]

    def _remaining(self):
        # Every decision asks for it, and it changes only when a task is done.
        if self._left is None:
            steps = list(zip(self.job.steps, self.remaining, strict=True))
            critical_path_s = _critical_path_s(
                (step.depends_on, step.estimate_s if count else 0.0)
                for step, count in steps
            )
            work = sum(
                count * step.processors * step.estimate_s / 1000
                for step, count in steps
            )
            self._left = critical_path_s, work
        return self._left

    def note_done(self, number):
        """Note that a task of a step is done."""
        self.remaining[number] -= 1
        self._left = None

    def is_step_ready(self, number):
        """Return whether all steps before one are done."""
        return all(self.remaining[d] == 0 for d in self.job.steps[number].depends_on)

    def count_remaining(self):
        """Count the open tasks anew after the tasks were changed."""
        self.remaining = [
            sum(not task.is_done for task in tasks) for tasks in self.tasks
        ]
        self._left = None


class Job:
    """An accepted job.

    Parameters
    ----------
    id : str
        Chosen by the caller.
    queue : str
        Name of the queue.
    service : str
        Service whose executors run it.
    spec : str
        Passed to executors unchanged.
    steps : list of Step
        Steps in order.
    accepted_at : float
        Wall-clock time in seconds.
    first_due, interval_s : float
        When occurrences are due (wall clock); 0 for at once.
    repeats : int
        Number of occurrences; 0 for a job that does not recur.
    attempts : int
        Failed runs of a task after which the job has failed, as its queue said when it
        was accepted; used once the configuration does not have the queue any more.
    """

    __slots__ = (
        "accepted_at",
        "attempts",
        "critical_path_s",
        "cancel_requested",
        "done_occurrences",
        "ended_at",
        "first_due",
        "has_started",
        "id",
        "interval_s",
        "is_cancelled",
        "is_dirty",
        "occurrences",
        "queue",
        "repeats",
        "service",
        "spec",
        "state",
        "steps",
        "stored_state",
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
        first_due=0.0,
        interval_s=0.0,
        repeats=0,
        attempts=0,
    ):
        self.id = id
        self.queue = queue
        self.service = service
        self.spec = spec
        self.steps = steps
        self.accepted_at = accepted_at
        self.first_due = first_due
        self.interval_s = interval_s
        self.repeats = repeats
        self.attempts = attempts
        self.state = ACCEPTED
        self.stored_state = ACCEPTED
        self.occurrences = {}
        self.done_occurrences = set()
        self.ended_at = None
        self.has_started = False
        self.is_dirty = False
        self.cancel_requested = False
        self.is_cancelled = False
        self.critical_path_s = critical_path_s(steps)

    @property
    def occurrence_count(self):
        """Number of executions of the steps."""
        return max(1, self.repeats)

    @property
    def has_ended(self):
        """Whether the final state is reached."""
        return self.state in ENDED_STATES

    @property
    def reported_state(self):
        """State to tell callers; an end is told once a successor would know of it.

        A cancel is stored by itself before it is acknowledged.
        """
        if self.state == self.stored_state or self.state in (ACTIVE, CANCELLED):
            return self.state
        return ACTIVE

    def occurrence_due_at(self, number):
        """Return the wall-clock time from which an occurrence may start."""
        return self.first_due + number * self.interval_s

    def tasks(self):
        """Yield the tasks of the occurrences that are in progress."""
        for occurrence in self.occurrences.values():
            for tasks in occurrence.tasks:
                yield from tasks


def critical_path_s(steps):
    """Return the declared time of the longest chain of dependent steps.

    Parameters
    ----------
    steps : list of Step
        Steps in order; dependencies name earlier ones.

    Returns
    -------
    float
        Seconds.
    """
    return _critical_path_s((step.depends_on, step.estimate_s) for step in steps)


def _critical_path_s(steps):
    """Return the longest chain of pairs of dependencies and seconds."""
    ends = []
    for depends_on, length_s in steps:
        begin = max((ends[d] for d in depends_on if d < len(ends)), default=0.0)
        ends.append(begin + length_s)
    return max(ends, default=0.0)
