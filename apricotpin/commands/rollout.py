"""Commands that start a rollout and show its progress."""

import copy
import json
from typing import Annotated, Any, Final

import typer
from result import Err, Ok, Result

from apricotpin.commands.config import Author, LogUrl, default_author
from apricotpin.commands.output import value_or_exit
from apricotpin.commands.publishing import (
    PublishRequest,
    publish,
    read_state,
)
from apricotpin.components.configuration.bundle import Bundle
from apricotpin.components.configuration.decisions import FoldState
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import digest_hex
from apricotpin.helpers.http import HttpRequest, HttpResponse, send_request
from apricotpin.helpers.log_client import LogClient

_TIMEOUT_S: Final = 5.0
_HTTP_OK: Final = 200

app = typer.Typer(
    no_args_is_help=True,
    help='Start a rollout of a model version and show its progress.',
)

ModelName = Annotated[
    str,
    typer.Option('--model', help='Name of the model in the configuration.'),
]
VersionName = Annotated[
    str,
    typer.Option('--version', help='Version that all hosts are to serve.'),
]
OriginUrl = Annotated[
    str,
    typer.Option('--origin-url', help='Origin that holds the version.'),
]


@app.command('start')
def start(
    model: ModelName,
    version: VersionName,
    log_url: LogUrl,
    origin_url: OriginUrl,
    author: Author = '',
) -> None:
    """Publish a configuration that declares a new version of a model.

    Example: apricotpin rollout start --model canoe --version v2
    --log-url http://127.0.0.1:32000 --origin-url http://127.0.0.1:32001
    """
    client = LogClient(log_url, _TIMEOUT_S)
    state = value_or_exit(read_state(client))
    digest = value_or_exit(fetch_digest(origin_url, model, version))
    target = {'version': version, 'manifest_digest': digest}
    bundle = value_or_exit(with_target(state, model, target))
    request = PublishRequest(
        bundle,
        state.accepted_offset,
        author or default_author(),
    )
    offset = value_or_exit(publish(client, state, request))
    typer.echo(
        f'started=true model={model} version={version} '
        f'manifest_digest={digest} offset={offset}',
    )


def fetch_digest(
    origin_url: str,
    model: str,
    version: str,
) -> Result[str, Failure]:
    """Return the digest of the manifest at the origin."""
    url = f'{origin_url.rstrip("/")}/weights/{model}/{version}/manifest'
    outcome = send_request(
        HttpRequest('GET', url),
        _TIMEOUT_S,
        ErrorKind.ORIGIN_UNAVAILABLE,
    )
    return outcome.and_then(
        lambda response: _manifest_digest(response, model, version),
    )


def with_target(
    state: FoldState,
    model: str,
    target: dict[str, str],
) -> Result[Bundle, Failure]:
    """Return the configuration in force with a new target version of a model.

    The version is also set in the overlays that set one for the model.
    """
    if state.bundle is None:
        detail = 'no configuration has been published yet'
        return Err(Failure(ErrorKind.NOT_READY, detail))
    fields = copy.deepcopy(state.bundle.as_fields())
    documents = [fields['base'], *fields['overlays'].values()]
    documents_with_model = [
        part for part in documents if model in part.get('models', {})
    ]
    if not documents_with_model:
        known = sorted(
            {name for part in documents for name in _model_names(part)}
        )
        detail = f'path=models value={model} expected="one of {known}"'
        return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
    for part in documents_with_model:
        part['models'][model] = dict(target)
    return Bundle.from_config(fields)


def _model_names(part: Any) -> list[str]:
    return list(part.get('models', {}))


def _manifest_digest(
    response: HttpResponse,
    model: str,
    version: str,
) -> Result[str, Failure]:
    if response.status != _HTTP_OK:
        detail = (
            f'the origin responded with status {response.status} for the '
            f'manifest of model={model} version={version}'
        )
        return Err(Failure(ErrorKind.VERSION_UNKNOWN, detail))
    try:
        manifest = json.loads(response.body)
    except ValueError:
        manifest = {}
    if (manifest.get('model'), manifest.get('version')) != (model, version):
        detail = f'the manifest is not that of model={model} version={version}'
        return Err(Failure(ErrorKind.MANIFEST_CORRUPT, detail))
    return Ok(digest_hex(response.body))
