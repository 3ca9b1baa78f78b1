"""Steps for callers that leave while their request is served."""

import contextlib

from behave import given, then, when
from gevent import sleep, socket, spawn

from apricotpin.components.gateway import attempts
from apricotpin.components.gateway.application import Call
from apricotpin.components.gateway.callers import RawCall
from apricotpin.components.gateway.service import (
    Begun,
    RegisterRequest,
    UnregisterRequest,
)
from apricotpin.const import (
    SERVICE_DISPATCH,
    SERVICE_GATEWAY,
    SERVICE_METRICS,
    SERVICE_ROUTES,
)
from apricotpin.core import Kernel
from apricotpin.helpers import clocks
from apricotpin.messages.metrics import Observe
from apricotpin.messages.requests import ResolvedRequest, ResolveRequest
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
# Longer than a slow connection takes to open.
_OPENED_S = 0.2


class _Body:
    def read(self, _limit):
        return b''


class _World:
    """Hold the services around a gateway; dispatch answers when told."""

    def __init__(self, kind):
        self.kernel = Kernel('entry')
        self.upstream = FakeUpstream()
        self.upstream.faults = ['hold']
        ends = socket.socketpair()
        self.caller = ends[0]
        self.accepted = ends[1]
        self.picks = []
        route = make_route(kind=_KINDS[kind], resumable=kind == 'resumable')
        resolved = ResolvedRequest(route, 'plain', '', 3, 1)

        def ignore(_message, reply):
            reply.ok()

        self._register(
            SERVICE_ROUTES,
            {ResolveRequest: lambda _message, reply: reply.ok(resolved)},
        )
        self._register(
            SERVICE_DISPATCH,
            {
                CountRequest: ignore,
                AttemptDone: ignore,
                CancelSelection: ignore,
                SelectUpstream: lambda asked, reply: self.picks.append(
                    (asked.ticket, reply)
                ),
            },
        )
        self._register(
            SERVICE_GATEWAY,
            {
                RegisterRequest: lambda _message, reply: reply.ok(Begun(False)),
                UnregisterRequest: ignore,
            },
        )
        self._register(SERVICE_METRICS, {Observe: ignore})
        spawn(self._serve)
        sleep(_SETTLE_S)

    def give_worker(self, begin_within_s=None):
        """Let dispatch name the worker."""
        ticket, reply = self.picks[0]
        address = self.upstream.address
        reply.ok(
            SelectedUpstream(
                'w', address, None, 0, 0, 0, ticket, begin_within_s
            )
        )
        sleep(_SETTLE_S)

    def leave(self):
        """Close the caller's end."""
        self.caller.close()
        sleep(_SETTLE_S)

    def close(self):
        """End what the scenario started."""
        self.upstream.released.set()
        self.kernel.stop()
        self.upstream.close()

    def _register(self, name, handlers):
        self.kernel.register(name, handlers)

    def _serve(self):
        headers = [('Host', 'a.test'), ('X-Attempt-Id', 'r1')]
        raw = RawCall('POST', '/x/', headers, _Body(), 99, self.accepted)
        call = Call(self.kernel, make_codec(), raw)
        with contextlib.closing(call):
            for _ in call.run(lambda _status, _headers: None):
                sleep(0)


@given(
    'gateway serves a request that is {kind} while dispatch looks for a worker'
)
def serves(context, kind):
    context.world = _World(kind)
    context.cleanups = [context.world.close]


@given("gateway's worker takes {opens:g} s to accept a connection")
def opens_slowly(context, opens):
    original = attempts.connect

    def connect(address, deadline_s):
        sleep(opens)
        return original(address, deadline_s)

    attempts.connect = connect
    context.cleanups.append(lambda: setattr(attempts, 'connect', original))


@given(
    "gateway's host is suspended for {suspended:g} s while a connection opens"
)
def suspended_while(context, suspended):
    original, now_s = attempts.connect, clocks.boot_time_s

    def connect(address, deadline_s):
        clocks.boot_time_s = lambda: now_s() + suspended
        return original(address, deadline_s)

    attempts.connect = connect
    context.cleanups.append(lambda: setattr(attempts, 'connect', original))
    context.cleanups.append(lambda: setattr(clocks, 'boot_time_s', now_s))


@when("gateway's caller leaves {moment}")
def leaves(context, moment):
    if moment == 'before it is sent':
        context.world.leave()
        context.world.give_worker()
    else:
        context.world.give_worker()
        context.world.leave()


@when("gateway's worker has to begin {by} and is silent")
def has_to_begin(context, by):
    begin_within_s = None if by == 'at any time' else float(by.split()[1])
    context.world.give_worker(begin_within_s)
    sleep(_OPENED_S)


@then('gateway asked dispatch for {count:d} workers')
def asked_for(context, count):
    assert len(context.world.picks) == count, context.world.picks


@then('gateway {sends} the request to the worker')
def sends_request(context, sends):
    count = 1 if sends == 'sends' else 0
    assert len(context.world.upstream.received) == count


@then('gateway {cancels} it at the worker')
def cancels_request(context, cancels):
    received = context.world.upstream.received
    gone = bool(received) and not _is_open(received[0].connection)
    assert gone == (cancels == 'cancels')


def _is_open(connection):
    connection.setblocking(False)
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False
