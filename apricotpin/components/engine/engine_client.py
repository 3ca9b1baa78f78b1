"""Orders to the local engine and reads of its status over HTTP."""

import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from geventhttpclient.httplib import HTTPConnection
from geventhttpclient.url import URL
from result import Err, Ok, Result

from apricotpin.components.engine import const
from apricotpin.components.engine.state import Wanted
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpRequest, HttpResponse, send_request
from apricotpin.messages.transfers import EngineReport

_JSON_TYPE: Final = 'application/json'
_BINARY_TYPE: Final = 'application/octet-stream'


def read_report(engine_url: str) -> Result[EngineReport, Failure]:
    """Ask the engine what it serves."""
    request = HttpRequest('GET', f'{engine_url}/status')
    answered = send_request(
        request,
        const.READ_SILENT_S,
        ErrorKind.ENGINE_UNAVAILABLE,
    )
    return answered.and_then(_report_of)


def load_version(engine_url: str, wanted: Wanted) -> Result[None, Failure]:
    """Send the whole version; the engine checks its digest."""
    manifest = wanted.manifest
    path = (
        f'/models/{manifest.model}/versions/{manifest.version}'
        f'?fencing_number={wanted.fencing_number}&digest={manifest.digest}'
    )
    headers = {
        'Content-Type': _BINARY_TYPE,
        'Content-Length': str(manifest.size_bytes),
    }
    return _order('PUT', engine_url + path, wanted.chunks, headers)


def activate_version(engine_url: str, wanted: Wanted) -> Result[None, Failure]:
    """Order the engine to serve the version that it holds."""
    manifest = wanted.manifest
    order = {
        'version': manifest.version,
        'fencing_number': wanted.fencing_number,
    }
    body = json.dumps(order).encode()
    headers = {'Content-Type': _JSON_TYPE, 'Content-Length': str(len(body))}
    url = f'{engine_url}/models/{manifest.model}/active'
    return _order('POST', url, [body], headers)


def _report_of(answer: HttpResponse) -> Result[EngineReport, Failure]:
    if answer.status != HTTPStatus.OK:
        detail = f'the engine answered {answer.status} for /status'
        return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, detail))
    try:
        return Ok(EngineReport(answer.document()))
    except (ValueError, KeyError, TypeError) as error:
        detail = f'the answer for /status is malformed: {error!r}'
        return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, detail))


def _order(
    method: str,
    url_text: str,
    parts: Iterable[bytes],
    headers: dict[str, str],
) -> Result[None, Failure]:
    """Send an order whose body goes out in parts, never copied whole."""
    url = URL(url_text)
    connection: Any = HTTPConnection(
        url.host,
        url.port,
        timeout=const.ORDER_SILENT_S,
    )
    try:
        connection.request(method, url.request_uri, parts, headers)
        response = connection.getresponse()
        detail = f'{response.status} {bytes(response.read())!r}'
    except Exception as error:
        # geventhttpclient raises several unrelated exception types.
        detail = f'{method} {url_text}: {error!r}'
        return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, detail))
    finally:
        connection.close()
    if response.status == HTTPStatus.OK:
        return Ok(None)
    return Err(Failure(ErrorKind.ENGINE_REFUSED, detail))
