"""Begins and ends the faults of a plan."""

import itertools
import signal

from soak import proxy

# Delay of an answer while the store is slow: 75 times its usual 4 ms, in seconds.
SLOW_STORE_S = 0.3
# Appends whose answers are lost.
ANSWERS_LOST = 3
# Records that stay in each partition.
HISTORY_KEPT = 5
# Instances of a wave, and its length in seconds.
WAVE_SIZE = 3
WAVE_S = 20


class Injector:
    """Hits a deployment from outside its programs.

    Parameters
    ----------
    deployment : standins.platform.local_deployment.LocalDeployment
        Entry instances and stand-ins.
    proxies : proxy.ProxyThread
        Runs the proxies.
    links : dict of str to proxy.Proxy
        Proxies by ``entry/service``.
    instances : list of str
        Names of the instances with executors.
    """

    def __init__(self, *, deployment, proxies, links, instances):
        self._deployment = deployment
        self._proxies = proxies
        self._links = links
        self._instances = instances
        self._entries = {entry.name: entry for entry in deployment.entries}
        self._waves = itertools.count(1)
        self._versions = itertools.count(2)

    def begin(self, fault):
        """Begin a fault.

        Returns
        -------
        callable
            Ends it.
        """
        return getattr(self, fault.kind)(fault)

    def restore(self):
        """End all faults that may still go on."""
        for link in self._links.values():
            self._proxies.set_mode(link, proxy.PASS)
        self._deployment.send_order("store")
        for name in self._instances:
            self._deployment.send_order("freeze", instance=name, is_frozen=False)
            self._deployment.send_order("revive", instance=name)
        for entry in self._entries.values():
            self._start(entry)

    def _start(self, entry):
        if entry.process.is_running:
            entry.process.resume()
        else:
            entry.process.start()

    def connection(self, fault):
        """Break the connections of an entry instance to a service."""
        link = self._links[fault.target]
        self._proxies.set_mode(link, fault.detail)
        return lambda: self._proxies.set_mode(link, proxy.PASS)

    def kill_entry(self, fault):
        """Kill an entry instance and start it again."""
        entry = self._entries[fault.target]
        entry.process.kill()
        return lambda: self._start(entry)

    def terminate_entry(self, fault):
        """Ask an entry instance to end, and start it again."""
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.request_termination()

        def end():
            entry.process.wait(0.0)
            self._start(entry)

        return end

    def freeze_entry(self, fault):
        """Stop an entry instance by a signal and let it go on."""
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.freeze()

        def end():
            if entry.process.is_running:
                entry.process.resume()

        return end

    def kill_all_entries(self, fault):
        """Kill all entry instances at once and start them again."""
        for entry in self._entries.values():
            entry.process.kill()

        def end():
            for entry in self._entries.values():
                self._start(entry)

        return end

    def reload_entry(self, fault):
        """Send SIGHUP."""
        entry = self._entries[fault.target]
        if entry.process.is_running:
            entry.process.send_signal(signal.SIGHUP)
        return _nothing

    def store_down(self, fault):
        """Let the store refuse everything and drop its connections."""
        self._deployment.send_order("store", is_down=True)
        return lambda: self._deployment.send_order("store")

    def store_slow(self, fault):
        """Delay all answers of the store."""
        self._deployment.send_order("store", delay_s=SLOW_STORE_S)
        return lambda: self._deployment.send_order("store")

    def answers_lost(self, fault):
        """Lose the answers of some appends that are done."""
        self._deployment.send_order("store", answers_to_lose=ANSWERS_LOST)
        return _nothing

    def rebalance(self, fault):
        """Assign all partitions anew."""
        self._deployment.send_order("rebalance")
        return _nothing

    def expire_history(self, fault):
        """Drop the history of all topics."""
        self._deployment.send_order("expire_history", keep=HISTORY_KEPT)
        return _nothing

    def kill_executor(self, fault):
        """End an executor that stays listed; a new one starts later."""
        self._deployment.send_order("kill", instance=fault.target)
        return lambda: self._deployment.send_order("revive", instance=fault.target)

    def restart_executor(self, fault):
        """End an executor and start one under the same id at once."""
        self._deployment.send_order("restart", instance=fault.target)
        return _nothing

    def freeze_executor(self, fault):
        """Let an executor hold all its answers back."""
        self._deployment.send_order("freeze", instance=fault.target, is_frozen=True)
        return lambda: self._deployment.send_order(
            "freeze", instance=fault.target, is_frozen=False
        )

    def wave(self, fault):
        """Ask for the upkeep of some instances."""
        first = self._instances.index(fault.target)
        self._deployment.send_order(
            "wave",
            number=next(self._waves),
            names=(self._instances * 2)[first : first + WAVE_SIZE],
            duration_s=WAVE_S,
            maximum=1,
        )
        return _nothing

    def configure(self, fault):
        """Publish the configuration under a new version."""
        self._deployment.send_order("configure", version=next(self._versions))
        return _nothing


def _nothing():
    """End a fault that ends by itself."""
