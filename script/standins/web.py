"""HTTP for stand-ins: requests, answers, routes and the listener."""

import errno
import json
import re
import signal
import struct
import sys
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY
from typing import Any, Final
from urllib.parse import parse_qsl

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.listeners import open_listener

READ_BYTES: Final = 262144
CALL_TIMEOUT_S: Final = 60.0
_LINGER_NOT_AT_ALL: Final = struct.pack('ii', 1, 0)


class Request:
    """Hold one HTTP request."""

    __slots__ = ('environ', 'method', 'path', 'query')

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO']
        self.query = dict(parse_qsl(environ['QUERY_STRING']))

    def header(self, name: str, default: str = '') -> str:
        """Return a header field, or the default if it is absent."""
        key = name.upper().replace('-', '_')
        return self.environ.get(f'HTTP_{key}', default)

    def body(self) -> bytes:
        """Read the whole body."""
        return self.environ['wsgi.input'].read()

    def parts(self) -> Iterable[bytes]:
        """Read the body in parts, so that a large one is never held whole."""
        stream = self.environ['wsgi.input']
        while part := stream.read(READ_BYTES):
            yield part

    def document(self) -> Any:
        """Return the body parsed as JSON; raise ValueError if it is not."""
        return json.loads(self.body() or b'{}')

    def connection_age_s(self) -> float:
        """Return for how long this connection has been open."""
        return gevent.get_hub().loop.now() - self.environ['standin.opened_s']

    def close_connection(self) -> None:
        """End the request without an answer, by FIN."""
        raise ConnectionResetError(errno.ECONNRESET, 'closed by a fault')

    def reset_connection(self) -> None:
        """End the request without an answer, by RST."""
        connection = self.environ['standin.socket']
        connection.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_NOT_AT_ALL)
        self.close_connection()


class Answer:
    """Hold one HTTP answer; parts instead of a body make it a stream."""

    __slots__ = ('body', 'headers', 'parts', 'status')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: Sequence[tuple[str, str]] = (),
        parts: Iterable[bytes] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.headers = list(headers)
        self.parts = parts

    @classmethod
    def with_json(
        cls,
        document: Any,
        status: int = HTTPStatus.OK,
        headers: Sequence[tuple[str, str]] = (),
    ) -> 'Answer':
        """Build an answer that carries a JSON document."""
        content_type = ('Content-Type', 'application/json')
        body = json.dumps(document).encode()
        return cls(status, body, [content_type, *headers])

    @classmethod
    def with_error(cls, status: int, detail: str) -> 'Answer':
        """Build a refusal."""
        return cls.with_json({'error': detail}, status)


Route = tuple[str, str, Callable[..., Answer]]


def ask(kernel: Kernel, name: str, message: Any) -> Any:
    """Call a service of this stand-in; raise RefusedError if it refuses."""
    outcome = kernel.call(name, message, CALL_TIMEOUT_S)
    if outcome.is_err():
        raise RefusedError(outcome.err_value)
    return outcome.ok_value


class RefusedError(Exception):
    """Carry a refusal to the edge, where it becomes an HTTP answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def make_application(routes: Sequence[Route]) -> Callable[..., Any]:
    """Return the WSGI application for routes (method, path pattern, page).

    The method '*' stands for any; groups of the pattern are passed on.
    """
    compiled = [
        (method, re.compile(pattern), page) for method, pattern, page in routes
    ]

    def application(environ: dict[str, Any], start_response: Any) -> Any:
        request = Request(environ)
        answer = _answer_of(compiled, request)
        headers = answer.headers
        if answer.parts is None:
            headers = [*headers, ('Content-Length', str(len(answer.body)))]
        phrase = HTTPStatus(answer.status).phrase
        start_response(f'{int(answer.status)} {phrase}', headers)
        return [answer.body] if answer.parts is None else answer.parts

    return application


def _answer_of(compiled: Sequence[Any], request: Request) -> Answer:
    for method, pattern, page in compiled:
        match = pattern.fullmatch(request.path)
        if match is not None and method in {'*', request.method}:
            return _run_page(page, request, match.groups())
    return Answer.with_error(HTTPStatus.NOT_FOUND, f'no page {request.path}')


def _run_page(page: Any, request: Request, groups: Any) -> Answer:
    try:
        return page(request, *groups)
    except (ValueError, KeyError, TypeError) as error:
        return Answer.with_error(HTTPStatus.BAD_REQUEST, repr(error))
    except RefusedError as refused:
        return Answer.with_error(HTTPStatus.BAD_REQUEST, str(refused))


class _Handler(WSGIHandler):
    """Tell pages their connection, which faults need."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # Without this, each part of a stream waits for a delayed ACK (40 ms).
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.opened_s = gevent.get_hub().loop.now()

    def get_environ(self) -> dict[str, Any]:
        """Add the socket and its age to the request's environment."""
        environ = super().get_environ()
        environ['standin.socket'] = self.socket
        environ['standin.opened_s'] = self.opened_s
        return environ


def open_server(listen: str, routes: Sequence[Route]) -> WSGIServer:
    """Start to serve routes; end the process if the address is taken."""
    opened = open_listener(Address.from_text(listen))
    if opened.is_err():
        sys.exit(str(opened.err_value))
    server = WSGIServer(
        opened.ok_value,
        make_application(routes),
        log=None,
        error_log=None,
        handler_class=_Handler,
    )
    server.start()
    return server


def serve(kernel: Kernel, listen: str, routes: Sequence[Route]) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = open_server(listen, routes)
    wait_for_signal()
    server.close()
    kernel.stop()


def wait_for_signal() -> None:
    """Block until SIGTERM or SIGINT."""
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    stop_requested.wait()
