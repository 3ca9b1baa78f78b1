"""Commands that run a process until a signal stops it."""

import os
import pathlib
import signal
from typing import Annotated, Final

import gevent
import typer
from gevent.event import Event
from loguru import logger

from apricotpin import bootstrap
from apricotpin.const import ROLE_AGENT, ROLE_ENTRY
from apricotpin.errors import Failure
from apricotpin.settings import Settings

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

SettingsPath = Annotated[
    pathlib.Path,
    typer.Option('--settings', help='JSON file with the process settings.'),
]
LogLevel = Annotated[
    str,
    typer.Option('--log-level', help='debug, info, warning or error.'),
]


def entry(settings: SettingsPath, log_level: LogLevel = '') -> None:
    """Run an entry host. Example: apricotpin entry --settings entry-1.json."""
    _run_role(ROLE_ENTRY, settings, log_level)


def agent(settings: SettingsPath, log_level: LogLevel = '') -> None:
    """Run an agent. Example: apricotpin agent --settings agent-1.json."""
    _run_role(ROLE_AGENT, settings, log_level)


def _run_role(role: str, path: pathlib.Path, log_level: str) -> None:
    loaded = Settings.from_file(path)
    if loaded.is_err():
        _exit_with(loaded.err_value)
    settings = loaded.ok_value
    if settings.role != role:
        typer.echo(
            f'error=settings_invalid file={path} path=role '
            f'value={settings.role} expected={role}',
            err=True,
        )
        raise typer.Exit(EXIT_FAILED)
    if log_level:
        settings.log_level = log_level
    finished = bootstrap.run(settings, _make_stop_event())
    if finished.is_err():
        _exit_with(finished.err_value)


def _make_stop_event() -> Event:
    stop_requested = Event()

    def on_signal() -> None:
        if stop_requested.is_set():
            logger.warning('stopped_at_once')
            os._exit(EXIT_FAILED)
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, on_signal)
    return stop_requested


def _exit_with(failure: Failure) -> None:
    typer.echo(f'error={failure.kind.value} {failure.detail}', err=True)
    raise typer.Exit(EXIT_FAILED)
