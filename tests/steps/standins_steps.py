"""Steps for the behaviour of the stand-ins, seen over HTTP."""

import json
import os
import pathlib
import tempfile
from http.client import HTTPConnection

from behave import given, then, when
from blake3 import blake3
from gevent import socket
from gevent.server import StreamServer

from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import HttpRequest, send_request
from script import caller_requests
from script.cluster import STANDINS, send_json
from script.load import send_and_check
from script.processes import ProcessGroup, responds_ok, wait_until
from script.standins import (
    engine,
    engine_state,
    host_list,
    links,
    log,
    origin,
    plain,
)
from script.standins.contents import Weights, manifest_of
from script.standins.pacing import TokenBucket
from script.standins.web import open_server

READY_TIMEOUT_S = 20
TOKEN_S = 0.001
# A response over loopback that takes longer than this counts as missing.
SILENCE_TIMEOUT_S = 1
TIMEOUT_S = 10
PORT = 20000
_VERSIONS = {
    version: Weights('model', version, 12000, 5000) for version in ('v1', 'v2')
}


def _test_ip(number):
    """Return an address that depends on the pid, so that runs don't collide."""
    pid = os.getpid() % 65024
    return f'127.29.{pid // 254}.{pid % 254 + 1}', PORT + number


def _listen(number=0):
    ip, port = _test_ip(number)
    return f'{ip}:{port}'


def _start(context, name, module, *settings):
    """Serve a stand-in from this process, to save starting a new one."""
    kernel = Kernel(name)
    server = open_server(_listen(), module.set_up(kernel, *settings))
    context.cleanups = [kernel.stop, server.close]
    context.url = f'http://{_listen()}'


def _parse(options):
    """Return options of the form name=value as a dictionary."""
    pairs = [option.split('=') for option in options.split()]
    return {name: json.loads(text) for name, text in pairs}


def _set_faults(context, switches):
    return _status('POST', f'{context.url}/faults', json.loads(switches))


def _status(method, url, document):
    """Return the status of a response as text, or closed without one."""
    request = HttpRequest.with_json(method, url, document)
    outcome = send_request(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
    return str(outcome.ok_value.status) if outcome.is_ok() else 'closed'


@given('log stand-in with options "{options}" and switches {switches}')
def start_log(context, options, switches):
    """Start a log with the given options, or the defaults of this test."""
    fields = {'appends_per_s': 0, 'retention_s': 3600, **_parse(options)}
    _start(context, 'log', log, fields['appends_per_s'], fields['retention_s'])
    _set_faults(context, switches)


@given('log stand-in with options "" and switches {switches}')
def start_default_log(context, switches):
    """Start a log with the default options of this test."""
    start_log(context, '', switches)


@when('log stand-in receives {appends:d} appends of {count:d} records')
def append_records(context, appends, count):
    """Append records and store the statuses of the responses."""
    url = f'{context.url}/streams/test/records'
    document = {'records': list(range(count))}
    context.results = [_status('POST', url, document) for _ in range(appends)]


@then('log stand-in responded with {statuses} and holds offsets {offsets}')
def check_log(context, statuses, offsets):
    """Compare statuses and the offsets of the stored records."""
    assert ' '.join(context.results) == statuses, context.results
    _set_faults(context, '{"outage": false}')
    page = send_json('GET', f'{context.url}/streams/test/records?from=0')
    found = ' '.join(str(record['offset']) for record in page['records'])
    assert (found or 'none') == offsets, found


@then(
    'log stand-in moves its earliest offset to {earliest:d} and its next is '
    '{following:d}'
)
def check_retention(context, earliest, following):
    """Wait until the expired records are removed."""
    url = f'{context.url}/streams/test/records?from=0'
    wait_until(
        lambda: send_json('GET', url)['earliest_offset'] == earliest,
        TIMEOUT_S,
        'records expire',
    )
    page = send_json('GET', url)
    assert page['next_offset'] == following, page
    assert not page['records'], page


@given('host list stand-in with a lag of {lag_s} s')
def start_host_list(context, lag_s):
    """Start an empty host list."""
    _start(context, 'host_list', host_list, None, float(lag_s))


@when('host list stand-in receives host "{host_id}"')
def put_host(context, host_id):
    """Add a host."""
    send_json('PUT', f'{context.url}/hosts/{host_id}', {'host_id': host_id})


@then('host list stand-in shows {expected}')
def check_hosts(context, expected):
    """Compare the visible hosts."""

    def shown():
        hosts = send_json('GET', f'{context.url}/hosts')['hosts']
        return ' '.join(host['host_id'] for host in hosts) or 'none'

    wait_until(lambda: shown() == expected, TIMEOUT_S, f'list {expected}')


@given('origin stand-in with options "{options}" and switches {switches}')
def start_origin(context, options, switches):
    """Start an origin of one version."""
    context.weights = _VERSIONS['v1']
    requests_per_s = _parse(options).get('requests_per_s', 0)
    versions = [context.weights]
    _start(context, 'origin', origin, versions, 0, requests_per_s)
    _set_faults(context, switches)


@given('origin stand-in with options "" and switches {switches}')
def start_default_origin(context, switches):
    """Start an origin with the default options."""
    start_origin(context, '', switches)


@when('origin stand-in receives {count:d} requests for the first chunk')
def read_chunks(context, count):
    """Request a chunk repeatedly and compare the bytes with the digest."""
    digest = manifest_of(context.weights)['chunk_digests'][0]
    url = f'{context.url}/weights/model/v1/chunks/0'
    context.results = []
    for _ in range(count):
        request = HttpRequest('GET', url)
        response = send_request(
            request, TIMEOUT_S, ErrorKind.ORIGIN_UNAVAILABLE
        ).unwrap()
        is_right = blake3(response.body).hexdigest() == digest
        read = 'right' if is_right else 'corrupt'
        context.results.append(
            read if response.status == 200 else str(response.status)
        )


@then(
    'origin stand-in responded with {results} and counted {bytes_sent:d} bytes'
)
def check_origin(context, results, bytes_sent):
    """Compare results and the byte counter."""
    assert ' '.join(context.results) == results, context.results
    counters = send_json('GET', f'{context.url}/counters')
    assert counters['bytes_sent'] == bytes_sent, counters


@given('engine stand-in with options "{options}" and switches {switches}')
def start_engine(context, options, switches):
    """Start an engine without a loaded version."""
    checks_fencing = _parse(options).get('checks_fencing', True)
    _start_engine(context, checks_fencing, None, switches)


def _start_engine(context, checks_fencing, active, switches):
    limits = engine_state.EngineLimits(4, 4)
    service = engine_state.EngineService(limits, active)
    _start(context, 'engine', engine, service, TOKEN_S, checks_fencing)
    _set_faults(context, switches)


@given('engine stand-in with options "" and switches {switches}')
def start_default_engine(context, switches):
    """Start an engine with the default options."""
    start_engine(context, '', switches)


@given('engine stand-in that serves {version} with switches {switches}')
def start_serving_engine(context, version, switches):
    """Start an engine with an active version."""
    digest = manifest_of(_VERSIONS[version])['digest']
    active = engine_state.StoreVersion('model', version, digest, 0, 0)
    _start_engine(context, True, active, switches)


@when('engine stand-in receives orders {orders}')
def send_orders(context, orders):
    """Send orders of the form ACTION-VERSION-FENCING_NUMBER."""
    context.results = [
        _send_order(context.url, *order.split('-')) for order in orders.split()
    ]


def _send_order(url, action, version, fencing_number):
    if action == 'activate':
        order = {'version': version, 'fencing_number': int(fencing_number)}
        return _status('POST', f'{url}/models/model/active', order)
    content = b''.join(_VERSIONS[version].chunks())
    digest = blake3(content).hexdigest()
    body = content if action == 'load' else content[1:]
    query = f'fencing_number={fencing_number}&digest={digest}'
    path = f'{url}/models/model/versions/{version}?{query}'
    request = HttpRequest('PUT', path, body)
    outcome = send_request(request, TIMEOUT_S, ErrorKind.ENGINE_UNAVAILABLE)
    return str(outcome.unwrap().status)


@then('engine stand-in responded with {statuses} and serves "{version}"')
def check_engine(context, statuses, version):
    """Compare statuses, and the active version and digest."""
    assert ' '.join(context.results) == statuses, context.results
    status = send_json('GET', f'{context.url}/status')
    assert status['version'] == version, status
    digest = manifest_of(_VERSIONS[version])['digest'] if version else ''
    assert status['digest'] == digest, status


@then('engine stand-in responded with {statuses} and serves ""')
def check_empty_engine(context, statuses):
    """Compare statuses of an engine without an active version."""
    check_engine(context, statuses, '')


@when('engine stand-in receives a request for a {form} response')
def request_generation(context, form):
    """Request tokens and check the response as a caller does."""
    make_call = caller_requests.generation_factory(
        '', 4, streamed=form == 'streamed'
    )
    _perform(context, make_call('test'), '/generate')


@then('engine stand-in gave a "{verdict}" response after {count:d} requests')
def check_generation(context, verdict, count):
    """Compare the verdict and the engine's request counter."""
    assert context.call_result.verdict == verdict, (
        context.call_result.error_kind
    )
    counters = send_json('GET', f'{context.url}/counters')
    assert counters['requests'] == count, counters


@given('plain stand-in with switches {switches}')
def start_plain(context, switches):
    """Start a plain service."""
    _start(context, 'plain', plain, 'orders', 0, True)
    _set_faults(context, switches)


@when('plain stand-in receives an order')
def order_plain(context):
    """Send an order and check the response as a caller does."""
    call = caller_requests.order_factory('orders', '/timber')('test')
    _perform(context, call, '/timber')


def _perform(context, call, path):
    call.path = path
    context.call = call
    context.call_result = send_and_check(call, _listen(), SILENCE_TIMEOUT_S)


@then(
    'plain stand-in gave a "{verdict}" response and executed it '
    '{executions:d} times'
)
def check_plain(context, verdict, executions):
    """Compare the verdict and the execution counter of the key."""
    assert context.call_result.verdict == verdict, (
        context.call_result.error_kind
    )
    counters = send_json('GET', f'{context.url}/executions')
    found = counters['executions'].get(context.call.key, 0)
    assert (found, counters['total']) == (executions, executions), counters


@when('plain stand-in receives switches {switches} while a connection is open')
def switch_with_connection(context, switches):
    """Send a request on a connection before and after setting the switches."""
    connection = HTTPConnection(*_test_ip(0), timeout=SILENCE_TIMEOUT_S)
    context.cleanups.append(connection.close)
    assert _request_status(connection) == '200'
    _set_faults(context, switches)
    context.results = [_request_status(connection)]
    new_connection = HTTPConnection(*_test_ip(0), timeout=SILENCE_TIMEOUT_S)
    context.cleanups.append(new_connection.close)
    context.results.append(_request_status(new_connection))


def _request_status(connection):
    connection.request('GET', '/berths')
    try:
        response = connection.getresponse()
    except TimeoutError:
        return 'silent'
    response.read()
    return str(response.status)


@then(
    'plain stand-in responds with "{old}" there and "{new}" on a new connection'
)
def check_connections(context, old, new):
    """Compare the statuses on the old and the new connection."""
    assert context.results == [old, new], context.results


@then('plain stand-in refuses switches {switches}')
def check_refused_switches(context, switches):
    """Send invalid switches and check that the current ones do not change."""
    before = send_json('GET', f'{context.url}/faults')
    assert _set_faults(context, switches) == '400'
    assert send_json('GET', f'{context.url}/faults') == before


@given('plain stand-in as a process with switches {switches}')
def start_plain_process(context, switches):
    """Start a plain service as a process of its own."""
    directory = tempfile.TemporaryDirectory()
    group = ProcessGroup(pathlib.Path(directory.name))
    context.cleanups = [directory.cleanup, group.stop]
    context.url = f'http://{_listen()}'
    listen = f'--listen={_listen()}'
    context.process = group.start('plain', [STANDINS, 'plain', listen])
    url = f'{context.url}/faults'
    wait_until(
        lambda: responds_ok(url), READY_TIMEOUT_S, 'plain service responds'
    )
    _set_faults(context, switches)


@then('plain stand-in has ended')
def check_ended(context):
    """Check the lost request and wait for the end of the process."""
    assert context.call_result.verdict == caller_requests.LOST, (
        context.call_result.verdict
    )
    assert context.process.wait(TIMEOUT_S) is not None


@given(
    'link token bucket of {rate_per_s:g} bytes/s with a burst of {burst_s:g} s'
)
def make_bucket(context, rate_per_s, burst_s):
    """Make a token bucket."""
    context.bucket = TokenBucket(rate_per_s, burst_s)


@then(
    'link token bucket reserves {amounts} bytes at {times} s with waits {waits}'
)
def check_bucket(context, amounts, times, waits):
    """Compare the waiting times of reservations at given times."""
    reserved = [
        context.bucket.reserve(float(amount), float(now_s))
        for amount, now_s in zip(amounts.split(), times.split(), strict=True)
    ]
    assert reserved == [float(wait_s) for wait_s in waits.split()], reserved


@given('links stand-in between hosts near-1, near-2 and far-1')
def start_links(context):
    """Start a relay between three hosts, and an echo server for each."""
    own_ip, _ = _test_ip(0)
    base = own_ip.removeprefix('127.29.')
    context.ips = {
        name: f'127.{number}.{base}'
        for number, name in ((26, 'near-1'), (27, 'near-2'), (28, 'far-1'))
    }
    plan = {
        'shared_bytes_per_s': 0,
        'region_delay_s': 0,
        'data_centre_delay_s': 0,
        'hosts': [
            {
                'host_id': name,
                'ip': ip,
                'region': name.partition('-')[0],
                'data_centre': name,
                'up_bytes_per_s': 0,
                'down_bytes_per_s': 0,
            }
            for name, ip in context.ips.items()
        ],
        'ports': [
            {
                'listen': f'{ip}:{PORT + 1}',
                'target': f'{ip}:{PORT + 2}',
                'receiver': name,
            }
            for name, ip in context.ips.items()
        ],
    }
    with tempfile.NamedTemporaryFile('w', suffix='.json') as plan_file:
        json.dump(plan, plan_file)
        plan_file.flush()
        _start(context, 'links', links, pathlib.Path(plan_file.name))
    for ip in context.ips.values():
        server = StreamServer((ip, PORT + 2), _echo)
        server.start()
        context.cleanups.append(server.close)


def _echo(connection, _peer):
    while received := connection.recv(100):
        connection.sendall(received)


@given('links stand-in has switches {switches}')
def switch_links(context, switches):
    """Set the faults of links."""
    assert _set_faults(context, switches) == '200'


@when('links stand-in transfers {size:d} bytes from {sender} to {receiver}')
def transfer_bytes(context, size, sender, receiver):
    """Send bytes through the relay and wait for their echo."""
    connection = socket.create_connection(
        (context.ips[receiver], PORT + 1),
        timeout=TIMEOUT_S,
        source_address=(context.ips[sender], 0),
    )
    context.cleanups.append(connection.close)
    context.sent = b'x' * size
    context.echo = _read_echo(connection, context.sent)
    context.connection = connection


def _read_echo(connection, sent, timeout_s=SILENCE_TIMEOUT_S):
    connection.settimeout(timeout_s)
    try:
        connection.sendall(sent)
        return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b''


@then('links stand-in shows the connection as {expected}')
def check_connection(context, expected):
    """Compare what became of the bytes that were sent."""
    assert _classify(context) == expected, context.echo


def _classify(context):
    """Return the connection's state; without an echo, remove the faults.

    Stalled bytes arrive once the fault is removed, dropped bytes never do.
    """
    if context.echo is not None:
        return 'echoed' if context.echo == context.sent else 'closed'
    _set_faults(context, '{"cut": [], "stall": [], "drop": []}')
    context.connection.settimeout(SILENCE_TIMEOUT_S)
    try:
        return 'stalled' if context.connection.recv(100) else 'closed'
    except TimeoutError:
        return 'silent'


@then(
    'links stand-in counts {up:d} up, {down:d} down and {out:d} out of the '
    'region'
)
def check_link_counters(context, up, down, out):
    """Compare the byte counters of the sender's links and region."""
    counters = send_json('GET', f'{context.url}/counters')
    found = (
        counters['hosts']['near-1']['up_bytes'],
        counters['hosts']['near-1']['down_bytes'],
        counters['regions']['near']['out_bytes'],
    )
    assert found == (up, down, out), counters
