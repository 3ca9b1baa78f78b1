"""Steps for processes of the product with stand-ins of the platform."""

import os
import subprocess

from behave import given, then, when
from gevent import sleep, socket, spawn

from script.platform_fleet import (
    Fleet,
    is_ready,
    log_lines,
    send,
    wait_for,
)

_EVENTS = 4
_HOSTS_TOPIC = 'keyed.apricotpin-hosts'
_HOST = 'edge-1'


@given('a platform fleet without workers')
def start_stand_ins(context):
    # Concurrent test runs use different addresses.
    context.fleet = Fleet(f'127.{40 + os.getpid() % 80}')
    context.cleanups = [context.fleet.close]
    context.fleet.put_desired_state()


@given('a platform fleet with {count:d} workers')
def start_fleet(context, count):
    start_stand_ins(context)
    fleet = context.fleet
    for number in range(count):
        fleet.add_worker(number + 1)
    context.ip = fleet.start('edge-1', 'edge', 1)
    wait_for(lambda: is_ready(context.ip))
    wait_for(lambda: send(context.ip, '/read/0', 'warm-up').status == 200)
    for worker in fleet.workers.values():
        worker.executed_ids.clear()


@given('platform has a second entry host')
def second_host(context):
    context.second_ip = context.fleet.start('edge-2', 'edge', 2)
    wait_for(lambda: is_ready(context.second_ip))
    wait_for(
        lambda: 'entry_host_discovered' in context.fleet.output('edge-2'),
    )


@given("platform's origin corrupts {count:d} pieces")
def corrupt_pieces(context, count):
    context.fleet.origin.corrupt_next = count


@given(
    "platform's origin sends {count:d} manifests in which the {part} is wrong"
)
def corrupt_manifests(context, count, part):
    context.fleet.origin.corrupt_part = part
    context.fleet.origin.corrupt_manifests = count


@when("platform's next requests reach a worker that {fault}")
def set_fault(context, fault):
    if fault == 'responds':
        return
    workers = list(context.fleet.workers.values())

    def clear_all():
        # Only the first worker that gets a request fails. The next one may get
        # a request within a ms, so nothing may run in between.
        for worker in workers:
            worker.fault = ''

    for worker in workers:
        worker.fault = fault
        worker.on_fault = clear_all
    context.fault = fault


@when('platform receives {method} {path} with key {key}')
def send_request(context, method, path, key):
    fleet = context.fleet
    for worker in fleet.workers.values():
        worker.requests.clear()
    context.response = send(context.ip, path, 'req-1', key, method)


@then('platform responds with {status:d}')
def responds_with(context, status):
    response = context.response
    assert response.status == status, (
        response.status,
        context.fleet.output('edge-1')[-2000:],
    )
    if status == 200 and response.body.startswith(b'id:'):
        assert response.body.count(b'data: token') == _EVENTS, response.body


@then("platform's workers ran it {runs:d} times")
def ran(context, runs):
    workers = context.fleet.workers.values()
    found = [one for worker in workers for one in worker.executed_ids]
    assert len(found) == runs, found


@when("platform's store has the fault {mode}")
def set_store_fault(context, mode):
    context.fleet.store.fault = mode
    sleep(1)


@when("platform's store refuses the second entry host")
def refuse_second_host(context):
    store_ip = context.fleet.store_ip(context.second_ip)
    context.fleet.store.refused_addresses.add(store_ip)
    wait_for(lambda: context.fleet.store.refused_calls)


@when("platform's operator removes all routes")
def remove_routes(context):
    context.fleet.put_desired_state(routes=[])


@then("platform's second entry host responds with 404 within {max_s:d} s")
def second_responds(context, max_s):
    wait_for(
        lambda: send(context.second_ip, '/read/1').status == 404,
        max_s,
    )


def _add_worker(context, version):
    fleet = context.fleet
    address = fleet.add_worker(9, version, is_listed=False)
    fleet.start('side-9', 'side', 9)
    fleet.list_worker('worker-9', address)
    context.new_worker = fleet.workers['worker-9']


@when('platform adds an empty worker with its agent')
def add_empty(context):
    _add_worker(context, 0)


@when('platform adds a worker of version {version:d} with its agent')
def add_loaded(context, version):
    _add_worker(context, version)


@when("platform's operator declares version {version:d}")
def declare_version(context, version):
    fields = {'model': 'm', 'version': version}
    context.fleet.store.put('keyed.op', 'version/m', fields)


@then(
    "platform's new worker has loaded version {version:d} within {max_s:d} s",
)
def has_loaded(context, version, max_s):
    wait_for(lambda: context.new_worker.version == version, max_s)


@then("platform's new worker received one order")
def received_one_order(context):
    sleep(1)
    assert len(context.new_worker.orders) == 1, context.new_worker.orders


@when("platform's entry host is stopped during a stream")
def stop_in_stream(context):
    reading = spawn(send, context.ip, '/stream/1', 'req-1')
    sleep(0.1)
    context.fleet.stop('edge-1')
    context.response = reading.get(timeout=8)


@then("platform's stream is complete")
def stream_is_complete(context):
    responds_with(context, 200)


@then("platform's entry host exits within {max_s:d} s without an error")
def exits(context, max_s):
    process = context.fleet.processes['edge-1']
    wait_for(lambda: process.poll() is not None, max_s)
    assert process.returncode == 0, process.returncode
    assert 'Traceback' not in context.fleet.output('edge-1')


@then("platform's log names the worker, load and outcome of the request")
def log_explains_request(context):
    # request_ended is logged after the response is sent.
    wait_for(lambda: _lines_of(context, 'request_ended'), 2)
    selected = _lines_of(context, 'upstream_picked')
    assert selected[0]['instance'] in context.fleet.workers, selected
    assert selected[0]['load'].isdigit(), selected
    ended = _lines_of(context, 'request_ended')
    assert ended[0]['outcome'] == 'answered', ended


def _lines_of(context, event):
    output = context.fleet.output('edge-1')
    lines = log_lines(output, event)
    return [line for line in lines if line['id'] == 'req-1']


@then("platform's entry host has no child process")
def no_child(context):
    pid = context.fleet.processes['edge-1'].pid
    found = subprocess.run(
        ['ps', '--ppid', str(pid), '-o', 'pid='],
        capture_output=True,
        check=False,
    )
    assert not found.stdout.strip(), found.stdout


_HEAD = (
    'POST /order/1 HTTP/1.1\r\nHost: fleet.test\r\nX-Attempt-Id: req-1\r\n'
    'Authorization: Token key-1\r\n'
)
_RAW = {
    'a head of 20000 bytes': f'{_HEAD}X-Long: {"x" * 5000}\r\n'
    f'X-More: {"x" * 7500}\r\nX-Most: {"x" * 7500}\r\n\r\n',
    'two lengths': f'{_HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'a length and chunks': f'{_HEAD}Content-Length: 5\r\n'
    'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'a body of 5000000 bytes': f'{_HEAD}Content-Length: 5000000\r\n\r\n'
    f'{"x" * 5000000}',
}


@when('platform receives raw bytes with {fault}')
def receive_raw(context, fault):
    with socket.create_connection((context.ip, 8005), timeout=5) as caller:
        sender = spawn(_send_raw, caller, _RAW[fault].encode())
        context.raw_response = caller.recv(4096).decode()
        sender.kill()


def _send_raw(caller, content):
    try:
        caller.sendall(content)
    except OSError:
        # The entry host closes the connection when it refuses the body.
        return


@then("platform's raw response is {status:d}")
def raw_response(context, status):
    assert context.raw_response.startswith(f'HTTP/1.1 {status} '), (
        context.raw_response
    )


def _host_records(context):
    records = context.fleet.store.topics.get(_HOSTS_TOPIC, [])
    return [content for key, content in records if key == _HOST]


@when("platform's store drops the record of the entry host")
def drop_host_record(context):
    wait_for(lambda: _host_records(context))
    context.fleet.store.put(_HOSTS_TOPIC, _HOST, None)


@then("platform's store lists the entry host again within {limit_s:d} s")
def listed_again(context, limit_s):
    wait_for(lambda: _host_records(context)[-1], limit_s)
    # It was listed before, dropped, and listed again once.
    sleep(1)
    found = [bool(content) for content in _host_records(context)]
    assert found == [True, False, True], found
