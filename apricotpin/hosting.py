"""Run a process that the platform configures and restarts."""

import os
import signal
import sys
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event
from loguru import logger
from result import Result

from apricotpin import bootstrap
from apricotpin.errors import Failure
from apricotpin.helpers.logs import configure_stdout_logs
from apricotpin.host_settings import HostSettings

EXIT_FAILED: Final = 1
# A reader of standard output that has stopped must not delay the end.
LOG_FLUSH_TIMEOUT_S: Final = 0.1
_EXIT_DONE: Final = 0

ReadSettings = Callable[[], Result[HostSettings, Failure]]


def run_host(read_settings: ReadSettings) -> int:
    """Run the role of this host until it is stopped; return the exit code."""
    loaded = read_settings()
    if loaded.is_err():
        failure = loaded.err_value
        sys.stdout.write(f'event=settings_invalid {failure.detail}\n')
        return EXIT_FAILED
    settings = loaded.ok_value
    log_writer = configure_stdout_logs(settings.log_level, settings.host_id)
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, _reload, read_settings)
    finished = bootstrap.run_until_stopped(settings, stop_requested)
    if finished.is_err():
        failure = finished.err_value
        logger.bind(error=failure.kind.value, detail=failure.detail).error(
            'not_started',
        )
        return EXIT_FAILED
    log_writer.flush(LOG_FLUSH_TIMEOUT_S)
    # Exit at once, without waiting for greenlets that are blocked on sockets.
    os._exit(_EXIT_DONE)


def _reload(read_settings: ReadSettings) -> None:
    """Check a changed settings file; the running settings are not changed."""
    loaded = read_settings()
    if loaded.is_err():
        logger.bind(detail=loaded.err_value.detail).error('reload_failed')
        return
    logger.info('reloaded')
