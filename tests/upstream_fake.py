"""Upstream inside the test process that sends faulty responses on request."""

import itertools
import json
import os
import struct
from http.client import parse_headers

from gevent import sleep, socket
from gevent.event import Event
from gevent.server import StreamServer

FIRST_PORT = 28000
LAST_PORT = 29999
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_PORTS = itertools.cycle(range(FIRST_PORT, LAST_PORT))
# Concurrent test runs start their search at different ports.
_SKIPPED_PORTS = os.getpid() * 257 % (LAST_PORT - FIRST_PORT)


def open_port():
    """Return a listening socket on a free port of the tests' range."""
    count = LAST_PORT - FIRST_PORT
    for number in itertools.islice(_PORTS, count):
        port = FIRST_PORT + (number + _SKIPPED_PORTS) % count
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(('127.0.0.1', port))
        except OSError:
            listener.close()
            continue
        listener.listen(256)
        return listener
    raise OSError(f'no port from {FIRST_PORT} to {LAST_PORT} is free')


class Received:
    """Carry one request as received."""

    __slots__ = ('body', 'connection', 'headers', 'method', 'path')

    def __init__(self, connection, method, path, headers, body):
        self.connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        """Return the request id that a response echoes."""
        return self.headers.get('X-Request-Id', '')


class FakeUpstream:
    """Respond over real sockets, with one fault for each request."""

    def __init__(self, version='v1'):
        self.version = version
        self.faults = []
        self.received = []
        self.runs = 0
        self.cancelled = 0
        self.connections = 0
        self._rest = b''
        self.released = Event()
        self.tokens_sent = 0
        self.token_pause_s = 0.005
        self._open = set()
        self._server = StreamServer(open_port(), self._serve)
        self._server.start()
        self.address = '127.0.0.1:{0}'.format(self._server.address[1])

    def close(self):
        """Refuse connections and reset those that are open."""
        self._server.close()
        for connection in list(self._open):
            reset(connection)

    def count_open(self):
        """Return how many connections are open."""
        return len(self._open)

    def encode(self, request, status, body, changes=None):
        """Return the encoded response."""
        head = {
            'X-Request-Id': request.request_id,
            'X-Model-Version': self.version,
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **(changes or {}),
        }
        lines = ['HTTP/1.1 {0} Status'.format(status)]
        lines += [f'{name}: {text}' for name, text in head.items() if text]
        return '\r\n'.join([*lines, '', '']).encode() + body

    def _serve(self, connection, _address):
        self.connections += 1
        self._open.add(connection)
        reader = connection.makefile('rb')
        try:
            self._serve_all(connection, reader)
        except OSError:
            self.cancelled += 1
        finally:
            self._open.discard(connection)
            connection.close()

    def _serve_all(self, connection, reader):
        more = True
        while more:
            more = self._serve_one(connection, reader)

    def _serve_one(self, connection, reader):
        line = reader.readline().decode()
        if not line:
            return False
        method, path, _version = line.split()
        headers = parse_headers(reader)
        body = reader.read(int(headers.get('Content-Length') or 0))
        request = Received(connection, method, path, headers, body)
        self.received.append(request)
        self._send_rest(connection)
        fault = self.faults.pop(0) if self.faults else 'none'
        if path.startswith('/generate'):
            return self._generate(request, fault)
        return self._respond(request, fault)

    def _send_rest(self, connection):
        """Send the rest of an earlier response, if any."""
        rest = self._rest
        self._rest = b''
        if rest and self.connections == 1:
            connection.sendall(rest)

    def _respond(self, request, fault):
        document = expected_response(request.method, request.path, request.body)
        body = json.dumps(document).encode()
        if fault.startswith('status_'):
            status = int(fault.removeprefix('status_'))
            self._send(request, status, b'{}')
            return True
        self.runs += 1
        return _PLAIN_FAULTS[fault](self, request, body)

    def _send(self, request, status, body, changes=None):
        encoded = self.encode(request, status, body, changes)
        request.connection.sendall(encoded)

    def _generate(self, request, fault):
        order = json.loads(request.body)
        first, end = order.get('resume_from', 0), order.get('max_tokens', 4)
        if fault.startswith('status_'):
            self._send(request, int(fault.removeprefix('status_')), b'{}')
            return True
        self.runs += 1
        if not order.get('stream'):
            tokens = [token_of(self.version, index) for index in range(end)]
            self._send(request, 200, json.dumps({'tokens': tokens}).encode())
            return True
        changes = {'Content-Type': 'text/event-stream', 'Content-Length': ''}
        if fault == 'wrong_version':
            changes['X-Model-Version'] = 'v0'
        if fault == 'no_version':
            changes['X-Model-Version'] = ''
        changes['Transfer-Encoding'] = 'chunked'
        self._send(request, 200, b'', changes)
        for index in range(first, end):
            sleep(self.token_pause_s)
            if index - first == 2 and fault in _STREAM_FAULTS:
                _STREAM_FAULTS[fault](self, request, index)
                return False
            if index - first == 2 and fault == 'pauses':
                sleep(LATE_S)
            if index == first and fault == 'reset_at_once':
                reset(request.connection)
                return False
            send_event(request.connection, event_of(self.version, index))
            self.tokens_sent += 1
        if fault != 'no_end':
            send_event(request.connection, b'data: [DONE]\n\n')
        request.connection.sendall(b'0\r\n\r\n')
        return True


def expected_response(method, path, body):
    """Return the expected response to a request that is no stream."""
    return {'method': method, 'path': path, 'body': body.decode()}


def token_of(version, index):
    """Return a token that names its version and position."""
    return f'{version}-{index}'


def event_of(version, index):
    """Return the event that carries a token."""
    document = {'index': index, 'token': token_of(version, index)}
    return f'data: {json.dumps(document)}\n\n'.encode()


def send_event(connection, event):
    """Send an event as one chunk."""
    connection.sendall(b'%x\r\n%b\r\n' % (len(event), event))


def reset(connection):
    """Close a connection so that its peer sees a reset."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
    connection.close()


def _right(upstream, request, body):
    upstream._send(request, 200, body)
    return True


def _held(upstream, request, body):
    upstream.released.wait(SILENT_S)
    return _right(upstream, request, body)


def _crossed(upstream, request, _body):
    other = json.dumps({'method': 'GET', 'path': '/of-another'}).encode()
    upstream._send(request, 200, other, {'X-Request-Id': 'another-1'})
    return True


def _unnamed(upstream, request, body):
    upstream._send(request, 200, body, {'X-Request-Id': ''})
    return True


def _late(upstream, request, body):
    sleep(LATE_S)
    return _right(upstream, request, body)


def _repeated(upstream, request, body):
    _right(upstream, request, body)
    return _right(upstream, request, body)


def _repeated_later(upstream, request, body):
    _right(upstream, request, body)
    sleep(0.02)
    return _right(upstream, request, body)


def _repeated_half(upstream, request, body):
    response = upstream.encode(request, 200, body)
    request.connection.sendall(response + _FIRST_HALF)
    upstream._rest = _OTHER_HALF
    return True


def _truncated(upstream, request, body):
    length = str(len(body) + 10)
    upstream._send(request, 200, body, {'Content-Length': length})
    return False


def _unframed(upstream, request, body):
    upstream._send(request, 200, body, {'Content-Length': ''})
    return False


def _chunk_missing(upstream, request, body):
    changes = {'Content-Length': '', 'Transfer-Encoding': 'chunked'}
    upstream._send(request, 200, b'', changes)
    send_event(request.connection, body)
    return False


def _silent(_upstream, _request, _body):
    sleep(SILENT_S)
    return False


def _silent_mid(upstream, request, body):
    length = str(len(body) + 10)
    upstream._send(request, 200, body, {'Content-Length': length})
    return _silent(upstream, request, body)


def _reset_before(_upstream, request, _body):
    reset(request.connection)
    return False


def _reset_mid(upstream, request, body):
    length = str(len(body) + 10)
    upstream._send(request, 200, body, {'Content-Length': length})
    sleep(0.01)
    reset(request.connection)
    return False


def _garbage(_upstream, request, _body):
    request.connection.sendall(b'not an answer at all\r\n\r\n')
    return False


def _too_large(upstream, request, _body):
    upstream._send(request, 200, b'x' * (9 * 1024 * 1024))
    return True


def _stream_reset(_upstream, request, _index):
    reset(request.connection)


def _stream_cut(_upstream, request, _index):
    request.connection.shutdown(socket.SHUT_RDWR)


def _stream_killed(upstream, _request, _index):
    upstream.close()


def _stream_silent(_upstream, _request, _index):
    sleep(SILENT_S)


def _stream_ended(_upstream, request, _index):
    request.connection.sendall(b'0\r\n\r\n')


def _stream_skips(upstream, request, index):
    send_event(request.connection, event_of(upstream.version, index + 1))
    sleep(SILENT_S)


def _stream_repeats(upstream, request, index):
    send_event(request.connection, event_of(upstream.version, index - 1))
    sleep(SILENT_S)


def _stream_errs(_upstream, request, _index):
    send_event(request.connection, b'event: error\ndata: {}\n\n')
    request.connection.sendall(b'0\r\n\r\n')


def _stream_half_event(upstream, request, index):
    send_event(request.connection, event_of(upstream.version, index)[:9])
    sleep(0.01)
    reset(request.connection)


# Longer than silent_s, 0.6 s, of the services in tests/frontend_world.py.
LATE_S = 1.2
_FIRST_HALF = b'HTTP/1.1 200 OK\r\nContent-Le'
_OTHER_HALF = b'ngth: 0\r\n\r\n'
SILENT_S = 30

_PLAIN_FAULTS = {
    'none': _right,
    'hold': _held,
    'crossed': _crossed,
    'unnamed': _unnamed,
    'late': _late,
    'repeated': _repeated,
    'repeated_later': _repeated_later,
    'repeated_half': _repeated_half,
    'truncated': _truncated,
    'unframed': _unframed,
    'chunk_missing': _chunk_missing,
    'silent': _silent,
    'silent_mid': _silent_mid,
    'reset_before': _reset_before,
    'reset_mid': _reset_mid,
    'garbage': _garbage,
    'too_large': _too_large,
}
_STREAM_FAULTS = {
    'reset': _stream_reset,
    'cut': _stream_cut,
    'killed': _stream_killed,
    'silent': _stream_silent,
    'ended': _stream_ended,
    'skips': _stream_skips,
    'repeats': _stream_repeats,
    'errs': _stream_errs,
    'half_event': _stream_half_event,
}
