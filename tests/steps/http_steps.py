"""Steps for short requests over HTTP."""

import json
import time
import tracemalloc

import gevent
from behave import given, then, when
from result import Err, Ok

from apricotpin.errors import ErrorKind
from apricotpin.helpers import clocks
from apricotpin.helpers.http import (
    HttpRequest,
    PooledHttpClient,
    RequestLimits,
    send_request,
)
from apricotpin.platform.http_client import PlatformHttpClient
from apricotpin.platform.store_client import StoreClient
from tests.steps.exchange_steps import (
    EarlyResponder,
    GreenletMonitor,
    start_sender,
)
from tests.upstream_fake import FakeUpstream, reset

_BYTES_PER_MB = 1048576
_CONNECTIONS = 2
# Time for the peer to notice the end of a call.
_SETTLE_S = 0.05
_SLOW_PAUSE_S = 0.1
_PAUSE_MAX_S = 0.2
_LIMITS = RequestLimits(
    connect_timeout_s=0.5,
    silence_timeout_s=0.4,
    total_timeout_s=1,
    response_max_bytes=262144,
)


def _worker_call(address):
    caller = PlatformHttpClient(address, 1, ErrorKind.ENGINE_UNAVAILABLE)
    return caller.call('GET', '/report')


def _store_read(address):
    return StoreClient(address).read('keyed.op', 0, 0)


def _single_request(address):
    request = HttpRequest('GET', f'http://{address}/')
    return send_request(request, 1, ErrorKind.LOG_UNAVAILABLE)


def _pooled_call(address):
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
    'single request': _single_request,
    'pooled call': _pooled_call,
}


@given('http peer with a sender of endless {part}')
def start_fast_sender(context, part):
    start_sender(context, part)


@given('http peer with a slow sender of endless {part}')
def start_slow_sender(context, part):
    start_sender(context, part, _SLOW_PAUSE_S)


@when('http peer is sent a {client}')
def send_call(context, client):
    context.monitor = GreenletMonitor()
    began_s = time.monotonic()
    tracemalloc.start()
    context.response = _CLIENTS[client](context.sender.address)
    context.used_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.took_s = time.monotonic() - began_s
    gevent.sleep(_SETTLE_S)
    context.monitor.stop()


@then('http call ends as {kind} within {max_s:g} s')
def check_failure(context, kind, max_s):
    failure = context.response.err_value
    found = '-' if kind == '-' else failure.kind.value
    assert failure is not None and found == kind, failure
    assert context.took_s <= max_s, context.took_s


@then('http call used at most {max_mb:d} MB of memory')
def check_memory(context, max_mb):
    assert context.used_bytes <= max_mb * _BYTES_PER_MB, context.used_bytes


@then('http call did not block other greenlets')
def check_not_blocked(context):
    assert context.monitor.longest_s < _PAUSE_MAX_S, context.monitor.longest_s


@then('http call closed the connection')
def check_closed(context):
    context.sender.wait_closed()


@given('http peer that responds')
def start_peer(context):
    context.upstream = FakeUpstream()
    context.client = PooledHttpClient(
        context.upstream.address,
        _CONNECTIONS,
        _LIMITS,
    )
    context.cleanups = [context.upstream.close, context.client.close]
    context.responses = []


@given("http peer's next response is {fault}")
def set_next_fault(context, fault):
    context.upstream.faults = [fault]


def _call(context, method='GET'):
    result = context.client.call(HttpRequest(method, '/asked'))
    context.responses.append(_describe(result))


def _describe(result):
    match result:
        case Err():
            return 'none'
        case Ok(response):
            path = json.loads(response.body)['path']
            return 'right' if path == '/asked' else 'other'


@when('http peer is sent {count:d} calls one after another')
def send_in_sequence(context, count):
    for _ in range(count):
        _call(context)
        gevent.sleep(_SETTLE_S)


@when('http peer is sent {count:d} calls at once, and the client is closed')
def send_at_once_and_close(context, count):
    send_at_once(context, count)
    assert context.upstream.connections == count
    context.client.close()
    gevent.sleep(_SETTLE_S)


@then('http peer has seen all {count:d} connections end')
def check_ended(context, count):
    found = context.upstream.count_open()
    assert not found, f'{found} of {count} are open'


@when('http peer is sent {count:d} calls at once')
def send_at_once(context, count):
    greenlets = [gevent.spawn(_call, context) for _ in range(count)]
    gevent.joinall(greenlets)


@when('http peer {ends} a pooled connection before the next {method}')
def end_pooled_connection(context, ends, method):
    _call(context, method)
    if ends == 'closes':
        reset(context.upstream.received[0].connection)
        gevent.sleep(_SETTLE_S)
    else:
        context.upstream.faults = ['reset_before']
    _call(context, method)


@then('http calls received responses {responses}')
def check_responses(context, responses):
    assert context.responses == responses.split(' '), context.responses


@then('http peer accepted {count:d} connections')
def check_connections(context, count):
    assert context.upstream.connections == count, context.upstream.connections


@when('http call requests a path with {text}')
def request_path(context, text):
    context.client.call(HttpRequest('GET', _PATHS[text]))


@then('http peer received the path {path}')
def check_path(context, path):
    found = [request.path for request in context.upstream.received]
    assert found == [path], found


@when(
    'http peer is to be sent a request within {left:g} s, '
    'while connections are in use for {busy:g} s'
)
def send_before(context, left, busy):
    send_by_s = clocks.boot_time_s() + left
    limit_s = busy or 1
    limits = RequestLimits(limit_s, limit_s, limit_s, _BYTES_PER_MB)
    client = PooledHttpClient(context.upstream.address, _CONNECTIONS, limits)
    in_use = _CONNECTIONS if busy else 0
    context.upstream.faults = ['silent'] * in_use
    busy_calls = [
        gevent.spawn(client.call, HttpRequest('GET', '/busy'))
        for _ in range(in_use)
    ]
    gevent.sleep(0)
    client.call(HttpRequest('POST', '/late', send_by_s=send_by_s))
    gevent.joinall(busy_calls)
    client.close()


@then('http peer received the request {times:d} times')
def received_times(context, times):
    found = [one.path for one in context.upstream.received]
    assert found.count('/late') == times, found


@given('http peer that responds before it reads the body')
def start_early_peer(context):
    context.peer = EarlyResponder(
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    )
    context.client = PooledHttpClient(context.peer.address, 1, _LIMITS)
    context.cleanups = [context.client.close, context.peer.close]


@when('http peer is sent {size:d} KiB and then a short call')
def send_long_and_short(context, size):
    body = b'x' * (size * 1024)
    for content in (body, b''):
        response = context.client.call(HttpRequest('PUT', '/', content))
        assert response.is_ok(), response


@then('http peer has had {count:d} connections')
def check_early_connections(context, count):
    assert context.peer.connections == count, context.peer.connections
