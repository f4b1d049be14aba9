"""Which waiting job starts on which worker; pure decisions."""

import dataclasses
import heapq

CLASS_ORDER = ("rush", "interactive", "batch")
SIZES = ("processors", "memory_mb", "accelerators")
# Declared sizes are off by up to 4 in both directions; a single odd job must not move
# the estimate further than that.
SMALLEST_RATIO = 0.25
LARGEST_RATIO = 4.0
# Weight of the newest job in the moving average.
RATIO_SMOOTHING = 0.2
# The mean alone would put about half of the jobs above their estimate.
RATIO_HEADROOM = 1.2
FAILURES_IN_A_ROW = 3
FIRST_AVOIDANCE_S = 60.0
LONGEST_AVOIDANCE_S = 600.0
# More would leave too few workers if the jobs are at fault and not the workers.
LARGEST_AVOIDED_PART = 0.5
# Batch work goes before other batch work when its slack is below this part of its
# expected run time, and at least the number of seconds.
SHORT_SLACK_PART = 1.0
SHORT_SLACK_S = 600.0
# Jobs of one desk that are tried behind one that does not fit.
TRIED_JOBS_OF_DESK = 16
PLACEMENTS_LIMIT = 1_000
_EPSILON = 1e-9


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Worker:
    """A worker as the platform lists it.

    Attributes
    ----------
    name, rack : str
        Names.
    processors : float
        Size, as are ``memory_mb`` and ``accelerators``.
    is_usable : bool
        Whether new jobs may start there: live, not draining and not avoided.
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
    """What placement knows about a desk.

    Attributes
    ----------
    weight : int
        Share of the processors in use.
    quota : int or None
        Jobs at once; None for no limit.
    processors_ratio, memory_ratio, runtime_ratio : float
        Observed by declared.
    """

    weight: int = 1
    quota: int | None = None
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    runtime_ratio: float = 1.0


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Placement:
    """A job to start.

    Attributes
    ----------
    job, worker : str
        Names.
    preempts : tuple of str
        Batch jobs to checkpoint and stop on the worker first.
    """

    job: str
    worker: str
    preempts: tuple[str, ...] = ()


class UsageRatios:
    """Observed by declared sizes and run times of each desk's finished jobs."""

    __slots__ = ("_ratios",)

    def __init__(self):
        self._ratios = {}

    def observe(self, job):
        """Take a finished job into account.

        Parameters
        ----------
        job : cranberryport.state.jobs.Job
            Its measured use is set.
        """
        declared = job.accepted
        pairs = (
            (job.processors_used, declared.processors),
            (job.memory_mb_used, declared.memory_mb),
            (job.runtime_s, declared.runtime_s),
        )
        ratios = self._ratios.setdefault(declared.desk, [1.0, 1.0, 1.0])
        for index, (used, asked) in enumerate(pairs):
            # A job may end before its use was measured.
            if used > 0 and asked > 0:
                ratio = _bounded(used / asked)
                ratios[index] += RATIO_SMOOTHING * (ratio - ratios[index])

    def desk(self, name, *, weight=1, quota=None):
        """Return the :class:`Desk` with its present ratios."""
        processors, memory, runtime = self._ratios.get(name, (1.0, 1.0, 1.0))
        return Desk(
            weight=weight,
            quota=quota,
            processors_ratio=_bounded(processors * RATIO_HEADROOM),
            memory_ratio=_bounded(memory * RATIO_HEADROOM),
            runtime_ratio=runtime,
        )


class WorkerFailures:
    """Workers to avoid because different jobs failed there in a row."""

    __slots__ = ("_avoided", "_durations", "_streaks")

    def __init__(self):
        self._streaks = {}
        self._durations = {}
        self._avoided = {}

    def record_failure(self, worker, job, now):
        """Count a failed attempt."""
        streak = self._streaks.setdefault(worker, set())
        streak.add(job)
        if len(streak) < FAILURES_IN_A_ROW:
            return
        streak.clear()
        duration_s = self._durations.get(worker, FIRST_AVOIDANCE_S)
        self._avoided[worker] = now + duration_s
        self._durations[worker] = min(2 * duration_s, LONGEST_AVOIDANCE_S)

    def record_success(self, worker):
        """Forget the failures before a finished job."""
        for known in (self._streaks, self._durations, self._avoided):
            known.pop(worker, None)

    def excluded(self, workers, now):
        """Return which of some workers to avoid, at most half of them."""
        until = [(self._avoided.get(name, now), name) for name in workers]
        limit = int(len(until) * LARGEST_AVOIDED_PART)
        late = sorted((entry for entry in until if entry[0] > now), reverse=True)
        return {name for _, name in late[:limit]}


def _bounded(ratio):
    return min(LARGEST_RATIO, max(SMALLEST_RATIO, ratio))


def declared_sizes(job):
    """Return processors, memory and accelerators as the caller declared them."""
    accepted = job.accepted
    return (accepted.processors, accepted.memory_mb, accepted.accelerators)


def expected_sizes(job, desk):
    """Return the expected processors, memory and accelerators of a job."""
    processors, memory, accelerators = declared_sizes(job)
    return (
        processors * desk.processors_ratio,
        memory * desk.memory_ratio,
        accelerators,
    )


def is_impossible(sizes, workers):
    """Return whether sizes exceed every worker; False while no worker is known."""
    return bool(workers) and not any(_fits(sizes, worker.sizes) for worker in workers)


def slack_s(job, desk, now):
    """Return the seconds that a job can still wait before its deadline."""
    accepted = job.accepted
    if not accepted.deadline:
        return float("inf")
    return accepted.deadline - now - accepted.runtime_s * desk.runtime_ratio


def _fits(sizes, room):
    return all(size <= free + _EPSILON for size, free in zip(sizes, room, strict=True))


class _Room:
    """A worker while jobs are being placed."""

    __slots__ = ("batch", "free", "is_observed", "is_reserved", "worker")

    def __init__(self, *, worker, is_observed):
        self.worker = worker
        self.free = worker.sizes
        self.is_observed = is_observed
        self.is_reserved = False
        self.batch = []

    def estimate(self, job, desk, observed=None):
        """Return the sizes to count for a job on this worker."""
        corrected = expected_sizes(job, desk)
        # The estimate never exceeds the worker: a job that fits as declared must not
        # wait for ever because its desk uses more than it declares.
        total = self.worker.sizes
        corrected = tuple(map(min, corrected, map(max, total, declared_sizes(job))))
        if not self.is_observed:
            # Without a measurement nothing shows that a smaller estimate is safe.
            return tuple(map(max, corrected, declared_sizes(job)))
        if observed is None:
            return corrected
        return tuple(map(max, corrected, observed))

    def take(self, sizes):
        self.free = tuple(
            free - size for free, size in zip(self.free, sizes, strict=True)
        )

    def give_back(self, sizes):
        self.free = tuple(
            free + size for free, size in zip(self.free, sizes, strict=True)
        )


class _Pass:
    """One run of :func:`place`."""

    def __init__(self, *, jobs, workers, usage, desks, now):
        self._desks = desks
        self._now = now
        self._usage = usage
        self._rooms = {
            worker.name: _Room(worker=worker, is_observed=worker.name in usage)
            for worker in workers
        }
        self._racks = {}
        for room in self._rooms.values():
            if room.worker.is_usable:
                self._racks.setdefault(room.worker.rack, []).append(room)
        self._rack_jobs = dict.fromkeys(self._racks, 0)
        self._desk_racks = {}
        self._running = {}
        self._processors = {}
        self._too_large = []
        self._waiting = {name: {} for name in CLASS_ORDER}
        self.result = []
        placed = [job for job in jobs if job.state == "placed"]
        for job in placed:
            self._count_placed(job)
        self._count_unknown_tasks({(job.worker, job.accepted.job) for job in placed})
        for job in jobs:
            if job.state == "waiting":
                queues = self._waiting[job.accepted.request_class]
                queues.setdefault(job.accepted.desk, []).append(job)

    def _desk(self, name):
        return self._desks.get(name) or Desk()

    def _observed(self, worker, job):
        task = self._usage.get(worker, {}).get(job)
        return None if task is None else tuple(task.get(name, 0) for name in SIZES)

    def _count_placed(self, job):
        room = self._rooms.get(job.worker)
        desk = self._desk(job.accepted.desk)
        sizes = expected_sizes(job, desk)
        if room is not None:
            observed = self._observed(job.worker, job.accepted.job)
            sizes = room.estimate(job, desk, observed)
            room.take(sizes)
            if job.accepted.request_class == "batch":
                room.batch.append((job, sizes))
        self._count(job, room, sizes)

    def _count(self, job, room, sizes):
        name = job.accepted.desk
        self._running[name] = self._running.get(name, 0) + 1
        self._processors[name] = self._processors.get(name, 0.0) + sizes[0]
        if room is not None and room.worker.rack in self._rack_jobs:
            rack = room.worker.rack
            self._rack_jobs[rack] += 1
            racks = self._desk_racks.setdefault(name, {})
            racks[rack] = racks.get(rack, 0) + 1

    def _count_unknown_tasks(self, placed):
        """Take room for tasks that still run although their job is not placed."""
        for name, tasks in self._usage.items():
            room = self._rooms.get(name)
            for job in tasks:
                if room is not None and (name, job) not in placed:
                    room.take(self._observed(name, job))

    def run(self):
        for request_class in CLASS_ORDER:
            self._too_large = []
            self._place_class(request_class, self._waiting[request_class])

    def _place_class(self, request_class, queues):
        """Give room to the desk with the smallest use by weight, job by job."""
        for name, queue in queues.items():
            if request_class == "batch":
                queue.sort(key=self._urgency)
            queue.reverse()
            queues[name] = queue
        misses = dict.fromkeys(queues, 0)
        heap = [(self._weighted_use(name), name) for name in queues]
        heapq.heapify(heap)
        is_held = False
        while heap and len(self.result) < PLACEMENTS_LIMIT:
            _, name = heapq.heappop(heap)
            quota = self._desk(name).quota
            if quota is not None and self._running.get(name, 0) >= quota:
                continue
            job = queues[name].pop()
            if not self._place_job(job):
                misses[name] += 1
                if not is_held:
                    is_held = self._hold_room(job)
            if queues[name] and misses[name] < TRIED_JOBS_OF_DESK:
                heapq.heappush(heap, (self._weighted_use(name), name))

    def _weighted_use(self, name):
        return self._processors.get(name, 0.0) / max(1, self._desk(name).weight)

    def _urgency(self, job):
        desk = self._desk(job.accepted.desk)
        slack = slack_s(job, desk, self._now)
        limit = max(SHORT_SLACK_S, SHORT_SLACK_PART * job.accepted.runtime_s)
        # A job whose deadline has passed must not make others late, too.
        if job.accepted.deadline - self._now > 0 and slack < limit:
            return (0, slack)
        return (1, job.offset)

    def _place_job(self, job):
        desk = self._desk(job.accepted.desk)
        sizes = expected_sizes(job, desk) + declared_sizes(job)
        if not job.failed_workers and self._is_known_too_large(sizes):
            return False
        room = self._find_room(job)
        if room is not None:
            self._assign(job, room, ())
            return True
        if job.accepted.request_class == "rush" and self._preempt(job):
            return True
        if not job.failed_workers:
            self._too_large.append(sizes)
        return False

    def _is_known_too_large(self, sizes):
        return any(_fits(known, sizes) for known in self._too_large)

    def _find_room(self, job):
        """Return the tightest fit in the rack with the fewest jobs of the desk."""
        desk = self._desk(job.accepted.desk)
        own = self._desk_racks.get(job.accepted.desk, {})
        order = sorted(
            self._racks, key=lambda rack: (own.get(rack, 0), self._rack_jobs[rack])
        )
        for rack in order:
            best = None
            for room in self._racks[rack]:
                if not self._is_allowed(job, room):
                    continue
                sizes = room.estimate(job, desk)
                if _fits(sizes, room.free):
                    left = room.free[0] - sizes[0]
                    if best is None or left < best[0]:
                        best = (left, room)
            if best is not None:
                return best[1]
        return None

    @staticmethod
    def _is_allowed(job, room):
        if room.is_reserved or room.worker.name in job.failed_workers:
            return False
        return _fits(declared_sizes(job), room.worker.sizes)

    def _assign(self, job, room, preempts):
        sizes = room.estimate(job, self._desk(job.accepted.desk))
        room.take(sizes)
        self._count(job, room, sizes)
        self.result.append(
            Placement(job=job.accepted.job, worker=room.worker.name, preempts=preempts)
        )

    def _hold_room(self, job):
        """Keep one worker free of later jobs for the first job that found no room.

        Small jobs would otherwise take every gap before it is large enough.
        """
        candidates = [
            room
            for rooms in self._racks.values()
            for room in rooms
            if self._is_allowed(job, room)
        ]
        if not candidates:
            return False
        max(candidates, key=lambda room: room.free[0]).is_reserved = True
        return True

    def _preempt(self, job):
        """Place a rush job where the fewest batch jobs have to make room."""
        desk = self._desk(job.accepted.desk)
        best = None
        for rooms in self._racks.values():
            for room in rooms:
                if not self._is_allowed(job, room):
                    continue
                victims = self._victims(room, room.estimate(job, desk))
                if victims and (best is None or len(victims) < len(best[1])):
                    best = (room, victims)
        if best is None:
            return False
        room, victims = best
        for entry in victims:
            room.give_back(entry[1])
            room.batch.remove(entry)
        names = tuple(entry[0].accepted.job for entry in victims)
        self._assign(job, room, names)
        return True

    def _victims(self, room, sizes):
        """Return batch jobs whose room is enough, those with most slack first."""
        chosen, free = [], room.free
        for entry in sorted(room.batch, key=self._most_slack_first):
            chosen.append(entry)
            free = tuple(map(sum, zip(free, entry[1], strict=True)))
            if _fits(sizes, free):
                return chosen
        return []

    def _most_slack_first(self, entry):
        job = entry[0]
        desk = self._desk(job.accepted.desk)
        return (-slack_s(job, desk, self._now), -job.offset)


def place(jobs, workers, *, usage, desks, now):
    """Return the jobs to start now, in order of importance.

    Parameters
    ----------
    jobs : iterable of cranberryport.state.jobs.Job
        Unfinished jobs in order of acceptance, waiting and placed.
    workers : iterable of Worker
        All listed workers.
    usage : dict
        By worker, the measured ``processors``, ``memory_mb`` and ``accelerators`` of
        each running task by its id; workers without a measurement are left out.
    desks : dict of str to Desk
        Desks that are not listed have the defaults.
    now : float
        Unix time in seconds.

    Returns
    -------
    list of Placement
        Each job at most once; the order within a class is weighted fair over desks.
    """
    run = _Pass(jobs=list(jobs), workers=workers, usage=usage, desks=desks, now=now)
    run.run()
    return run.result
