"""Command that shows the history of one request from log lines."""

import datetime
import json
import pathlib
import shlex
from collections.abc import Iterable
from typing import Annotated, Final

import typer

from apricotpin.commands.output import EXIT_FAILED

RequestId = Annotated[str, typer.Argument(help='Id of the request.')]
LogFiles = Annotated[
    list[pathlib.Path],
    typer.Argument(help='Files with log lines of any processes.'),
]
AsJson = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON array instead of lines.'),
]

_SHOWN_FIRST: Final = ('time', 'host', 'event')
_HIDDEN: Final = frozenset(('time', 'host', 'event', 'level', 'id'))


def explain(
    request_id: RequestId,
    files: LogFiles,
    as_json: AsJson = False,
) -> None:
    """Show what happened to a request, in order, over all hosts.

    Exit code 1 if no line names it. Example: apricotpin explain 9c41 *.log
    """
    lines: list[str] = []
    for path in files:
        try:
            text = path.read_text(errors='replace')
        except OSError as error:
            typer.echo(f'error=unreadable file={path} {error}', err=True)
            raise typer.Exit(EXIT_FAILED) from error
        lines.extend(text.splitlines())
    history = request_history(request_id, lines)
    if as_json:
        typer.echo(json.dumps(history))
    else:
        for fields in history:
            typer.echo(format_line(fields))
    if not history:
        typer.echo(f'error=not_found id={request_id}', err=True)
        raise typer.Exit(EXIT_FAILED)


def request_history(
    request_id: str, lines: Iterable[str]
) -> list[dict[str, str]]:
    """Return the fields of a request's lines, ordered by time.

    Lines of one host keep their order even if its clock was set back.
    """
    lines_by_host: dict[str, list[dict[str, str]]] = {}
    for line in lines:
        if request_id not in line:
            continue
        fields = parse_line(line)
        if fields.get('id') == request_id:
            lines_by_host.setdefault(fields.get('host', ''), []).append(fields)
    ordered = sorted(
        lines_by_host.values(), key=lambda host_lines: _time_of(host_lines[0])
    )
    return [fields for host_lines in ordered for fields in host_lines]


def parse_line(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line, which may be truncated."""
    try:
        words = shlex.split(line)
    except ValueError:
        # The line was truncated inside a quoted value.
        words = line.split()
    pairs = (word.partition('=') for word in words)
    return {name: text for name, separator, text in pairs if separator}


def format_line(fields: dict[str, str]) -> str:
    """Return a line with time, host and event, then the other fields."""
    head = [fields.get(name, '-') for name in _SHOWN_FIRST]
    rest = [
        f'{name}={text}' for name, text in fields.items() if name not in _HIDDEN
    ]
    return ' '.join([*head, *rest])


def _time_of(fields: dict[str, str]) -> float:
    try:
        moment = datetime.datetime.fromisoformat(fields.get('time', ''))
    except ValueError:
        return 0
    return moment.timestamp()
