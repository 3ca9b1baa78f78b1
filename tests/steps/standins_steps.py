"""Steps for the contract of the stand-ins, each run as a process."""

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
from script.standins.pacing import Bucket
from script.standins.web import open_server

READY_S = 20
TOKEN_S = 0.001
# Time in which an answer on loopback arrives, unless it never does.
SILENT_S = 1
TIMEOUT_S = 10
PORT = 20000
_VERSIONS = {
    version: Weights('model', version, 12000, 5000) for version in ('v1', 'v2')
}


def _test_ip(number):
    """Return an address of this test process, so that runs never collide."""
    pid = os.getpid() % 65024
    return f'127.29.{pid // 254}.{pid % 254 + 1}', PORT + number


def _listen(number=0):
    ip, port = _test_ip(number)
    return f'{ip}:{port}'


def _start(context, name, module, *settings):
    """Serve a stand-in from this process, which is faster than a new one."""
    kernel = Kernel(name)
    server = open_server(_listen(), module.set_up(kernel, *settings))
    context.cleanups = [kernel.stop, server.close]
    context.url = f'http://{_listen()}'


def _parse(options):
    """Return options of the form name=value as a dictionary."""
    pairs = [option.split('=') for option in options.split()]
    return {name: json.loads(text) for name, text in pairs}


def _switch(context, switches):
    return _status('POST', f'{context.url}/faults', json.loads(switches))


def _status(method, url, document):
    """Return the status of an answer as text, or closed."""
    request = HttpRequest.with_json(method, url, document)
    outcome = send_request(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
    return str(outcome.ok_value.status) if outcome.is_ok() else 'closed'


@given('log stand-in with options "{options}" and switches {switches}')
def start_log(context, options, switches):
    """Start a log."""
    fields = {'appends_per_s': 0, 'retention_s': 3600, **_parse(options)}
    _start(context, 'log', log, fields['appends_per_s'], fields['retention_s'])
    _switch(context, switches)


@given('log stand-in with options "" and switches {switches}')
def start_default_log(context, switches):
    """Start a log with the default options."""
    start_log(context, '', switches)


@when('log stand-in receives {appends:d} appends of {count:d} records')
def append_records(context, appends, count):
    """Append records and keep the statuses."""
    url = f'{context.url}/streams/test/records'
    document = {'records': list(range(count))}
    context.answers = [_status('POST', url, document) for _ in range(appends)]


@then('log stand-in answered {answers} and holds offsets {offsets}')
def check_log(context, answers, offsets):
    """Compare statuses and held offsets."""
    assert ' '.join(context.answers) == answers, context.answers
    _switch(context, '{"outage": false}')
    page = send_json('GET', f'{context.url}/streams/test/records?from=0')
    found = ' '.join(str(record['offset']) for record in page['records'])
    assert (found or 'none') == offsets, found


@then(
    'log stand-in moves its earliest offset to {earliest:d} and its next is '
    '{following:d}'
)
def check_retention(context, earliest, following):
    """Wait for expired records to go."""
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


@when('host list stand-in is told of host "{host_id}"')
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
    _switch(context, switches)


@given('origin stand-in with options "" and switches {switches}')
def start_default_origin(context, switches):
    """Start an origin with the default options."""
    start_origin(context, '', switches)


@when('origin stand-in is asked {count:d} times for the first chunk')
def read_chunks(context, count):
    """Read a chunk and compare it with its digest."""
    digest = manifest_of(context.weights)['chunk_digests'][0]
    url = f'{context.url}/weights/model/v1/chunks/0'
    context.answers = []
    for _ in range(count):
        request = HttpRequest('GET', url)
        answer = send_request(
            request, TIMEOUT_S, ErrorKind.ORIGIN_UNAVAILABLE
        ).unwrap()
        right = blake3(answer.body).hexdigest() == digest
        read = 'right' if right else 'corrupt'
        context.answers.append(
            read if answer.status == 200 else str(answer.status)
        )


@then('origin stand-in answered {answers} and counted {sent:d} bytes')
def check_origin(context, answers, sent):
    """Compare answers and the byte counter."""
    assert ' '.join(context.answers) == answers, context.answers
    counters = send_json('GET', f'{context.url}/counters')
    assert counters['bytes_sent'] == sent, counters


@given('engine stand-in with options "{options}" and switches {switches}')
def start_engine(context, options, switches):
    """Start an engine that holds no version."""
    checks_fencing = _parse(options).get('checks_fencing', True)
    _start_engine(context, checks_fencing, None, switches)


def _start_engine(context, checks_fencing, active, switches):
    limits = engine_state.EngineLimits(4, 4)
    service = engine_state.EngineService(limits, active)
    _start(context, 'engine', engine, service, TOKEN_S, checks_fencing)
    _switch(context, switches)


@given('engine stand-in with options "" and switches {switches}')
def start_default_engine(context, switches):
    """Start an engine with the default options."""
    start_engine(context, '', switches)


@given('engine stand-in that serves {version} with switches {switches}')
def start_serving_engine(context, version, switches):
    """Start an engine that serves a version."""
    digest = manifest_of(_VERSIONS[version])['digest']
    active = engine_state.StoreVersion('model', version, digest, 0, 0)
    _start_engine(context, True, active, switches)


@when('engine stand-in receives orders {orders}')
def send_orders(context, orders):
    """Send orders of the form action-version-fencing number."""
    context.answers = [
        _send_order(context.url, *order.split('-')) for order in orders.split()
    ]


def _send_order(url, action, version, fencing_number):
    if action == 'activate':
        order = {'version': version, 'fencing_number': int(fencing_number)}
        return _status('POST', f'{url}/models/model/active', order)
    whole = b''.join(_VERSIONS[version].chunks())
    digest = blake3(whole).hexdigest()
    body = whole if action == 'load' else whole[1:]
    query = f'fencing_number={fencing_number}&digest={digest}'
    path = f'{url}/models/model/versions/{version}?{query}'
    request = HttpRequest('PUT', path, body)
    outcome = send_request(request, TIMEOUT_S, ErrorKind.ENGINE_UNAVAILABLE)
    return str(outcome.unwrap().status)


@then('engine stand-in answered {answers} and serves "{version}"')
def check_engine(context, answers, version):
    """Compare answers, and the version and digest that are served."""
    assert ' '.join(context.answers) == answers, context.answers
    status = send_json('GET', f'{context.url}/status')
    assert status['version'] == version, status
    digest = manifest_of(_VERSIONS[version])['digest'] if version else ''
    assert status['digest'] == digest, status


@then('engine stand-in answered {answers} and serves ""')
def check_empty_engine(context, answers):
    """Compare answers of an engine that serves nothing."""
    check_engine(context, answers, '')


@when('engine stand-in is asked for a {form} answer')
def ask_engine(context, form):
    """Generate tokens and judge them as a caller does."""
    make_request = caller_requests.generation_factory(
        '', 4, streamed=form == 'streamed'
    )
    _perform(context, make_request('test'), '/generate')


@then('engine stand-in gave a "{verdict}" answer after {count:d} requests')
def check_generation(context, verdict, count):
    """Compare the verdict and the engine's count."""
    assert context.finished.verdict == verdict, context.finished.error_kind
    counters = send_json('GET', f'{context.url}/counters')
    assert counters['requests'] == count, counters


@given('plain stand-in with switches {switches}')
def start_plain(context, switches):
    """Start a plain service."""
    _start(context, 'plain', plain, 'orders', 0, True)
    _switch(context, switches)


@when('plain stand-in receives an order')
def order_plain(context):
    """Send an order and judge its answer as a caller does."""
    call = caller_requests.order_factory('orders', '/timber')('test')
    _perform(context, call, '/timber')


def _perform(context, call, path):
    call.path = path
    context.call = call
    context.finished = send_and_check(call, _listen(), SILENT_S)


@then('plain stand-in gave a "{verdict}" answer and executed it {runs:d} times')
def check_plain(context, verdict, runs):
    """Compare the verdict and the executions of the key."""
    assert context.finished.verdict == verdict, context.finished.error_kind
    counts = send_json('GET', f'{context.url}/executions')
    found = counts['executions'].get(context.call.key, 0)
    assert (found, counts['total']) == (runs, runs), counts


@when('plain stand-in is switched to {switches} while a connection is open')
def switch_with_connection(context, switches):
    """Use a connection, switch, and use it again."""
    connection = HTTPConnection(*_test_ip(0), timeout=SILENT_S)
    context.cleanups.append(connection.close)
    assert _read_status(connection) == '200'
    _switch(context, switches)
    context.answers = [_read_status(connection)]
    renewed = HTTPConnection(*_test_ip(0), timeout=SILENT_S)
    context.cleanups.append(renewed.close)
    context.answers.append(_read_status(renewed))


def _read_status(connection):
    connection.request('GET', '/berths')
    try:
        response = connection.getresponse()
    except TimeoutError:
        return 'silent'
    response.read()
    return str(response.status)


@then('plain stand-in answers "{old}" there and "{new}" on a new connection')
def check_connections(context, old, new):
    """Compare the answers on the old and the new connection."""
    assert context.answers == [old, new], context.answers


@then('plain stand-in refuses switches {switches}')
def check_refused_switches(context, switches):
    """Send unknown switches and compare the switches before and after."""
    before = send_json('GET', f'{context.url}/faults')
    assert _switch(context, switches) == '400'
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
    wait_until(lambda: responds_ok(url), READY_S, 'plain answers')
    _switch(context, switches)


@then('plain stand-in has ended')
def check_ended(context):
    """Wait for the end of the process."""
    assert context.finished.verdict == caller_requests.LOST, (
        context.finished.verdict
    )
    assert context.process.wait(TIMEOUT_S) is not None


@given('link bucket of {per_s:g} bytes/s with a burst of {burst_s:g} s')
def make_bucket(context, per_s, burst_s):
    """Make a bucket."""
    context.bucket = Bucket(per_s, burst_s)


@then('link bucket reserves {amounts} bytes at {times} s with waits {waits}')
def check_bucket(context, amounts, times, waits):
    """Compare waits."""
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
    assert _switch(context, switches) == '200'


@when('links stand-in carries {size:d} bytes from {sender} to {receiver}')
def carry_bytes(context, size, sender, receiver):
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


def _read_echo(connection, sent, timeout_s=SILENT_S):
    connection.settimeout(timeout_s)
    try:
        connection.sendall(sent)
        return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b''


@then('links stand-in shows the exchange as {expected}')
def check_exchange(context, expected):
    """Tell a stall from silence by lifting the fault."""
    assert _classify(context) == expected, context.echo


def _classify(context):
    if context.echo is not None:
        return 'echoed' if context.echo == context.sent else 'closed'
    _switch(context, '{"cut": [], "stall": [], "drop": []}')
    context.connection.settimeout(SILENT_S)
    try:
        return 'stalled' if context.connection.recv(100) else 'closed'
    except TimeoutError:
        return 'silent'


@then(
    'links stand-in counts {up:d} up, {down:d} down and {out:d} out of the '
    'region'
)
def check_link_counters(context, up, down, out):
    """Compare the counters of the sender, the receiver and the region."""
    counters = send_json('GET', f'{context.url}/counters')
    found = (
        counters['hosts']['near-1']['up_bytes'],
        counters['hosts']['near-1']['down_bytes'],
        counters['regions']['near']['out_bytes'],
    )
    assert found == (up, down, out), counters
