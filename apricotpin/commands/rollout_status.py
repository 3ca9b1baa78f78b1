"""Command that follows a rollout."""

import json
import time
from collections.abc import Iterator
from typing import Annotated, Any, Final

import gevent
import typer

from apricotpin.commands.output import EXIT_FAILED, fail, value_or_exit
from apricotpin.commands.progress import (
    as_fields,
    group_answers,
    unreachable_by_centre,
)
from apricotpin.commands.survey import HostAnswer, ask_hosts, listed_hosts
from apricotpin.const import ROLE_AGENT
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.logs import format_value
from apricotpin.messages.weights import GetWeightsStatus

_SAMPLE_S: Final = 1.0

HostListUrl = Annotated[
    str,
    typer.Option('--host-list-url', help='URL of the host list.'),
]
AsJson = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON object instead of lines.'),
]
Watch = Annotated[
    bool,
    typer.Option('--watch', help='Repeat until all agents serve the target.'),
]
TimeoutS = Annotated[
    float,
    typer.Option('--timeout-s', help='End --watch with exit code 1 after it.'),
]


class Survey:
    """Hold the answers of all agents at one moment."""

    __slots__ = ('answers', 'taken_s')

    def __init__(self, answers: list[HostAnswer], taken_s: float) -> None:
        self.answers = answers
        self.taken_s = taken_s


def status(
    host_list_url: HostListUrl,
    as_json: AsJson = False,
    watch: Watch = False,
    timeout_s: TimeoutS = 3600,
) -> None:
    """Show the progress of the rollout in each data centre.

    Example: apricotpin rollout status --host-list-url
    http://127.0.0.1:32001 --watch
    """
    deadline_s = time.monotonic() + timeout_s
    for report in _reports(host_list_url):
        _print(report, as_json)
        if not watch or report['complete']:
            return
        if time.monotonic() > deadline_s:
            raise typer.Exit(EXIT_FAILED)


def _reports(host_list_url: str) -> Iterator[dict[str, Any]]:
    """Take a survey each second and compare it with the one before."""
    before = _survey(host_list_url)
    while True:
        gevent.sleep(_SAMPLE_S)
        now = _survey(host_list_url)
        yield _compare(before, now)
        before = now


def _survey(host_list_url: str) -> Survey:
    hosts = value_or_exit(listed_hosts(host_list_url))
    agents = [host for host in hosts if host.role == ROLE_AGENT]
    answers = ask_hosts(agents, 'weights_status', GetWeightsStatus())
    if agents and all(answer.outcome.is_err() for answer in answers):
        cause = answers[0].outcome.err_value.detail
        detail = f'none of {len(agents)} agents answered: {cause}'
        fail(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
    return Survey(answers, time.monotonic())


def _compare(before: Survey, now: Survey) -> dict[str, Any]:
    earlier = group_answers(before.answers)
    elapsed_s = now.taken_s - before.taken_s
    groups = sorted(group_answers(now.answers).items())
    rows = [
        as_fields(group, progress, earlier.get(group), elapsed_s)
        for group, progress in groups
    ]
    unreachable = unreachable_by_centre(now.answers)
    complete = not any(unreachable.values()) and all(
        row['serving'] == row['hosts'] for row in rows
    )
    return {
        'complete': complete,
        'rollouts': rows,
        'unreachable': unreachable,
    }


def _print(report: dict[str, Any], as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps(report))
        return
    for row in report['rollouts']:
        typer.echo(_line(row))
    for centre, count in report['unreachable'].items():
        if count:
            typer.echo(f'data_centre={centre} unreachable={count}')
    typer.echo(f'complete={str(report["complete"]).lower()}')


def _line(row: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={format_value("-" if found is None else found)}'
        for name, found in row.items()
    )
