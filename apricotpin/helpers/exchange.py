"""One HTTP request and its response on a connection to an upstream."""

import enum
import select
import time
from collections.abc import Callable
from typing import Final

from gevent import monkey, sleep, socket
from result import Err, Ok, Result

from apricotpin.helpers.addresses import Address
from apricotpin.helpers.response_parser import ResponseParser
from apricotpin.helpers.sockets import set_liveness_options

CONNECT_TIMEOUT_S: Final = 1.0
# All tasks with bytes to read run in turn. Short chunks are slow to parse, so
# that more bytes at a time would delay other requests.
RECEIVE_BYTES: Final = 16384
_HEAD_END: Final = b'\r\n\r\n'
# After sleep(0) gevent may resume the same greenlets many times before it
# polls sockets and timers. A sleep of 1 ms, the shortest that epoll supports,
# lets them run.
_YIELD_S: Final = 0.001
# An upstream that sends this much in a silence, without what the reader waits
# for, sends without end; reading it would delay other requests.
SILENT_BYTES_MAX: Final = 16384
# A time-out of 0 would make the socket non-blocking.
_WAIT_MIN_S: Final = 0.001


# The system call without gevent's patches, which would switch greenlets.
_poll: Final = monkey.get_original('select', 'poll')


class Verdict(enum.Enum):
    """Name how an attempt ended; the values are the retry reasons."""

    ANSWERED = 'answered'
    CONNECT_FAILED = 'connect_failed'
    RESET = 'reset_before_answer'
    SILENT = 'silent'
    # The request was not sent, or its stream did not begin, in time.
    START_OVERDUE = 'begin_overdue'
    # The response belongs to another request.
    MISMATCHED = 'crossed_answer'
    BUSY = 'upstream_busy'
    TRUNCATED = 'truncated'
    WRONG_VERSION = 'wrong_version'
    TOO_LARGE = 'answer_too_large'
    MISDIRECTED = 'misdirected'
    UPSTREAM_ERROR = 'upstream_error'
    # A stream that has begun was to be continued.
    NOT_A_STREAM = 'not_a_stream'
    CALLER_LEFT = 'caller_left'
    # Another attempt at the same request has delivered first.
    SUPERSEDED = 'superseded'


# Waits on a silent connection, up to a deadline. Returns None once bytes can be
# read, or the verdict that ends the exchange.
SilenceHandler = Callable[[socket.socket, float], Verdict | None]


class Exchange:
    """Own a connection while it carries one request and its response.

    sent is true once the first byte of the request was sent.
    """

    __slots__ = (
        'parser',
        'reused',
        'sent',
        '_connection',
        '_deadline_s',
        '_is_request_complete',
        '_is_silent',
        '_method',
        '_on_silence',
        '_received',
        '_silence_timeout_s',
        '_silent_bytes',
    )

    def __init__(
        self,
        connection: socket.socket,
        method: str,
        silence_timeout_s: float,
        deadline_s: float,
        reused: bool = False,
    ) -> None:
        self.parser = ResponseParser(method)
        self._method = method
        # The bytes received on a reused connection, until the response to this
        # request has begun; None otherwise.
        self._received = bytearray() if reused else None
        self.reused = reused
        self.sent = False
        self._is_request_complete = False
        self._is_silent = False
        self._silent_bytes = 0
        self._on_silence: SilenceHandler | None = None
        self._connection: socket.socket | None = connection
        self._silence_timeout_s = silence_timeout_s
        self._deadline_s = deadline_s

    def set_deadline(self, deadline_s: float) -> None:
        """Replace the deadline, for example once a stream has begun."""
        self._deadline_s = deadline_s

    def set_silence_timeout(self, silence_timeout_s: float) -> None:
        """Replace the time after which an upstream counts as silent."""
        self._silence_timeout_s = silence_timeout_s

    def set_silence_handler(self, handler: SilenceHandler | None) -> None:
        """Replace what follows a silence; without a handler it is the end.

        Once a silence has begun, the handler is called before each read, until
        it is set again.
        """
        self._is_silent = False
        self._silent_bytes = 0
        self._on_silence = handler

    def send(self, encoded: bytes) -> Verdict | None:
        """Send a request; return a verdict if not even one byte was sent."""
        self._connection.settimeout(self._silence_timeout_s)
        try:
            count = self._connection.send(encoded)
        except OSError:
            return Verdict.CONNECT_FAILED
        self.sent = True
        try:
            self._connection.sendall(encoded[count:])
        except OSError:
            # The upstream may have responded before it read the whole request.
            return None
        self._is_request_complete = True
        return None

    def silence_deadline_s(self) -> float:
        """Return the monotonic time at which a silence from now times out."""
        return min(time.monotonic() + self._silence_timeout_s, self._deadline_s)

    def read_head(self) -> Verdict | None:
        """Read until the head is complete; return the verdict if that failed.

        Parts of a head do not extend the time-out, since their number is not
        limited.
        """
        deadline_s = self.silence_deadline_s()
        while not self.parser.head_complete:
            failed = self._receive(Verdict.RESET, deadline_s)
            # What follows a complete head does not change it, whether it
            # arrives with the head or later.
            if failed and not self.parser.head_complete:
                return failed
        return None

    def accept_response(self) -> None:
        """Confirm that the response whose head was read is to this request."""
        self._received = None

    def skip_response(self, limit_bytes: int) -> Verdict | None:
        """Discard the response whose head was read, to read the next one.

        Only one of a stated length up to limit_bytes can be discarded: the
        parser does not tell where a response ends among the received bytes.
        """
        if self._received is None:
            return Verdict.MISMATCHED
        length = self.parser.header('Content-Length')
        head_end = self._received.find(_HEAD_END)
        is_short = length.isdecimal() and len(length) <= len(str(limit_bytes))
        if head_end < 0 or not is_short or int(length) > limit_bytes:
            return Verdict.MISMATCHED
        end = head_end + len(_HEAD_END) + int(length)
        deadline_s = self.silence_deadline_s()
        while len(self._received) < end:
            failed = self._receive(Verdict.TRUNCATED, deadline_s)
            if failed:
                return failed
        rest = bytes(self._received[end:])
        self.parser = ResponseParser(self._method)
        self._received = bytearray(rest)
        self.parser.parse(rest)
        return Verdict.RESET if self.parser.is_malformed else None

    def read_body_part(
        self, deadline_s: float | None = None
    ) -> Result[bytes, Verdict]:
        """Return the next bytes of the body, empty at its end.

        Bytes outside the body, such as trailers, do not extend the time-out.
        """
        deadline_s = (
            self.silence_deadline_s() if deadline_s is None else deadline_s
        )
        part = self.parser.pop_body()
        while not part and not self.parser.message_complete:
            if self.parser.is_malformed:
                return Err(Verdict.TRUNCATED)
            failed = self._receive(Verdict.TRUNCATED, deadline_s)
            if failed:
                return Err(failed)
            part = self.parser.pop_body()
        return Ok(part)

    def read_delimited_body(self, limit_bytes: int) -> Result[bytes, Verdict]:
        """Return a complete body of at most limit_bytes.

        A body that ends with its connection may be truncated and is rejected.
        """
        body = self.read_all(limit_bytes)
        if body.is_ok() and not self.parser.is_complete:
            return Err(Verdict.TRUNCATED)
        return body

    def read_all(
        self,
        limit_bytes: int,
        deadline_s: float | None = None,
    ) -> Result[bytes, Verdict]:
        """Return the body, including one that ends with its connection.

        Without deadline_s each part of the body extends the time-out.
        """
        body = bytearray()
        while True:
            part = self.read_body_part(deadline_s)
            if part.is_err():
                return part
            if not part.ok_value:
                return Ok(bytes(body))
            body += part.ok_value
            if len(body) > limit_bytes:
                return Err(Verdict.TOO_LARGE)

    def release(self) -> socket.socket | None:
        """Return the connection if it may carry another request, else None.

        If the request was not sent to its end, the upstream would take the
        next one on the connection for the rest of it.
        """
        connection = self._connection
        if connection is None or not self._is_request_complete:
            return None
        if not self.parser.can_reuse_connection:
            return None
        if not is_open_and_idle(connection):
            return None
        self._connection = None
        return connection

    def close(self) -> None:
        """Close the connection, which cancels a request in progress."""
        if self._connection is not None:
            self._connection.close()

    def _receive(self, on_end: Verdict, deadline_s: float) -> Verdict | None:
        wait_s = deadline_s - time.monotonic()
        if self._is_silent or wait_s <= 0:
            failed = self._wait_in_silence()
            if failed:
                return failed
            wait_s = self._deadline_s - time.monotonic()
        self._connection.settimeout(max(_WAIT_MIN_S, wait_s))
        try:
            received = self._connection.recv(RECEIVE_BYTES)
        except TimeoutError:
            return self._receive(on_end, time.monotonic())
        except OSError:
            return on_end
        if self._received is not None:
            self._received += received
        self._silent_bytes += len(received)
        self.parser.parse(received)
        if len(received) == RECEIVE_BYTES:
            # recv yields to other greenlets only if no bytes are waiting.
            sleep(_YIELD_S)
        if self.parser.is_malformed:
            return on_end
        ended = not received and not self.parser.message_complete
        return on_end if ended else None

    def _wait_in_silence(self) -> Verdict | None:
        if self._on_silence is None or time.monotonic() >= self._deadline_s:
            return Verdict.SILENT
        if not self._is_silent:
            self._silent_bytes = 0
        if self._silent_bytes >= SILENT_BYTES_MAX:
            return Verdict.SILENT
        self._is_silent = True
        return self._on_silence(self._connection, self._deadline_s)


def connect(
    address: str,
    deadline_s: float,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> socket.socket | None:
    """Open a connection; return None if the upstream can't be reached."""
    wait_s = min(timeout_s, deadline_s - time.monotonic())
    if wait_s <= 0:
        return None
    target = Address.from_text(address).as_tuple()
    try:
        connection = socket.create_connection(target, timeout=wait_s)
    except OSError:
        return None
    set_liveness_options(connection)
    return connection


def refuses_connections(address: str) -> bool:
    """Return whether no process listens at an address.

    A connection that times out is not refused: the process may be suspended.
    """
    target = Address.from_text(address).as_tuple()
    try:
        socket.create_connection(target, timeout=CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def is_open_and_idle(connection: socket.socket) -> bool:
    """Return whether a connection is open and has no unread bytes."""
    if connection.fileno() < 0:
        return False
    # select() accepts no descriptor above 1023; an entry host has thousands.
    poller = _poll()
    poller.register(connection, select.POLLIN)
    return not poller.poll(0)
