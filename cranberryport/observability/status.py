"""Collects the state of an entry instance for its administration paths."""

import hashlib
import time

from cranberryport.state import sheets

# The log is read successfully about once a second.
CONTACT_AGE_LIMIT_S = 4.0
INSTANCE_LIST_AGE_LIMIT_S = 10.0
# Session ids are truncated: peers identify themselves by the whole id, and callers can
# read these pages.
SHOWN_SESSION_LENGTH = 8
# The longest request, 30 s, and time to report the end of the drain. A drain that takes
# longer is not waiting for a request to finish.
OPERATION_AGE_LIMIT_S = 35.0


def fingerprint_keys(publishers):
    """Return a short digest of the publishers, equal on instances with equal keys."""
    digest = hashlib.sha256()
    for name, publisher in sorted(publishers.items()):
        digest.update(f"{name} {publisher.authority} ".encode())
        digest.update(hashlib.sha256(publisher.key).digest())
    return digest.hexdigest()[:16]


class Status:
    """Returns the data that the administration paths show.

    Parameters
    ----------
    settings : cranberryport.generated.settings.Settings
        Settings of this instance.
    control : cranberryport.stream.control_plane.ControlPlane
        State shared by the entry instances, and its components.
    dispatcher : cranberryport.callers.dispatcher.Dispatcher
        Reports the number of requests in progress.
    recorder : cranberryport.observability.request_recorder.RequestRecorder
        Reports the number of finished requests.
    jobs : cranberryport.fleet.jobs.JobManager
        Reports the state of jobs.
    histograms : cranberryport.observability.histograms.Histograms
        Latency histograms.
    publishers : dict of str to cranberryport.sheet.signing.Publisher
        Publishers of sheets by name.
    """

    def __init__(
        self, *, settings, control, dispatcher, recorder, jobs, histograms, publishers
    ):
        self._settings = settings
        self._control = control
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._jobs = jobs
        self._histograms = histograms
        self._publisher_keys_fingerprint = fingerprint_keys(publishers)
        self._started_at = time.monotonic()
        self._degraded_since = {}
        self.is_stopping = False

    def providers(self):
        """Return the function that gives the data of each administration path."""
        return {
            "/-/status": self.status,
            "/-/pools": self.pools,
            "/-/instances": self.instances,
            "/-/operations": self.operations,
            "/-/sheet": self.sheet,
            "/-/histograms": self._histograms.summary,
        }

    @property
    def _state(self):
        return self._control.follower.state

    def status(self):
        """Return an overview: identity, freshness, counts, and what is degraded."""
        follower = self._control.follower
        writer = self._control.writer
        state = self._state
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "uptime_s": round(time.monotonic() - self._started_at, 1),
            "is_ready": self._control.session_keeper.is_open and not self.is_stopping,
            "is_stopping": self.is_stopping,
            "session": self._control.session_keeper.session[:SHOWN_SESSION_LENGTH],
            "rank": self._control.session_keeper.rank,
            "position": state.position,
            "dispatch_right": self._control.view.has_dispatch_right,
            "contact_age_s": _round_finite(follower.contact_age_s),
            "instance_list_age_s": _round_finite(self._control.instance_list.age_s),
            "live_sessions": len(state.sessions.live_ids()),
            "peers": len(self._control.peers.statuses()),
            "requests_in_progress": self._dispatcher.request_count,
            "requests": self._recorder.counts,
            "jobs": self._jobs.status(),
            "appends": writer.append_count,
            "records": writer.record_count,
            "relayed": self._control.relay.relayed_count,
            "skipped_records": state.skipped_count,
            "publisher_keys": self._publisher_keys_fingerprint,
            "degraded": self._list_degraded(),
        }

    def _list_degraded(self):
        """Return what is degraded, with the seconds since it began."""
        now = time.monotonic()
        found = {cause: rest for cause, *rest in self._find_degraded()}
        for cause in list(self._degraded_since):
            if cause not in found:
                del self._degraded_since[cause]
        result = []
        for cause, (detail, age_s) in sorted(found.items()):
            since = self._degraded_since.setdefault(cause, now)
            # If the age is not known, it counts from the first request of this page
            # that found the cause.
            since_s = now - since if age_s is None else age_s
            result.append(
                {"cause": cause, "detail": detail, "since_s": round(since_s, 1)}
            )
        return result

    def _limit_to_uptime(self, age_s):
        """Limit an age to the uptime: for what has never happened it is infinite."""
        return min(age_s, time.monotonic() - self._started_at)

    def _find_degraded(self):
        """Yield cause, detail, and age in seconds (None if not known)."""
        follower = self._control.follower
        state = self._state
        if follower.contact_age_s > CONTACT_AGE_LIMIT_S:
            age_s = self._limit_to_uptime(follower.contact_age_s)
            yield "log", "the log cannot be read", age_s
        if not self._control.view.has_dispatch_right:
            yield "dispatch-right", "no work is sent to backend servers", None
        if self._control.instance_list.age_s > INSTANCE_LIST_AGE_LIMIT_S:
            age_s = self._limit_to_uptime(self._control.instance_list.age_s)
            yield "instance-list", "the platform's list cannot be read", age_s
        if follower.is_state_lost:
            detail = "records expired with no snapshot; publish the sheets"
            yield "state-lost", detail, None
        if state.skipped_count:
            detail = f"{state.skipped_count} records could not be decoded"
            yield "bad-records", detail, None
        unsettled = [
            entry.instance
            for entry in state.sessions.entries.values()
            if entry.state != "live"
        ]
        if unsettled:
            yield (
                "sessions",
                f"ended and not yet settled: {', '.join(sorted(unsettled))}",
                None,
            )
        yield from self._find_degraded_pools()

    def _find_degraded_pools(self):
        state = self._state
        for name, pool in state.configuration.pools.items():
            down = state.fleet.down_count(name)
            if down > pool.max_unavailable:
                detail = f"{down} instances are down, at most {pool.max_unavailable}"
                yield f"pool/{name}", detail, None
        for operation in state.fleet.operations.values():
            if (
                self._control.operations.age_s(operation.operation)
                > OPERATION_AGE_LIMIT_S
            ):
                detail = f"{operation.purpose} of {operation.instance} is held at "
                detail += f"{operation.step}, waits for {len(operation.waiting)}"
                yield f"operation/{operation.operation}", detail, None

    def pools(self):
        """Return the pools with their limits and instances."""
        state = self._state
        return [
            {
                "name": name,
                "service": pool.service,
                "spare": pool.spare,
                "max_unavailable": pool.max_unavailable,
                "down": state.fleet.down_count(name),
                "instances": [
                    entry.instance for entry in state.fleet.pool_members(name)
                ],
            }
            for name, pool in state.configuration.pools.items()
        ]

    def instances(self):
        """Return the instances with their state in the fleet."""
        return [
            {
                "name": name,
                "pool": entry.pool,
                "state": entry.state,
                "status": entry.status,
                "data_centre": entry.data_centre,
                "rack": entry.rack,
                "operation": entry.operation,
                "maintained": entry.maintained,
                "version": entry.version,
            }
            for name, entry in sorted(self._state.fleet.instances.items())
        ]

    def operations(self):
        """Return the operations on instances that are not finished."""
        return [
            {
                "operation": operation.operation,
                "instance": operation.instance,
                "purpose": operation.purpose,
                "target_pool": operation.target_pool,
                "step": operation.step,
                "waiting": [name[:SHOWN_SESSION_LENGTH] for name in operation.waiting],
                "started": operation.started,
                "by": operation.by[:SHOWN_SESSION_LENGTH],
            }
            for operation in self._state.fleet.operations.values()
        ]

    def sheet(self):
        """Return the sheets in force, and recent accepted and rejected publications."""
        state = self._state
        in_force = {name: _describe_sheet(state, name) for name in sheets.AUTHORITIES}
        rejected = [
            {"publication": entry.publication, "reason": entry.reason}
            for entry in state.sheets.rejected
        ]
        accepted = [
            {"publication": entry.publication, "version": entry.version}
            for entry in state.sheets.accepted
        ]
        return {**in_force, "accepted": accepted, "rejected": rejected, "findings": []}


def _describe_sheet(state, authority):
    sheet = state.sheets.get(authority)
    if sheet is None:
        return {"version": 0, "publication": "", "day": "", "rows": 0}
    return {
        "version": sheet.version,
        "publication": sheet.publication,
        "publisher": sheet.publisher,
        "day": sheet.day,
        "until": sheet.until,
        "rows": len(sheet.rows),
    }


def _round_finite(seconds):
    return None if seconds == float("inf") else round(seconds, 3)
