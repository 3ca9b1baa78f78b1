"""Command that tells the story of one request from log lines."""

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
    story = story_of(request_id, lines)
    if as_json:
        typer.echo(json.dumps(story))
    else:
        for fields in story:
            typer.echo(describe(fields))
    if not story:
        typer.echo(f'error=not_found id={request_id}', err=True)
        raise typer.Exit(EXIT_FAILED)


def story_of(request_id: str, lines: Iterable[str]) -> list[dict[str, str]]:
    """Return the fields of a request's lines, ordered by time.

    Lines of one host keep their order, whatever their clock says.
    """
    hosts: dict[str, list[dict[str, str]]] = {}
    for line in lines:
        if request_id not in line:
            continue
        fields = parse_line(line)
        if fields.get('id') == request_id:
            hosts.setdefault(fields.get('host', ''), []).append(fields)
    ordered = sorted(hosts.values(), key=lambda told: _time_of(told[0]))
    return [fields for told in ordered for fields in told]


def parse_line(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line, as far as it is whole."""
    try:
        words = shlex.split(line)
    except ValueError:
        # The line was cut inside a quoted value.
        words = line.split()
    pairs = (word.partition('=') for word in words)
    return {name: text for name, separator, text in pairs if separator}


def describe(fields: dict[str, str]) -> str:
    """Return a line for people: time, host, event, then all inputs."""
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
