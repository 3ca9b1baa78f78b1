"""Processes of a test cluster: start, pause, kill and never leave behind."""

import contextlib
import ctypes
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from typing import Final

import gevent

from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import HttpRequest, send_request

ROOT: Final = pathlib.Path(__file__).parent.parent
_PR_SET_PDEATHSIG: Final = 1
_STOP_TIMEOUT_S: Final = 5.0
_POLL_S: Final = 0.1
_HTTP_TIMEOUT_S: Final = 2.0
_LOG_TAIL_BYTES: Final = 2000


class Process:
    """Own one child process; its output goes to a log file."""

    __slots__ = ('_child', 'arguments', 'log_path', 'name')

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log_path: pathlib.Path,
    ) -> None:
        self.name = name
        self.arguments = list(arguments)
        self.log_path = log_path
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the process id, or 0 before the start."""
        return self._child.pid if self._child else 0

    def start(self) -> None:
        """Start the process; its log file is appended to."""
        with self.log_path.open('ab') as log_file:
            self._child = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                preexec_fn=_die_with_parent,
            )

    def running(self) -> bool:
        """Tell whether the process runs, paused or not."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """End the process at once, by SIGKILL."""
        self.send(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def pause(self) -> None:
        """Stop the process by SIGSTOP until it is resumed."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def restart(self) -> None:
        """Kill the process and start it again with the same arguments."""
        self.kill()
        self.start()

    def terminate(self) -> None:
        """Ask the process to stop, by SIGTERM; return at once."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if it still runs after timeout_s."""
        if self._child is None:
            return None
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._child.wait(timeout_s)
        return None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def log_tail(self) -> str:
        """Return the end of the log."""
        log_bytes = self.log_path.read_bytes()
        return log_bytes[-_LOG_TAIL_BYTES:].decode(errors='replace')


class ProcessGroup:
    """Own the processes of a cluster and end all of them on leaving."""

    __slots__ = ('directory', 'processes')

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, Process] = {}

    def __enter__(self) -> 'ProcessGroup':
        return self

    def __exit__(self, error_type: object, *_error: object) -> None:
        self.stop()
        if error_type is not None:
            self.print_logs()

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process: the arguments follow python -m."""
        process = Process(name, arguments, self.directory / f'{name}.log')
        self.processes[name] = process
        process.start()
        return process

    def stop(self) -> None:
        """Stop the newest first, and kill what runs after a few seconds."""
        newest_first = list(reversed(self.processes.values()))
        for process in newest_first:
            process.resume()
            process.terminate()
        deadline_s = time.monotonic() + _STOP_TIMEOUT_S
        for stopping in newest_first:
            stopping.wait(max(0, deadline_s - time.monotonic()))
            stopping.kill()

    def print_logs(self) -> None:
        """Print the end of each log to standard error."""
        for process in self.processes.values():
            tail = process.log_tail()
            if tail:
                sys.stderr.write(f'== end of {process.name}.log ==\n{tail}\n')

    def check_running(self) -> None:
        """Raise RuntimeError with the log of a process that has ended."""
        for process in self.processes.values():
            if not process.running():
                tail = process.log_tail()
                raise RuntimeError(f'{process.name} has ended: {tail}')


def _die_with_parent() -> None:
    # Covers a harness that is itself killed and cannot clean up.
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    description: str,
) -> None:
    """Wait for a condition; raise TimeoutError after timeout_s."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'{description} not within {timeout_s} s')
        gevent.sleep(_POLL_S)


def answers_ok(url: str) -> bool:
    """Tell whether a GET of the URL is answered with 200."""
    answered = send_request(
        HttpRequest('GET', url),
        _HTTP_TIMEOUT_S,
        ErrorKind.PEER_UNAVAILABLE,
    )
    return answered.is_ok() and answered.ok_value.status == 200
