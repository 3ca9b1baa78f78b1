"""Steps for workers whose answers do not end."""

import time
import tracemalloc

from behave import given, then, when
from gevent import joinall, sleep, socket, spawn

from apricotpin.components.gateway.application import Call
from apricotpin.components.gateway.callers import RawCall
from apricotpin.components.gateway.serving import BrokenAnswer
from apricotpin.components.gateway.service import (
    RegisterRequest,
    UnregisterRequest,
    GatewayService,
    HoldAnswer,
)
from apricotpin.const import (
    SERVICE_DISPATCH,
    SERVICE_GATEWAY,
    SERVICE_METRICS,
    SERVICE_ROUTES,
)
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind
from apricotpin.messages.requests import ResolveRequest, ResolvedRequest
from apricotpin.messages.metrics import Count, Observe
from apricotpin.messages.upstreams import (
    AttemptDone,
    CancelSelection,
    CountRequest,
    SelectedUpstream,
    SelectUpstream,
)
from apricotpin.platform.call_codec import make_codec
from tests.endless_sender import EndlessSender
from tests.steps.gateway_steps import _KINDS
from tests.steps.routes_steps import make_route
from tests.upstream_fake import FakeUpstream, open_port

_TIMEOUT_S = 2.0
_SLOW_S = 0.1
_BYTES_PER_MB = 1048576
_SETTLE_S = 0.05
_NAMED = b'X-Attempt-Id: r1\r\nX-Server-Seal: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _NAMED
_LONG = b'Content-Length: 99999999999\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_WHOLE = _OK + b'Content-Length: 5\r\n\r\nright'
_ANSWERS = {
    'answer': _WHOLE,
    'closing answer': _WHOLE.replace(_NAMED, _NAMED + b'Connection: close\r\n'),
}
_EVENT = b'id: 1\ndata: a\n\n'
_ENDLESS = {
    'body': (_OK + _LONG, b'x'),
    'unframed body': (_OK + b'\r\n', b'x'),
    'chunks': (_OK + _CHUNKED, b'4\r\nbody\r\n'),
    'header': (_OK + b'X-Long: ', b'x'),
    'failure': (b'HTTP/1.1 500 Failed\r\n' + _NAMED + _LONG, b'x'),
    'refusal': (
        b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n' + _NAMED + _LONG,
        b'x',
    ),
    'misdirection': (b'HTTP/1.1 421 Other\r\n' + _NAMED + _LONG, b'x'),
    'answer to another': (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\nX-Server-Seal: s\r\n' + _LONG,
        b'x',
    ),
    'unsealed body': (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n' + _LONG,
        b'x',
    ),
    'event': (_OK + b'\r\nid: 1\ndata: ', b'x'),
    'whole events': (_OK + b'\r\n', _EVENT),
}
_AFTER_ANSWER = {
    'garbage': b'no answer at all',
    'answers': _WHOLE,
    'zeros': b'\0',
}


class _Body:
    def read(self, _limit):
        return b''


class _SealedUpstream(FakeUpstream):
    """Answer right, as a worker of the platform does."""

    def _serve_one(self, connection, reader):
        # Nothing but the end of the head matters of the request.
        line = reader.readline()
        while line.strip():
            line = reader.readline()
        answer = _WHOLE
        if self.streams:
            answer = _OK + b'Connection: close\r\n\r\n' + _EVENT
        connection.sendall(answer)
        return False


class _World:
    """Hold the services around a gateway, and its two workers."""

    def __init__(self, sender):
        self.kernel = Kernel('entry')
        self.gateway = GatewayService(self.kernel, lambda: None)
        self.sender = sender
        self.second = _SealedUpstream()
        self.addresses = [sender.address, self.second.address]
        self.verdicts = []
        self.statuses = []
        self.parts = []
        self.broken = False
        self.ends = socket.socketpair()

    def run(self, kind, most):
        """Send the request and keep what its caller gets."""
        self._register(kind, most)
        self.second.streams = kind in {'resumable', 'stream'}
        self._ask()

    def run_many(self, count):
        """Send requests at once, each to the first worker alone."""
        self._register('idempotent', 1)
        self.addresses = [self.sender.address] * count
        joinall([spawn(self._ask) for _ in range(count)])

    def close(self):
        """End what the scenario started."""
        self.sender.close()
        self.second.close()
        self.kernel.stop()

    @property
    def answer(self):
        """Return what the caller got, in a word or two."""
        body = b''.join(self.parts)
        if self.broken:
            return 'broken stream'
        status = self.statuses[0]
        if self.second.streams and status == 200:
            return 'whole stream' if body == _EVENT else body
        if status == 200:
            assert body == b'right', body[:99]
        return str(status)

    def _ask(self):
        headers = [('Host', 'a.test'), ('X-Attempt-Id', 'r1')]
        raw = RawCall('POST', '/x/', headers, _Body(), 99, self.ends[1])
        call = Call(self.kernel, make_codec(), raw)
        try:
            self.parts.extend(call.run(self._begin))
        except BrokenAnswer:
            self.broken = True
        call.close()
        sleep(_SETTLE_S)

    def _begin(self, status, _headers):
        self.statuses.append(int(status.split()[0]))

    def _register(self, kind, most):
        route = make_route(
            kind=_KINDS[kind],
            resumable=kind == 'resumable',
            max_attempts=most,
            timeout_s=_TIMEOUT_S,
        )
        resolved = ResolvedRequest(route, 'plain', '', 3, 1)

        def ignore(_message, reply):
            reply.ok()

        services = {
            SERVICE_ROUTES: {
                ResolveRequest: lambda _message, reply: reply.ok(resolved),
            },
            SERVICE_DISPATCH: {
                CountRequest: ignore,
                AttemptDone: self._note_done,
                CancelSelection: ignore,
                SelectUpstream: self._pick,
            },
            SERVICE_GATEWAY: {
                RegisterRequest: self.gateway.begin,
                UnregisterRequest: self.gateway.end,
                HoldAnswer: self.gateway.hold,
            },
            SERVICE_METRICS: {Observe: ignore, Count: ignore},
        }
        for name, handlers in services.items():
            self.kernel.register(name, handlers)

    def _pick(self, asked, reply):
        if not self.addresses:
            reply.err(ErrorKind.NO_UPSTREAM, 'all were asked')
            return
        address = self.addresses.pop(0)
        reply.ok(
            SelectedUpstream(
                address, address, None, 0, 0, 0, asked.ticket, None
            )
        )

    def _note_done(self, done, reply):
        self.verdicts.append(done.verdict)
        reply.ok()


def _start(context, beginning, filler, pause_s=0):
    sender = EndlessSender(open_port(), beginning, filler, pause_s)
    context.world = _World(sender)
    context.cleanups = [context.world.close]


@given("gateway's first worker sends endless {part} in small pieces")
def slow_worker(context, part):
    _start(context, *_ENDLESS[part], _SLOW_S)


@given("gateway's first worker sends endless {part}")
def fast_worker(context, part):
    _start(context, *_ENDLESS[part])


@given("gateway's first worker sends a whole {answer} and endless {part}")
def whole_answer(context, answer, part):
    # Both arrive in one read.
    after = _AFTER_ANSWER[part]
    _start(context, _ANSWERS[answer] + after, after)


@when('gateway is sent a request that is {kind} for at most {most:d} workers')
def send_request(context, kind, most):
    began_s = time.monotonic()
    context.world.run(kind, most)
    context.took_s = time.monotonic() - began_s


@then("gateway's caller gets {answer} within {longest_s:g} s")
def caller_gets(context, answer, longest_s):
    assert context.world.answer == answer, context.world.answer
    assert context.took_s <= longest_s, context.took_s


@then('gateway told dispatch of {verdicts}')
def told_dispatch(context, verdicts):
    found = context.world.verdicts
    assert found == verdicts.split(', '), found


@then('gateway closed the connection of the first worker')
def closed(context):
    context.world.sender.wait_closed()


@when(
    'gateway is sent {count:d} requests at once that only the first worker '
    'takes'
)
def send_many(context, count):
    tracemalloc.start()
    context.world.run_many(count)
    context.held_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.count = count


@then('gateway held at most {most:d} MB for them')
def held_at_most(context, most):
    assert context.held_bytes <= most * _BYTES_PER_MB, context.held_bytes


@then('gateway answered each of them with {status:d}')
def answered_each(context, status):
    found = context.world.statuses
    assert found == [status] * context.count, found


@then('gateway holds no room for answers')
def holds_nothing(context):
    assert not context.world.gateway._held_bytes


class _Answer:
    """Keep how a service answered."""

    def __init__(self):
        self.fate = ''

    def ok(self, *_granted):
        self.fate = 'granted'

    def err(self, *_refusal):
        self.fate = 'refused'


@given("gateway's requests hold {held} bytes of answers")
def hold_answers(context, held):
    context.gateway = GatewayService(Kernel('entry'), lambda: None)
    for ticket, size in enumerate(held.split(', ')):
        context.gateway.hold(HoldAnswer(str(ticket), int(size)), _Answer())


@when('gateway asks for room for {size:d} bytes for {asker}')
def ask_room(context, size, asker):
    if asker.endswith('ended'):
        context.gateway.end(UnregisterRequest('1'), _Answer())
    ticket = '1' if asker == 'the second' else 'another'
    context.answer = _Answer()
    context.gateway.hold(HoldAnswer(ticket, size), context.answer)


@then("gateway's room is {fate}")
def room_is(context, fate):
    assert context.answer.fate == fate
