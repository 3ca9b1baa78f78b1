"""Short HTTP exchanges with the platform."""

import json
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL
from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.sockets import set_liveness_options


class KeptClient(HTTPClient):
    """Keep connections to one address and notice those that went silent."""

    def __init__(
        self,
        ip: str,
        port: int,
        connections: int,
        connect_timeout_s: float,
        silent_s: float,
    ) -> None:
        super().__init__(
            ip,
            port=port,
            connection_timeout=connect_timeout_s,
            network_timeout=silent_s,
            concurrency=connections,
        )
        self._connection_pool.after_connect = set_liveness_options


class HttpAnswer:
    """Hold the status and the whole body of an HTTP answer."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def document(self) -> Any:
        """Return the body parsed as JSON; raise ValueError if it is not."""
        return json.loads(self.body)


class HttpRequest:
    """Describe a request to the platform."""

    __slots__ = ('body', 'content_type', 'method', 'url')

    def __init__(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        content_type: str = 'application/json',
    ) -> None:
        self.method = method
        self.url = url
        self.body = body
        self.content_type = content_type

    @classmethod
    def with_json(cls, method: str, url: str, document: Any) -> 'HttpRequest':
        """Build a request that carries a JSON document."""
        return cls(method, url, json.dumps(document).encode())


def exchange(
    request: HttpRequest,
    timeout_s: float,
    failure_kind: ErrorKind,
) -> Result[HttpAnswer, Failure]:
    """Send a request on a new connection and read the whole answer.

    Return a failure of the given kind when the connection fails or nothing
    arrives for timeout_s; an answer of any status is no failure here.
    """
    url = URL(request.url)
    client = HTTPClient.from_url(
        url,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    try:
        return Ok(_read_answer(client, url, request))
    except Exception as error:
        # geventhttpclient raises several unrelated exception types.
        detail = f'{request.method} {request.url}: {error!r}'
        return Err(Failure(failure_kind, detail))
    finally:
        client.close()


def _read_answer(
    client: HTTPClient,
    url: URL,
    request: HttpRequest,
) -> HttpAnswer:
    response = client.request(
        request.method,
        url.request_uri,
        body=request.body,
        headers={'Content-Type': request.content_type},
    )
    body = bytes(response.read())
    declared = response.get('content-length')
    if declared is not None and int(declared) != len(body):
        raise ValueError(f'{len(body)} of {declared} bytes arrived')
    return HttpAnswer(response.status_code, body)
