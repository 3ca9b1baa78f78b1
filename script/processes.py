"""Child processes of a test cluster: start, pause, kill and clean up."""

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
    """Run one child process and append its output to a log file."""

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
        """Start the process and append its output to the log file."""
        with self.log_path.open('ab') as log_file:
            self._child = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                preexec_fn=_prepare_child,
            )

    def is_running(self) -> bool:
        """Return whether the process has not ended; it may be paused."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """End the process with SIGKILL and wait for it."""
        self.send_signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until it is resumed."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def restart(self) -> None:
        """Kill the process and start it again with the same arguments."""
        self.kill()
        self.start()

    def terminate(self) -> None:
        """Send SIGTERM and return without waiting for the end."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if it still runs after timeout_s."""
        if self._child is None:
            return None
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._child.wait(timeout_s)
        return None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(signal_number)

    def log_tail(self) -> str:
        """Return the last 2000 bytes of the log."""
        log_bytes = self.log_path.read_bytes()
        return log_bytes[-_LOG_TAIL_BYTES:].decode(errors='replace')


class ProcessGroup:
    """Own the processes of a cluster and end them when the block exits."""

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
        """Start a process as `python -m ARGUMENTS`."""
        process = Process(name, arguments, self.directory / f'{name}.log')
        self.processes[name] = process
        process.start()
        return process

    def stop(self) -> None:
        """Send SIGTERM, newest process first; send SIGKILL after 5 s."""
        newest_first = list(reversed(self.processes.values()))
        for process in newest_first:
            process.resume()
            process.terminate()
        deadline_s = time.monotonic() + _STOP_TIMEOUT_S
        for stopping in newest_first:
            stopping.wait(max(0, deadline_s - time.monotonic()))
            stopping.kill()

    def print_logs(self) -> None:
        """Print the last lines of each log to standard error."""
        for process in self.processes.values():
            tail = process.log_tail()
            if tail:
                sys.stderr.write(
                    f'== last lines of {process.name}.log ==\n{tail}\n'
                )

    def check_running(self) -> None:
        """Raise RuntimeError, with the end of its log, if a process ended."""
        for process in self.processes.values():
            if not process.is_running():
                tail = process.log_tail()
                raise RuntimeError(f'{process.name} ended unexpectedly: {tail}')


def _prepare_child() -> None:
    # The kernel kills the child when the test program is killed itself and
    # cannot clean up.
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    os.setpgid(0, 0)


def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    description: str,
) -> None:
    """Poll a condition until it holds; raise TimeoutError after timeout_s."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'not met within {timeout_s} s: {description}')
        gevent.sleep(_POLL_S)


def responds_ok(url: str) -> bool:
    """Return whether a GET request to the URL gets status 200."""
    response = send_request(
        HttpRequest('GET', url),
        _HTTP_TIMEOUT_S,
        ErrorKind.PEER_UNAVAILABLE,
    )
    return response.is_ok() and response.ok_value.status == 200
