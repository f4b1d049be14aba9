"""Plain data about the state of an entry instance, for its administration paths."""

import hashlib
import time

from cranberryport.state import sheets

# Contact with the log is renewed about once a second.
CONTACT_LIMIT_S = 4.0
LIST_AGE_LIMIT_S = 10.0
# The longest request, 30 s, and time to report the end of the drain. A drain that takes
# longer does not wait for a request.
# Peers greet with the whole id, and these pages are on the callers' port.
SHOWN_SESSION_LENGTH = 8
HELD_DRAIN_S = 35.0


def fingerprint(publishers):
    """Return a short digest of the publishers' keys, the same on equal key sets."""
    digest = hashlib.sha256()
    for name, publisher in sorted(publishers.items()):
        digest.update(f"{name} {publisher.authority} ".encode())
        digest.update(hashlib.sha256(publisher.key).digest())
    return digest.hexdigest()[:16]


class Status:
    """Collects what the administration paths show.

    Parameters
    ----------
    settings : cranberryport.generated.settings.Settings
        Settings of this instance.
    control : cranberryport.stream.control_plane.ControlPlane
        Control state and its components.
    dispatcher : cranberryport.callers.dispatcher.Dispatcher
        Requests in progress.
    recorder : cranberryport.observability.request_recorder.RequestRecorder
        Finished requests.
    jobs : cranberryport.fleet.jobs.JobManager
        Placement of jobs.
    histograms : cranberryport.observability.histograms.Histograms
        Latencies.
    publishers : dict
        Publishers by name.
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
        self._fingerprint = fingerprint(publishers)
        self._started = time.monotonic()
        self._degraded_since = {}
        self.is_stopping = False

    def providers(self):
        """Return the functions for each administration path."""
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
        """Return the state at a glance: what is degraded and since when."""
        follower = self._control.follower
        writer = self._control.writer
        state = self._state
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "uptime_s": round(time.monotonic() - self._started, 1),
            "is_ready": self._control.session_keeper.is_open and not self.is_stopping,
            "is_stopping": self.is_stopping,
            "session": self._control.session_keeper.session[:SHOWN_SESSION_LENGTH],
            "rank": self._control.session_keeper.rank,
            "position": state.position,
            "dispatch_right": self._control.view.has_dispatch_right,
            "contact_age_s": _finite(follower.contact_age_s),
            "instance_list_age_s": _finite(self._control.instance_list.age_s),
            "live_sessions": len(state.sessions.live_ids()),
            "peers": len(self._control.peers.statuses()),
            "requests_in_progress": self._dispatcher.request_count,
            "requests": self._recorder.counts,
            "jobs": self._jobs.status(),
            "appends": writer.append_count,
            "records": writer.record_count,
            "relayed": self._control.relay.relayed_count,
            "skipped_records": state.skipped_count,
            "publisher_keys": self._fingerprint,
            "degraded": self._degraded(),
        }

    def _degraded(self):
        """Return findings with the seconds since which they hold."""
        now = time.monotonic()
        found = {cause: rest for cause, *rest in self._find_degraded()}
        for cause in list(self._degraded_since):
            if cause not in found:
                del self._degraded_since[cause]
        result = []
        for cause, (detail, age_s) in sorted(found.items()):
            since = self._degraded_since.setdefault(cause, now)
            # Without a known age, it counts from the first question that met it.
            since_s = now - since if age_s is None else age_s
            result.append(
                {"cause": cause, "detail": detail, "since_s": round(since_s, 1)}
            )
        return result

    def _age_s(self, age_s):
        """Return an age; of what never happened, it is that of this process."""
        return min(age_s, time.monotonic() - self._started)

    def _find_degraded(self):
        follower = self._control.follower
        state = self._state
        if follower.contact_age_s > CONTACT_LIMIT_S:
            age_s = self._age_s(follower.contact_age_s)
            yield "log", "the log cannot be read", age_s
        if not self._control.view.has_dispatch_right:
            yield "dispatch-right", "no work is sent to backend servers", None
        if self._control.instance_list.age_s > LIST_AGE_LIMIT_S:
            age_s = self._age_s(self._control.instance_list.age_s)
            yield "instance-list", "the platform's list cannot be read", age_s
        if follower.is_state_lost:
            detail = "records expired with no snapshot; publish the sheets"
            yield "state-lost", detail, None
        if state.skipped_count:
            detail = f"{state.skipped_count} records could not be decoded"
            yield "bad-records", detail, None
        gone = [
            entry.instance
            for entry in state.sessions.entries.values()
            if entry.state != "live"
        ]
        if gone:
            yield (
                "sessions",
                f"ended and not yet settled: {', '.join(sorted(gone))}",
                None,
            )
        yield from self._find_pool_trouble()

    def _find_pool_trouble(self):
        state = self._state
        for name, pool in state.configuration.pools.items():
            down = state.fleet.down_count(name)
            if down > pool.max_unavailable:
                detail = f"{down} instances are down, at most {pool.max_unavailable}"
                yield f"pool/{name}", detail, None
        for operation in state.fleet.operations.values():
            if self._control.operations.age_s(operation.operation) > HELD_DRAIN_S:
                detail = f"{operation.purpose} of {operation.instance} is held at "
                detail += f"{operation.step}, waits for {len(operation.waiting)}"
                yield f"operation/{operation.operation}", detail, None

    def pools(self):
        """Return the pools with their budgets and instances."""
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
        """Return the instances with their state."""
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
        """Return the open operations."""
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
        """Return the sheets in force and the last rejected publications."""
        state = self._state
        shown = {name: _show_sheet(state, name) for name in sheets.AUTHORITIES}
        rejected = [
            {"publication": entry.publication, "reason": entry.reason}
            for entry in state.sheets.rejected
        ]
        accepted = [
            {"publication": entry.publication, "version": entry.version}
            for entry in state.sheets.accepted
        ]
        return {**shown, "accepted": accepted, "rejected": rejected, "findings": []}


def _show_sheet(state, authority):
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


def _finite(seconds):
    return None if seconds == float("inf") else round(seconds, 3)
