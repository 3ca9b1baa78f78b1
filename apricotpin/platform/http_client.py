"""HTTP requests to workers and origins over pooled connections."""

import math
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
from apricotpin.helpers.exchange import Verdict
from apricotpin.platform.entries import DECODE_ERRORS

# A worker may delay a request while it is full; a piece of 32 KiB from the
# origin takes about 30 ms, and longer while other hosts read from it.
SILENCE_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 0.5
# It is better to request a piece again than to wait longer for it.
TOTAL_TIMEOUT_S: Final = 5.0
# The largest response is the manifest of 60,000 pieces; a piece has 32 KiB,
# a report less. An agent has 168 MB of memory and uses five connections.
RESPONSE_MAX_BYTES: Final = 4194304
# No byte of the request was sent.
_VERDICTS_NOT_SENT: Final = (Verdict.CONNECT_FAILED, Verdict.START_OVERDUE)


class PlatformHttpClient:
    """Own the pooled connections to one address, for several greenlets."""

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
        send_by_s: float = math.inf,
    ) -> Result[HttpResponse, Failure]:
        """Send a request and return the complete response of any status.

        A write that was sent and got no complete response fails with
        ENGINE_OUTCOME_UNKNOWN.
        """
        request = HttpRequest(method, path, body, content_type, send_by_s)
        # The caller of a write has to know that an attempt may yet take effect.
        request.is_repeatable = method == 'GET'
        outcome = self._client.call(request)
        return outcome.map_err(
            lambda verdict: Failure(
                self._failure_kind(request, verdict),
                f'{method} {path}: {verdict.value}',
            ),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _failure_kind(
        self, request: HttpRequest, verdict: Verdict
    ) -> ErrorKind:
        if request.is_repeatable or verdict in _VERDICTS_NOT_SENT:
            return self._kind
        return ErrorKind.ENGINE_OUTCOME_UNKNOWN


def decode_expected(
    outcome: Result[HttpResponse, Failure],
    decode: Callable[[HttpResponse], Any],
    kind: ErrorKind,
    statuses: tuple[int, ...] = (200,),
) -> Result[Any, Failure]:
    """Decode a response that has an expected status.

    Another status, or a body that cannot be decoded, is a failure.
    """
    if outcome.is_err():
        return outcome
    response = outcome.ok_value
    if response.status not in statuses:
        return Err(Failure(kind, f'status {response.status}'))
    try:
        return Ok(decode(response))
    except DECODE_ERRORS as error:
        return Err(Failure(kind, f'{error!r:.200}'))
