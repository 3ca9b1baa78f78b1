"""Steps for workers that are silent in the middle of their responses."""

import functools
import time
from unittest import mock

from behave import given, then, when
from gevent import Timeout, get_hub, sleep, spawn, spawn_later
from loguru import logger

from apricotpin.components.gateway import const
from apricotpin.components.gateway.application import RequestHandler
from apricotpin.components.gateway.callers import (
    CallerDisconnected,
    RawRequest,
)
from apricotpin.components.gateway.serving import (
    IncompleteResponse,
    RequestInterrupted,
)
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.errors import ErrorKind
from apricotpin.messages.upstreams import (
    AttemptSilent,
    CancelSelection,
    SelectedUpstream,
)
from apricotpin.platform.call_codec import make_codec
from tests.steps.gateway_endless_steps import _Body, _World
from tests.steps.routes_steps import make_route
from tests.upstream_fake import open_port

_WORLD_MODULE = 'tests.steps.gateway_endless_steps'
_SILENCE_S = 0.2
_TIMEOUT_S = 1.5
_SETTLE_S = 0.1
# The first worker is silent by then, and the second one has the request.
_RACE_S = 0.5
_LATE_S = 0.25
_HEAD_END = b'\r\n\r\n'
_NAMED = b'X-Attempt-Id: r1\r\nX-Server-Seal: s\r\n'
_OK = b'HTTP/1.1 200 OK\r\n' + _NAMED
_STREAM = (
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_SENT = {
    'head': _OK + _STREAM,
    'end': b'0\r\n\r\n',
    'body': _OK + b'Content-Length: 5\r\n\r\nright',
    'half a body': _OK + b'Content-Length: 5\r\n\r\nri',
    'its rest': b'ght',
    'a refusal': b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n' + _NAMED + b'\r\n',
    'a failure': b'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n'
    + _NAMED
    + b'\r\n',
}
_REFUSALS = {
    'is full': ErrorKind.OVERLOADED,
    'is missing': ErrorKind.NO_UPSTREAM,
    'is over the budget': ErrorKind.RETRY_BUDGET_EMPTY,
}
_LEAVES = {
    'the caller leaves': CallerDisconnected,
    'the process interrupts it': RequestInterrupted,
}


def _event(number):
    return b'id: %d\ndata: e\n\n' % number


def _chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


class _Worker:
    """Send the parts of a script on each connection, and note its end."""

    def __init__(self, script):
        self.listener = open_port()
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.script = script.split(', ')
        self.runs = 0
        self.was_cancelled = False
        self.after = ''
        self._greenlet = spawn(self._serve)

    def close(self):
        """End the greenlet and close the listener."""
        self._greenlet.kill()
        self.listener.close()

    def _serve(self):
        connection, _ = self.listener.accept()
        received = b''
        while _HEAD_END not in received:
            received += connection.recv(4096)
        self.runs += 1
        for line in received.decode().split('\r\n'):
            if line.lower().startswith('last-event-id:'):
                self.after = line.split(':')[1].strip()
        self._has_head = False
        for part in self.script:
            if not self._send(connection, part):
                break
        connection.close()

    def _send(self, connection, part):
        """Send one part; return whether the script goes on."""
        if part == 'parts without end':
            return self._send_parts(connection)
        if part.startswith('pause '):
            return self._pause(connection, float(part.split()[1]))
        if 'event' in part and not self._has_head:
            self._has_head = True
            connection.sendall(_SENT['head'])
        self._has_head = self._has_head or part == 'head'
        if part.startswith('event '):
            connection.sendall(_chunk(_event(int(part.split()[1]))))
        elif part.startswith('half of event '):
            connection.sendall(_chunk(_event(int(part.split()[-1]))[:-4]))
        elif part == 'the rest of it':
            connection.sendall(_chunk(_event(0)[-4:]))
        else:
            connection.sendall(_SENT.get(part, b''))
        return part != 'close'

    def _send_parts(self, connection):
        """Send parts of one event until the connection is closed."""
        try:
            connection.sendall(_SENT['head'])
            while True:
                connection.sendall(_chunk(b'part'))
                sleep(0)
        except OSError:
            self.was_cancelled = True
        return False

    def _pause(self, connection, pause_s):
        connection.settimeout(pause_s)
        try:
            self.was_cancelled = not connection.recv(1)
        except TimeoutError:
            return True
        except OSError:
            self.was_cancelled = True
        return False


class _SilenceWorld(_World):
    """Send a request to workers that are silent, and record all ends."""

    # Scenarios replace these.
    start_timeout_s = None
    ends_as_selected = False

    def __init__(self, scripts):
        self.workers = [
            _Worker('close' if script in _REFUSALS else script)
            for script in scripts
        ]
        super().__init__(self.workers[0])
        self.second.close()
        self.second = self.workers[1]
        self.scripts = list(scripts)
        self.granted = []
        self.ended = []
        self.queried = []
        self.silent = []
        self.lines = []

    def close(self):
        """End what the scenario started."""
        for worker in self.workers:
            worker.close()
        self.kernel.stop()

    @property
    def status(self):
        """Return the status that the caller received, empty if none."""
        return ''.join(map(str, self.statuses))

    def serve(self, kind, most):
        """Send a request; return after which time its response ended."""
        self._register(kind, most)
        handlers = self.kernel._tasks[SERVICE_DISPATCH].handlers
        handlers[CancelSelection] = self._record_cancelled
        handlers[AttemptSilent] = self._record_silent
        headers = [('Host', 'a.test'), ('X-Attempt-Id', 'r1')]
        raw = RawRequest('POST', '/x/', headers, _Body(), 99, self.ends[1])
        began_s = time.monotonic()
        self.greenlet = spawn(self._serve, raw)
        with Timeout(_TIMEOUT_S + 1):
            self.greenlet.join()
        took_s = time.monotonic() - began_s
        sleep(_SETTLE_S)
        return took_s

    @property
    def received(self):
        """Return what the caller received in a few words."""
        body = b''.join(self.parts)
        if b'right' in body or self.status != '200':
            return self.status
        numbers = [
            line.removeprefix('id: ')
            for line in body.decode().split('\n')
            if line.startswith('id: ')
        ]
        assert body == b''.join(_event(int(one)) for one in numbers), body
        prefix = 'broken after ' if self.broken else ''
        return f'{prefix}events {" ".join(numbers)}'

    def _serve(self, raw):
        handler = RequestHandler(self.kernel, make_codec(), raw)
        try:
            self.parts.extend(handler.run(self._start_response))
        except (IncompleteResponse, CallerDisconnected):
            self.broken = True
        finally:
            handler.close()

    def _select(self, message, reply):
        self.queried.append(message)
        index = len(self.granted)
        is_left = index < len(self.scripts)
        kind = _REFUSALS.get(self.scripts[index] if is_left else 'is missing')
        if kind is not None:
            reply.err(kind, 'no worker')
            return
        self.granted.append(message.ticket)
        address = self.workers[index].address
        selected = SelectedUpstream(
            f'w{index + 1}',
            address,
            None,
            0,
            0,
            0,
            message.ticket,
            self.start_timeout_s if index == 0 else None,
        )
        if self.ends_as_selected and index == 1:
            reply.ok(selected)
            # This runs after the request's task, and before the next task that
            # it starts.
            end = functools.partial(self.greenlet.throw, RequestInterrupted)
            get_hub().loop.run_callback(end)
            return
        if self.scripts[index].startswith('is selected late'):
            spawn_later(_LATE_S, reply.ok, selected)
        else:
            reply.ok(selected)

    def _record_done(self, done, reply):
        self.ended.append((done.ticket, done.verdict))
        reply.ok()

    def _record_silent(self, message, reply):
        self.silent.append(message.ticket)
        reply.ok()

    def _record_cancelled(self, cancelled, reply):
        if cancelled.ticket in self.granted:
            self.ended.append((cancelled.ticket, 'cancelled'))
        reply.ok()


def _patch(context):
    short_goals = functools.partial(
        make_route,
        latency_goal_s=_SILENCE_S / 2,
        event_gap_goal_s=_SILENCE_S / 2,
    )
    patches = (
        mock.patch.object(const, 'EVENT_SILENCE_TIMEOUT_S', _SILENCE_S),
        mock.patch.object(const, 'FIRST_EVENT_SILENCE_TIMEOUT_S', _SILENCE_S),
        mock.patch(f'{_WORLD_MODULE}._TIMEOUT_S', _TIMEOUT_S),
        mock.patch(f'{_WORLD_MODULE}.make_route', short_goals),
    )
    for patched in patches:
        patched.start()
        context.cleanups.append(patched.stop)


@given("gateway's worker 1 sends {script}")
def first_worker(context, script):
    context.scripts = [script]


@given('worker {number:d} {script}')
def further_worker(context, number, script):
    context.scripts.append(script.removeprefix('sends '))
    assert len(context.scripts) == number


def _begin(context):
    context.cleanups = []
    _patch(context)
    context.world = _SilenceWorld(context.scripts)
    lines = context.world.lines
    sink = logger.add(lambda line: lines.append(line.record), enqueue=False)
    context.cleanups.extend((context.world.close, lambda: logger.remove(sink)))


@when('gateway is sent a {kind} request for at most {most:d} attempts')
def send(context, kind, most):
    _begin(context)
    context.took_s = context.world.serve(kind, most)


@when('gateway is sent a {kind} request, and {leave} while both are silent')
def send_and_leave(context, kind, leave):
    _begin(context)
    world = context.world

    def end():
        world.greenlet.throw(_LEAVES[leave])

    spawn_later(_RACE_S, lambda: spawn(end))
    world.serve(kind, 2)


@when('gateway is sent a resumable request that must begin in {limit:g} s')
def send_with_limit(context, limit):
    _begin(context)
    context.world.start_timeout_s = limit
    context.world.serve('resumable', 2)


@when('gateway is sent a request that is interrupted as worker 2 is selected')
def send_and_end_at_once(context):
    _begin(context)
    context.world.ends_as_selected = True
    context.world.serve('resumable', 2)


@then('the caller receives {received}')
def check_received(context, received):
    assert context.world.received == received, context.world.received


@then('the workers ran it {runs} times')
def check_runs(context, runs):
    found = ' '.join(str(worker.runs) for worker in context.world.workers)
    assert found == runs, found


@then('each attempt ended once, as {verdicts}')
def check_ended(context, verdicts):
    world = context.world
    tickets = [ticket for ticket, _ in world.ended]
    assert sorted(tickets) == sorted(world.granted), world.ended
    by_ticket = dict(world.ended)
    found = ', '.join(by_ticket[ticket] for ticket in world.granted)
    assert found == verdicts, found


@then('worker {number:d} was cancelled')
def check_cancelled(context, number):
    assert context.world.workers[number - 1].was_cancelled


@then('worker {number:d} was asked for what follows event {event}')
def check_after(context, number, event):
    found = context.world.workers[number - 1].after
    assert found == event, found


def _logged(context, name, field):
    return [
        str(line['extra'].get(field, '-'))
        for line in context.world.lines
        if line['message'] == name
    ]


@then('the log says {field}={found} on {name}')
def check_logged(context, field, found, name):
    logged = ', '.join(_logged(context, name, field)) or '-'
    assert logged == found, logged


@then('dispatch was asked for the reasons {reasons}')
def check_reasons(context, reasons):
    found = ', '.join(
        message.retry_reason or 'first' for message in context.world.queried
    )
    assert found == reasons, found


@then('dispatch was told that workers {numbers} are silent')
def check_silent(context, numbers):
    world = context.world
    silent = [
        str(index)
        for index, ticket in enumerate(world.granted, start=1)
        if world.silent.count(ticket) == 1
    ]
    assert ' '.join(silent) == numbers, (world.granted, world.silent)


@then('the response took at most {limit:g} s')
def check_time(context, limit):
    assert context.took_s <= limit, context.took_s


@then('no task of the request is left')
def check_tasks(context):
    assert not len(context.world.kernel._workers)
