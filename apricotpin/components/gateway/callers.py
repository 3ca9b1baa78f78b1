"""Callers' connections: heads as they came, limits, and who has left."""

from typing import Any, Final

from gevent import GreenletExit, getcurrent, socket
from gevent.pywsgi import WSGIHandler
from result import Err, Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.serving import BrokenAnswer
from apricotpin.components.gateway.service import (
    ConnectionBusy,
    ConnectionIdle,
    GetLimits,
)
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure, error_response_for
from apricotpin.messages.requests import Headers
from apricotpin.messages.desired import CallerLimits

ENVIRON_CALL: Final = 'apricotpin.call'
_DEFAULT_LIMITS: Final = CallerLimits(
    const.HEAD_MAX_BYTES,
    const.BODY_MAX_BYTES,
    const.HEAD_TIMEOUT_S,
    const.IDLE_TIMEOUT_S,
)


class CallerGone(GreenletExit):
    """End the greenlet of a request whose caller has left."""


class HeadTooLarge(ValueError):
    """Say that a head is larger than the limit in force."""


class RawCall:
    """Hold a request as it came, with its body still unread."""

    __slots__ = (
        '_body',
        '_limit_bytes',
        'body_read',
        'connection',
        'headers',
        'method',
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
        self.body_read = False
        self._body = body
        self._limit_bytes = limit_bytes

    def read_body(self) -> Result[bytes, Failure]:
        """Read the whole body, as far as the limit allows."""
        try:
            body = self._body.read(self._limit_bytes + 1)
        except OSError as error:
            return Err(Failure(ErrorKind.BAD_REQUEST, f'body: {error}'))
        if len(body) > self._limit_bytes:
            detail = f'the body has more than {self._limit_bytes} bytes'
            return Err(Failure(ErrorKind.REQUEST_TOO_LARGE, detail))
        self.body_read = True
        self.connection.settimeout(const.WRITE_TIMEOUT_S)
        return Ok(body)


class CallerHandler(WSGIHandler):
    """Serve one connection of a caller."""

    def __init__(
        self,
        connection: Any,
        address: Any,
        server: Any,
        kernel: Kernel,
    ) -> None:
        super().__init__(connection, address, server)
        self._kernel = kernel
        # A caller that stops reading ends its connection, but is no fault.
        ignored = (*self.ignored_socket_errors, 'timed out')
        self.ignored_socket_errors = ignored
        asked = kernel.call(SERVICE_GATEWAY, GetLimits())
        self._limits: CallerLimits = asked.unwrap_or(None) or _DEFAULT_LIMITS

    def read_requestline(self) -> str:
        """Wait for a request as long as a connection may be idle."""
        self.socket.settimeout(self._limits.idle_timeout_s)
        this = getcurrent()
        self._kernel.send(SERVICE_GATEWAY, ConnectionIdle(this))
        try:
            line = super().read_requestline()
        except BaseException:
            self._kernel.send(SERVICE_GATEWAY, ConnectionBusy(this))
            raise
        self._kernel.send(SERVICE_GATEWAY, ConnectionBusy(this))
        self.socket.settimeout(self._limits.head_timeout_s)
        return line

    # The library fixes this name.
    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Refuse heads that two readers could understand differently.

        The server drops a length beside chunks before anyone else sees it.
        """
        headers = super().MessageClass(*args)
        names = [name.lower() for name, _ in headers.items()]
        lengths = names.count('content-length')
        chunked = names.count('transfer-encoding')
        if lengths > 1 or chunked > 1 or (lengths and chunked):
            raise ValueError('the length of the body is ambiguous')
        if len(str(headers)) > self._limits.head_max_bytes:
            raise HeadTooLarge('the head is too large')
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Add the request as it came, which the environ does not keep."""
        environ = super().get_environ()
        environ[ENVIRON_CALL] = RawCall(
            self.command,
            self.path,
            list(self.headers.items()),
            environ['wsgi.input'],
            self._limits.body_max_bytes,
            self.socket,
        )
        return environ

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close the connection of an answer that can't be completed."""
        if isinstance(error, BrokenAnswer | GreenletExit):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if not isinstance(ex, HeadTooLarge):
            return super()._handle_client_error(ex)
        status = error_response_for(ErrorKind.HEAD_TOO_LARGE).http_status
        head = f'HTTP/1.1 {int(status)} {status.phrase}\r\n'
        closing = 'Connection: close\r\nContent-Length: 0\r\n\r\n'
        return str(int(status)), f'{head}{closing}'.encode()


def watch_caller(connection: socket.socket, request: Any) -> None:
    """End a request when its caller closes the connection."""
    try:
        socket.wait_read(connection.fileno())
        left = not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return
    except OSError:
        left = True
    if left:
        request.kill(CallerGone, block=False)
