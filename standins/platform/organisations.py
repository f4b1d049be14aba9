"""Checks of organisations' limits and keys, from what executors and callers see.

The rows of organisations are those of the configuration on the wire (``Tenants``), with
``Name``, ``ApiKeys``, ``Weight`` and ``Maximum``. All times are monotonic times in
seconds, which the processes of one machine share.
"""

import collections
import math
import threading
import time

# A removed key must not be served, and a key that was added must not be answered 401,
# if the request is sent later than this after the store has acknowledged the
# configuration (``RevokeMs`` of the deployments).
REVOCATION_LIMIT_S = 5.0
# Share by which the runs of an organisation may exceed its limit (``QuotaOvershoot``).
LIMIT_OVERSHOOT = 0.1
# For this time after a newer configuration is stored the older one may be in force: the
# limit for any change (``ConfigApplyMs``, 3 s), and the 2 s in which a start that was
# sent under the older one may still be carried out.
OLD_CONFIGURATION_S = 5.0
# Limited resources: name in ``Maximum``, and name in a step of a job's specification.
_RESOURCES = (("Cpu", "processors"), ("MemMb", "memory"), ("Gpu", "accelerators"))


class LimitChecker:
    """Checks that a start does not bring an organisation above its limit.

    Parameters
    ----------
    report_violation : callable
        Takes the violated invariant and the detail, both str.
    clock : callable, default=time.monotonic
        Returns the monotonic time in seconds.
    """

    __slots__ = ("_clock", "_limits", "_report_violation", "_runs", "_used")

    def __init__(self, *, report_violation, clock=time.monotonic):
        self._report_violation = report_violation
        self._clock = clock
        # By organisation: (time from which it was replaced, ``Maximum``), oldest first.
        self._limits = {}
        self._runs = {}
        self._used = collections.defaultdict(collections.Counter)

    def set_organisations(self, rows):
        """Record a configuration that was stored just now.

        Parameters
        ----------
        rows : list of dict or None
            Rows of organisations; None if the configuration has none.
        """
        now = self._clock()
        maximum_by_name = {row["Name"]: row.get("Maximum", {}) for row in rows or ()}
        for name in {*self._limits, *maximum_by_name}:
            history = [
                (min(replaced_at, now), maximum)
                for replaced_at, maximum in self._limits.get(name, ())
                if now - replaced_at <= OLD_CONFIGURATION_S
            ]
            # An organisation that the configuration does not name has no limit.
            history.append((math.inf, maximum_by_name.get(name, {})))
            self._limits[name] = history

    def on_run_started(self, organisation, key, step):
        """Record the start of a run and check it against the limit.

        Parameters
        ----------
        organisation : str
            Name of the organisation; empty for none.
        key : tuple
            Identifies the run.
        step : dict
            Step of the run in the specification of the job.
        """
        if not organisation or key in self._runs:
            return
        needs = {name: step.get(name, 0) for _, name in _RESOURCES}
        used = self._used[organisation]
        for limit_name, name in _RESOURCES:
            limit = self._highest_limit(organisation, limit_name)
            # A start may exceed the limit with its overshoot by one task, so it is the
            # use before the start that counts.
            if needs[name] and used[name] > limit * (1 + LIMIT_OVERSHOOT):
                self._report_violation(
                    "organisation exceeds its limit",
                    f"{organisation} {name}: {used[name]} before the start of {key}, "
                    f"limit {limit}",
                )
        self._runs[key] = organisation, needs
        used.update(needs)

    def on_run_ended(self, key):
        """Record the end of a run; one that is not known is ignored."""
        organisation, needs = self._runs.pop(key, ("", {}))
        self._used[organisation].subtract(needs)

    def used(self, organisation):
        """Return what an organisation has running, by name of the resource."""
        return dict(self._used[organisation])

    def _highest_limit(self, organisation, limit_name):
        """Return the highest limit that may be in force; infinite for no limit."""
        now = self._clock()
        limits = [
            maximum.get(limit_name, 0) or math.inf
            for replaced_at, maximum in self._limits.get(organisation, ())
            if now - replaced_at <= OLD_CONFIGURATION_S
        ]
        return max(limits, default=math.inf)


class KeyChecker:
    """Checks responses to requests with keys; may be used by several threads.

    Parameters
    ----------
    report_violation : callable
        Takes the violated invariant and the detail, both str. The detail names the
        organisation, never the key.
    """

    __slots__ = (
        "_lock",
        "_organisations",
        "_removed_at",
        "_report_violation",
        "_valid",
    )

    def __init__(self, *, report_violation):
        self._report_violation = report_violation
        self._lock = threading.Lock()
        # Time of the acknowledgement by key.
        self._valid = {}
        self._removed_at = {}
        self._organisations = {}

    def on_configuration_sent(self, rows):
        """Record that a configuration is about to be stored.

        From now on the keys that it does not have may be answered 401, and those that
        it has may be served.
        """
        keys = _organisations_by_key(rows)
        with self._lock:
            self._organisations.update(keys)
            for key in keys:
                self._removed_at.pop(key, None)
            for key in [key for key in self._valid if key not in keys]:
                del self._valid[key]

    def on_configuration_stored(self, rows, stored_at):
        """Record that the store has acknowledged a configuration.

        Parameters
        ----------
        rows : list of dict
            Rows of organisations.
        stored_at : float
            Time of the acknowledgement.
        """
        keys = _organisations_by_key(rows)
        with self._lock:
            for key in self._organisations:
                if key not in keys:
                    self._removed_at.setdefault(key, stored_at)
            for key in keys:
                self._valid.setdefault(key, stored_at)

    def on_response(self, key, *, sent_at, status, detail):
        """Check the response to a request.

        Parameters
        ----------
        key : str
            Key of the request.
        sent_at : float
            Time at which the request was sent.
        status : int
            HTTP status of the response; 0 for none.
        detail : str
            Request, for the report.
        """
        with self._lock:
            removed_at = self._removed_at.get(key)
            valid_since = self._valid.get(key)
            organisation = self._organisations.get(key)
        detail = f"{detail} with a key of {organisation or 'nobody'}: status {status}"
        is_success = 200 <= status < 300
        if removed_at is not None and is_success:
            age_s = sent_at - removed_at
            if age_s > REVOCATION_LIMIT_S:
                self._report_violation(
                    "request with a withdrawn key succeeded",
                    f"{detail}, sent {age_s:.3f} s after the withdrawal",
                )
        if organisation is None and is_success:
            self._report_violation("request with an unknown key succeeded", detail)
        if valid_since is not None and status == 401:
            age_s = sent_at - valid_since
            if age_s > REVOCATION_LIMIT_S:
                self._report_violation(
                    "valid key was refused",
                    f"{detail}, sent {age_s:.3f} s after it was added",
                )


def _organisations_by_key(rows):
    return {key: row["Name"] for row in rows for key in row.get("ApiKeys", ())}
