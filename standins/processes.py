"""Child processes that always end."""

import atexit
import ctypes
import json
import pathlib
import signal
import subprocess
import sys
import time
import weakref

ROOT = pathlib.Path(__file__).resolve().parent.parent
END_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_children = weakref.WeakSet()


class ChildProcess:
    """A child process of this one; start children from the main thread.

    The kernel kills the child when the thread that started it ends, so a killed test
    run leaves nothing behind.

    Parameters
    ----------
    name : str
        Name of its files.
    arguments : list of str
        Arguments of the Python interpreter.
    directory : pathlib.Path
        Directory for its output.
    keeps_output : bool, default=False
        Whether the output of earlier starts is kept; a start with an announcement
        needs a file of its own.
    """

    def __init__(self, *, name, arguments, directory, keeps_output=False):
        self._name = name
        self._mode = "ab" if keeps_output else "wb"
        self._arguments = [str(argument) for argument in arguments]
        self._output = directory / f"{name}.out"
        self._log = directory / f"{name}.log"
        self._process = None

    @property
    def name(self):
        """Name of the child."""
        return self._name

    @property
    def pid(self):
        """Process id of the last start."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process has not ended; a frozen process counts as running."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_path(self):
        """File with what the process wrote to standard error."""
        return self._log

    @property
    def return_code(self):
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def start(self):
        """Start the process; logs are appended to those of earlier starts."""
        if self.is_running:
            raise RuntimeError(f"{self._name} is running already")
        with open(self._output, self._mode) as output, open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                # When the shell of a run ends, the kernel sends SIGHUP to a process
                # group with a frozen member; a session of its own is never newly
                # orphaned. A frozen entry instance ended that way in the background.
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        _children.add(self)

    def read_announcement(self, timeout_s=20.0):
        """Return the line of JSON that the process prints when it is ready.

        Raises
        ------
        RuntimeError
            If the process ended or the time passed.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.is_running:
            text = self._output.read_text()
            if text.endswith("\n"):
                return json.loads(text)
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{self._name} did not start: {self.log_tail()}")

    def log_tail(self, size=2000):
        """Return the end of the log."""
        if not self._log.exists():
            return ""
        return self._log.read_bytes()[-size:].decode(errors="replace")

    def kill(self):
        """End the process by SIGKILL, also if it is frozen."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(END_TIMEOUT_S)

    def terminate(self, timeout_s=END_TIMEOUT_S):
        """Ask the process to end, wait, and kill it if it does not.

        Returns
        -------
        bool
            Whether it ended by itself.
        """
        if not self.is_running:
            return True
        self.request_termination()
        return self.wait(timeout_s)

    def request_termination(self):
        """Send SIGTERM and do not wait."""
        self.resume()
        self._process.terminate()

    def wait(self, timeout_s):
        """Wait for the end of the process and kill it if the time passes.

        Returns
        -------
        bool
            Whether it ended by itself.
        """
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    def freeze(self):
        """Pause the process by SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def send_signal(self, number):
        """Send a signal."""
        self._process.send_signal(number)

    def resume(self):
        """Let a frozen process go on by SIGCONT."""
        self._process.send_signal(signal.SIGCONT)


def terminate_all(children):
    """End processes: all are asked first, so that they end at the same time."""
    for child in children:
        if child.is_running:
            child.resume()
            child._process.terminate()
    deadline = time.monotonic() + END_TIMEOUT_S
    for child in children:
        if child.is_running:
            child.wait(max(0.0, deadline - time.monotonic()))


def _die_with_parent():
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@atexit.register
def _kill_remaining():
    for child in list(_children):
        child.kill()
