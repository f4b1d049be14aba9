"""Organisations of a soak run: their keys, limits and the changes of both.

All choices come from random streams of their own, so that the other faults and jobs of
a seed stay as they are.
"""

import random
import threading
import time

from soak import plan, proxy
from standins.platform import organisations

# Weight by organisation. There is one caller for each.
WEIGHTS = {"large": 9, "small": 1, "limited": 3, "flooding": 2}
LIMITED = "limited"
FLOODING = "flooding"
# Limits of the organisation with a limit, in thousandths of a core. Its caller offers
# about six cores of work.
LIMIT_PROCESSORS = 6_000
LOWERED_LIMIT_PROCESSORS = 4_000
# During a flood the pauses between the jobs of its caller are this part of the usual.
FLOOD_PAUSE_FACTOR = 1 / 8
# Probability that a request has any of its organisation's keys, withdrawn or not, in
# place of the newest one.
ANY_KEY_PROBABILITY = 0.2
# Probability that a job is asked for, or cancelled, with a key of another organisation.
OTHER_KEY_PROBABILITY = 0.1
# Least and greatest time between two changes of keys or limits.
CHANGE_INTERVAL_RANGE_S = (1.0, 3.0)
# Time for which an entry instance is cut off or paused around a withdrawal: longer than
# the revocation limit, so that it would serve the key if it only counted from its
# last configuration.
CUT_OFF_RANGE_S = (1.0, organisations.REVOCATION_LIMIT_S + 2.0)
# Time from then until the withdrawal, in which a pause or a cut takes effect.
CUT_OFF_LEAD_S = 0.05
# Settings of the entry instances: the limits that the checks assume.
ENTRY_SETTINGS = {
    "revocation_limit_ms": int(organisations.REVOCATION_LIMIT_S * 1000),
    "limit_overshoot": organisations.LIMIT_OVERSHOOT,
}
# Newest keys of an organisation that stay valid at a withdrawal.
KEPT_KEYS = 1


class Organisations:
    """Organisations of a run, whose keys and limits change while callers use them.

    Parameters
    ----------
    send_order : callable
        Sends an order to the stand-in platform, see
        ``LocalDeployment.send_order``; it returns once the order is carried out.
    report_violation : callable
        Takes the violated invariant and the detail, both str.
    """

    def __init__(self, *, send_order, report_violation):
        self._send_order = send_order
        self._checker = organisations.KeyChecker(report_violation=report_violation)
        self._lock = threading.Lock()
        self._limit_processors = LIMIT_PROCESSORS
        self._valid_keys = {name: [f"key-{name}-0"] for name in WEIGHTS}
        # Keys that were withdrawn, oldest first.
        self._withdrawn_keys = {name: [] for name in WEIGHTS}
        self._flooding_names = set()

    def rows(self):
        """Return the rows of all organisations in the configuration."""
        return [
            {
                "Name": name,
                "ApiKeys": list(self._valid_keys[name]),
                "Weight": weight,
                "Maximum": {
                    "Cpu": self._limit_processors if name == LIMITED else 0,
                    "MemMb": 0,
                    "Gpu": 0,
                },
            }
            for name, weight in WEIGHTS.items()
        ]

    def on_published(self, rows):
        """Record that a configuration with these rows has been stored."""
        self._checker.on_configuration_sent(rows)
        self._checker.on_configuration_stored(rows, time.monotonic())

    def _publish(self):
        """Store the organisations in a newer version of the configuration."""
        rows = self.rows()
        self._checker.on_configuration_sent(rows)
        self._send_order("configure", organisations=rows)
        self._checker.on_configuration_stored(rows, time.monotonic())

    def add_key(self, name):
        """Add a key of an organisation."""
        with self._lock:
            keys = self._valid_keys[name]
            count = len(keys) + len(self._withdrawn_keys[name])
            keys.append(f"key-{name}-{count}")
        self._publish()

    def withdraw_keys(self, name):
        """Withdraw all keys of an organisation but a new one."""
        self.add_key(name)
        with self._lock:
            keys = self._valid_keys[name]
            self._withdrawn_keys[name] += keys[:-KEPT_KEYS]
            self._valid_keys[name] = keys[-KEPT_KEYS:]
        self._publish()

    def set_limit(self, processors):
        """Change the limit of the organisation that has one."""
        self._limit_processors = processors
        self._publish()

    def set_flooding(self, is_flooding):
        """Begin or end the flood."""
        self._flooding_names = {FLOODING} if is_flooding else set()

    def pause_factor(self, name):
        """Return the factor of the pauses between an organisation's jobs."""
        return FLOOD_PAUSE_FACTOR if name in self._flooding_names else 1.0

    def choose_key(self, name, generator):
        """Return a key for a request of an organisation.

        Parameters
        ----------
        name : str
            Name of the organisation.
        generator : random.Random
            Chooses, mostly the newest key.

        Returns
        -------
        str
            The key.
        """
        with self._lock:
            keys = self._withdrawn_keys[name] + self._valid_keys[name]
        if generator.random() < ANY_KEY_PROBABILITY:
            return generator.choice(keys)
        return keys[-1]

    def choose_other_key(self, name, generator):
        """Return the newest key of an organisation other than ``name``."""
        other = generator.choice([other for other in WEIGHTS if other != name])
        with self._lock:
            return self._valid_keys[other][-1]

    def on_response(self, key, *, sent_at, status, detail):
        """Check the response to a request with a key."""
        self._checker.on_response(key, sent_at=sent_at, status=status, detail=detail)


def draw_changes(seed, *, seconds, entries):
    """Return the changes of a run as faults, with entry instances cut off around them.

    Parameters
    ----------
    seed : int
        Seed of the run.
    seconds : float
        Length of the phase with faults.
    entries : list of str
        Names of the entry instances.
    """
    generator = random.Random(f"organisations {seed}")
    faults = []

    def add(start_s, kind, duration_s, target="", detail=""):
        fault = plan.Fault(
            start_s=start_s,
            kind=kind,
            duration_s=max(0.0, min(duration_s, seconds - start_s)),
            target=target,
            detail=detail,
        )
        faults.append(fault)

    start_s = generator.uniform(*CHANGE_INTERVAL_RANGE_S)
    while start_s < seconds:
        kind = generator.choice(("withdraw_keys", "withdraw_keys", "add_key"))
        if kind == "withdraw_keys":
            # The instance is cut off or paused just before the withdrawal.
            entry = generator.choice(entries)
            duration_s = generator.uniform(*CUT_OFF_RANGE_S)
            mode = generator.choice(("", proxy.SILENT, proxy.CUT_DOWN, proxy.RESET))
            if mode:
                add(start_s, "connection", duration_s, f"{entry}/store", mode)
            else:
                add(start_s, "freeze_entry", duration_s, entry)
        change_s = min(start_s + CUT_OFF_LEAD_S, seconds)
        add(change_s, kind, 0.0, generator.choice(list(WEIGHTS)))
        start_s += generator.uniform(*CHANGE_INTERVAL_RANGE_S)
    add(generator.uniform(0.2, 0.5) * seconds, "lower_limit", seconds / 3)
    add(generator.uniform(0.1, 0.5) * seconds, "flood", seconds / 3)
    return faults
