"""Command that shows the progress of a rollout."""

import json
import time
from collections.abc import Iterator
from typing import Annotated, Any, Final

import gevent
import typer

from apricotpin.commands.host_calls import (
    HostResult,
    call_hosts,
    read_listed_hosts,
)
from apricotpin.commands.output import EXIT_FAILED, fail, value_or_exit
from apricotpin.commands.progress import (
    is_unreachable,
    progress_by_group,
    progress_fields,
    unreachable_by_data_centre,
)
from apricotpin.const import ROLE_AGENT
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.logs import format_value
from apricotpin.messages.weights import GetWeightsStatus

_SAMPLE_INTERVAL_S: Final = 1.0

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
    typer.Option(
        '--timeout-s', help='Time limit of --watch; then the exit code is 1.'
    ),
]


class Sample:
    """Hold the results of calls to all agents at one time."""

    __slots__ = ('host_results', 'sampled_s')

    def __init__(
        self, host_results: list[HostResult], sampled_s: float
    ) -> None:
        self.host_results = host_results
        self.sampled_s = sampled_s


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
    for report in _iterate_reports(host_list_url):
        _print(report, as_json)
        if not watch or report['complete']:
            return
        if time.monotonic() > deadline_s:
            raise typer.Exit(EXIT_FAILED)


def _iterate_reports(host_list_url: str) -> Iterator[dict[str, Any]]:
    """Take a sample each second and compare it with the one before."""
    before = _take_sample(host_list_url)
    while True:
        gevent.sleep(_SAMPLE_INTERVAL_S)
        now = _take_sample(host_list_url)
        yield _compare(before, now)
        before = now


def _take_sample(host_list_url: str) -> Sample:
    hosts = value_or_exit(read_listed_hosts(host_list_url))
    agents = [host for host in hosts if host.role == ROLE_AGENT]
    host_results = call_hosts(agents, 'weights_status', GetWeightsStatus())
    if agents and all(
        is_unreachable(host_result) for host_result in host_results
    ):
        cause = host_results[0].outcome.err_value.detail
        detail = f'none of {len(agents)} agents is reachable: {cause}'
        fail(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
    return Sample(host_results, time.monotonic())


def _compare(before: Sample, now: Sample) -> dict[str, Any]:
    earlier = progress_by_group(before.host_results)
    elapsed_s = now.sampled_s - before.sampled_s
    groups = sorted(progress_by_group(now.host_results).items())
    rows = [
        progress_fields(group, progress, earlier.get(group), elapsed_s)
        for group, progress in groups
    ]
    unreachable = unreachable_by_data_centre(now.host_results)
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
        typer.echo(_format_row(row))
    for data_centre, count in report['unreachable'].items():
        if count:
            typer.echo(f'data_centre={data_centre} unreachable={count}')
    typer.echo(f'complete={str(report["complete"]).lower()}')


def _format_row(row: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={format_value("-" if found is None else found)}'
        for name, found in row.items()
    )
