"""Log output as key=value pairs, one line for each event."""

import json
import sys
from collections import deque
from typing import Any, Final

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write
from loguru import logger

# Limit of the lines that wait for a slow reader of standard output; further
# lines are dropped and counted. At 60 requests/s the limit is reached after
# about ten seconds.
LINES_WAITING_MAX: Final = 2000

_QUOTED_CHARACTERS = ' ="\n'


def configure_logs(level: str, host_id: str) -> None:
    """Send log lines of at least this level to standard error."""
    _configure(sys.stderr, level, host_id)


def _configure(sink: Any, level: str, host_id: str) -> None:
    logger.remove()
    logger.configure(extra={'host': host_id})
    logger.add(
        sink,
        level=level.upper(),
        format=_format_record,
        backtrace=False,
        diagnose=False,
    )


class LineWriter:
    """Write lines to a file; the caller never waits for its reader.

    dropped_line is written, with a count, after lines have been dropped.
    """

    __slots__ = (
        '_descriptor',
        '_dropped',
        '_dropped_line',
        '_has_lines',
        '_is_idle',
        '_lines',
    )

    def __init__(self, descriptor: int, dropped_line: str) -> None:
        self._descriptor = descriptor
        self._dropped_line = dropped_line
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._has_lines = Event()
        self._is_idle = Event()
        self._is_idle.set()

    def put(self, line: str) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._lines) >= LINES_WAITING_MAX:
            self._dropped += 1
            return
        self._lines.append(line)
        self._is_idle.clear()
        self._has_lines.set()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all queued lines are written; return whether they are."""
        return self._is_idle.wait(timeout_s)

    def run(self) -> None:
        """Write the queued lines in order, for ever."""
        make_nonblocking(self._descriptor)
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_all()
            self._is_idle.set()

    def _write_all(self) -> None:
        while self._lines:
            batch = ''.join(self._lines).encode()
            self._lines.clear()
            if self._dropped:
                dropped = f'{self._dropped_line} count={self._dropped}\n'
                batch += dropped.encode()
                self._dropped = 0
            while batch:
                batch = batch[nb_write(self._descriptor, batch) :]


def configure_stdout_logs(level: str, host_id: str) -> LineWriter:
    """Send log lines to standard output; drop lines that nobody reads."""
    dropped_line = f'level=warning event=lines_dropped host={host_id}'
    writer = LineWriter(sys.stdout.fileno(), dropped_line)
    gevent.spawn(writer.run)
    _configure(writer.put, level, host_id)
    return writer


def format_value(raw: Any) -> str:
    """Return a value in the form of a log line, quoted if necessary."""
    text = str(raw)
    if text and not any(char in text for char in _QUOTED_CHARACTERS):
        return text
    return json.dumps(text)


def _format_record(record: Any) -> str:
    pairs = [
        ('time', record['time'].isoformat(timespec='milliseconds')),
        ('level', record['level'].name.lower()),
        ('event', record['message']),
        *record['extra'].items(),
    ]
    line = ' '.join(f'{key}={format_value(value)}' for key, value in pairs)
    # loguru formats the returned text again, so braces are doubled.
    escaped = line.replace('{', '{{').replace('}', '}}').replace('<', r'\<')
    return f'{escaped}\n{{exception}}'
