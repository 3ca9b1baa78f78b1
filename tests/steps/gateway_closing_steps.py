"""Steps for callers that send more while their last response is delivered."""

from behave import given, then, when
from gevent import sleep, socket

from apricotpin.components.gateway import service
from apricotpin.core import Reply
from tests.steps.gateway_stop_steps import _World

# More than the caller's receive buffer, less than the sender's buffers.
_BODY_BYTES = 300_000
_RECEIVE_BUFFER_BYTES = 8192
_RUN_S = 0.1
_SETTLE_S = 0.3
_REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_NEXT_HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'


class _ClosingWorld(_World):
    """Respond with a long body and the end of the connection."""

    def __init__(self):
        super().__init__()
        self.keeps_connection = False
        self.caller.close()
        self.caller = socket.socket()
        self.caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self.caller.connect(self.server.address)
        # Some of the bytes may not be accepted.
        self.caller.settimeout(_SETTLE_S)

    def send_next(self, size):
        """Send the next request, or as much of it as is accepted."""
        try:
            self.caller.sendall(_NEXT_HEAD % size + b'x' * size)
        except OSError:
            return

    def _respond(self, _environ, start_response):
        sleep(_RUN_S)
        headers = [('Content-Length', str(_BODY_BYTES))]
        if not self.keeps_connection:
            headers.append(('Connection', 'close'))
        start_response('200 OK', headers)
        return [b'x' * _BODY_BYTES]


@given('gateway ends the connection of a caller that reads slowly')
def connect_slow_caller(context):
    context.world = _ClosingWorld()
    context.cleanups = [context.world.close]


@when(
    'gateway responds, and its caller sends {size:d} more bytes {moment} the '
    'response'
)
def respond(context, size, moment):
    world = context.world
    world.caller.sendall(_REQUEST)
    if moment == 'after':
        sleep(_SETTLE_S)
    world.send_next(size)
    sleep(_SETTLE_S)


@when(
    'gateway responds, closes the idle connections, and its caller sends '
    '{size:d} more bytes'
)
def close_idle(context, size):
    world = context.world
    world.keeps_connection = True
    world.caller.sendall(_REQUEST)
    sleep(_SETTLE_S)
    world.deliver_reports()
    world.service.refuse_requests(service.RefuseNewRequests(), Reply())
    sleep(_RUN_S)
    world.send_next(size)
    sleep(_RUN_S)


@then("gateway's caller has received the whole response")
def check_whole(context):
    received = 0
    error = None
    try:
        while part := context.world.caller.recv(65536):
            received += len(part)
    except OSError as failed:
        error = failed
    assert error is None, (received, error)
    assert received > _BODY_BYTES, received
