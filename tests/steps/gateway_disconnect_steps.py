"""Steps for callers that disconnect and for attempts that start late."""

import contextlib
import subprocess
import sys

from behave import given, then, when
from gevent import sleep, socket, spawn

from apricotpin.components.gateway import attempts
from apricotpin.components.gateway.application import RequestHandler
from apricotpin.components.gateway.callers import RawRequest
from apricotpin.components.gateway.service import (
    RegisterRequest,
    RequestAllowed,
    UnregisterRequest,
)
from apricotpin.components.gateway.serving import RequestInterrupted
from apricotpin.const import (
    SERVICE_DISPATCH,
    SERVICE_GATEWAY,
    SERVICE_METRICS,
    SERVICE_ROUTES,
)
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind
from apricotpin.helpers import clocks
from apricotpin.messages.requests import ResolveRequest, ResolvedRequest
from apricotpin.messages.metrics import Observe
from apricotpin.messages.upstreams import (
    AttemptDone,
    CancelSelection,
    CountRequest,
    SelectedUpstream,
    SelectUpstream,
)
from apricotpin.platform.call_codec import make_codec
from tests.steps.gateway_steps import _KINDS
from tests.steps.routes_steps import make_route
from tests.upstream_fake import FakeUpstream

_SETTLE_S = 0.1
_PROCESS_TIMEOUT_S = 60
# A slow connection has opened after this time.
_OPENED_S = 0.2


class _Body:
    def read(self, _limit):
        return b''


class World:
    """Own the services around a gateway; tests trigger dispatch's reply."""

    def __init__(self, kind):
        self.kernel = Kernel('entry')
        self.upstream = FakeUpstream()
        self.upstream.faults = ['hold']
        ends = socket.socketpair()
        self.caller = ends[0]
        self.accepted = ends[1]
        self.requested = []
        route = make_route(kind=_KINDS[kind], resumable=kind == 'resumable')
        resolved = ResolvedRequest(route, 'plain', '', 3, 1)

        def ignore(_message, reply):
            reply.ok()

        self._register(
            SERVICE_ROUTES,
            {ResolveRequest: lambda _message, reply: reply.ok(resolved)},
        )
        # Handlers of dispatch by message class.
        self.handlers = {
            CountRequest: ignore,
            AttemptDone: ignore,
            CancelSelection: ignore,
            SelectUpstream: lambda message, reply: self.requested.append(
                (message.ticket, reply)
            ),
        }
        self._register(SERVICE_DISPATCH, self.handlers)
        self._register(
            SERVICE_GATEWAY,
            {
                RegisterRequest: self._allow,
                UnregisterRequest: ignore,
            },
        )
        self._register(SERVICE_METRICS, {Observe: ignore})
        self.interrupted = None
        self.outcome = 'not interrupted'
        spawn(self._serve)
        sleep(_SETTLE_S)

    def reply_with_worker(self, start_timeout_s=None):
        """Let dispatch reply with the worker."""
        ticket, reply = self.requested[0]
        address = self.upstream.address
        reply.ok(
            SelectedUpstream(
                'w', address, None, 0, 0, 0, ticket, start_timeout_s
            )
        )
        sleep(_SETTLE_S)

    def disconnect(self):
        """Close the caller's end of the connection."""
        self.caller.close()
        sleep(_SETTLE_S)

    def close(self):
        """End what the scenario started."""
        self.upstream.released.set()
        self.kernel.stop()
        self.upstream.close()

    def _register(self, name, handlers):
        self.kernel.register(name, handlers)

    def _allow(self, message, reply):
        self.interrupted = message.interrupted
        reply.ok(RequestAllowed(False))

    def _serve(self):
        try:
            if self._serve_request() == [b'stopping']:
                self.outcome = 'interrupted'
            # The greenlet waits for the next request of the connection.
            sleep(_OPENED_S)
        except RequestInterrupted:
            self.outcome = 'interrupted'

    def _serve_request(self):
        headers = [('Host', 'a.test'), ('X-Attempt-Id', 'r1')]
        raw = RawRequest('POST', '/x/', headers, _Body(), 99, self.accepted)
        handler = RequestHandler(self.kernel, make_codec(), raw)
        body = []
        with contextlib.closing(handler):
            for part in handler.run(lambda _status, _headers: None):
                body.append(part)
                sleep(0)
        return body


@when(
    "gateway's process refuses {count:d} requests, "
    'each of a caller that has left'
)
def refuse_requests(context, count):
    command = [sys.executable, '-m', 'tests.refused_callers', str(count)]
    context.ended = subprocess.run(
        command, capture_output=True, timeout=_PROCESS_TIMEOUT_S, check=False
    )


@then("gateway's process ends with code {code:d}")
def check_process_end(context, code):
    found = context.ended
    assert found.returncode == code, found.stderr[-500:]


@when('gateway interrupts the request, which {state}')
def interrupt_request(context, state):
    world = context.world
    if state == 'has ended':
        world.requested[0][1].err(ErrorKind.OVERLOADED, 'all are full')
        sleep(_SETTLE_S)
    world.interrupted.set()
    sleep(_SETTLE_S)


@then("gateway's connection is {outcome}")
def check_interrupted(context, outcome):
    assert context.world.outcome == outcome


@given(
    'gateway serves a request that is {kind} while dispatch selects a worker'
)
def serve_request(context, kind):
    context.world = World(kind)
    context.cleanups = [context.world.close]


@given("gateway's worker takes {opens:g} s to accept a connection")
def open_slowly(context, opens):
    original = attempts.connect

    def connect(address, deadline_s):
        sleep(opens)
        return original(address, deadline_s)

    attempts.connect = connect
    context.cleanups.append(lambda: setattr(attempts, 'connect', original))


@given(
    "gateway's host is suspended for {suspended:g} s while a connection opens"
)
def suspend_host(context, suspended):
    original, now_s = attempts.connect, clocks.boot_time_s

    def connect(address, deadline_s):
        clocks.boot_time_s = lambda: now_s() + suspended
        return original(address, deadline_s)

    attempts.connect = connect
    context.cleanups.append(lambda: setattr(attempts, 'connect', original))
    context.cleanups.append(lambda: setattr(clocks, 'boot_time_s', now_s))


@when("gateway's caller disconnects {moment}")
def disconnect(context, moment):
    if moment == 'before it is sent':
        context.world.disconnect()
        context.world.reply_with_worker()
    else:
        context.world.reply_with_worker()
        context.world.disconnect()


@when("gateway's worker must start {by} and is silent")
def must_start(context, by):
    start_timeout_s = None if by == 'at any time' else float(by.split()[1])
    context.world.reply_with_worker(start_timeout_s)
    sleep(_OPENED_S)


@then('gateway requested {count:d} workers from dispatch')
def check_requested(context, count):
    assert len(context.world.requested) == count, context.world.requested


@then('gateway {sends} the request to the worker')
def check_sent(context, sends):
    count = 1 if sends == 'sends' else 0
    assert len(context.world.upstream.received) == count


@then('gateway {cancels} it at the worker')
def check_cancelled(context, cancels):
    received = context.world.upstream.received
    cancelled = bool(received) and not _is_open(received[0].connection)
    assert cancelled == (cancels == 'cancels')


def _is_open(connection):
    connection.setblocking(False)
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False
