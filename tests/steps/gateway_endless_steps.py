"""Steps for workers whose responses do not end."""

import time
import tracemalloc

from behave import given, then, when
from gevent import joinall, sleep, socket, spawn
from gevent.event import Event

from apricotpin.components.gateway.application import RequestHandler
from apricotpin.components.gateway.callers import RawRequest
from apricotpin.components.gateway.serving import IncompleteResponse
from apricotpin.components.gateway.service import (
    RegisterRequest,
    UnregisterRequest,
    GatewayService,
    ReserveResponseMemory,
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
_COMPLETE = _OK + b'Content-Length: 5\r\n\r\nright'
_RESPONSES = {
    'response': _COMPLETE,
    'closing response': _COMPLETE.replace(
        _NAMED, _NAMED + b'Connection: close\r\n'
    ),
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
    'response to another request': (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\nX-Server-Seal: s\r\n' + _LONG,
        b'x',
    ),
    'unsealed body': (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n' + _LONG,
        b'x',
    ),
    'event': (_OK + b'\r\nid: 1\ndata: ', b'x'),
    'complete events': (_OK + b'\r\n', _EVENT),
}
_AFTER_RESPONSE = {
    'garbage': b'no answer at all',
    'responses': _COMPLETE,
    'zeros': b'\0',
}


class _Body:
    def read(self, _limit):
        return b''


class _SealedUpstream(FakeUpstream):
    """Send the expected response, as a worker of the platform does."""

    def _serve_one(self, connection, reader):
        # The content of the request does not matter: read to its head's end.
        line = reader.readline()
        while line.strip():
            line = reader.readline()
        response = _COMPLETE
        if self.streams:
            response = _OK + b'Connection: close\r\n\r\n' + _EVENT
        connection.sendall(response)
        return False


class _World:
    """Own the services around a gateway, and its two workers."""

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
        """Send a request and keep the response to its caller."""
        self._register(kind, most)
        self.second.streams = kind in {'resumable', 'stream'}
        self._send()

    def run_many(self, count):
        """Send requests at once, each to the first worker only."""
        self._register('idempotent', 1)
        self.addresses = [self.sender.address] * count
        joinall([spawn(self._send) for _ in range(count)])

    def close(self):
        """End what the scenario started."""
        self.sender.close()
        self.second.close()
        self.kernel.stop()

    @property
    def response(self):
        """Return the response to the caller in a word or two."""
        body = b''.join(self.parts)
        if self.broken:
            return 'broken stream'
        status = self.statuses[0]
        if self.second.streams and status == 200:
            return 'complete stream' if body == _EVENT else body
        if status == 200:
            assert body == b'right', body[:99]
        return str(status)

    def _send(self):
        headers = [('Host', 'a.test'), ('X-Attempt-Id', 'r1')]
        raw = RawRequest('POST', '/x/', headers, _Body(), 99, self.ends[1])
        handler = RequestHandler(self.kernel, make_codec(), raw)
        try:
            self.parts.extend(handler.run(self._start_response))
        except IncompleteResponse:
            self.broken = True
        handler.close()
        sleep(_SETTLE_S)

    def _start_response(self, status, _headers):
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
                AttemptDone: self._record_done,
                CancelSelection: ignore,
                SelectUpstream: self._select,
            },
            SERVICE_GATEWAY: {
                RegisterRequest: self.gateway.register_request,
                UnregisterRequest: self.gateway.unregister_request,
                ReserveResponseMemory: self.gateway.reserve_memory,
            },
            SERVICE_METRICS: {Observe: ignore, Count: ignore},
        }
        for name, handlers in services.items():
            self.kernel.register(name, handlers)

    def _select(self, message, reply):
        if not self.addresses:
            reply.err(ErrorKind.NO_UPSTREAM, 'all workers were tried')
            return
        address = self.addresses.pop(0)
        reply.ok(
            SelectedUpstream(
                address, address, None, 0, 0, 0, message.ticket, None
            )
        )

    def _record_done(self, done, reply):
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


@given("gateway's first worker sends a complete {response} and endless {part}")
def complete_response(context, response, part):
    # Both arrive in one read.
    after = _AFTER_RESPONSE[part]
    _start(context, _RESPONSES[response] + after, after)


@when('gateway is sent a request that is {kind} for at most {most:d} attempts')
def send_request(context, kind, most):
    began_s = time.monotonic()
    context.world.run(kind, most)
    context.took_s = time.monotonic() - began_s


@then("gateway's caller receives {response} within {longest_s:g} s")
def check_response(context, response, longest_s):
    assert context.world.response == response, context.world.response
    assert context.took_s <= longest_s, context.took_s


@then('gateway reported {verdicts} to dispatch')
def check_verdicts(context, verdicts):
    found = context.world.verdicts
    assert found == verdicts.split(', '), found


@then('gateway closed the connection of the first worker')
def check_closed(context):
    context.world.sender.wait_closed()


@when(
    'gateway is sent {count:d} requests at once that only the first worker '
    'takes'
)
def send_many(context, count):
    tracemalloc.start()
    context.world.run_many(count)
    context.allocated_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.count = count


@then('gateway allocated at most {most:d} MB for them')
def check_allocated(context, most):
    assert context.allocated_bytes <= most * _BYTES_PER_MB, (
        context.allocated_bytes
    )


@then('gateway responded to each of them with {status:d}')
def check_statuses(context, status):
    found = context.world.statuses
    assert found == [status] * context.count, found


@then('gateway has no memory reserved for responses')
def check_nothing_reserved(context):
    assert not context.world.gateway._reserved_bytes


class _Reply:
    """Keep whether a service granted or refused a reservation."""

    def __init__(self):
        self.outcome = ''

    def ok(self, *_granted):
        self.outcome = 'granted'

    def err(self, *_refusal):
        self.outcome = 'refused'


@given("gateway's requests have reserved {reserved} bytes")
def reserve(context, reserved):
    context.gateway = GatewayService(Kernel('entry'), lambda: None)
    for ticket, size in enumerate(reserved.split(', ')):
        context.gateway.reserve_memory(
            ReserveResponseMemory(str(ticket), int(size)), _Reply()
        )


@when('gateway is asked to reserve {size:d} bytes for {asker}')
def reserve_more(context, size, asker):
    if asker.endswith('ended'):
        context.gateway.unregister_request(
            UnregisterRequest(Event(), '1'), _Reply()
        )
    ticket = '1' if asker == 'the second' else 'another'
    context.reply = _Reply()
    context.gateway.reserve_memory(
        ReserveResponseMemory(ticket, size), context.reply
    )


@then("gateway's reservation is {outcome}")
def check_reservation(context, outcome):
    assert context.reply.outcome == outcome
