"""Child processes that never outlive the process that started them."""

import atexit
import ctypes
import json
import pathlib
import signal
import subprocess
import sys
import time
import weakref

# Root of the repository.
ROOT = pathlib.Path(__file__).resolve().parent.parent
EXIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_children = weakref.WeakSet()


class ChildProcess:
    """A Python process that runs as a child of this one.

    The kernel kills the child when the thread that started it ends, so that a killed
    test run leaves no processes behind. Start children from the main thread.

    Parameters
    ----------
    name : str
        Name of the child and of its output files.
    arguments : list of str
        Arguments of the Python interpreter.
    directory : pathlib.Path
        Directory of the output files.
    appends_output : bool, default=False
        Whether a start appends to the standard output of earlier starts, instead of
        truncating the file. :meth:`read_announcement` needs an empty file.
    """

    def __init__(self, *, name, arguments, directory, appends_output=False):
        self._name = name
        self._output_mode = "ab" if appends_output else "wb"
        self._arguments = [str(argument) for argument in arguments]
        self._output_path = directory / f"{name}.out"
        self._log_path = directory / f"{name}.log"
        self._process = None

    @property
    def name(self):
        """Name of the child."""
        return self._name

    @property
    def pid(self):
        """Process id of the latest start."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process was started and has not ended; true if it is frozen."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_path(self):
        """File with the standard error output of all starts."""
        return self._log_path

    @property
    def return_code(self):
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def start(self):
        """Start the process, for the first time or again after it ended."""
        if self.is_running:
            raise RuntimeError(f"{self._name} is already running")
        with (
            open(self._output_path, self._output_mode) as output,
            open(self._log_path, "ab") as log,
        ):
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                # The kernel sends SIGHUP to a process group that becomes orphaned while
                # a member is stopped. This ended frozen entry instances when the shell
                # of a background run exited. A group in a session of its own is
                # orphaned from the start and gets no such signal.
                start_new_session=True,
                preexec_fn=_request_kill_with_parent,
            )
        _children.add(self)

    def read_announcement(self, timeout_s=20.0):
        """Wait for the line of JSON that a stand-in prints when it is ready.

        Parameters
        ----------
        timeout_s : float, default=20.0
            Time in seconds after which to give up.

        Returns
        -------
        dict
            The decoded line: ports or addresses of the stand-in.

        Raises
        ------
        RuntimeError
            If the process ended or did not print the line in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.is_running:
            text = self._output_path.read_text()
            if text.endswith("\n"):
                return json.loads(text)
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{self._name} did not become ready: {self.log_tail()}")

    def log_tail(self, size=2000):
        """Return the last bytes of the standard error output as text."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_bytes()[-size:].decode(errors="replace")

    def kill(self):
        """Kill the process by SIGKILL, even if it is frozen, and wait for its end."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(EXIT_TIMEOUT_S)

    def terminate(self, timeout_s=EXIT_TIMEOUT_S):
        """Send SIGTERM and wait for the end of the process; kill it after a time-out.

        Returns
        -------
        bool
            Whether it ended without being killed.
        """
        if not self.is_running:
            return True
        self.request_termination()
        return self.wait(timeout_s)

    def request_termination(self):
        """Send SIGTERM, resuming the process if it is frozen, and do not wait."""
        self.resume()
        self._process.terminate()

    def wait(self, timeout_s):
        """Wait for the end of the process; kill it after a time-out.

        Returns
        -------
        bool
            Whether it ended without being killed.
        """
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    def freeze(self):
        """Stop the process by SIGSTOP until :meth:`resume`."""
        self._process.send_signal(signal.SIGSTOP)

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def resume(self):
        """Continue a frozen process by SIGCONT."""
        self._process.send_signal(signal.SIGCONT)


def terminate_all(children):
    """Send SIGTERM to all processes, then wait; kill those left after a time-out."""
    for child in children:
        if child.is_running:
            child.resume()
            child._process.terminate()
    deadline = time.monotonic() + EXIT_TIMEOUT_S
    for child in children:
        if child.is_running:
            child.wait(max(0.0, deadline - time.monotonic()))


def _request_kill_with_parent():
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@atexit.register
def _kill_remaining():
    for child in list(_children):
        child.kill()
