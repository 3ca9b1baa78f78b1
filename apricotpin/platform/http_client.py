"""Short HTTP calls to workers and origins over kept connections."""

from collections.abc import Callable
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import (
    HttpRequest,
    HttpResponse,
    PooledHttpClient,
    RequestLimits,
)

# A worker may hold a request back while it is full; a piece of 32 KiB from
# the origin takes some 30 ms, more while others read.
SILENCE_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 0.5
# A piece that takes longer than this is better asked for again.
TOTAL_TIMEOUT_S: Final = 5.0
# The manifest of 60,000 pieces; a piece has 32 KiB, a report less. An agent
# has 168 MB and calls over five connections.
RESPONSE_MAX_BYTES: Final = 4194304


class PlatformHttpClient:
    """Own kept connections to one address; several greenlets may call."""

    __slots__ = ('_client', '_kind')

    def __init__(self, address: str, connections: int, kind: ErrorKind) -> None:
        self._kind = kind
        self._client = PooledHttpClient(
            address,
            connections,
            RequestLimits(
                CONNECT_TIMEOUT_S,
                SILENCE_TIMEOUT_S,
                TOTAL_TIMEOUT_S,
                RESPONSE_MAX_BYTES,
            ),
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        content_type: str = 'application/octet-stream',
    ) -> Result[HttpResponse, Failure]:
        """Send a request and read the whole answer of any status."""
        request = HttpRequest(method, path, body, content_type)
        outcome = self._client.call(request)
        return outcome.map_err(
            lambda verdict: Failure(
                self._kind,
                f'{method} {path}: {verdict.value}',
            ),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def decode_expected(
    outcome: Result[HttpResponse, Failure],
    decode: Callable[[HttpResponse], Any],
    kind: ErrorKind,
    statuses: tuple[int, ...] = (200,),
) -> Result[Any, Failure]:
    """Decode an answer of an expected status; all else is a failure."""
    if outcome.is_err():
        return outcome
    response = outcome.ok_value
    if response.status not in statuses:
        return Err(Failure(kind, f'status {response.status}'))
    try:
        return Ok(decode(response))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Err(Failure(kind, repr(error)))
