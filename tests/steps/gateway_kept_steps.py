"""Steps for responses on connections that a gateway uses again."""

import time

from behave import given, then, when
from gevent import sleep, socket, spawn

from apricotpin.const import SERVICE_DISPATCH
from apricotpin.errors import ErrorKind
from apricotpin.messages.upstreams import AvailabilityStated, SelectedUpstream
from tests.steps.gateway_endless_steps import _World
from tests.upstream_fake import open_port

_RUN_S = 0.05
_STREAM_S = 0.3
# Longer than the time limit of the requests.
_SILENT_S = 3.0
_SEAL = b'X-Server-Seal: s\r\n'
_OWN = b'X-Attempt-Id: r1\r\n'
_REFUSED = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
_EMPTY = b'Content-Length: 0\r\n\r\n'
_EARLIER_ID = b'X-Attempt-Id: r0\r\n'
_EARLIER = {
    'a refusal': _REFUSED + _EARLIER_ID + _EMPTY,
    'a refusal without an id': _REFUSED + _EMPTY,
    'a misdirection': b'HTTP/1.1 421 Other\r\n' + _EARLIER_ID + _EMPTY,
    'a response': b'HTTP/1.1 200 OK\r\n'
    + _EARLIER_ID
    + _SEAL
    + b'Content-Length: 5\r\n\r\nwrong',
}
_REPEATED = _EARLIER['a response']
_EARLIER.update(
    {
        'two responses': _REPEATED * 2,
        'three responses': _REPEATED * 3,
        'half of a response': _REPEATED[:-3],
        'a long response': _REPEATED.replace(b'5', b'99999999', 1),
        'a response in chunks': b'HTTP/1.1 200 OK\r\n'
        + _EARLIER_ID
        + _SEAL
        + b'Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n',
    }
)
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\n' + _OWN + _SEAL + b'Content-Length: 5\r\n\r\nright'
)
_STREAM_HEAD = b'HTTP/1.1 200 OK\r\n' + _OWN + _SEAL + b'Connection: close\r\n'
_HEADS = {
    'non_idempotent': b'HTTP/1.1 200 OK\r\n'
    + _OWN
    + _SEAL
    + b'Content-Length: 5\r\n',
    'resumable': _STREAM_HEAD,
    'refused': _REFUSED + _OWN + b'Content-Length: 0\r\n',
    'misdirected': b'HTTP/1.1 421 Other\r\nX-Instance-Id: another\r\n'
    + _OWN
    + b'Content-Length: 0\r\n',
}
_BODIES = {'non_idempotent': b'right', 'resumable': b'id: 1\ndata: a\n\n'}
_HEAD_END = b'\r\n\r\n'


class _Worker:
    """Serve one request on one connection by a function of the connection."""

    def __init__(self, respond):
        self.listener = open_port()
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.runs = 0
        self._respond = respond
        self._greenlet = spawn(self._serve)

    def close(self):
        """End the greenlet and close the sockets."""
        self._greenlet.kill()
        self.listener.close()

    def _serve(self):
        connection, _ = self.listener.accept()
        received = b''
        while _HEAD_END not in received:
            received += connection.recv(4096)
        self.runs += 1
        self._respond(connection)
        connection.close()


class _KeptWorld(_World):
    """Send a request on a kept connection, and record what is reported."""

    def __init__(self, worker, is_kept):
        super().__init__(worker)
        self.stated = []
        self.second_runs = 0
        self.connection = None
        if is_kept:
            self.connection = socket.create_connection(
                worker.listener.getsockname()
            )

    def _register(self, kind, most):
        super()._register(kind, most)
        handlers = self.kernel._tasks[SERVICE_DISPATCH].handlers
        handlers[AvailabilityStated] = self._record_stated

    def _select(self, message, reply):
        if not self.addresses:
            reply.err(ErrorKind.NO_UPSTREAM, 'all workers were tried')
            return
        address = self.addresses.pop(0)
        connection = self.connection
        self.connection = None
        self.second_runs += address == self.second.address
        reply.ok(
            SelectedUpstream(
                address, address, connection, 0, 0, 0, message.ticket, None
            )
        )

    def _record_stated(self, stated, reply):
        self.stated.append((time.monotonic(), stated))
        reply.ok()


def _start(context, respond, is_kept):
    worker = _Worker(respond)
    context.world = _KeptWorld(worker, is_kept)
    context.cleanups = [context.world.close]


@given(
    'gateway has a connection to a worker that sends {earlier} once more, '
    '{moment}'
)
def repeating_worker(context, earlier, moment):
    repeated = _EARLIER[earlier]

    def respond(connection):
        response = _RESPONSE
        if context.kind == 'resumable':
            response = _STREAM_HEAD + _HEAD_END[2:] + _BODIES['resumable']
        if moment == 'before the response':
            connection.sendall(repeated + response)
            sleep(_RUN_S)
        elif moment == 'without an own one':
            connection.sendall(repeated)
            sleep(_SILENT_S)
        elif moment == 'before the end':
            connection.sendall(repeated)
        else:
            connection.sendall(repeated)
            sleep(_RUN_S)
            connection.sendall(_RESPONSE)

    _start(context, respond, is_kept=True)


@given("gateway's worker sends a {kind} response with {header}")
def stating_worker(context, kind, header):
    # The end of a refused request does not wait for the worker's body.
    context.ended_s = float('inf')

    def respond(connection):
        connection.sendall(_HEADS[kind] + header.encode() + _HEAD_END)
        sleep(_STREAM_S)
        connection.sendall(_BODIES.get(kind, b''))
        context.ended_s = time.monotonic()

    _start(context, respond, is_kept=False)


@when(
    'gateway sends on it a request that is {kind} for at most {most:d} attempts'
)
def send_on_kept(context, kind, most):
    began_s = time.monotonic()
    context.kind = kind
    context.world.run(kind, most)
    context.took_s = time.monotonic() - began_s


@when('gateway sends a request that is {kind} to that worker')
def send_to_worker(context, kind):
    route_kind = 'resumable' if kind == 'resumable' else 'non_idempotent'
    context.world.run(route_kind, 1)


@then("gateway's request ran {runs:d} times")
def check_runs(context, runs):
    found = context.world.sender.runs + context.world.second_runs
    assert found == runs, found


@then('gateway reports {reported} to dispatch before the response ends')
def check_stated(context, reported):
    expected = {
        'leaving': [(True, 0)],
        'a pause of 1.5 s': [(False, 1.5)],
        'nothing': [],
    }[reported]
    stated = context.world.stated
    found = [(message.is_leaving, message.pause_s) for _, message in stated]
    assert found == expected, found
    assert all(stated_s < context.ended_s for stated_s, _ in stated)
