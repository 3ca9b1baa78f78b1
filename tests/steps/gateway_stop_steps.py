"""Steps for the connections of callers during a planned stop."""

import functools

from behave import given, then, when
from gevent import Timeout, sleep, socket, spawn
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from apricotpin.components.gateway import service
from apricotpin.components.gateway.callers import CallerConnectionHandler
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.core import Kernel, Reply
from tests.upstream_fake import open_port

_REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_BODY = b'right'
_RUN_S = 0.1
_SETTLE_S = 0.05
_RECEIVE_S = 1.0


class _World:
    """Own the listener for callers, one caller and the gateway service."""

    def __init__(self):
        self.kernel = Kernel('entry')
        self.service = service.GatewayService(self.kernel, lambda: None)
        # Reports of connections wait here, as in a long mailbox.
        self.reports = []
        self.runs_s = 0
        self.kernel.register(
            SERVICE_GATEWAY,
            {
                service.ConnectionIdle: self._keep,
                service.ConnectionBusy: self._keep,
                service.GetLimits: self.service.report_limits,
            },
        )
        self.pool = Pool()
        self.server = WSGIServer(
            open_port(),
            self._respond,
            spawn=self.pool,
            log=None,
            error_log=None,
            handler_class=functools.partial(
                CallerConnectionHandler, kernel=self.kernel
            ),
        )
        self.server.start()
        self.caller = socket.create_connection(self.server.address)
        self.caller.settimeout(_RECEIVE_S)
        sleep(_SETTLE_S)

    def deliver_reports(self):
        """Let the service handle what connections have reported."""
        for message in self.reports:
            if isinstance(message, service.ConnectionIdle):
                self.service.add_idle(message, Reply())
            else:
                self.service.remove_idle(message, Reply())
        self.reports.clear()

    def receive(self):
        """Return all bytes that the caller receives until the end."""
        received = b''
        while True:
            part = self.caller.recv(4096)
            if not part:
                return received
            received += part

    def close(self):
        """End what the scenario started."""
        self.caller.close()
        self.server.stop(timeout=0)
        self.kernel.stop()

    def _keep(self, message, reply):
        self.reports.append(message)
        reply.ok()

    def _respond(self, _environ, start_response):
        sleep(self.runs_s)
        headers = [('Content-Length', str(len(_BODY)))]
        if self.runs_s:
            headers.append(('Connection', 'close'))
        start_response('200 OK', headers)
        return [_BODY]


def _finish_first(world):
    world.caller.sendall(_REQUEST)
    received = b''
    while _BODY not in received:
        received += world.caller.recv(4096)
    sleep(_SETTLE_S)
    world.deliver_reports()


@given('gateway has a connection of a caller that {state}')
def connect_caller(context, state):
    world = _World()
    context.world = world
    context.cleanups = [world.close]
    world.deliver_reports()
    if 'second' in state:
        _finish_first(world)
    # Later responses end their connection, as those of a stopping host do.
    world.runs_s = _RUN_S
    if state.startswith('has sent half'):
        world.caller.sendall(_REQUEST[:5])
        sleep(_SETTLE_S)
        spawn(world.caller.sendall, _REQUEST[5:])
    elif state.endswith('not read yet'):
        # The connection's greenlet has had no chance to run since.
        world.caller.sendall(_REQUEST)
    elif state.endswith('not reported'):
        world.caller.sendall(_REQUEST)
        sleep(_SETTLE_S)
    elif state.startswith('runs'):
        world.caller.sendall(_REQUEST)
        sleep(_SETTLE_S)
        world.deliver_reports()


@when("gateway's service closes the idle connections")
def close_idle(context):
    context.world.service.refuse_requests(service.RefuseNewRequests(), Reply())


@then("gateway's caller on that connection receives {response}")
def check_received(context, response):
    received = context.world.receive()
    if response == 'nothing':
        assert not received, received
    else:
        assert received.startswith(b'HTTP/1.1 200'), received
        assert received.endswith(_BODY), received


@then("gateway's connections have all ended within 1 s")
def check_ended(context):
    with Timeout(1, False):
        context.world.pool.join()
    assert not context.world.pool, len(context.world.pool)
