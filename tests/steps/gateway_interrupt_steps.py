"""Steps for requests that run when the grace period of a stop ends."""

import functools
import time

from behave import given, then, when
from gevent import sleep, socket, spawn, spawn_later
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from apricotpin.components.gateway import _drain, service
from apricotpin.components.gateway.application import make_application
from apricotpin.components.gateway.callers import CallerConnectionHandler
from apricotpin.const import (
    SERVICE_DISPATCH,
    SERVICE_GATEWAY,
    SERVICE_METRICS,
    SERVICE_ROUTES,
)
from apricotpin.core import Kernel, Reply
from apricotpin.messages.metrics import Count, Observe
from apricotpin.messages.requests import ResolvedRequest, ResolveRequest
from apricotpin.messages.upstreams import (
    AttemptDone,
    CancelSelection,
    CountRequest,
    SelectedUpstream,
    SelectUpstream,
)
from apricotpin.platform.call_codec import make_codec
from tests.steps.gateway_kept_steps import _Worker
from tests.steps.gateway_steps import _KINDS
from tests.steps.routes_steps import make_route
from tests.upstream_fake import open_port

_GRACE_S = 1.2
_SETTLE_S = 0.05
_LATE_BODY_S = 0.2
_LONG_S = 5.0
_SHORT_S = 0.2
_BODY = b'ten bytes!'
_HEAD = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n'
    b'Content-Length: 10\r\n\r\n'
)
_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Seal: s\r\n'
_EVENT = b'id: 1\ndata: a\n\n'


class _World:
    """Own an entry host's listener and gateway, a caller and a worker."""

    def __init__(self, kind, state):
        self.state = state
        self.is_waiting = state.startswith('waits')
        self.kernel = Kernel('entry')
        self.worker = _Worker(self._respond)
        self.service = service.GatewayService(self.kernel, lambda: None)
        self._register(kind)
        self.server = WSGIServer(
            open_port(),
            make_application(self.kernel, make_codec()),
            spawn=Pool(),
            log=None,
            error_log=None,
            handler_class=functools.partial(
                CallerConnectionHandler, kernel=self.kernel
            ),
        )
        self.server.start()
        self.caller = socket.create_connection(self.server.address)
        self.received = b''
        self.received_s = float('-inf')
        self.reading = spawn(self._receive)

    def close(self):
        """End what the scenario started."""
        self.caller.close()
        self.server.stop(timeout=0)
        self.worker.close()
        self.kernel.stop()

    def _receive(self):
        while part := self.caller.recv(4096):
            self.received += part
            self.received_s = time.monotonic()

    def _respond(self, connection):
        if self.state == 'has received an event':
            events = b'Content-Type: text/event-stream\r\n\r\n'
            connection.sendall(_RESPONSE_HEAD + events + _EVENT)
        sleep(_SHORT_S if self.state == 'ends in time' else _LONG_S)
        connection.sendall(_RESPONSE_HEAD + b'Content-Length: 1\r\n\r\na')

    def _register(self, kind):
        route = make_route(
            kind=_KINDS[kind], max_attempts=1, timeout_s=_LONG_S * 2
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
                AttemptDone: ignore,
                CancelSelection: ignore,
                SelectUpstream: self._select,
            },
            SERVICE_METRICS: {Observe: ignore, Count: ignore},
            SERVICE_GATEWAY: {
                service.RegisterRequest: self.service.register_request,
                service.UnregisterRequest: self.service.unregister_request,
                service.InterruptRequests: self.service.interrupt_requests,
                service.AwaitDrained: self.service.await_drained,
                service.ConnectionIdle: self.service.add_idle,
                service.ConnectionBusy: self.service.remove_idle,
                service.GetLimits: self.service.report_limits,
            },
        }
        for name, handlers in services.items():
            self.kernel.register(name, handlers)

    def _select(self, message, reply):
        if self.is_waiting:
            return
        address = self.worker.address
        reply.ok(
            SelectedUpstream(
                address, address, None, 0, 0, 0, message.ticket, None
            )
        )


@given('gateway is stopping and has a {kind} request that {state}')
def stopping_gateway(context, kind, state):
    world = _World(kind, state)
    context.world = world
    context.cleanups = [world.close]
    is_late = state.startswith('has sent half')
    sent = len(_BODY) // 2 if is_late else len(_BODY)
    world.caller.sendall(_HEAD + _BODY[:sent])
    sleep(_SETTLE_S)
    world.service.refuse_requests(service.RefuseNewRequests(), Reply())
    spawn_later(_LATE_BODY_S, world.caller.sendall, _BODY[sent:])


@when("gateway's grace period of {grace:g} s ends")
def grace_ends(context, grace):
    assert grace == _GRACE_S
    began_s = time.monotonic()
    _drain(context.world.kernel, context.world.server, grace)
    context.ended_s = time.monotonic()
    assert context.ended_s - began_s <= grace, context.ended_s - began_s
    context.world.reading.join(_SETTLE_S)


@then("gateway's caller gets {response} before the end")
def check_response(context, response):
    world = context.world
    assert world.received_s < context.ended_s
    head, _, body = world.received.partition(b'\r\n\r\n')
    if response == 'a broken stream':
        assert _EVENT in body, world.received
        assert not body.endswith(b'0\r\n\r\n'), world.received
        return
    assert head.startswith(f'HTTP/1.1 {response} '.encode()), world.received
    assert response == '200' or b'Connection: close' in head, head


@then("gateway's worker ran it {runs:d} times")
def check_runs(context, runs):
    assert context.world.worker.runs == runs, context.world.worker.runs
