"""HTTP client for short requests to services of the platform."""

import contextlib
import json
import math
import time
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote

from geventhttpclient.url import URL
from gevent import socket
from gevent.queue import LifoQueue
from result import Err, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers import clocks
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.exchange import (
    Exchange,
    Verdict,
    connect,
    is_open_and_idle,
)

# A page of the host list or of the log, and the response of an agent, are
# smaller.
EXCHANGE_RESPONSE_MAX_BYTES: Final = 16777216
# A response may pause several times, each time for less than the silence
# time-out, but its total time is limited.
EXCHANGE_TOTAL_TIMEOUT_FACTOR: Final = 4
_REPEATABLE: Final = frozenset(('GET', 'HEAD', 'PUT'))
_WITH_BODY: Final = frozenset(('POST', 'PUT'))
_DEFAULT_PORT: Final = 80
# Characters of a path and its query that are not escaped.
_TARGET_SAFE: Final = "/?%:@!$&'()*+,;=~"

HttpResult = Result['HttpResponse', Verdict]


class RequestLimits:
    """Limit the times of one request and the size of its response.

    connect_timeout_s and total_timeout_s apply to connecting and to the whole
    request, silence_timeout_s to the time without received bytes.
    """

    __slots__ = (
        'connect_timeout_s',
        'response_max_bytes',
        'silence_timeout_s',
        'total_timeout_s',
    )

    def __init__(
        self,
        connect_timeout_s: float,
        silence_timeout_s: float,
        total_timeout_s: float,
        response_max_bytes: int,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.silence_timeout_s = silence_timeout_s
        self.total_timeout_s = total_timeout_s
        self.response_max_bytes = response_max_bytes


class HttpResponse:
    """Hold the status, the headers and the complete body of a response."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self,
        status: int,
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or []

    def document(self) -> Any:
        """Return the body parsed as JSON; raise ValueError if it is invalid."""
        return json.loads(self.body)


class HttpRequest:
    """Describe a request to the platform.

    url is a complete URL for send_request(), and a path with its query for a
    PooledHttpClient. The request is not sent after send_by_s, on the boot-time
    clock. is_repeatable: it may be sent again if its connection was reset.
    The server may hold the response for wait_s, which extends the time limits.
    on_head is called once the head of the response was received.
    """

    __slots__ = (
        'body',
        'content_type',
        'is_repeatable',
        'method',
        'on_head',
        'send_by_s',
        'url',
        'wait_s',
    )

    def __init__(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        content_type: str = 'application/json',
        send_by_s: float = math.inf,
    ) -> None:
        self.send_by_s = send_by_s
        self.wait_s: float = 0
        self.on_head: Callable[[], None] | None = None
        self.is_repeatable = method in _REPEATABLE
        self.method = method
        self.url = url
        self.body = body
        self.content_type = content_type

    @classmethod
    def with_json(cls, method: str, url: str, document: Any) -> 'HttpRequest':
        """Build a request that carries a JSON document."""
        return cls(method, url, json.dumps(document).encode())

    def encode(self, host: str) -> bytes:
        """Encode a request whose url is a path."""
        # A path contains names of models, which may have any characters,
        # including line breaks.
        target = quote(self.url, safe=_TARGET_SAFE)
        lines = [
            f'{self.method} {target} HTTP/1.1',
            f'Host: {host}',
        ]
        if self.content_type:
            lines.append(f'Content-Type: {self.content_type}')
        if self.body or self.method in _WITH_BODY:
            lines.append(f'Content-Length: {len(self.body)}')
        text = '\r\n'.join(lines)
        return f'{text}\r\n\r\n'.encode('latin-1') + self.body


class PooledHttpClient:
    """Keep a pool of connections to one address for several greenlets.

    A connection on which a request failed is closed.
    """

    __slots__ = (
        '_address',
        '_closed',
        '_connections',
        '_limits',
    )

    def __init__(
        self,
        address: str,
        connections: int,
        limits: RequestLimits,
    ) -> None:
        # An invalid address raises ValueError here, not at each call.
        self._address = str(Address.from_text(address))
        self._limits = limits
        self._closed = False
        # Each entry is an idle connection, or None for one not open yet.
        self._connections: LifoQueue = LifoQueue()
        for _ in range(connections):
            self._connections.put(None)

    def call(self, request: HttpRequest) -> HttpResult:
        """Send a request and read the complete response of any status.

        The time limits apply from the moment at which a connection is free.
        """
        pooled = _PooledConnection(
            self._address, self._limits, self._connections.get()
        )
        with contextlib.ExitStack() as stack:
            stack.callback(self._give_back, pooled)
            return pooled.call(request)

    def close(self) -> None:
        """Close idle connections now and those in use after their request."""
        self._closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close idle connections; the next requests open new ones."""
        pooled = [
            self._connections.get() for _ in range(self._connections.qsize())
        ]
        for idle in pooled:
            if idle is not None:
                idle.close()
            self._connections.put(None)

    def _give_back(self, pooled: '_PooledConnection') -> None:
        if self._closed:
            pooled.close()
        self._connections.put(pooled.idle)


class _PooledConnection:
    """Own a connection, or the right to open one, during one request."""

    __slots__ = ('idle', '_address', '_limits')

    def __init__(
        self,
        address: str,
        limits: RequestLimits,
        idle: socket.socket | None,
    ) -> None:
        self.idle = idle
        self._address = address
        self._limits = limits

    def call(self, request: HttpRequest) -> HttpResult:
        deadline_s = (
            time.monotonic() + self._limits.total_timeout_s + request.wait_s
        )
        if self.idle is not None and not is_open_and_idle(self.idle):
            self.close()
        reused = self.idle is not None
        response = self._try(request, deadline_s)
        if response.is_ok() or not reused:
            return response
        if _may_repeat(request, response.err_value):
            return self._try(request, deadline_s)
        return response

    def close(self) -> None:
        if self.idle is not None:
            self.idle.close()
            self.idle = None

    def _try(self, request: HttpRequest, deadline_s: float) -> HttpResult:
        connection = self.idle
        self.idle = None
        if connection is None:
            connection = connect(
                self._address,
                deadline_s,
                self._limits.connect_timeout_s,
            )
        if connection is None:
            return Err(Verdict.CONNECT_FAILED)
        exchange = Exchange(
            connection,
            request.method,
            self._limits.silence_timeout_s + request.wait_s,
            deadline_s,
        )
        with contextlib.closing(exchange):
            response = self._run(exchange, request)
            self.idle = exchange.release()
        return response

    def _run(self, exchange: Exchange, request: HttpRequest) -> HttpResult:
        encoded = request.encode(self._address)
        if clocks.boot_time_s() > request.send_by_s:
            return Err(Verdict.START_OVERDUE)
        failed = exchange.send(encoded) or exchange.read_head()
        if failed:
            return Err(failed)
        if request.on_head is not None:
            request.on_head()
        body = exchange.read_all(self._limits.response_max_bytes)
        return body.map(
            lambda content: HttpResponse(
                exchange.parser.get_code(),
                content,
                list(exchange.parser.items()),
            ),
        )


def send_request(
    request: HttpRequest,
    timeout_s: float,
    failure_kind: ErrorKind,
) -> Result[HttpResponse, Failure]:
    """Send a request on a new connection and read the complete response.

    Return a failure of the given kind if the connection fails, no bytes
    arrive for timeout_s, or the response exceeds the limits of its size or
    total time. A response of any status is a success.
    """
    url = URL(request.url)
    limits = RequestLimits(
        timeout_s,
        timeout_s,
        timeout_s * EXCHANGE_TOTAL_TIMEOUT_FACTOR,
        EXCHANGE_RESPONSE_MAX_BYTES,
    )
    address = f'{url.host}:{url.port or _DEFAULT_PORT}'
    with contextlib.closing(PooledHttpClient(address, 1, limits)) as client:
        response = client.call(
            HttpRequest(
                request.method,
                url.request_uri,
                request.body,
                request.content_type,
            ),
        )
    return response.map_err(
        lambda verdict: Failure(
            failure_kind,
            f'{request.method} {request.url}: {verdict.value}',
        ),
    )


def _may_repeat(request: HttpRequest, verdict: Verdict) -> bool:
    """Return whether a request may be sent again on a new connection.

    The server may have closed the pooled connection before the request
    arrived. A POST, such as an order or an append, is not repeated once it
    was sent, since it could take effect twice.
    """
    if verdict is Verdict.CONNECT_FAILED:
        return True
    return verdict is Verdict.RESET and request.is_repeatable
