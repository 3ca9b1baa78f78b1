"""HTTP server for the stand-ins: requests, responses, routing, listener."""

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

READ_MAX_BYTES: Final = 262144
CALL_TIMEOUT_S: Final = 60.0
# With a linger time of 0, closing the socket sends an RST instead of a FIN.
_ZERO_LINGER: Final = struct.pack('ii', 1, 0)


class Request:
    """Describe one HTTP request."""

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
        """Read the entire body."""
        return self.environ['wsgi.input'].read()

    def body_parts(self) -> Iterable[bytes]:
        """Read the body in parts to keep a large one out of memory."""
        stream = self.environ['wsgi.input']
        while part := stream.read(READ_MAX_BYTES):
            yield part

    def document(self) -> Any:
        """Return the body parsed as JSON; raise ValueError if it is invalid."""
        return json.loads(self.body() or b'{}')

    def connection_age_s(self) -> float:
        """Return the time since the connection was accepted."""
        return gevent.get_hub().loop.now() - self.environ['standin.opened_s']

    def close_connection(self) -> None:
        """Close the connection with a FIN instead of responding."""
        raise ConnectionResetError(errno.ECONNRESET, 'closed by a fault')

    def reset_connection(self) -> None:
        """Close the connection with an RST instead of responding."""
        connection = self.environ['standin.socket']
        connection.setsockopt(SOL_SOCKET, SO_LINGER, _ZERO_LINGER)
        self.close_connection()


class Response:
    """Describe one HTTP response; body_parts streams it instead of body."""

    __slots__ = ('body', 'body_parts', 'headers', 'status')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: Sequence[tuple[str, str]] = (),
        body_parts: Iterable[bytes] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.headers = list(headers)
        self.body_parts = body_parts

    @classmethod
    def with_json(
        cls,
        document: Any,
        status: int = HTTPStatus.OK,
        headers: Sequence[tuple[str, str]] = (),
    ) -> 'Response':
        """Build a response with a JSON body."""
        content_type = ('Content-Type', 'application/json')
        body = json.dumps(document).encode()
        return cls(status, body, [content_type, *headers])

    @classmethod
    def with_error(cls, status: int, detail: str) -> 'Response':
        """Build an error response; detail goes into its JSON body."""
        return cls.with_json({'error': detail}, status)


Route = tuple[str, str, Callable[..., Response]]


def call_service(kernel: Kernel, name: str, message: Any) -> Any:
    """Call a kernel service and return its value.

    Raise RefusedError if the service replies with a failure.
    """
    outcome = kernel.call(name, message, CALL_TIMEOUT_S)
    if outcome.is_err():
        raise RefusedError(outcome.err_value)
    return outcome.ok_value


class RefusedError(Exception):
    """Carry a service's failure up to the router, which responds with 400."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def make_application(routes: Sequence[Route]) -> Callable[..., Any]:
    """Return the WSGI application for routes (method, path regex, endpoint).

    The method '*' matches any method. The groups of the path regex become
    arguments of the endpoint.
    """
    compiled_routes = [
        (method, re.compile(pattern), endpoint)
        for method, pattern, endpoint in routes
    ]

    def application(environ: dict[str, Any], start_response: Any) -> Any:
        request = Request(environ)
        response = _respond(compiled_routes, request)
        headers = response.headers
        if response.body_parts is None:
            headers = [*headers, ('Content-Length', str(len(response.body)))]
        phrase = HTTPStatus(response.status).phrase
        start_response(f'{int(response.status)} {phrase}', headers)
        return (
            [response.body]
            if response.body_parts is None
            else response.body_parts
        )

    return application


def _respond(compiled_routes: Sequence[Any], request: Request) -> Response:
    for method, pattern, endpoint in compiled_routes:
        match = pattern.fullmatch(request.path)
        if match is not None and method in {'*', request.method}:
            return _call_endpoint(endpoint, request, match.groups())
    return Response.with_error(HTTPStatus.NOT_FOUND, f'no page {request.path}')


def _call_endpoint(endpoint: Any, request: Request, groups: Any) -> Response:
    try:
        return endpoint(request, *groups)
    except (ValueError, KeyError, TypeError) as error:
        return Response.with_error(HTTPStatus.BAD_REQUEST, repr(error))
    except RefusedError as refused:
        return Response.with_error(HTTPStatus.BAD_REQUEST, str(refused))


class ConnectionHandler(WSGIHandler):
    """Give endpoints access to their connection, so that they inject faults."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # With Nagle's algorithm, each part of a streamed response would wait
        # for the delayed ACK of the part before (40 ms).
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.opened_s = gevent.get_hub().loop.now()

    def get_environ(self) -> dict[str, Any]:
        """Add the socket and the time it was accepted to the environment."""
        environ = super().get_environ()
        environ['standin.socket'] = self.socket
        environ['standin.opened_s'] = self.opened_s
        return environ


def open_server(listen: str, routes: Sequence[Route]) -> WSGIServer:
    """Start a server for routes; exit the process if the bind fails."""
    opened = open_listener(Address.from_text(listen))
    if opened.is_err():
        sys.exit(str(opened.err_value))
    server = WSGIServer(
        opened.ok_value,
        make_application(routes),
        log=None,
        error_log=None,
        handler_class=ConnectionHandler,
    )
    server.start()
    return server


def serve(kernel: Kernel, listen: str, routes: Sequence[Route]) -> None:
    """Serve routes until SIGTERM or SIGINT."""
    server = open_server(listen, routes)
    wait_for_signal()
    server.close()
    kernel.stop()


def wait_for_signal() -> None:
    """Block until SIGTERM or SIGINT."""
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    stop_requested.wait()
