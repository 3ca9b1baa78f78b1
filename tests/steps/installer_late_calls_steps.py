"""Steps for calls of a worker that take effect late."""

import hashlib
import json
import time
import types
from urllib.parse import parse_qsl

import gevent
from behave import given, then, when
from gevent.event import AsyncResult
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from result import Ok

from apricotpin.components.installer import events, setup, tasks
from apricotpin.const import (
    SERVICE_ENGINE,
    SERVICE_INSTALLER,
    SERVICE_PRESENCE,
)
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.messages.fleet import (
    EntryHello,
    SendLoadReport,
    WeightsTarget,
)
from apricotpin.messages.pieces import (
    IsWorkerListening,
    LayerRange,
    LoadVersion,
    ReadStagedPiece,
    ReadWorkerReport,
    StagePiece,
)
from apricotpin.platform.worker import WorkerService
from script.standins.platform_worker import LAYERS, PIECES, piece_of

_SILENT_S = 2.6
_POLL_S = 0.05
_HELLO_INTERVAL_S = 0.3
# More than a call may take effect late in these rows.
_LATE_MAX_S = 8.5
_PIECE_LATE = 5


class _LateWorker:
    """Respond as a worker does; the first call of a kind takes effect late.

    fault names the kind: order or copy, or nothing. bad_loads lists the
    versions whose layers were loaded with other pieces. late_s is the delay of
    a late order; a late copy is put in place right before an order, but at
    most _LATE_MAX_S after it was received.
    """

    def __init__(self, fault, late_s):
        self.fault = fault
        self.late_s = late_s
        self.staged = {index: piece_of(1, index) for index in range(PIECES)}
        self.version = 1
        self.is_bad = False
        self.bad_loads = []
        self.sequence = 0
        self.started_ms = 1
        self.late_copy = None
        self.refused_late = 0

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        index = dict(parse_qsl(environ['QUERY_STRING'])).get('chunk_count')
        if path == '/report':
            return _respond(start_response, 200, self._report())
        if path.startswith('/stage-put'):
            return self._put(start_response, int(index), body)
        if path.startswith('/stage-get'):
            content = self.staged.get(int(index))
            status = 404 if content is None else 200
            return _respond(start_response, status, content or b'')
        return self._order(start_response, json.loads(body))

    def accept(self, order):
        """Begin an order unless its condition differs; return the status."""
        if order.get('precondition', self.sequence) != self.sequence:
            return 409
        if self.late_copy is not None:
            self._place_late_copy()
        if order['version'] == self.version:
            return 200
        self.sequence += 1
        self.version = order['version']
        self.is_bad = any(
            self.staged.get(index) != piece_of(self.version, index)
            for index in range(PIECES)
        )
        if self.is_bad:
            self.bad_loads.append(self.version)
        return 202

    def _report(self):
        layers = [{'source': 0, 'to': LAYERS, 'version': self.version}]
        fields = {
            'active': 0,
            'queued': 0,
            'busy': False,
            'sequence': self.sequence,
            'models': [{'name': 'm', 'version': self.version}],
            'layers': layers,
            'born': self.started_ms,
        }
        return json.dumps(fields).encode()

    def _put(self, start_response, index, content):
        if self.fault == 'copy' and index == _PIECE_LATE:
            self.fault = ''
            self.late_copy = content
            gevent.spawn_later(_LATE_MAX_S, self._place_late_copy)
            return _fall_silent()
        self.staged[index] = content
        return _respond(start_response, 200, b'')

    def _place_late_copy(self):
        if self.late_copy is not None:
            self.staged[_PIECE_LATE] = self.late_copy
            self.late_copy = None

    def _order(self, start_response, order):
        if self.fault == 'order':
            self.fault = ''
            gevent.spawn_later(self.late_s, self._accept_late, order)
            return _fall_silent()
        if self.fault == 'response':
            self.fault = ''
            self.accept(order)
            return _fall_silent()
        if self.fault == 'lost order':
            self.fault = ''
            return _fall_silent()
        return _respond(start_response, self.accept(order), b'')

    def _accept_late(self, order):
        if self.accept(order) == 409:
            self.refused_late += 1


def _fall_silent():
    gevent.sleep(_SILENT_S)
    raise ConnectionResetError(104, 'no response')


def _respond(start_response, status, content):
    start_response(f'{status} -', [('Content-Length', str(len(content)))])
    return [content]


def _manifest(version):
    digests = [
        hashlib.sha256(piece_of(version, index)).hexdigest()
        for index in range(PIECES)
    ]
    return json.dumps({'layers': LAYERS, 'digests': digests}).encode()


def _fetch(kernel, fleet):
    """Run fetch jobs as the tasks of an agent do, without entry hosts."""
    while True:
        job = kernel.call(
            SERVICE_INSTALLER, events.GetNextFetchJob(), None
        ).ok_value
        version = job.install.version
        while job.index >= fleet.limits.get(version, PIECES):
            gevent.sleep(_POLL_S)
        content = (
            _manifest(version)
            if job.index < 0
            else piece_of(version, job.index)
        )
        kernel.call(
            SERVICE_INSTALLER,
            events.PieceFetched(job, job.addresses[0], Ok(content)),
        )


def _send_hellos(kernel, fleet):
    while True:
        targets = [
            WeightsTarget('drafting', 'm', version, known_ms)
            for version, known_ms in fleet.known_ms()
        ]
        hello = EntryHello('e1', '10.0.0.9:7700', 'a', targets)
        kernel.send(SERVICE_INSTALLER, hello)
        gevent.sleep(_HELLO_INTERVAL_S)


class _Fleet:
    """Hold the declared version and what the agent reported."""

    def __init__(self, worker):
        self.worker = worker
        self.declared = {}
        self.limits = {}
        self.exposed = []
        self.reported = 0

    def declare(self, version):
        self.declared = {version: time.monotonic()}

    def known_ms(self):
        now_s = time.monotonic()
        return [
            (version, int((now_s - declared_s) * 1000))
            for version, declared_s in self.declared.items()
        ]

    def record_report(self, message, _reply):
        """Record a version that is reported although its layers are bad."""
        self.reported = message.report.version
        if self.worker.is_bad and self.reported == self.worker.version:
            self.exposed.append(self.reported)


def _start_agent(context, address):
    kernel = Kernel('agent')
    settings = types.SimpleNamespace(
        service='drafting',
        data_centre='a',
        upstream_address=address,
        peer_address='10.0.0.1:7700',
        is_first_start=context.is_first_start,
        link_bytes_per_s=0,
        limits=types.SimpleNamespace(version_limit_s=8),
    )
    engine = WorkerService(kernel, address)
    kernel.register(
        SERVICE_ENGINE,
        {
            IsWorkerListening: engine.is_listening,
            ReadWorkerReport: engine.read_report,
            StagePiece: engine.handle_piece_or_order,
            ReadStagedPiece: engine.handle_piece_or_order,
            LoadVersion: engine.handle_piece_or_order,
        },
    )
    kernel.register(
        SERVICE_PRESENCE, {SendLoadReport: context.fleet.record_report}
    )
    setup(kernel, settings)
    kernel.spawn(tasks.poll_reports, kernel)
    kernel.spawn(tasks.run_load_jobs, kernel)
    kernel.spawn(_fetch, kernel, context.fleet)
    kernel.spawn(_send_hellos, kernel, context.fleet)
    context.cleanups.append(kernel.stop)


def _start_worker(context, worker):
    server = WSGIServer(('127.0.0.1', 0), worker, log=None)
    server.start()
    context.worker = worker
    context.fleet = _Fleet(worker)
    context.cleanups = [server.stop]
    return f'127.0.0.1:{server.server_port}'


@given(
    'a worker whose first {fault} takes effect {late:g} s late, and its agent'
)
def worker_with_late_call(context, fault, late):
    faults = {'lost order': 'lost order', 'answered order': 'response'}
    worker = _LateWorker(faults.get(fault, fault), late)
    address = _start_worker(context, worker)
    context.is_first_start = True
    context.fleet.declare(2)
    context.late_s = late
    _start_agent(context, address)


@given('a worker with version 2 staged, whose agent ended with an open order')
def worker_of_earlier_agent(context):
    worker = _LateWorker('', 0)
    worker.staged = {index: piece_of(2, index) for index in range(PIECES)}
    address = _start_worker(context, worker)
    context.is_first_start = False
    order = {'version': 2, 'precondition': 0}
    gevent.spawn_later(3, worker.accept, order)
    context.fleet.declare(3)
    context.late_s = 0
    context.fleet.limits = {3: PIECES // 2}
    gevent.spawn_later(4, context.fleet.limits.clear)
    _start_agent(context, address)


@when('version 3 is declared once the worker has received that call')
def declare_newer(context):
    _wait(lambda: not context.worker.fault, 5)
    context.fleet.declare(3)


@then('the worker has version 3 loaded within {within:g} s')
def version_loaded(context, within):
    worker = context.worker
    _wait(lambda: worker.version == 3, within)
    if not worker.is_bad:
        _wait(lambda: context.fleet.reported == 3, 2)


@then('the worker never loaded pieces of another version')
def no_bad_load(context):
    gevent.sleep(context.late_s)
    assert not context.worker.bad_loads, context.worker.bad_loads
    assert not context.worker.is_bad
    assert context.worker.version == 3, context.worker.version


@then('no entry host was told a version that was not loaded right')
def none_exposed(context):
    assert not context.fleet.exposed, context.fleet.exposed


_ENDLESS = b'HTTP/1.1 202 -\r\nContent-Length: 9\r\n\r\nend'


@given('a worker that responds to each call with {answer}')
def worker_with_answer(context, answer):
    context.received = []

    def serve(connection, _address):
        received = b''
        while b'\r\n\r\n' not in received:
            part = connection.recv(4096)
            if not part:
                return
            received += part
        context.received.append(answer)
        if answer.isdigit():
            head = f'HTTP/1.1 {answer} -\r\nContent-Length: 0\r\n\r\n'
            connection.sendall(head.encode())
        elif answer == 'a part of a response':
            connection.sendall(_ENDLESS)
        elif answer == 'nothing':
            gevent.sleep(_SILENT_S)
        elif answer == '202 on its second use, then a reset':
            if len(context.received) == 1:
                connection.sendall(
                    b'HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n'
                )
                connection.recv(4096)
                context.received.append(answer)

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    address = f'127.0.0.1:{server.server_port}'
    if answer == 'a refused connection':
        server.stop()
    kernel = Kernel('agent')
    context.engine = WorkerService(kernel, address)
    context.cleanups = [server.stop, kernel.stop]


@then('the worker counts as {state}')
def counts_as(context, state):
    waiter = AsyncResult()
    context.engine.is_listening(IsWorkerListening(), Reply(waiter))
    is_listening = waiter.get(timeout=4).ok_value
    assert is_listening is (state == 'listening'), is_listening


@when('the agent sends it an order and a copy')
def send_order_and_copy(context):
    send_by_s = clocks.boot_time_s() + 5
    calls = [
        LoadVersion('m', 2, LayerRange(0, LAYERS), send_by_s, 0),
        StagePiece('m', 0, b'piece', send_by_s),
    ]
    waiters = [AsyncResult() for _ in calls]
    for call, waiter in zip(calls, waiters):
        context.engine.handle_piece_or_order(call, Reply(waiter))
    context.outcomes = [_name_of(one.get(timeout=4)) for one in waiters]


@when('the agent sends it two copies on one connection')
def send_two_copies(context):
    context.outcomes = []
    for index in range(2):
        waiter = AsyncResult()
        send_by_s = clocks.boot_time_s() + 5
        copy = StagePiece('m', index, b'piece', send_by_s)
        context.engine.handle_piece_or_order(copy, Reply(waiter))
        context.outcomes.append(_name_of(waiter.get(timeout=4)))


def _name_of(reply):
    if reply.is_err():
        return reply.err_value.kind.value
    return 'done' if reply.ok_value is None else reply.ok_value.value


@then('the order is {order} and the copy is {copy}')
def outcomes_are(context, order, copy):
    assert context.outcomes == [order, copy], context.outcomes


@then('the worker received {count:d} calls')
def received_calls(context, count):
    assert len(context.received) == count, context.received


def _wait(is_reached, limit_s):
    deadline_s = time.monotonic() + limit_s
    while not is_reached():
        assert time.monotonic() < deadline_s, f'not reached in {limit_s} s'
        gevent.sleep(_POLL_S)
