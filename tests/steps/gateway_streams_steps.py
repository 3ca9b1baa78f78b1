"""Steps for responses that break off, and for what follows a stream."""

import struct

from behave import given, then, when
from gevent import sleep, socket
from loguru import logger

from tests.steps.gateway_endless_steps import _World
from tests.steps.gateway_kept_steps import _Worker

_PAUSE_S = 0.05
# With a linger time of 0, closing the socket sends an RST instead of a FIN.
_ZERO_LINGER = struct.pack('ii', 1, 0)
_NAMED = b'X-Attempt-Id: r1\r\nX-Server-Seal: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _NAMED
_STREAM = _OK + b'Content-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_FIRST = b'id: 1\ndata: a\n\n'
_NEXT = b'id: 2\ndata: b\n\n'
_HALF = _NEXT[:-4]
_TEXT = b'no such thing'


def _chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def _in_chunks(content):
    return _STREAM + _CHUNKED + _chunk(content) + _LAST_CHUNK


def _unframed(content):
    return _STREAM + b'\r\n' + content


_SENT = {
    'the first event without a length': _unframed(_FIRST),
    'the first event in chunks': _in_chunks(_FIRST),
    'an event and a half without a length': _unframed(_FIRST + _HALF),
    'an event and a half in chunks': _in_chunks(_FIRST + _HALF),
    'the next event in chunks': _in_chunks(_NEXT),
    'the next event without a length': _unframed(_NEXT),
    'the next event without a type': _OK + b'\r\n' + _NEXT,
    'the next event in cut chunks': _STREAM + _CHUNKED + _chunk(_NEXT),
    'no further event, in chunks': _STREAM + _CHUNKED + _LAST_CHUNK,
    'an unsealed stream': _unframed(_NEXT).replace(b'X-Server-Seal', b'X-No'),
    'nothing without a length': _unframed(b''),
    'half an event without a length': _unframed(_HALF),
    'half an event in chunks': _in_chunks(_HALF),
    'half a status line': b'HTTP/1.1 2',
    'half a head': _STREAM[:-9],
    'a head without its empty line': _STREAM,
    'half a body': _OK + b'Content-Length: 30\r\n\r\n' + _TEXT,
    'a body without a length': _OK + b'\r\n' + _TEXT,
    'a reset body without a length': _OK + b'\r\n' + _TEXT,
}


def _response_of(sent):
    if not sent.startswith('status '):
        return _SENT[sent]
    status = sent.split()[1]
    content_type = sent.split()[-1]
    head = f'HTTP/1.1 {status} Status\r\nContent-Type: {content_type}\r\n'
    length = f'Content-Length: {len(_TEXT)}\r\n\r\n'
    if status in {'204', '304'}:
        return head.encode() + _NAMED + b'\r\n'
    return head.encode() + _NAMED + length.encode() + _TEXT


def _reset(connection):
    # What was sent has to arrive before the reset.
    sleep(_PAUSE_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)


def _make_worker(sent, is_reset):
    def respond(connection):
        connection.sendall(_response_of(sent))
        if is_reset:
            _reset(connection)

    return _Worker(respond)


class _TwoWorkers(_World):
    """Send a request to one worker or two, and keep what its caller gets."""

    def __init__(self, first, second):
        super().__init__(first)
        self.second.close()
        self.second = second
        self.addresses = [first.address, second.address]

    def run(self, kind, most):
        """Send a request of a kind for at most a number of attempts."""
        self._register(kind, most)
        del self.addresses[most:]
        self._send()

    @property
    def received(self):
        """Return what the caller received in a few words."""
        body = b''.join(self.parts)
        if self.statuses[0] >= 500:
            return str(self.statuses[0])
        if body == _TEXT:
            return f'{self.statuses[0]}, whole body'
        events = {_FIRST: 'one event', _FIRST + _NEXT: 'both events'}
        prefix = 'broken, ' if self.broken else ''
        return prefix + events.get(body, repr(body))


@given("gateway's first worker sends one event and {fault}")
def first_breaks(context, fault):
    is_inside = fault.endswith('inside an event')
    name = 'an event and a half' if is_inside else 'the first event'

    def respond(connection):
        whole = _SENT[f'{name} in chunks']
        connection.sendall(whole[: -len(_LAST_CHUNK)])
        if fault.startswith('resets'):
            _reset(connection)

    context.first = _Worker(respond)


@given("gateway's second worker sends {sent}")
def second_sends(context, sent):
    context.second = _make_worker(sent, is_reset=False)


@given("gateway's first worker sends {sent}")
def first_sends(context, sent):
    context.first = _make_worker(sent, is_reset=sent.startswith('a reset'))
    context.second = _make_worker(sent, is_reset=False)


def _run(context, kind, most):
    context.world = _TwoWorkers(context.first, context.second)
    context.lines = []
    sink = logger.add(lambda line: context.lines.append(line.record))
    context.cleanups = [context.world.close, lambda: logger.remove(sink)]
    context.world.run(kind, most)


@when('gateway is sent a stream that may be resumed once')
def send_resumable(context):
    _run(context, 'resumable', 2)


@when('gateway is sent a {kind} for one attempt')
def send_once(context, kind):
    _run(context, 'stream' if kind == 'stream' else 'non_idempotent', 1)


@then("gateway's caller receives {received}")
def check_received(context, received):
    assert context.world.received == received, context.world.received


@then(
    "gateway's log says that {request_id} ended as {outcome} after event "
    '{event}, with the cause {cause}'
)
def check_logged_end(context, request_id, outcome, event, cause):
    ended = [
        line['extra']
        for line in context.lines
        if line['message'] == 'request_ended'
        and line['extra']['id'] == request_id
    ]
    logged = [
        (one['outcome'], one.get('after_event', '-'), one.get('cause', '-'))
        for one in ended
    ]
    assert logged == [(outcome, event, cause)], logged
