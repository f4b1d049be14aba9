"""Chooses the waiting jobs to start and a worker for each; has no side effects.

Rush jobs go before interactive jobs, and these before batch jobs. Within a class the
desks share the processors in proportion to their weights. Declared sizes and run times
are often wrong, so they are corrected with the measured usage of earlier jobs of the
same desk. ``Sizes`` are a tuple of processors, memory in MiB and accelerators.
"""

import dataclasses
import heapq

CLASS_ORDER = ("rush", "interactive", "batch")
SIZES = ("processors", "memory_mb", "accelerators")
# Limits of the ratio of measured to declared usage. Callers declare up to 4 times too
# much or too little; a single outlier must not move the estimate further than that.
SMALLEST_RATIO = 0.25
LARGEST_RATIO = 4.0
# Weight of the newest job in the exponential moving average of a ratio.
RATIO_SMOOTHING = 0.2
# Factor on the average ratio; about half of the jobs use more than the average.
RATIO_HEADROOM = 1.2
# A worker is excluded for a while once this many different jobs have failed there with
# no success between them.
FAILED_JOBS_BEFORE_EXCLUSION = 3
FIRST_EXCLUSION_S = 60.0
LONGEST_EXCLUSION_S = 600.0
# With more excluded, too few workers would be left if the jobs are at fault.
LARGEST_EXCLUDED_FRACTION = 0.5
# A batch job has short slack, and goes before other batch jobs, if its slack is below
# SHORT_SLACK_S or below this fraction of its declared run time.
SHORT_SLACK_FRACTION = 1.0
SHORT_SLACK_S = 600.0
# A desk is skipped for the rest of a run once this many of its jobs found no worker.
UNPLACED_JOBS_PER_DESK = 16
PLACEMENTS_PER_RUN = 1_000
# Allows for rounding when sizes are added and subtracted as floats.
_SIZE_TOLERANCE = 1e-9


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Worker:
    """A worker of the platform's instance list.

    Attributes
    ----------
    name, rack : str
        Names of the worker and of its rack.
    processors : float
        Number of processors.
    memory_mb : float
        Memory in MiB.
    accelerators : float
        Number of accelerators.
    is_usable : bool
        Whether new jobs may start there: it is live, can be reached, has not just
        refused a task and is not excluded.
    """

    name: str
    rack: str = ""
    processors: float = 0.0
    memory_mb: float = 0
    accelerators: float = 0
    is_usable: bool = True

    @property
    def sizes(self):
        """Processors, memory in MiB and accelerators."""
        return (self.processors, self.memory_mb, self.accelerators)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Desk:
    """Weight, quota and usage ratios of a desk.

    Attributes
    ----------
    weight : int
        Weight of the desk when desks share the processors.
    quota : int or None
        Largest number of placed jobs; None for no limit.
    processors_ratio, memory_ratio, runtime_ratio : float
        Expected usage or run time of a job, divided by what the caller declared.
    """

    weight: int = 1
    quota: int | None = None
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    runtime_ratio: float = 1.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Placement:
    """A decision to start a job on a worker.

    Attributes
    ----------
    job : str
        Id of the job.
    worker : str
        Name of the worker.
    preempts : tuple of str
        Ids of the batch jobs to checkpoint and stop on the worker first.
    """

    job: str
    worker: str
    preempts: tuple[str, ...] = ()


class UsageRatios:
    """Moving averages, by desk, of measured divided by declared usage."""

    __slots__ = ("_ratios",)

    def __init__(self):
        # Desk to its ratios of processors, memory and run time.
        self._ratios = {}

    def observe(self, job):
        """Update the ratios of a desk with one of its finished jobs.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Finished job with its measured usage.
        """
        declared = job.accepted
        pairs = (
            (job.processors_used, declared.processors),
            (job.memory_mb_used, declared.memory_mb),
            (job.runtime_s, declared.runtime_s),
        )
        ratios = self._ratios.setdefault(declared.desk, [1.0, 1.0, 1.0])
        for index, (used, declared_size) in enumerate(pairs):
            # The usage is 0 if the job ended before it was measured.
            if used > 0 and declared_size > 0:
                ratio = _clamp_ratio(used / declared_size)
                ratios[index] += RATIO_SMOOTHING * (ratio - ratios[index])

    def desk(self, name, *, weight=1, quota=None):
        """Return a :class:`Desk` with the current ratios of the desk of that name."""
        processors, memory, runtime = self._ratios.get(name, (1.0, 1.0, 1.0))
        return Desk(
            weight=weight,
            quota=quota,
            processors_ratio=_clamp_ratio(processors * RATIO_HEADROOM),
            memory_ratio=_clamp_ratio(memory * RATIO_HEADROOM),
            runtime_ratio=runtime,
        )


class WorkerFailures:
    """Excludes workers on which different jobs failed one after the other.

    The first exclusion lasts for ``FIRST_EXCLUSION_S``; each further one lasts twice as
    long, up to ``LONGEST_EXCLUSION_S``, until a job succeeds on the worker.
    """

    __slots__ = ("_excluded_until", "_failed_jobs", "_next_exclusion_s")

    def __init__(self):
        # Worker to the jobs that failed there since the last success or exclusion.
        self._failed_jobs = {}
        # Worker to the duration of its next exclusion.
        self._next_exclusion_s = {}
        # Worker to the monotonic time at which its exclusion ends.
        self._excluded_until = {}

    def record_failure(self, worker, job, now):
        """Count a failed attempt; repeated failures of the same job count once."""
        failed_jobs = self._failed_jobs.setdefault(worker, set())
        failed_jobs.add(job)
        if len(failed_jobs) < FAILED_JOBS_BEFORE_EXCLUSION:
            return
        failed_jobs.clear()
        duration_s = self._next_exclusion_s.get(worker, FIRST_EXCLUSION_S)
        self._excluded_until[worker] = now + duration_s
        self._next_exclusion_s[worker] = min(2 * duration_s, LONGEST_EXCLUSION_S)

    def record_success(self, worker):
        """Reset the failures and exclusions of a worker on which a job finished."""
        for entries in (
            self._failed_jobs,
            self._next_exclusion_s,
            self._excluded_until,
        ):
            entries.pop(worker, None)

    def excluded(self, workers, now):
        """Return the set of excluded workers among the given ones, at most half.

        If more are excluded, those whose exclusion ends last stay excluded.
        """
        until = [(self._excluded_until.get(name, now), name) for name in workers]
        limit = int(len(until) * LARGEST_EXCLUDED_FRACTION)
        excluded_now = sorted(
            (entry for entry in until if entry[0] > now), reverse=True
        )
        return {name for _, name in excluded_now[:limit]}


def _clamp_ratio(ratio):
    return min(LARGEST_RATIO, max(SMALLEST_RATIO, ratio))


def declared_sizes(job):
    """Return the sizes that the caller declared for a job."""
    accepted = job.accepted
    return (accepted.processors, accepted.memory_mb, accepted.accelerators)


def expected_sizes(job, desk):
    """Return the declared sizes of a job, corrected by the ratios of its desk."""
    processors, memory, accelerators = declared_sizes(job)
    return (
        processors * desk.processors_ratio,
        memory * desk.memory_ratio,
        accelerators,
    )


def is_impossible(sizes, workers):
    """Return whether no worker is large enough; False while no worker is known."""
    return bool(workers) and not any(_fits(sizes, worker.sizes) for worker in workers)


def slack_s(job, desk, now):
    """Return how long a job can wait and still meet its deadline.

    Parameters
    ----------
    job : cranberryport.state.jobs.Job
        Job with or without a deadline.
    desk : Desk
        Desk of the job, whose ratio corrects the declared run time.
    now : float
        Unix time in seconds.

    Returns
    -------
    float
        Seconds; infinite without a deadline, negative if the deadline will be missed.
    """
    accepted = job.accepted
    if not accepted.deadline:
        return float("inf")
    return accepted.deadline - now - accepted.runtime_s * desk.runtime_ratio


def _fits(sizes, limits):
    return all(
        size <= limit + _SIZE_TOLERANCE
        for size, limit in zip(sizes, limits, strict=True)
    )


class _Candidate:
    """A worker during a placement run, with its free sizes.

    Parameters
    ----------
    worker : Worker
        The worker; all its sizes are free at first.
    is_measured : bool
        Whether the usage of its tasks has been measured.
    """

    __slots__ = ("batch", "free", "is_measured", "is_reserved", "worker")

    def __init__(self, *, worker, is_measured):
        self.worker = worker
        self.free = worker.sizes
        self.is_measured = is_measured
        # A reserved worker gets no more jobs in this run.
        self.is_reserved = False
        # Placed batch jobs, which a rush job can preempt, each with its sizes.
        self.batch = []

    def estimate(self, job, desk, measured=None):
        """Return the sizes to allocate for a job on this worker.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Waiting or placed job.
        desk : Desk
            Desk of the job.
        measured : tuple or None
            Measured sizes of the job's running task.
        """
        corrected = expected_sizes(job, desk)
        # The estimate must not exceed the worker: a job whose declared sizes fit would
        # never start if its desk usually needs more than it declares.
        total = self.worker.sizes
        corrected = tuple(map(min, corrected, map(max, total, declared_sizes(job))))
        if not self.is_measured:
            # A smaller estimate is only safe if a measurement can correct it.
            return tuple(map(max, corrected, declared_sizes(job)))
        if measured is None:
            return corrected
        return tuple(map(max, corrected, measured))

    def allocate(self, sizes):
        self.free = tuple(
            free - size for free, size in zip(self.free, sizes, strict=True)
        )

    def release(self, sizes):
        self.free = tuple(
            free + size for free, size in zip(self.free, sizes, strict=True)
        )


class _PlacementRun:
    """One call of :func:`place`; ``result`` holds the placements afterwards."""

    def __init__(self, *, jobs, workers, usage, desks, now):
        self._desks = desks
        self._now = now
        self._usage = usage
        self._candidates = {
            worker.name: _Candidate(worker=worker, is_measured=worker.name in usage)
            for worker in workers
        }
        self._candidates_by_rack = {}
        for candidate in self._candidates.values():
            if candidate.worker.is_usable:
                self._candidates_by_rack.setdefault(candidate.worker.rack, []).append(
                    candidate
                )
        # Numbers of placed jobs by rack, by desk and rack, and by desk, and expected
        # processors of the placed jobs by desk.
        self._jobs_by_rack = dict.fromkeys(self._candidates_by_rack, 0)
        self._jobs_by_desk_and_rack = {}
        self._jobs_by_desk = {}
        self._processors_by_desk = {}
        # Expected and declared sizes of the jobs of this class that found no worker.
        self._unplaceable_sizes = []
        # Request class to desk to its waiting jobs in order of acceptance.
        self._waiting_by_class = {name: {} for name in CLASS_ORDER}
        self.result = []
        placed = [job for job in jobs if job.state == "placed"]
        for job in placed:
            self._account_for_placed_job(job)
        self._allocate_unplaced_tasks(
            {(job.worker, job.accepted.job) for job in placed}
        )
        for job in jobs:
            if job.state == "waiting":
                queues = self._waiting_by_class[job.accepted.request_class]
                queues.setdefault(job.accepted.desk, []).append(job)

    def _desk(self, name):
        return self._desks.get(name) or Desk()

    def _measured_sizes(self, worker, job):
        task = self._usage.get(worker, {}).get(job)
        return None if task is None else tuple(task.get(name, 0) for name in SIZES)

    def _account_for_placed_job(self, job):
        candidate = self._candidates.get(job.worker)
        desk = self._desk(job.accepted.desk)
        sizes = expected_sizes(job, desk)
        if candidate is not None:
            measured = self._measured_sizes(job.worker, job.accepted.job)
            sizes = candidate.estimate(job, desk, measured)
            candidate.allocate(sizes)
            if job.accepted.request_class == "batch":
                candidate.batch.append((job, sizes))
        self._count_for_desk(job, candidate, sizes)

    def _count_for_desk(self, job, candidate, sizes):
        name = job.accepted.desk
        self._jobs_by_desk[name] = self._jobs_by_desk.get(name, 0) + 1
        self._processors_by_desk[name] = (
            self._processors_by_desk.get(name, 0.0) + sizes[0]
        )
        if candidate is not None and candidate.worker.rack in self._jobs_by_rack:
            rack = candidate.worker.rack
            self._jobs_by_rack[rack] += 1
            racks = self._jobs_by_desk_and_rack.setdefault(name, {})
            racks[rack] = racks.get(rack, 0) + 1

    def _allocate_unplaced_tasks(self, placed):
        """Allocate sizes for running tasks whose job is not placed on the worker.

        An example is the task of a cancelled job that the worker has not yet stopped.
        """
        for name, tasks in self._usage.items():
            candidate = self._candidates.get(name)
            for job in tasks:
                if candidate is not None and (name, job) not in placed:
                    candidate.allocate(self._measured_sizes(name, job))

    def run(self):
        for request_class in CLASS_ORDER:
            self._unplaceable_sizes = []
            self._place_class(request_class, self._waiting_by_class[request_class])

    def _place_class(self, request_class, queues):
        """Place one job at a time, of the desk with the lowest weighted usage."""
        for name, queue in queues.items():
            if request_class == "batch":
                queue.sort(key=self._batch_order)
            queue.reverse()
            queues[name] = queue
        unplaced = dict.fromkeys(queues, 0)
        heap = [(self._weighted_processors(name), name) for name in queues]
        heapq.heapify(heap)
        has_reservation = False
        while heap and len(self.result) < PLACEMENTS_PER_RUN:
            _, name = heapq.heappop(heap)
            quota = self._desk(name).quota
            if quota is not None and self._jobs_by_desk.get(name, 0) >= quota:
                continue
            job = queues[name].pop()
            if not self._place_job(job):
                unplaced[name] += 1
                if not has_reservation:
                    has_reservation = self._reserve_worker(job)
            if queues[name] and unplaced[name] < UNPLACED_JOBS_PER_DESK:
                heapq.heappush(heap, (self._weighted_processors(name), name))

    def _weighted_processors(self, name):
        return self._processors_by_desk.get(name, 0.0) / max(1, self._desk(name).weight)

    def _batch_order(self, job):
        desk = self._desk(job.accepted.desk)
        slack = slack_s(job, desk, self._now)
        limit = max(SHORT_SLACK_S, SHORT_SLACK_FRACTION * job.accepted.runtime_s)
        # A job whose deadline has passed must not delay others past theirs.
        if job.accepted.deadline - self._now > 0 and slack < limit:
            return (0, slack)
        return (1, job.offset)

    def _place_job(self, job):
        desk = self._desk(job.accepted.desk)
        sizes = expected_sizes(job, desk) + declared_sizes(job)
        if not job.failed_workers and self._is_known_unplaceable(sizes):
            return False
        candidate = self._find_worker(job)
        if candidate is not None:
            self._assign(job, candidate, ())
            return True
        if job.accepted.request_class == "rush" and self._place_by_preemption(job):
            return True
        # A job that failed on some workers may not run there again, so that it says
        # nothing about other jobs of its sizes.
        if not job.failed_workers:
            self._unplaceable_sizes.append(sizes)
        return False

    def _is_known_unplaceable(self, sizes):
        return any(_fits(known, sizes) for known in self._unplaceable_sizes)

    def _find_worker(self, job):
        """Return the worker with the best fit, or None.

        Racks with the fewest jobs of the desk come first, then racks with the fewest
        jobs. In the first rack where the job fits, the worker is chosen on which the
        fewest processors stay free.
        """
        desk = self._desk(job.accepted.desk)
        own = self._jobs_by_desk_and_rack.get(job.accepted.desk, {})
        order = sorted(
            self._candidates_by_rack,
            key=lambda rack: (own.get(rack, 0), self._jobs_by_rack[rack]),
        )
        for rack in order:
            best = None
            for candidate in self._candidates_by_rack[rack]:
                if not self._is_allowed(job, candidate):
                    continue
                sizes = candidate.estimate(job, desk)
                if _fits(sizes, candidate.free):
                    left = candidate.free[0] - sizes[0]
                    if best is None or left < best[0]:
                        best = (left, candidate)
            if best is not None:
                return best[1]
        return None

    @staticmethod
    def _is_allowed(job, candidate):
        if candidate.is_reserved or candidate.worker.name in job.failed_workers:
            return False
        return _fits(declared_sizes(job), candidate.worker.sizes)

    def _assign(self, job, candidate, preempts):
        sizes = candidate.estimate(job, self._desk(job.accepted.desk))
        candidate.allocate(sizes)
        self._count_for_desk(job, candidate, sizes)
        self.result.append(
            Placement(
                job=job.accepted.job, worker=candidate.worker.name, preempts=preempts
            )
        )

    def _reserve_worker(self, job):
        """Reserve a worker for the first job of a class that found none.

        The worker with the most free processors gets no more jobs in this run. Without
        this, small jobs would use its free processors before they suffice for a large
        job.

        Returns
        -------
        bool
            Whether a worker was reserved.
        """
        allowed = [
            candidate
            for candidates in self._candidates_by_rack.values()
            for candidate in candidates
            if self._is_allowed(job, candidate)
        ]
        if not allowed:
            return False
        max(allowed, key=lambda candidate: candidate.free[0]).is_reserved = True
        return True

    def _place_by_preemption(self, job):
        """Place a rush job on the worker where it preempts the fewest batch jobs.

        Returns
        -------
        bool
            Whether the job was placed.
        """
        desk = self._desk(job.accepted.desk)
        best = None
        for candidates in self._candidates_by_rack.values():
            for candidate in candidates:
                if not self._is_allowed(job, candidate):
                    continue
                victims = self._choose_victims(candidate, candidate.estimate(job, desk))
                if victims and (best is None or len(victims) < len(best[1])):
                    best = (candidate, victims)
        if best is None:
            return False
        candidate, victims = best
        for entry in victims:
            candidate.release(entry[1])
            candidate.batch.remove(entry)
        names = tuple(entry[0].accepted.job for entry in victims)
        self._assign(job, candidate, names)
        return True

    def _choose_victims(self, candidate, sizes):
        """Return the batch jobs to preempt so that the sizes fit.

        Jobs with the most slack are chosen first. The list is empty if the sizes do not
        fit without any of the batch jobs.
        """
        chosen, free = [], candidate.free
        for entry in sorted(candidate.batch, key=self._victim_order):
            chosen.append(entry)
            free = tuple(map(sum, zip(free, entry[1], strict=True)))
            if _fits(sizes, free):
                return chosen
        return []

    def _victim_order(self, entry):
        job = entry[0]
        desk = self._desk(job.accepted.desk)
        return (-slack_s(job, desk, self._now), -job.offset)


def place(jobs, workers, *, usage, desks, now):
    """Choose the jobs to start now and a worker for each.

    Parameters
    ----------
    jobs : iterable of cranberryport.state.jobs.Job
        Waiting and placed jobs in order of acceptance.
    workers : iterable of Worker
        All listed workers.
    usage : dict
        Name of a worker to the id of a running task to its measured ``processors``,
        ``memory_mb`` and ``accelerators``. Workers without a measurement are left out.
    desks : dict of str to Desk
        Desks by name; a desk that is not included has the default values.
    now : float
        Unix time in seconds.

    Returns
    -------
    list of Placement
        By class; within a class in weighted fair order of the desks. A job occurs at
        most once.
    """
    run = _PlacementRun(
        jobs=list(jobs), workers=workers, usage=usage, desks=desks, now=now
    )
    run.run()
    return run.result
