"""Short HTTP calls to workers and origins over kept connections."""

from collections.abc import Callable
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.http import HttpAnswer, KeptClient

# A worker may hold a request back while it is full; a piece of 32 KiB from
# the origin takes some 30 ms, more while others read.
CALL_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 0.5


class HttpCaller:
    """Own kept connections to one address; several greenlets may call."""

    __slots__ = ('_client', '_kind')

    def __init__(self, address: str, connections: int, kind: ErrorKind) -> None:
        parsed = Address.from_text(address)
        self._kind = kind
        self._client = KeptClient(
            parsed.ip,
            parsed.port,
            connections,
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        content_type: str = 'application/octet-stream',
    ) -> Result[HttpAnswer, Failure]:
        """Send a request and read the whole answer of any status."""
        try:
            return Ok(self._exchange(method, path, body, content_type))
        except Exception as error:
            # geventhttpclient raises several unrelated exception types.
            detail = f'{method} {path}: {error!r}'
            return Err(Failure(self._kind, detail))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
    ) -> HttpAnswer:
        response = self._client.request(
            method,
            path,
            body=body,
            headers={'Content-Type': content_type},
        )
        received = bytes(response.read())
        declared = response.get('content-length')
        if declared is not None and int(declared) != len(received):
            raise ValueError(f'{len(received)} of {declared} bytes arrived')
        return HttpAnswer(response.status_code, received)


def expect(
    answered: Result[HttpAnswer, Failure],
    decode: Callable[[HttpAnswer], Any],
    kind: ErrorKind,
    statuses: tuple[int, ...] = (200,),
) -> Result[Any, Failure]:
    """Decode an answer of an expected status; all else is a failure."""
    if answered.is_err():
        return answered
    answer = answered.ok_value
    if answer.status not in statuses:
        return Err(Failure(kind, f'status {answer.status}'))
    try:
        return Ok(decode(answer))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Err(Failure(kind, repr(error)))
