"""Commands that check, publish and show configurations."""

import getpass
import json
import pathlib
from typing import Annotated, Any, Final

import typer
from result import Err, Ok, Result

from apricotpin.commands.documents import BundleFiles, load_bundle
from apricotpin.commands.output import EXIT_USAGE, fail, value_or_exit
from apricotpin.commands.publishing import (
    PublishRequest,
    publish,
    read_state,
)
from apricotpin.components.configuration.bundle import (
    Bundle,
    merged_for_site,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpRequest, send_request
from apricotpin.helpers.log_client import LogClient

_TIMEOUT_S: Final = 5.0
_BASED_ON_IN_FORCE: Final = -2

app = typer.Typer(
    no_args_is_help=True,
    help='Check, publish and show the configuration.',
)

BasePath = Annotated[
    pathlib.Path,
    typer.Option('--base', help='JSON file that applies to all sites.'),
]
OverlayOptions = Annotated[
    list[str] | None,
    typer.Option(
        '--overlay',
        help='Merge patch (RFC 7396) of a site as site=file; repeatable.',
    ),
]
LogUrl = Annotated[
    str,
    typer.Option('--log-url', help='URL of the log service.'),
]
Author = Annotated[
    str,
    typer.Option(
        '--author', help='Name shown to other operators on a conflict.'
    ),
]
BasedOn = Annotated[
    int,
    typer.Option(
        '--based-on',
        help='Refuse unless the configuration at this offset is in force; '
        'without it, the one in force when the command starts.',
    ),
]
OptionalLogUrl = Annotated[
    str,
    typer.Option('--log-url', help='Show the configuration in the log.'),
]
AdminAddress = Annotated[
    str,
    typer.Option(
        '--admin', help='Show the configuration of the process at ip:port.'
    ),
]
Site = Annotated[
    str,
    typer.Option('--site', help='Show the merged document of a site.'),
]


@app.command('check')
def check(
    base: Annotated[
        pathlib.Path,
        typer.Argument(help='JSON file that applies to all sites.'),
    ],
    overlays: Annotated[
        list[str] | None,
        typer.Argument(help='Overlays as site=file.'),
    ] = None,
) -> None:
    """Check files without network access.

    Example: apricotpin config check base.json genkai=genkai.json
    """
    bundle = _load(base, overlays or [])
    sites = ','.join(sorted(bundle.overlays)) or 'all'
    typer.echo(f'valid=true sites={sites}')


@app.command('publish')
def publish_files(
    base: BasePath,
    log_url: LogUrl,
    overlay: OverlayOptions = None,
    author: Author = '',
    based_on: BasedOn = _BASED_ON_IN_FORCE,
) -> None:
    """Publish files as the configuration of all sites.

    Example: apricotpin config publish --base base.json
    --overlay genkai=genkai.json --log-url http://127.0.0.1:32000
    """
    bundle = _load(base, overlay or [])
    client = LogClient(log_url, _TIMEOUT_S)
    state = value_or_exit(read_state(client))
    if based_on == _BASED_ON_IN_FORCE:
        based_on = state.accepted_offset
    request = PublishRequest(bundle, based_on, author or default_author())
    offset = value_or_exit(publish(client, state, request))
    typer.echo(f'accepted=true offset={offset} based_on={based_on}')


@app.command('show')
def show(
    log_url: OptionalLogUrl = '',
    admin: AdminAddress = '',
    site: Site = '',
) -> None:
    """Show the configuration in force, from the log or from a process.

    Example: apricotpin config show --log-url http://127.0.0.1:32000
    """
    if bool(log_url) == bool(admin):
        detail = 'expected="either --log-url or --admin"'
        fail(Failure(ErrorKind.BAD_REQUEST, detail), EXIT_USAGE)
    if admin:
        fields = value_or_exit(_read_from_process(admin))
    else:
        fields = _read_from_log(log_url, site)
    typer.echo(json.dumps(fields, indent=2, sort_keys=True))


def default_author() -> str:
    """Return the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


def _load(base: pathlib.Path, overlay_options: list[str]) -> Bundle:
    files = BundleFiles.from_options(base, overlay_options)
    if files.is_err():
        fail(files.err_value, EXIT_USAGE)
    return value_or_exit(load_bundle(files.ok_value))


def _read_from_log(log_url: str, site: str) -> dict[str, Any]:
    state = value_or_exit(read_state(LogClient(log_url, _TIMEOUT_S)))
    if state.bundle is None:
        fail(
            Failure(
                ErrorKind.NOT_READY, 'no configuration has been published yet'
            )
        )
    fields = {
        'accepted_offset': state.accepted_offset,
        'folded_offset': state.folded_offset,
    }
    if site:
        merged = value_or_exit(merged_for_site(state.bundle, site))
        return {**fields, 'site': site, 'document': merged}
    return {**fields, **state.bundle.as_fields()}


def _read_from_process(admin: str) -> Result[Any, Failure]:
    request = HttpRequest('GET', f'http://{admin}/status')
    outcome = send_request(request, _TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
    if outcome.is_err():
        return outcome
    try:
        return Ok(outcome.ok_value.document()['configuration'])
    except (ValueError, KeyError):
        detail = f'{admin} did not send the status of an apricotpin process'
        return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
