"""Command that shows the readiness of the processes in the host list."""

import json
from typing import Annotated, Any

import typer
from result import Result

from apricotpin.commands.host_calls import call_hosts, read_listed_hosts
from apricotpin.commands.output import EXIT_FAILED, value_or_exit
from apricotpin.errors import Failure
from apricotpin.helpers.logs import format_value
from apricotpin.messages.hosts import GetReadiness, Host, Readiness

HostListUrl = Annotated[
    str,
    typer.Option('--host-list-url', help='URL of the host list.'),
]
AsJson = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON array instead of lines.'),
]


def status(host_list_url: HostListUrl, as_json: AsJson = False) -> None:
    """Show whether the processes of the host list are ready.

    Exit code 1 if one of them is not. Example: apricotpin status
    --host-list-url http://127.0.0.1:32001
    """
    hosts = value_or_exit(read_listed_hosts(host_list_url))
    host_results = call_hosts(hosts, 'readiness', GetReadiness())
    rows = [
        _make_row(host_result.host, host_result.outcome)
        for host_result in host_results
    ]
    lines = [json.dumps(rows)] if as_json else map(_format_row, rows)
    for line in lines:
        typer.echo(line)
    if not all(fields['ready'] for fields in rows):
        raise typer.Exit(EXIT_FAILED)


def _make_row(
    host: Host, outcome: Result[Readiness, Failure]
) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'host_id': host.host_id,
        'role': host.role,
        'data_centre': host.data_centre,
    }
    if outcome.is_err():
        return {**fields, 'ready': False, 'reason': 'no answer'}
    readiness = outcome.ok_value
    return {
        **fields,
        'ready': readiness.ready,
        'state': readiness.state,
        'config_offset': readiness.config_offset,
        'version': readiness.version or '-',
        'reason': readiness.reason or '-',
    }


def _format_row(row: dict[str, Any]) -> str:
    shown = {**row, 'ready': str(row['ready']).lower()}
    return ' '.join(
        f'{name}={format_value(found)}' for name, found in shown.items()
    )
