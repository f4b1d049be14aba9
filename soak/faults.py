"""Starts and ends the faults of a plan (``soak.plan``) in a deployment."""

import heapq
import itertools
import random
import signal
import time

from soak import organisations, plan, proxy
from standins.platform import malformed_entries

# Delay of each response of a slow store: 75 times its usual 4 ms.
SLOW_STORE_DELAY_S = 0.3
# Appends that take effect and whose responses are lost.
LOST_RESPONSE_COUNT = 3
# Newest records of each partition that do not expire.
KEPT_RECORDS_PER_PARTITION = 5
# Capacity of an executor that has shrunk, in thousandths of a core.
SHRUNK_PROCESSORS = 2_000
# Longer than executors.DRAINING_LIMIT_S, so that a controller that does not read the
# list of executors is found.
DRAINING_DURATION_S = 14.0
LATE_CALL_SHARE = 0.3
WAVE_INSTANCE_COUNT = 3
WAVE_DURATION_S = 20


class Injector:
    """Injects faults into a deployment from outside its processes.

    A fault is started by the method that has the name of its kind. Each of these
    methods takes the fault and returns a function without arguments that ends it.

    Parameters
    ----------
    deployment : standins.platform.local_deployment.LocalDeployment
        Entry instances and stand-ins.
    proxy_thread : proxy.ProxyThread
        Thread that runs the proxies.
    service_proxies : dict of str to proxy.Proxy
        Proxies between entry instances and services, by ``entry/service``.
    instances : list of str
        Names of the instances with executors.
    run_organisations : organisations.Organisations or None
        Organisations whose keys and limits change; None for a run without any.
    """

    def __init__(
        self,
        *,
        deployment,
        proxy_thread,
        service_proxies,
        instances,
        run_organisations=None,
    ):
        self._deployment = deployment
        self._proxy_thread = proxy_thread
        self._service_proxies = service_proxies
        self._instances = instances
        self._entries = {entry.name: entry for entry in deployment.entries}
        self._wave_numbers = itertools.count(1)
        self._organisations = run_organisations

    def begin(self, fault):
        """Start a fault.

        Returns
        -------
        callable
            Ends the fault; takes no arguments.
        """
        return getattr(self, fault.kind)(fault)

    def end_all_faults(self):
        """End all faults and start or resume all entry instances."""
        for service_proxy in self._service_proxies.values():
            self._proxy_thread.set_mode(service_proxy, proxy.PASS)
        self._deployment.send_order("store")
        for name in self._instances:
            self._deployment.send_order("cut", instance=name, is_cut=False)
            self._deployment.send_order("late", instance=name)
            self._deployment.send_order("freeze", instance=name, is_frozen=False)
            self._deployment.send_order("revive", instance=name)
            self._deployment.send_order("capacity", instance=name)
        for entry in self._entries.values():
            self._start_or_resume(entry)

    def _start_or_resume(self, entry):
        if entry.process.is_running:
            entry.process.resume()
        else:
            entry.process.start()

    def connection(self, fault):
        """Break the connections of an entry instance to a service."""
        service_proxy = self._service_proxies[fault.target]
        self._proxy_thread.set_mode(service_proxy, fault.detail)
        return lambda: self._proxy_thread.set_mode(service_proxy, proxy.PASS)

    def kill_entry(self, fault):
        """Kill an entry instance; the end of the fault starts it again."""
        entry = self._entries[fault.target]
        entry.process.kill()
        return lambda: self._start_or_resume(entry)

    def terminate_entry(self, fault):
        """Send SIGTERM to an entry instance; the end of the fault starts it again.

        An instance that has not exited by then is killed.
        """
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.request_termination()

        def end():
            entry.process.wait(0.0)
            self._start_or_resume(entry)

        return end

    def kill_controller(self, fault):
        """Kill the controller; the end of the fault starts the instance again."""
        return self._end_controller(fault, self.kill_entry)

    def terminate_controller(self, fault):
        """Send SIGTERM to the controller; the end of the fault starts it again."""
        return self._end_controller(fault, self.terminate_entry)

    def _end_controller(self, fault, end_entry):
        for entry in self._entries.values():
            if entry.process.is_running and entry.is_leading():
                fault.target = entry.name
                return end_entry(fault)
        fault.detail = "no controller"
        return _end_nothing

    def freeze_entry(self, fault):
        """Pause an entry instance by SIGSTOP; the end of the fault resumes it."""
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.freeze()

        def end():
            if entry.process.is_running:
                entry.process.resume()

        return end

    def kill_all_entries(self, fault):
        """Kill all entry instances; the end of the fault starts them again."""
        for entry in self._entries.values():
            entry.process.kill()

        def end():
            for entry in self._entries.values():
                self._start_or_resume(entry)

        return end

    def reload_entry(self, fault):
        """Make an entry instance reload its settings by SIGHUP."""
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.send_signal(signal.SIGHUP)
        return _end_nothing

    def store_down(self, fault):
        """Make the store refuse all requests and drop its connections."""
        self._deployment.send_order("store", is_down=True)
        return lambda: self._deployment.send_order("store")

    def store_slow(self, fault):
        """Delay all responses of the store."""
        self._deployment.send_order("store", delay_s=SLOW_STORE_DELAY_S)
        return lambda: self._deployment.send_order("store")

    def answers_lost(self, fault):
        """Lose the responses to some appends that the store has executed."""
        self._deployment.send_order("store", answers_to_lose=LOST_RESPONSE_COUNT)
        return _end_nothing

    def rebalance(self, fault):
        """Assign the partitions of all groups to the next members."""
        self._deployment.send_order("rebalance", is_rotated=True)
        return _end_nothing

    def expire_history(self, fault):
        """Expire all but the newest records of each partition."""
        self._deployment.send_order("expire_history", keep=KEPT_RECORDS_PER_PARTITION)
        return _end_nothing

    def kill_executor(self, fault):
        """End an executor that stays listed; the end of the fault starts a new one."""
        self._deployment.send_order("kill", instance=fault.target)
        return lambda: self._deployment.send_order("revive", instance=fault.target)

    def restart_executor(self, fault):
        """End an executor and start another with the same id at once."""
        self._deployment.send_order("restart", instance=fault.target)
        return _end_nothing

    def restart_dark_executor(self, fault):
        """End an executor and start another with the same id as the fault ends."""
        self._deployment.send_order(
            "restart",
            instance=fault.target,
            dark_s=fault.duration_s,
            is_silent=fault.detail == plan.SILENT,
        )
        return _end_nothing

    def cut_executor(self, fault):
        """Cut an executor off silently until the end of the fault."""
        self._deployment.send_order("cut", instance=fault.target, is_cut=True)
        return lambda: self._deployment.send_order(
            "cut", instance=fault.target, is_cut=False
        )

    def late_calls(self, fault):
        """Let a share of the calls to an executor be carried out late, unanswered."""
        self._deployment.send_order(
            "late",
            instance=fault.target,
            share=LATE_CALL_SHARE,
            is_kept=fault.detail == plan.ANY_LIFE,
        )
        return lambda: self._deployment.send_order("late", instance=fault.target)

    def freeze_executor(self, fault):
        """Make an executor hold back all responses until the end of the fault."""
        self._deployment.send_order("freeze", instance=fault.target, is_frozen=True)
        return lambda: self._deployment.send_order(
            "freeze", instance=fault.target, is_frozen=False
        )

    def shrink_executor(self, fault):
        """Reduce the capacity of an executor below what may run there."""
        self._deployment.send_order(
            "capacity", instance=fault.target, processors=SHRUNK_PROCESSORS
        )
        return lambda: self._deployment.send_order("capacity", instance=fault.target)

    def malformed_entry(self, fault):
        """Write a malformed entry of an executor, as another program may."""
        value = malformed_entries.draw(random.Random(fault.detail))
        self._deployment.send_order(
            "entry", key=f"malformed-{fault.detail}", value=value
        )
        return _end_nothing

    def drain_executor(self, fault):
        """Make an executor leave, and start another one on its instance."""
        self._deployment.send_order(
            "drain", instance=fault.target, serve_s=DRAINING_DURATION_S
        )
        return _end_nothing

    def wave(self, fault):
        """Request the maintenance of some instances, one of them down at a time."""
        first = self._instances.index(fault.target)
        self._deployment.send_order(
            "wave",
            number=next(self._wave_numbers),
            names=(self._instances * 2)[first : first + WAVE_INSTANCE_COUNT],
            duration_s=WAVE_DURATION_S,
            maximum=1,
        )
        return _end_nothing

    def configure(self, fault):
        """Publish the configuration under a new version."""
        self._deployment.send_order("configure")
        return _end_nothing

    def add_key(self, fault):
        """Add a key of an organisation."""
        self._organisations.add_key(fault.target)
        return _end_nothing

    def withdraw_keys(self, fault):
        """Withdraw all keys of an organisation but a new one."""
        self._organisations.withdraw_keys(fault.target)
        return _end_nothing

    def lower_limit(self, fault):
        """Lower the limit of an organisation; the end of the fault raises it again."""
        self._organisations.set_limit(organisations.LOWERED_LIMIT_PROCESSORS)
        return lambda: self._organisations.set_limit(organisations.LIMIT_PROCESSORS)

    def flood(self, fault):
        """Make an organisation send several times its usual load."""
        self._organisations.set_flooding(True)
        return lambda: self._organisations.set_flooding(False)


def inject(planned_faults, begin, *, clock=time.monotonic, sleep=time.sleep):
    """Begin and end each fault at its time.

    Parameters
    ----------
    planned_faults : list of plan.Fault
        Faults in any order.
    begin : callable
        Begins a fault and returns a callable that ends it.
    clock : callable, default=time.monotonic
        Returns the monotonic time in seconds.
    sleep : callable, default=time.sleep
        Waits for a number of seconds.
    """
    started_at = clock()
    # The sequence numbers break ties, since faults and functions have no order.
    sequence_numbers = itertools.count()
    pending = [
        (fault.start_s, next(sequence_numbers), fault) for fault in planned_faults
    ]
    heapq.heapify(pending)
    while pending:
        due_s, _, action = heapq.heappop(pending)
        sleep(max(0.0, started_at + due_s - clock()))
        if isinstance(action, plan.Fault):
            end = begin(action)
            heapq.heappush(
                pending, (due_s + action.duration_s, next(sequence_numbers), end)
            )
        else:
            action()


def _end_nothing():
    """End a fault that needs no action to end."""
