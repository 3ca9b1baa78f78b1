"""Steps for responses that do not end."""

import fcntl
import time
import tracemalloc
from http.client import parse_headers

from behave import given, then, when
from gevent import sleep, socket, spawn

from apricotpin.helpers.exchange import Exchange, connect, is_open_and_idle
from tests.endless_sender import EndlessSender
from tests.upstream_fake import open_port

_LIMIT_BYTES = 262144
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1048576
_READ_MAX_BYTES = 65536
_TICK_S = 0.01
# Far less than the time for which the bytes are sent.
_PAUSE_MAX_S = 0.2
_SLOW_PAUSE_S = 0.1
_READ_PAUSE_S = 0.3
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'header': (_OK + b'X-Long: ', b'x'),
    'headers': (_OK, b'X-Name: text\r\n'),
    'reason': (b'HTTP/1.1 200 ', b'x'),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'upgrade responses': (b'', b'HTTP/1.1 101 Switching\r\n\r\n'),
    'garbage': (b'', b'no answer'),
    'body': (_OK + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'chunks': (_CHUNKED, b'4\r\nbody\r\n'),
    'unframed body': (_OK + b'\r\n', b'x'),
    'zeros in a chunk length': (_CHUNKED, b'0'),
    'chunk extension': (_CHUNKED + b'4;', b'x'),
    'trailers': (_CHUNKED + b'0\r\n', b'X-Name: text\r\n'),
    'trailer': (_CHUNKED + b'0\r\nX-Long: ', b'x'),
}


class GreenletMonitor:
    """Own a greenlet that measures the longest time in which it could not run.

    It measures processor time, so that load on the machine has no influence.
    """

    def __init__(self):
        self.longest_s = 0
        self._greenlet = spawn(self._measure)
        sleep(0)

    def stop(self):
        """Kill the greenlet."""
        self._greenlet.kill()

    def _measure(self):
        while True:
            before_s = time.process_time()
            sleep(_TICK_S)
            pause_s = time.process_time() - before_s
            self.longest_s = max(self.longest_s, pause_s)


def start_sender(context, part, pause_s=0):
    """Start a sender of a response of which one part is endless."""
    context.sender = EndlessSender(open_port(), *ENDLESS[part], pause_s)
    context.cleanups = [context.sender.close]


@given('exchange with a sender of endless {part}')
def start_fast_sender(context, part):
    start_sender(context, part)


@given('exchange with a slow sender of endless {part}')
def start_slow_sender(context, part):
    start_sender(context, part, _SLOW_PAUSE_S)


_INVALID = {
    'chunk': b'not a length\r\n',
    'trailers': b'0\r\n' + b'X-Name: text\r\n' * 1000,
    'header': b'no header\r\n\r\n',
}
_REFUSED = b'HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n'


class InvalidResponder:
    """Send an invalid response with its head or a moment later."""

    def __init__(self, part, is_together):
        self._listener = open_port()
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._invalid = _INVALID[part]
        head_end = b'' if part == 'header' else b'\r\n'
        self._head = _REFUSED + head_end
        self._is_together = is_together
        self._greenlet = spawn(self._serve)

    def close(self):
        """Close the listener."""
        self._greenlet.kill()
        self._listener.close()

    def _serve(self):
        connection, _ = self._listener.accept()
        connection.recv(_BYTES_PER_KB)
        if self._is_together:
            connection.sendall(self._head + self._invalid)
        else:
            connection.sendall(self._head)
            sleep(_SLOW_PAUSE_S)
            connection.sendall(self._invalid)
        sleep(_READ_PAUSE_S)
        connection.close()


@given('exchange with a peer that sends an invalid {part} {moment} its head')
def start_invalid_responder(context, part, moment):
    context.sender = InvalidResponder(part, moment == 'with')
    context.cleanups = [context.sender.close]


@then('exchange has read the status {status:d}')
def check_status(context, status):
    parser = context.exchange.parser
    found = parser.get_code() if parser.head_complete else 0
    assert found == status, found


@when(
    'exchange reads it with a silence time-out of {silent_s:g} s '
    'and a deadline of {deadline_s:g} s'
)
def read_response(context, silent_s, deadline_s):
    until_s = time.monotonic() + deadline_s
    connection = connect(context.sender.address, until_s)
    exchange = Exchange(connection, 'GET', silent_s, until_s)
    context.exchange = exchange
    context.monitor = GreenletMonitor()
    began_s = time.monotonic()
    tracemalloc.start()
    failed = exchange.send(b'GET / HTTP/1.1\r\n\r\n') or exchange.read_head()
    context.verdict = failed or exchange.read_all(_LIMIT_BYTES).err_value
    context.used_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.took_s = time.monotonic() - began_s
    sleep(_TICK_S)
    context.monitor.stop()
    exchange.close()


@then('exchange ends as {verdict} within {max_s:g} s')
def check_verdict(context, verdict, max_s):
    assert context.verdict.value == verdict, context.verdict
    assert context.took_s <= max_s, context.took_s


@then('exchange used at most {max_mb:d} MB of memory')
def check_memory(context, max_mb):
    assert context.used_bytes <= max_mb * _BYTES_PER_MB, context.used_bytes


@then('exchange did not block other greenlets')
def check_not_blocked(context):
    assert context.monitor.longest_s < _PAUSE_MAX_S, context.monitor.longest_s


@then('exchange closed the connection')
def check_closed(context):
    context.sender.wait_closed()


@given(
    'exchange with a connection of descriptor {descriptor:d} or above that is '
    '{state}'
)
def open_connection(context, descriptor, state):
    own, peer = socket.socketpair()
    duplicate = fcntl.fcntl(own.fileno(), fcntl.F_DUPFD, descriptor)
    context.connection = socket.socket(fileno=duplicate)
    context.cleanups = [own.close, peer.close, context.connection.close]
    if state == 'closed by peer':
        peer.close()
    elif state == 'with unread data':
        peer.sendall(b'x')


@then('exchange considers the connection {kept}')
def check_considered(context, kept):
    assert is_open_and_idle(context.connection) == (kept == 'usable')


_STATUSES = {
    '503, keep-alive': b'HTTP/1.1 503 Full\r\n',
    '200, keep-alive': _OK,
    '503, close': b'HTTP/1.1 503 Full\r\nConnection: close\r\n',
}
_SEND_TIMEOUT_S = 0.3


class EarlyResponder:
    """Respond to the head of a request; read no body above 64 KiB."""

    def __init__(self, response):
        self._listener = open_port()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BYTES_PER_KB
        )
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._response = response
        self._connections = []
        self._greenlet = spawn(self._serve)

    @property
    def connections(self):
        """Return the number of connections that were opened."""
        return len(self._connections)

    def close(self):
        """Close the sockets."""
        self._greenlet.kill()
        for opened in (self._listener, *self._connections):
            opened.close()

    def _serve(self):
        while True:
            connection, _ = self._listener.accept()
            self._connections.append(connection)
            spawn(self._respond, connection)

    def _respond(self, connection):
        reader = connection.makefile('rb')
        while reader.readline():
            length = int(parse_headers(reader).get('Content-Length', 0))
            connection.sendall(self._response)
            if length > _READ_MAX_BYTES:
                return
            reader.read(length)


@given('exchange with a peer that responds {response} before it reads the body')
def start_early_responder(context, response):
    encoded = _STATUSES[response] + b'Content-Length: 0\r\n\r\n'
    context.sender = EarlyResponder(encoded)
    context.cleanups = [context.sender.close]


@when(
    'exchange sends a request of {size:d} KiB through a buffer of '
    '{buffer:d} KiB'
)
def send_long_request(context, size, buffer):
    until_s = time.monotonic() + 2
    connection = connect(context.sender.address, until_s)
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, buffer * _BYTES_PER_KB
    )
    body = b'x' * (size * _BYTES_PER_KB)
    head = f'POST / HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    exchange = Exchange(connection, 'POST', _SEND_TIMEOUT_S, until_s)
    context.cleanups.append(exchange.close)
    context.verdict = exchange.send(head.encode() + body)
    context.verdict = context.verdict or exchange.read_head()
    context.body = exchange.read_all(_LIMIT_BYTES)
    context.released = exchange.release()


@then('exchange receives the response')
def check_received(context):
    assert context.verdict is None, context.verdict
    assert context.body.ok_value == b'', context.body


@then('exchange releases the connection as {kept}')
def check_released(context, kept):
    assert (context.released is not None) == (kept == 'usable')
