"""Draws the random faults of one soak run from its seed."""

import random

from soak import proxy

# Least and greatest time between the starts of two faults, and duration of a fault.
# Faults overlap, and the longest ones outlast a takeover of the controller and a lease.
START_INTERVAL_RANGE_S = (0.2, 2.0)
DURATION_RANGE_S = (0.3, 5.0)
# Least and greatest time between the starts of two reductions of a capacity.
SHRINKING_INTERVAL_RANGE_S = (1.0, 4.0)
# The same for entries in the list of executors.
ENTRY_INTERVAL_RANGE_S = (0.5, 3.0)
# The same for restarts of executors that are cut off soon after, and the time for which
# such an executor is dark.
RESTART_INTERVAL_RANGE_S = (3.0, 8.0)
DARK_DURATION_RANGE_S = (0.3, 0.9)
# Whether its connections are reset, or stay open so that nobody notices and calls reach
# its new life; probability of the latter.
RESET, SILENT = "reset", "silent"
SILENT_PROBABILITY = 0.75
# Least and greatest time from the end of the dark time until the cut, and length of the
# cut.
CUT_DELAY_RANGE_S = (-0.3, 0.5)
CUT_DURATION_RANGE_S = (4.0, 9.0)
# Probability that a third of the executors restarts rather than one, and that an entry
# instance is killed around a restart; least and greatest time of the kill after it.
MANY_RESTARTS_PROBABILITY = 0.5
KILL_PROBABILITY = 0.4
KILL_DELAY_RANGE_S = (-0.5, 2.0)
# Least and greatest time between restarts of executors that are down while the
# controller ends, and the time for which they are down: from less to more than their
# entries last without being written.
TAKEOVER_INTERVAL_RANGE_S = (6.0, 12.0)
DOWN_DURATION_RANGE_S = (1.5, 6.0)
# Least and greatest time from their crash until the controller ends, and then until its
# process starts again; a process that is started again may take the role back.
TAKEOVER_DELAY_RANGE_S = (0.02, 0.6)
CONTROLLER_DOWN_RANGE_S = (0.3, 4.0)
# Least and greatest time between two faults that make calls late, and length of these.
LATE_CALLS_INTERVAL_RANGE_S = (1.0, 4.0)
LATE_CALLS_DURATION_RANGE_S = (1.0, 6.0)
# Which calls are late: those that the same life of the executor carries out, or also
# those that its next life does.
ONE_LIFE, ANY_LIFE = "one-life", "any-life"


class Fault:
    """A fault of a plan.

    Parameters
    ----------
    start_s : float
        Start of the fault in seconds after the start of the phase with faults.
    kind : str
        Name of the method of ``soak.faults.Injector`` that starts it.
    duration_s : float
        Time from its start to its end in seconds.
    target : str
        Name of the affected entry instance, or of the affected instance (the first one
        of a wave), or ``entry/service`` for a connection; empty for other kinds.
    detail : str
        Mode of the proxy for a fault of a connection, seed of a malformed entry, which
        calls are late, how a restarted executor ends; empty for other kinds.
    """

    __slots__ = ("detail", "duration_s", "kind", "start_s", "target")

    def __init__(self, *, start_s, kind, duration_s, target="", detail=""):
        self.start_s = start_s
        self.kind = kind
        self.duration_s = duration_s
        self.target = target
        self.detail = detail

    def __str__(self):
        words = (f"{self.start_s:.2f}", self.kind, self.target, self.detail)
        return (
            " ".join(word for word in words if word) + f" for {self.duration_s:.2f} s"
        )


def _draw_starts(generator, seconds, interval_range_s, *, first_range_s=None):
    """Yield the times at which faults of a kind start.

    Each interval is drawn after the faults of the time before it.
    """
    start_s = generator.uniform(*(first_range_s or interval_range_s))
    while start_s < seconds:
        yield start_s
        start_s += generator.uniform(*interval_range_s)


def draw_faults(seed, *, seconds, entries, instances):
    """Return the faults of a run, ordered by their start.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same faults.
    seconds : float
        Length of the phase with faults; every fault ends within it.
    entries, instances : list of str
        Names of the entry instances, and of the instances with executors.
    """
    generator = random.Random(seed)
    faults = []
    for start_s in _draw_starts(generator, seconds, START_INTERVAL_RANGE_S):
        faults.append(_draw_fault(generator, start_s, seconds, entries, instances))
    faults += _draw_shrinkings(seed, seconds, instances)
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_shrinkings(seed, seconds, instances):
    """Return faults that reduce the capacity of executors.

    A generator of their own keeps the other faults of a seed as they were before.
    """
    generator = random.Random(f"shrinkings {seed}")
    faults = []
    for start_s in _draw_starts(generator, seconds, SHRINKING_INTERVAL_RANGE_S):
        fault = Fault(
            start_s=start_s,
            kind="shrink_executor",
            duration_s=min(generator.uniform(*DURATION_RANGE_S), seconds - start_s),
            target=generator.choice(instances),
        )
        faults.append(fault)
    return faults


def draw_entries(seed, *, seconds, instances):
    """Return malformed entries of executors, and announcements of leaving ones.

    A generator of their own keeps the other faults of a seed as they were before.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same entries.
    seconds : float
        Length of the phase with faults.
    instances : list of str
        Names of the instances with executors.
    """
    generator = random.Random(f"entries {seed}")
    faults = []
    for start_s in _draw_starts(generator, seconds, ENTRY_INTERVAL_RANGE_S):
        fault = Fault(
            start_s=start_s,
            kind=generator.choice(("malformed_entry", "drain_executor")),
            duration_s=0.0,
            target=generator.choice(instances),
            detail=str(generator.randrange(1_000_000)),
        )
        faults.append(fault)
    return faults


def draw_restarts(seed, *, seconds, entries, instances):
    """Return restarts of executors under their ids that are cut off soon after.

    A generator of their own keeps the other faults of a seed as they were before.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same faults.
    seconds : float
        Length of the phase with faults; every fault ends within it.
    entries, instances : list of str
        Names of the entry instances, and of the instances with executors.
    """
    generator = random.Random(f"restarts {seed}")
    faults = []

    def add(kind, start_s, duration_s, target, detail=""):
        start_s = min(max(start_s, 0.0), seconds)
        fault = Fault(
            start_s=start_s,
            kind=kind,
            duration_s=min(duration_s, seconds - start_s),
            target=target,
            detail=detail,
        )
        faults.append(fault)

    for start_s in _draw_starts(generator, seconds, RESTART_INTERVAL_RANGE_S):
        count = 1
        if generator.random() < MANY_RESTARTS_PROBABILITY:
            count = max(1, len(instances) // 3)
        dark_s = generator.uniform(*DARK_DURATION_RANGE_S)
        cut_at_s = start_s + dark_s + generator.uniform(*CUT_DELAY_RANGE_S)
        cut_duration_s = generator.uniform(*CUT_DURATION_RANGE_S)
        is_silent = generator.random() < SILENT_PROBABILITY
        ending = SILENT if is_silent else RESET
        for target in generator.sample(instances, count):
            add("restart_dark_executor", start_s, dark_s, target, ending)
            add("cut_executor", cut_at_s, cut_duration_s, target)
        if generator.random() < KILL_PROBABILITY:
            delay_s = generator.uniform(*KILL_DELAY_RANGE_S)
            duration_s = generator.uniform(*DURATION_RANGE_S)
            add("kill_entry", start_s + delay_s, duration_s, generator.choice(entries))
    return faults


def draw_takeovers(seed, *, seconds, instances):
    """Return restarts of executors that are down for seconds as the controller ends.

    A generator of their own keeps the other faults of a seed as they were before.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same faults.
    seconds : float
        Length of the phase with faults; every fault ends within it.
    instances : list of str
        Names of the instances with executors.
    """
    generator = random.Random(f"takeovers {seed}")
    faults = []
    for start_s in _draw_starts(
        generator,
        seconds,
        TAKEOVER_INTERVAL_RANGE_S,
        first_range_s=RESTART_INTERVAL_RANGE_S,
    ):
        down_s = min(generator.uniform(*DOWN_DURATION_RANGE_S), seconds - start_s)
        for target in generator.sample(instances, max(1, len(instances) // 3)):
            fault = Fault(
                start_s=start_s,
                kind="restart_dark_executor",
                duration_s=down_s,
                target=target,
                detail=SILENT,
            )
            faults.append(fault)
        end_s = min(start_s + generator.uniform(*TAKEOVER_DELAY_RANGE_S), seconds)
        controller_down_s = generator.uniform(*CONTROLLER_DOWN_RANGE_S)
        fault = Fault(
            start_s=end_s,
            kind=generator.choice(("kill_controller", "terminate_controller")),
            duration_s=min(controller_down_s, seconds - end_s),
        )
        faults.append(fault)
    return faults


def draw_late_calls(seed, *, seconds, instances, lives):
    """Return faults that make calls to executors late.

    A generator of their own keeps the other faults of a seed as they were before.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same faults.
    seconds : float
        Length of the phase with faults; every fault ends within it.
    instances : list of str
        Names of the instances with executors.
    lives : {'one-life', 'any-life'}
        Which calls are late.
    """
    generator = random.Random(f"late calls {seed}")
    faults = []
    for start_s in _draw_starts(generator, seconds, LATE_CALLS_INTERVAL_RANGE_S):
        duration_s = generator.uniform(*LATE_CALLS_DURATION_RANGE_S)
        fault = Fault(
            start_s=start_s,
            kind="late_calls",
            duration_s=min(duration_s, seconds - start_s),
            target=generator.choice(instances),
            detail=lives,
        )
        faults.append(fault)
    return faults


def _draw_fault(generator, start_s, seconds, entries, instances):
    duration_s = min(generator.uniform(*DURATION_RANGE_S), seconds - start_s)
    kind = generator.choice(
        (
            "connection",
            "connection",
            "kill_entry",
            "terminate_entry",
            "freeze_entry",
            "kill_all_entries",
            "reload_entry",
            "store_down",
            "store_slow",
            "answers_lost",
            "rebalance",
            "expire_history",
            "kill_executor",
            "kill_executor",
            "restart_executor",
            "freeze_executor",
            "wave",
            "configure",
        )
    )
    target, detail = "", ""
    if kind == "connection":
        target = generator.choice(entries) + "/" + generator.choice(("store", "cloud"))
        detail = generator.choice(proxy.MODES[1:])
    elif kind.endswith("_entry"):
        target = generator.choice(entries)
    elif kind.endswith("_executor") or kind == "wave":
        target = generator.choice(instances)
    return Fault(
        start_s=start_s, kind=kind, duration_s=duration_s, target=target, detail=detail
    )
