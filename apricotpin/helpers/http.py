"""Short HTTP exchanges with the platform."""

import contextlib
import json
import time
from typing import Any, Final
from urllib.parse import quote

from geventhttpclient.url import URL
from gevent import socket
from gevent.queue import LifoQueue
from result import Err, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.exchange import (
    Exchange,
    Verdict,
    connect,
    is_open_and_idle,
)

# A page of the host list or of the log, and an agent's answer, are smaller.
EXCHANGE_RESPONSE_MAX_BYTES: Final = 16777216
# An answer may pause several times, but not go on for ever.
EXCHANGE_TOTAL_TIMEOUT_FACTOR: Final = 4
_REPEATABLE: Final = frozenset(('GET', 'HEAD', 'PUT'))
_WITH_BODY: Final = frozenset(('POST', 'PUT'))
_DEFAULT_PORT: Final = 80
# What a path with its query may hold unescaped.
_TARGET_SAFE: Final = "/?%:@!$&'()*+,;=~"

HttpResult = Result['HttpResponse', Verdict]


class RequestLimits:
    """Bound one call: its connection, silence, whole time and answer."""

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
    """Hold the status and the whole body of an HTTP answer."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body

    def document(self) -> Any:
        """Return the body parsed as JSON; raise ValueError if it is not."""
        return json.loads(self.body)


class HttpRequest:
    """Describe a request to the platform.

    url is whole for exchange(), a path with its query for a kept client.
    """

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

    def encode(self, host: str) -> bytes:
        """Encode a request whose url is a path."""
        # A model's name may hold anything, also the end of a line.
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
    """Keep connections to one address; several greenlets may call.

    A connection whose call failed is closed.
    """

    __slots__ = ('_address', '_closed', '_limits', '_places')

    def __init__(
        self,
        address: str,
        connections: int,
        limits: RequestLimits,
    ) -> None:
        # An address that is none is found here, not at each call.
        self._address = str(Address.from_text(address))
        self._limits = limits
        self._closed = False
        # Each place holds an idle connection, or None before it is opened.
        self._places: LifoQueue = LifoQueue()
        for _ in range(connections):
            self._places.put(None)

    def call(self, request: HttpRequest) -> HttpResult:
        """Send a request and read the whole answer of any status.

        The time allowed begins once a connection is free.
        """
        place = _Place(self._address, self._limits, self._places.get())
        with contextlib.ExitStack() as ending:
            ending.callback(self._take_back, place)
            return place.call(request)

    def close(self) -> None:
        """Close all connections; those in use are closed after their call."""
        self._closed = True
        for _ in range(self._places.qsize()):
            idle = self._places.get()
            if idle is not None:
                idle.close()
            self._places.put(None)

    def _take_back(self, place: '_Place') -> None:
        if self._closed:
            place.close()
        self._places.put(place.idle)


class _Place:
    """Own a connection, or the right to open one, during one call."""

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
        deadline_s = time.monotonic() + self._limits.total_timeout_s
        if self.idle is not None and not is_open_and_idle(self.idle):
            self.close()
        reused = self.idle is not None
        answered = self._try(request, deadline_s)
        if answered.is_ok() or not reused:
            return answered
        if _may_repeat(request, answered.err_value):
            return self._try(request, deadline_s)
        return answered

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
        used = Exchange(
            connection,
            request.method,
            self._limits.silence_timeout_s,
            deadline_s,
        )
        with contextlib.closing(used):
            answered = self._use(used, request)
            self.idle = used.release()
        return answered

    def _use(self, used: Exchange, request: HttpRequest) -> HttpResult:
        encoded = request.encode(self._address)
        failed = used.send(encoded) or used.read_head()
        if failed:
            return Err(failed)
        body = used.read_all(self._limits.response_max_bytes)
        return body.map(
            lambda whole: HttpResponse(used.parser.get_code(), whole),
        )


def send_request(
    request: HttpRequest,
    timeout_s: float,
    failure_kind: ErrorKind,
) -> Result[HttpResponse, Failure]:
    """Send a request on a new connection and read the whole answer.

    Return a failure of the given kind when the connection fails, nothing
    arrives for timeout_s or the answer does not end; an answer of any status
    is no failure here.
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
        answered = client.call(
            HttpRequest(
                request.method,
                url.request_uri,
                request.body,
                request.content_type,
            ),
        )
    return answered.map_err(
        lambda verdict: Failure(
            failure_kind,
            f'{request.method} {request.url}: {verdict.value}',
        ),
    )


def _may_repeat(request: HttpRequest, verdict: Verdict) -> bool:
    """Tell whether a request may be sent again over a new connection.

    The kept one may have ended before the request came. An order or an
    append that was sent could take effect twice.
    """
    if verdict is Verdict.CONNECT_FAILED:
        return True
    return verdict is Verdict.RESET and request.method in _REPEATABLE
