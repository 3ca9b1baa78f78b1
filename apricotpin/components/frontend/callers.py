"""Callers' requests and the answers to them, as WSGI has them."""

import json
import re
import uuid
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

import gevent
from result import Err, Ok, Result

from apricotpin.components.frontend.const import (
    BODY_READ_S,
    CONTENT_TYPE_JSON,
    DISCARD_MAX_BYTES,
    HEADER_MODEL_VERSION,
    HEADER_REQUEST_ID,
    REQUEST_BODY_MAX_BYTES,
    REQUEST_ID_MAX_CHARACTERS,
)
from apricotpin.components.frontend.events import describe_failure
from apricotpin.errors import ErrorKind, ErrorResponse, Failure

# First segment of a path.
KIND_SERVICES: Final = 'services'
KIND_OUTCOMES: Final = 'outcomes'

Headers = list[tuple[str, str]]

_TOKEN: Final = re.compile(r'[A-Za-z0-9._:~-]+')
_PRIORITY: Final = re.compile('[0-9]')
_PATH_PARTS: Final = 3
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
_HEADER_PREFIX: Final = 'HTTP_'
_PATHS: Final = (
    'the path must be /services/{service}/{path} or /outcomes/{service}/{key}'
)


class CallerRequest:
    """Hold a caller's request without its body.

    path is decoded and begins with a slash; a priority of None stands for
    the priority of the workspace.
    """

    __slots__ = (
        'environ',
        'key',
        'kind',
        'method',
        'path',
        'priority',
        'request_id',
        'service_name',
        'version',
        'workspace',
    )

    def __init__(self, environ: dict[str, Any]) -> None:
        parts = environ['PATH_INFO'].split('/', _PATH_PARTS)
        self.environ = environ
        self.kind = parts[1] if len(parts) > 1 else ''
        self.service_name = parts[2] if len(parts) > 2 else ''
        self.path = f'/{parts[3]}' if len(parts) > _PATH_PARTS else '/'
        self.method: str = environ['REQUEST_METHOD']
        self.workspace = self.header('X-Workspace')
        self.key = self.header('Idempotency-Key')
        self.version = self.header(HEADER_MODEL_VERSION)
        self.request_id = self.header(HEADER_REQUEST_ID) or uuid.uuid4().hex
        priority = self.header('X-Priority')
        self.priority = int(priority) if _PRIORITY.fullmatch(priority) else None

    @classmethod
    def from_environ(
        cls,
        environ: dict[str, Any],
    ) -> Result['CallerRequest', Failure]:
        """Read a request; the failure names what is wrong with it."""
        request = cls(environ)
        if request.kind not in {KIND_SERVICES, KIND_OUTCOMES}:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, _PATHS))
        fault = request.fault()
        if fault:
            return Err(Failure(ErrorKind.BAD_REQUEST, fault))
        return Ok(request)

    def header(self, name: str) -> str:
        """Return a header, or nothing if the caller sent none."""
        field = name.upper().replace('-', '_')
        return self.environ.get(f'{_HEADER_PREFIX}{field}', '')

    def fault(self) -> str:
        """Return what is wrong with the request, or nothing."""
        priority = self.header('X-Priority')
        if priority and self.priority is None:
            return f'X-Priority is {priority!r}, expected 0 to 9'
        if not is_token(self.request_id):
            return (
                f'{HEADER_REQUEST_ID} has characters other than A-Za-z0-9._:~-'
            )
        # An upstream that resolves such segments would run another path than
        # the one whose rule was applied.
        if {'.', '..'}.intersection(self.path.split('/')):
            return 'the path has a segment . or ..'
        return ''

    def target(self) -> str:
        """Return the path and query as the upstream receives them."""
        path = quote(self.path.encode('latin-1'), safe=_PATH_SAFE)
        query = self.environ.get('QUERY_STRING', '')
        return f'{path}?{query}' if query else path

    def sent_headers(self) -> Headers:
        """Return all headers of the caller."""
        headers = [
            (name.removeprefix(_HEADER_PREFIX).replace('_', '-').title(), text)
            for name, text in self.environ.items()
            if name.startswith(_HEADER_PREFIX)
        ]
        content_type = self.environ.get('CONTENT_TYPE', '')
        if content_type:
            headers.append(('Content-Type', content_type))
        return headers

    def read_body(self) -> Result[bytes, Failure]:
        """Read the body of at most REQUEST_BODY_MAX_BYTES."""
        too_large = Failure(
            ErrorKind.REQUEST_TOO_LARGE,
            f'the body has more than {REQUEST_BODY_MAX_BYTES} bytes',
        )
        body = None
        try:
            with gevent.Timeout(BODY_READ_S, exception=False):
                body = self._input.read(REQUEST_BODY_MAX_BYTES + 1)
        except OSError as error:
            return Err(Failure(ErrorKind.BAD_REQUEST, f'body: {error}'))
        if body is None:
            detail = f'the body did not arrive within {BODY_READ_S} s'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return Err(too_large) if _exceeds(body) else Ok(body)

    def abandon_body(self) -> bool:
        """Tell whether the connection must close instead of reading a body.

        The server reads what is left of a body before the next request.
        """
        unread = self._input
        left = self._declared_bytes() - unread.position
        if left <= DISCARD_MAX_BYTES and not unread.chunked_input:
            return False
        unread.content_length = 0
        unread.chunked_input = False
        return True

    @property
    def _input(self) -> Any:
        return self.environ['wsgi.input']

    def _declared_bytes(self) -> int:
        return int(self.environ.get('CONTENT_LENGTH') or 0)


class CallerAnswer:
    """Hold the head of an answer and the parts of its body as they come."""

    __slots__ = ('headers', 'parts', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        parts: Iterable[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.parts = parts

    @classmethod
    def with_body(
        cls,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> 'CallerAnswer':
        """Build an answer whose body is whole."""
        length = ('Content-Length', str(len(body)))
        return cls(status, [*headers, length], [body])

    @classmethod
    def with_failure(
        cls, failure: Failure, told: ErrorResponse
    ) -> 'CallerAnswer':
        """Build the answer that tells a caller of a failure."""
        repeat, executed = told.repeat.value, told.executed.value
        document = describe_failure(failure, repeat, executed)
        headers = [
            ('Content-Type', CONTENT_TYPE_JSON),
            ('X-Error-Kind', failure.kind.value),
            ('X-Executed', executed),
        ]
        body = json.dumps(document).encode()
        return cls.with_body(told.http_status, headers, body)

    def status_line(self) -> str:
        """Return the status with its reason phrase."""
        try:
            return f'{self.status} {HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Unregistered'


def is_token(text: str) -> bool:
    """Tell whether a text may be part of a request's identity."""
    if len(text) > REQUEST_ID_MAX_CHARACTERS:
        return False
    return _TOKEN.fullmatch(text) is not None


def _exceeds(body: bytes) -> bool:
    return len(body) > REQUEST_BODY_MAX_BYTES
