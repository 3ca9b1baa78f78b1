"""Steps for short calls over HTTP."""

import json
import time
import tracemalloc

import gevent
from behave import given, then, when
from result import Err, Ok

from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import (
    HttpRequest,
    PooledHttpClient,
    RequestLimits,
    send_request,
)
from apricotpin.platform.calls import HttpCaller
from apricotpin.platform.store_client import StoreClient
from tests.steps.exchange_steps import Pulse, start_sender
from tests.upstream_fake import FakeUpstream, reset

_BYTES_PER_MB = 1048576
_CONNECTIONS = 2
_SETTLE_S = 0.05
_SLOW_S = 0.1
_LONGEST_PAUSE_S = 0.2
_LIMITS = RequestLimits(
    connect_timeout_s=0.5,
    silence_timeout_s=0.4,
    total_timeout_s=1,
    response_max_bytes=262144,
)


def _worker_call(address):
    caller = HttpCaller(address, 1, ErrorKind.ENGINE_UNAVAILABLE)
    return caller.call('GET', '/report')


def _store_read(address):
    return StoreClient(address).read('keyed.op', 0, 0)


def _exchange(address):
    request = HttpRequest('GET', f'http://{address}/')
    return send_request(request, 1, ErrorKind.LOG_UNAVAILABLE)


def _kept_call(address):
    return PooledHttpClient(address, 1, _LIMITS).call(HttpRequest('GET', '/'))


_PATHS = {
    'a query': '/p/a?b=1&c=2',
    'a space': '/p/a b',
    'the end of a line': '/p/a\r\nb',
    'another alphabet': '/p/\N{LATIN SMALL LETTER A WITH DIAERESIS}',
}
_CLIENTS = {
    'worker call': _worker_call,
    'store read': _store_read,
    'exchange': _exchange,
    'kept call': _kept_call,
}


@given('http peer with a sender of endless {part}')
def fast_sender(context, part):
    start_sender(context, part)


@given('http peer with a slow sender of endless {part}')
def slow_sender(context, part):
    start_sender(context, part, _SLOW_S)


@when('http peer is sent a {client}')
def send_one(context, client):
    context.pulse = Pulse()
    began_s = time.monotonic()
    tracemalloc.start()
    context.answered = _CLIENTS[client](context.sender.address)
    context.held_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.took_s = time.monotonic() - began_s
    gevent.sleep(_SETTLE_S)
    context.pulse.stop()


@then('http call ends as {kind} within {longest_s:g} s')
def ends_as(context, kind, longest_s):
    failure = context.answered.err_value
    found = '-' if kind == '-' else failure.kind.value
    assert failure is not None and found == kind, failure
    assert context.took_s <= longest_s, context.took_s


@then('http call held at most {most:d} MB for it')
def held(context, most):
    assert context.held_bytes <= most * _BYTES_PER_MB, context.held_bytes


@then('http call let other tasks run')
def others_ran(context):
    assert context.pulse.longest_s < _LONGEST_PAUSE_S, context.pulse.longest_s


@then('http call closed the connection')
def closed(context):
    context.sender.wait_closed()


@given('http peer that answers')
def answering_peer(context):
    context.upstream = FakeUpstream()
    context.client = PooledHttpClient(
        context.upstream.address,
        _CONNECTIONS,
        _LIMITS,
    )
    context.cleanups = [context.upstream.close, context.client.close]
    context.answers = []


@given("http peer's next answer is {fault}")
def next_fault(context, fault):
    context.upstream.faults = [fault]


def _call(context, method='GET'):
    answered = context.client.call(HttpRequest(method, '/asked'))
    context.answers.append(_described(answered))


def _described(answered):
    match answered:
        case Err():
            return 'none'
        case Ok(answer):
            path = json.loads(answer.body)['path']
            return 'right' if path == '/asked' else 'other'


@when('http peer is sent {count:d} calls one after another')
def calls_in_turn(context, count):
    for _ in range(count):
        _call(context)
        gevent.sleep(_SETTLE_S)


@when('http peer is sent {count:d} calls at once')
def calls_at_once(context, count):
    tasks = [gevent.spawn(_call, context) for _ in range(count)]
    gevent.joinall(tasks)


@when('http peer {ends} a kept connection before the next {method}')
def end_kept(context, ends, method):
    _call(context, method)
    if ends == 'closes':
        reset(context.upstream.received[0].connection)
        gevent.sleep(_SETTLE_S)
    else:
        context.upstream.faults = ['reset_before']
    _call(context, method)


@then('http calls were answered {answers}')
def were_answered(context, answers):
    assert context.answers == answers.split(' '), context.answers


@then('http peer saw {count:d} connections')
def saw_connections(context, count):
    assert context.upstream.connections == count, context.upstream.connections


@when('http peer is asked for a path with {text}')
def ask_path(context, text):
    context.client.call(HttpRequest('GET', _PATHS[text]))


@then('http peer was asked for {path}')
def was_asked(context, path):
    found = [request.path for request in context.upstream.received]
    assert found == [path], found
