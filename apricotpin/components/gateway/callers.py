"""Callers' connections: unparsed requests, limits, and disconnects."""

import contextlib
import functools
from typing import Any, Final

from gevent import GreenletExit, get_hub, getcurrent, socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler
from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.serving import IncompleteResponse
from apricotpin.components.gateway.service import (
    ConnectionBusy,
    ConnectionIdle,
    GetLimits,
)
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure, error_response_for
from apricotpin.helpers.exchange import is_open_and_idle
from apricotpin.helpers.sockets import discard_until_closed
from apricotpin.messages.requests import Headers
from apricotpin.messages.desired import CallerLimits

ENVIRON_REQUEST: Final = 'apricotpin.call'
# The event of libev's I/O watchers for a descriptor that can be read.
_READABLE: Final = 1
_DEFAULT_LIMITS: Final = CallerLimits(
    const.HEAD_MAX_BYTES,
    const.BODY_MAX_BYTES,
    const.HEAD_TIMEOUT_S,
    const.IDLE_TIMEOUT_S,
)


class CallerDisconnected(GreenletExit):
    """End the greenlet of a request whose caller disconnected."""


class ClosedAsIdle(GreenletExit):
    """End the wait of a connection for its next request."""


class HeadTooLarge(ValueError):
    """Report that a request head exceeds the limit in force."""


class RawRequest:
    """Carry a request as received, with its body still unread."""

    __slots__ = (
        '_body',
        '_limit_bytes',
        'body_read',
        'connection',
        'headers',
        'method',
        'request_id',
        'target',
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Any,
        limit_bytes: int,
        connection: socket.socket,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.connection = connection
        # Empty until the head is decoded.
        self.request_id = ''
        self.body_read = False
        self._body = body
        self._limit_bytes = limit_bytes

    def read_body(self) -> Result[bytes, Failure]:
        """Return the whole body, or a failure if it exceeds the limit."""
        try:
            body = self._body.read(self._limit_bytes + 1)
        except OSError as error:
            return Err(
                Failure(ErrorKind.BAD_REQUEST, f'body not readable: {error}')
            )
        if len(body) > self._limit_bytes:
            detail = f'the body has more than {self._limit_bytes} bytes'
            return Err(Failure(ErrorKind.REQUEST_TOO_LARGE, detail))
        self.body_read = True
        self.connection.settimeout(const.WRITE_TIMEOUT_S)
        return Ok(body)


class CallerConnectionHandler(WSGIHandler):
    """Handle one connection of a caller."""

    def __init__(
        self,
        connection: Any,
        address: Any,
        server: Any,
        kernel: Kernel,
    ) -> None:
        super().__init__(connection, address, server)
        self._kernel = kernel
        # A caller that stops reading loses its connection; this is not an
        # error of the server.
        ignored = (*self.ignored_socket_errors, 'timed out')
        self.ignored_socket_errors = ignored
        reply = kernel.call(SERVICE_GATEWAY, GetLimits())
        self._limits: CallerLimits = reply.unwrap_or(None) or _DEFAULT_LIMITS
        self._waits_for_request = False
        self._has_responded = False

    def handle_one_request(self) -> Any:
        """Handle a request; after a last response wait for the caller to close.

        The caller may not have received all of the response, and may send its
        next request meanwhile.
        """
        self._has_responded = False
        outcome = None
        try:
            outcome = super().handle_one_request()
        except ClosedAsIdle:
            self._has_responded = True
            self.close_connection = True
        if self._has_responded and self.close_connection:
            discard_until_closed(
                self.socket, const.CLOSE_IDLE_S, const.CLOSE_WAIT_S
            )
        return outcome

    def read_requestline(self) -> str:
        """Wait for the next request, up to the idle time-out.

        Return an empty line if the connection ends instead.
        """
        self.socket.settimeout(self._limits.idle_timeout_s)
        closing = Event()
        closing.rawlink(functools.partial(self._close_if_idle, getcurrent()))
        self._kernel.send(SERVICE_GATEWAY, ConnectionIdle(closing))
        with contextlib.ExitStack() as exit_stack:
            exit_stack.callback(self._end_wait, closing)
            self._waits_for_request = True
            has_begun = bool(self.rfile.peek(1))
        if not has_begun:
            return ''
        self.socket.settimeout(self._limits.head_timeout_s)
        return super().read_requestline()

    # gevent calls this method by this name.
    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Refuse heads that two HTTP parsers could read differently.

        This check runs here because the server drops a Content-Length beside
        a Transfer-Encoding before the application sees the headers.
        """
        headers = super().MessageClass(*args)
        names = [name.lower() for name, _ in headers.items()]
        lengths = names.count('content-length')
        chunked = names.count('transfer-encoding')
        if lengths > 1 or chunked > 1 or (lengths and chunked):
            raise ValueError(
                'ambiguous body length: more than one Content-Length or '
                'Transfer-Encoding header'
            )
        if len(str(headers)) > self._limits.head_max_bytes:
            raise HeadTooLarge(
                f'the request head exceeds {self._limits.head_max_bytes} bytes'
            )
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Add the request as received, which the WSGI environ does not keep."""
        environ = super().get_environ()
        environ[ENVIRON_REQUEST] = RawRequest(
            self.command,
            self.path,
            list(self.headers.items()),
            environ['wsgi.input'],
            self._limits.body_max_bytes,
            self.socket,
        )
        return environ

    def run_application(self) -> None:
        """Log a response that could not be written to its end.

        The last chunk follows after the application has logged the request's
        end.
        """
        try:
            super().run_application()
        except OSError as error:
            logger.bind(
                id=self.environ[ENVIRON_REQUEST].request_id,
                error=repr(error),
            ).info('response_not_written')
            raise
        self._has_responded = True

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close the connection if the response can't be completed."""
        if isinstance(error, IncompleteResponse | GreenletExit):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _end_wait(self, closing: Event) -> None:
        self._waits_for_request = False
        self._kernel.send(SERVICE_GATEWAY, ConnectionBusy(closing))

    def _close_if_idle(self, greenlet: Any, _closing: Event) -> None:
        """End the greenlet if no byte of a request has arrived.

        The hub calls this method, so nothing can arrive between the check and
        the switch to the greenlet.
        """
        if self._waits_for_request and is_open_and_idle(self.socket):
            greenlet.throw(ClosedAsIdle)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if not isinstance(ex, HeadTooLarge):
            return super()._handle_client_error(ex)
        status = error_response_for(ErrorKind.HEAD_TOO_LARGE).http_status
        head = f'HTTP/1.1 {int(status)} {status.phrase}\r\n'
        closing = 'Connection: close\r\nContent-Length: 0\r\n\r\n'
        return str(int(status)), f'{head}{closing}'.encode()


class DisconnectWatch:
    """Interrupt a request's greenlet when its caller closes the connection.

    The hub waits for the connection's descriptor, so that stop() takes effect
    at once. A wait that outlives its connection makes the event loop abort the
    process, or concerns the connection that has the descriptor next.
    """

    __slots__ = ('_connection', '_request', '_watcher')

    def __init__(self, connection: socket.socket, request: Any) -> None:
        self._connection = connection
        self._request = request
        self._watcher = get_hub().loop.io(connection.fileno(), _READABLE)
        self._watcher.start(self._check)

    def stop(self) -> None:
        """End the wait; must be called before the connection is closed."""
        self._watcher.stop()
        self._watcher.close()

    def _check(self) -> None:
        # The hub calls this method, so it must not block.
        if is_open_and_idle(self._connection):
            return
        self.stop()
        try:
            disconnected = not self._connection.recv(1, socket.MSG_PEEK)
        except OSError:
            disconnected = True
        if disconnected:
            self._request.throw(CallerDisconnected)
