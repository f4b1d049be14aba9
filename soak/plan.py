"""Faults of one run, drawn from a seed."""

import random

from soak import proxy

# Least and most seconds between the beginnings of two faults, and of a fault; they
# overlap, and the longest outlasts a takeover and a lease.
GAP_S = (0.2, 2.0)
LENGTH_S = (0.3, 5.0)


class Fault:
    """A fault.

    Parameters
    ----------
    at : float
        Seconds from the begin.
    kind : str
        Name of the method of ``soak.faults.Injector`` that begins it.
    length_s : float
        Seconds until it ends.
    target : str
        What it hits; empty for the store or the operator.
    detail : str
        Variant.
    """

    __slots__ = ("at", "detail", "kind", "length_s", "target")

    def __init__(self, *, at, kind, length_s, target="", detail=""):
        self.at = at
        self.kind = kind
        self.length_s = length_s
        self.target = target
        self.detail = detail

    def __str__(self):
        words = (f"{self.at:.2f}", self.kind, self.target, self.detail)
        return " ".join(word for word in words if word) + f" for {self.length_s:.2f} s"


def draw(seed, *, seconds, entries, instances):
    """Return the faults of a run in order.

    Parameters
    ----------
    seed : int
        Seed; the same one gives the same plan.
    seconds : float
        All faults end before this time.
    entries, instances : list of str
        Names of the entry instances, and of the instances with executors.
    """
    numbers = random.Random(seed)
    faults = []
    at = numbers.uniform(*GAP_S)
    while at < seconds:
        faults.append(_draw_one(numbers, at, seconds, entries, instances))
        at += numbers.uniform(*GAP_S)
    return faults


def _draw_one(numbers, at, seconds, entries, instances):
    length_s = min(numbers.uniform(*LENGTH_S), seconds - at)
    kind = numbers.choice(
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
        target = numbers.choice(entries) + "/" + numbers.choice(("store", "cloud"))
        detail = numbers.choice(proxy.MODES[1:])
    elif kind.endswith("_entry"):
        target = numbers.choice(entries)
    elif kind.endswith("_executor") or kind == "wave":
        target = numbers.choice(instances)
    return Fault(at=at, kind=kind, length_s=length_s, target=target, detail=detail)
