"""HTTP client that sends orders to the local engine and reads its status."""

import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from geventhttpclient.httplib import HTTPConnection
from geventhttpclient.url import URL
from result import Err, Ok, Result

from apricotpin.components.engine import const
from apricotpin.components.engine.state import TargetVersion
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpRequest, HttpResponse, send_request
from apricotpin.messages.transfers import EngineReport

_JSON_TYPE: Final = 'application/json'
_BINARY_TYPE: Final = 'application/octet-stream'


def read_report(engine_url: str) -> Result[EngineReport, Failure]:
    """Read from /status which version the engine serves."""
    request = HttpRequest('GET', f'{engine_url}/status')
    outcome = send_request(
        request,
        const.READ_SILENCE_TIMEOUT_S,
        ErrorKind.ENGINE_UNAVAILABLE,
    )
    return outcome.and_then(_parse_report)


def load_version(
    engine_url: str, target: TargetVersion
) -> Result[None, Failure]:
    """Upload all chunks of the version; the engine verifies the digest."""
    manifest = target.manifest
    path = (
        f'/models/{manifest.model}/versions/{manifest.version}'
        f'?fencing_number={target.fencing_number}&digest={manifest.digest}'
    )
    headers = {
        'Content-Type': _BINARY_TYPE,
        'Content-Length': str(manifest.size_bytes),
    }
    return _send_order('PUT', engine_url + path, target.chunks, headers)


def activate_version(
    engine_url: str, target: TargetVersion
) -> Result[None, Failure]:
    """Order the engine to serve a version that was uploaded before."""
    manifest = target.manifest
    order = {
        'version': manifest.version,
        'fencing_number': target.fencing_number,
    }
    body = json.dumps(order).encode()
    headers = {'Content-Type': _JSON_TYPE, 'Content-Length': str(len(body))}
    url = f'{engine_url}/models/{manifest.model}/active'
    return _send_order('POST', url, [body], headers)


def _parse_report(response: HttpResponse) -> Result[EngineReport, Failure]:
    if response.status != HTTPStatus.OK:
        detail = (
            f'engine responded to GET /status with {response.status}, not 200'
        )
        return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, detail))
    try:
        return Ok(EngineReport(response.document()))
    except (ValueError, KeyError, TypeError) as error:
        detail = f'engine response to GET /status is malformed: {error!r}'
        return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, detail))


def _send_order(
    method: str,
    url_text: str,
    body_parts: Iterable[bytes],
    headers: dict[str, str],
) -> Result[None, Failure]:
    """Send an order; the body goes out in parts to avoid a copy of it all."""
    url = URL(url_text)
    connection: Any = HTTPConnection(
        url.host,
        url.port,
        timeout=const.ORDER_SILENCE_TIMEOUT_S,
    )
    try:
        connection.request(method, url.request_uri, body_parts, headers)
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
