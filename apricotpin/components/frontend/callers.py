"""Callers' requests and the responses to them, in terms of WSGI."""

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
    BODY_READ_TIMEOUT_S,
    CONTENT_TYPE_JSON,
    DISCARD_MAX_BYTES,
    HEADER_MODEL_VERSION,
    HEADER_REQUEST_ID,
    REQUEST_BODY_MAX_BYTES,
    REQUEST_ID_MAX_CHARACTERS,
)
from apricotpin.components.frontend.events import describe_failure
from apricotpin.errors import ErrorResponse, ErrorKind, Failure

# First segment of a request path, which names the kind of the request.
KIND_SERVICES: Final = 'services'
KIND_OUTCOMES: Final = 'outcomes'

Headers = list[tuple[str, str]]

_REQUEST_ID_PATTERN: Final = re.compile(r'[A-Za-z0-9._:~-]+')
_PRIORITY: Final = re.compile('[0-9]')
_PATH_PARTS: Final = 3
_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
_HEADER_PREFIX: Final = 'HTTP_'
_PATH_FORMS: Final = (
    'the path must be /services/{service}/{path} or /outcomes/{service}/{key}'
)


class CallerRequest:
    """Describe a caller's request without its body.

    path is the decoded path that the upstream receives; it starts with a
    slash. A priority of None stands for the priority of the workspace.
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
        """Parse a request; return a failure if it is not valid."""
        request = cls(environ)
        if request.kind not in {KIND_SERVICES, KIND_OUTCOMES}:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, _PATH_FORMS))
        error = request.validation_error()
        if error:
            return Err(Failure(ErrorKind.BAD_REQUEST, error))
        return Ok(request)

    def header(self, name: str) -> str:
        """Return the text of a header, empty if it is missing."""
        field = name.upper().replace('-', '_')
        return self.environ.get(f'{_HEADER_PREFIX}{field}', '')

    def validation_error(self) -> str:
        """Return why the request is not valid, empty if it is valid."""
        priority = self.header('X-Priority')
        if priority and self.priority is None:
            return f'X-Priority is {priority!r}, expected 0 to 9'
        if not is_valid_request_id(self.request_id):
            return (
                f'{HEADER_REQUEST_ID} must have 1 to '
                f'{REQUEST_ID_MAX_CHARACTERS} characters of A-Za-z0-9._:~-'
            )
        # An upstream that resolves these segments would run another path than
        # the one whose rule was applied.
        if {'.', '..'}.intersection(self.path.split('/')):
            return 'the path has a segment . or ..'
        return ''

    def target(self) -> str:
        """Return the path and query to send to the upstream."""
        path = quote(self.path.encode('latin-1'), safe=_PATH_SAFE)
        query = self.environ.get('QUERY_STRING', '')
        return f'{path}?{query}' if query else path

    def all_headers(self) -> Headers:
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
        """Return the body, or a failure above REQUEST_BODY_MAX_BYTES."""
        too_large = Failure(
            ErrorKind.REQUEST_TOO_LARGE,
            f'the body exceeds {REQUEST_BODY_MAX_BYTES} bytes',
        )
        body = None
        try:
            with gevent.Timeout(BODY_READ_TIMEOUT_S, exception=False):
                body = self._input.read(REQUEST_BODY_MAX_BYTES + 1)
        except OSError as error:
            return Err(
                Failure(ErrorKind.BAD_REQUEST, f'body not readable: {error}')
            )
        if body is None:
            detail = f'the body did not arrive within {BODY_READ_TIMEOUT_S} s'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return Err(too_large) if _is_too_large(body) else Ok(body)

    def skip_large_body(self) -> bool:
        """Return whether the connection must close because of an unread body.

        The server reads the rest of a body before the next request. If that
        rest is too large or its size is unknown, this makes the server skip it.
        """
        body_input = self._input
        rest_bytes = self._declared_bytes() - body_input.position
        if rest_bytes <= DISCARD_MAX_BYTES and not body_input.chunked_input:
            return False
        body_input.content_length = 0
        body_input.chunked_input = False
        return True

    @property
    def _input(self) -> Any:
        return self.environ['wsgi.input']

    def _declared_bytes(self) -> int:
        return int(self.environ.get('CONTENT_LENGTH') or 0)


class CallerResponse:
    """Carry the head of a response and an iterable of its body's parts."""

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
    ) -> 'CallerResponse':
        """Build a response with a complete body."""
        length = ('Content-Length', str(len(body)))
        return cls(status, [*headers, length], [body])

    @classmethod
    def with_failure(
        cls, failure: Failure, error_response: ErrorResponse
    ) -> 'CallerResponse':
        """Build the response that reports a failure to a caller."""
        repeat, executed = (
            error_response.repeat.value,
            error_response.executed.value,
        )
        document = describe_failure(failure, repeat, executed)
        headers = [
            ('Content-Type', CONTENT_TYPE_JSON),
            ('X-Error-Kind', failure.kind.value),
            ('X-Executed', executed),
        ]
        body = json.dumps(document).encode()
        return cls.with_body(error_response.http_status, headers, body)

    def status_line(self) -> str:
        """Return the status code with its reason phrase."""
        try:
            return f'{self.status} {HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Unregistered'


def is_valid_request_id(text: str) -> bool:
    """Return whether a text is valid as a request id."""
    if len(text) > REQUEST_ID_MAX_CHARACTERS:
        return False
    return _REQUEST_ID_PATTERN.fullmatch(text) is not None


def _is_too_large(body: bytes) -> bool:
    return len(body) > REQUEST_BODY_MAX_BYTES
