"""Steps for the adapter to the platform."""

import base64
import json
import pathlib
import shutil
import tempfile

import yaml
from behave import given, then, when
from gevent.event import AsyncResult
from gevent.pywsgi import WSGIServer

from apricotpin.core import Kernel, Reply
from apricotpin.messages.feeds import (
    DecodeRecords,
    Feed,
    FeedRecord,
    FeedRecords,
    ReadSnapshot,
)
from apricotpin.messages.requests import AttemptContext
from apricotpin.platform import call_codec
from apricotpin.platform.operator_documents import decode_operator_record
from apricotpin.platform.settings_file import read_settings
from apricotpin.platform.store import StoreService
from apricotpin.platform.worker_documents import decode_upstream_record
from script.platform_fleet import OPERATOR_LIMITS

_WORKER = {
    'service': 'drafting',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'slots': 16,
    'state': 'ready',
    'born': 17,
    'models': [{'name': 'm', 'version': 1}],
    'layers': [{'source': 0, 'to': 16, 'version': 1}],
}
_DESIRED = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h',
            'path_prefix': '/a/',
            'route_type': 'streaming',
            'timeout_ms': 6000,
            'goal_ms': 400,
            'service': 'drafting',
        },
    ],
    'services': [{'name': 'drafting'}],
}
_SETTINGS = {
    'node_name': 'edge-1',
    'machine_class': 'edge',
    'ip': '10.0.0.2',
    'zone': 'a',
    'region': 'ra',
    'zones': {'a': 'ra'},
    'listen': {'frontend': '10.0.0.2:80', 'ready': '10.0.0.2:81'},
    'internal_ports': [7700, 7715],
    'platform': {'address': '10.9.9.9:80'},
    'bounds': OPERATOR_LIMITS,
}


_NESTED = 5000
_ODD_TEXTS = {
    'lists nested 5000 deep': '[' * _NESTED + ']' * _NESTED,
    'objects nested 5000 deep': '{"a":' * _NESTED + '1' + '}' * _NESTED,
    'a port of 400 digits': '"10.0.0.1:{0}"'.format('8' * 400),
    'a port of 5000 digits': '"10.0.0.1:{0}"'.format('8' * 5000),
    'a megabyte': '"{0}"'.format('x' * 1048576),
    'a number of 400 digits': '8' * 400,
    'a number of 5000 digits': '8' * 5000,
}


def _changed(fields, change):
    if change == 'truncated bytes':
        return json.dumps(fields).encode()[:-9]
    if change == 'a list':
        return b'[1]'
    name, _, text = change.partition(' = ')
    # The text is inserted as it is: json.loads() would refuse some of them.
    others = {key: found for key, found in fields.items() if key != name}
    head = json.dumps(others)[:-1]
    return f'{head}, "{name}": {_ODD_TEXTS.get(text, text)}}}'.encode()


@given('a platform worker record with {change}')
def worker_record(context, change):
    context.content = _changed(_WORKER, change)


@when('platform decodes the worker record')
def decode_worker(context):
    context.entry = decode_upstream_record('i-1', context.content)


@when('platform decodes a worker record without content')
def decode_empty(context):
    context.entry = decode_upstream_record('i-1', b'')


@given('a platform desired state with {change}')
def desired_state(context, change):
    context.content = _changed(_DESIRED, change)


@when('platform decodes the desired state')
def decode_desired(context):
    context.entry = decode_operator_record('config', context.content)


@given('a platform page with {count:d} records of {kind}')
def page_of(context, count, kind):
    feed, key, fields, number = {
        'a desired state': (Feed.OPERATOR, 'config', _DESIRED, 'version'),
        'a worker': (Feed.UPSTREAMS, 'i-1', _WORKER, 'slots'),
        'a model version': (
            Feed.OPERATOR,
            'version/m',
            {'model': 'm'},
            'version',
        ),
    }[kind]
    records = [
        FeedRecord(key, json.dumps({**fields, number: position}).encode())
        for position in range(1, count + 1)
    ]
    context.newest = count
    context.number = number
    context.records = DecodeRecords(feed, FeedRecords(count, records))


@given('a platform page with workers and a record with {change}')
def page_with_odd_record(context, change):
    records = [
        FeedRecord('i-1', json.dumps(_WORKER).encode()),
        FeedRecord('i-2', _changed(_WORKER, change)),
        FeedRecord('i-3', json.dumps(_WORKER).encode()),
    ]
    context.records = DecodeRecords(Feed.UPSTREAMS, FeedRecords(3, records))


@then('platform decoded each of the other workers')
def decoded_others(context):
    found = [entry.decoded is not None for entry in context.page.entries]
    assert found == [True, False, True], found


@then("platform's decode error is at most {count:d} characters long")
def error_length(context, count):
    assert 0 < len(context.page.entries[1].decode_error) <= count


def _newest_page(fault=''):
    workers = [
        {
            'key': 'i-1',
            'value': base64.b64encode(json.dumps(_WORKER).encode()).decode(),
            'offset': 4,
        }
    ]
    page = {'items': workers, 'has_more': False, 'end_offset': 5}
    if fault == 'has no end offset':
        del page['end_offset']
    elif fault == 'has a value that is not base64':
        page['items'] = [{'key': 'i-1', 'value': 'abc'}]
    elif fault == 'has items that are numbers':
        page['items'] = [1, 2]
    elif fault == 'is a list':
        page = [page]
    text = json.dumps(page)
    if fault == 'is truncated':
        text = text[:-9]
    elif fault == 'is nested 5000 deep':
        text = _ODD_TEXTS['lists nested 5000 deep']
    return text.encode()


@given('a platform store whose first page {fault}')
def store_with_fault(context, fault):
    pages = [_newest_page(fault), _newest_page()]

    def respond(_environ, start_response):
        body = pages.pop(0)
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    server = WSGIServer(('127.0.0.1', 0), respond, log=None)
    server.start()
    kernel = Kernel('entry')
    address = f'127.0.0.1:{server.server_port}'
    context.service = StoreService(kernel, address)
    context.cleanups = [server.stop, kernel.stop]


@when('platform reads the list of workers twice')
def read_twice(context):
    context.pages = []
    for _ in range(2):
        result = AsyncResult()
        context.service.read(ReadSnapshot(Feed.UPSTREAMS), Reply(result))
        assert result.wait(2) is not None, 'no reply to a read'
        context.pages.append(result.get())


@then("platform's first read fails, and the second returns the workers")
def second_read_returns(context):
    first, second = context.pages
    assert first.is_err(), first
    found = [entry.key for entry in second.ok_value.entries]
    assert found == ['i-1'], second


@when('platform decodes the page')
def decode_page(context):
    result = AsyncResult()
    service = StoreService(Kernel('entry'), '127.0.0.1:1')
    service.decode(context.records, Reply(result))
    context.page = result.get(timeout=1).ok_value


@then('platform decoded {count:d} of them, the newest as the last')
def decoded_count(context, count):
    entries = context.page.entries
    assert len(entries) == count, entries
    assert getattr(entries[-1].decoded, context.number) == context.newest


@then('platform reports a decode error')
def reports_decode_error(context):
    assert context.entry.decode_error, context.entry.decoded
    assert context.entry.decoded is None


@then('platform decodes no worker and no error')
def decodes_no_worker(context):
    assert context.entry.decoded is None
    assert not context.entry.decode_error


@then('platform decodes layers {layers} of version {version:d}')
def decodes_layers(context, layers, version):
    loaded = context.entry.decoded.loaded
    if layers == 'none':
        assert isinstance(loaded, tuple), loaded
        assert not loaded, loaded
        return
    part = loaded[0]
    assert f'{part.start}-{part.end}' == layers
    assert part.version == version


@given('platform settings with {change}')
def settings_file(context, change):
    fields = json.loads(_changed(_SETTINGS, change))
    folder = tempfile.mkdtemp()
    context.path = pathlib.Path(folder) / 'node.yaml'
    context.path.write_text(yaml.safe_dump(fields))
    context.cleanups = [lambda: shutil.rmtree(folder)]


@when('platform reads the settings file')
def read_file(context):
    context.settings = read_settings(context.path)


@then('platform names the file and the path {path}')
def names_path(context, path):
    detail = context.settings.err_value.detail
    assert str(context.path) in detail, detail
    assert f'path={path} ' in detail, detail


@then('platform settings are those of {host_id}')
def settings_of(context, host_id):
    assert context.settings.ok_value.host_id == host_id


def _forward(headers, is_resumed=False):
    head = call_codec.decode_request('POST', '/a/b?c', headers).ok_value
    attempt = AttemptContext('worker-1', 'tenant-1', 1.5, '7', is_resumed)
    return call_codec.encode_request(head, attempt, b'body').decode()


@when('codec forwards a request with the header {header}')
def forward_header(context, header):
    name, _, text = header.partition(': ')
    context.encoded = _forward([('Host', 'h'), (name, text)])


@when('codec forwards a request that {origin}')
def forward_with_priority(context, origin):
    is_resumed = origin == 'resumes a stream'
    headers = [('Host', 'h'), ('X-Request-Priority', '9')]
    context.encoded = _forward(headers, is_resumed)


@when('codec forwards a request with a header named by Connection')
def forward_connection_option(context):
    headers = [('Host', 'h'), ('Connection', 'X-Hop'), ('X-Hop', '1')]
    context.encoded = _forward(headers)


@then("codec's worker receives {received}")
def worker_receives(context, received):
    lines = context.encoded.split('\r\n')
    assert lines[0] == 'POST /a/b?c HTTP/1.1', lines[0]
    assert lines[-1] == 'body'
    if received.startswith('no '):
        name = received.removeprefix('no ')
        expected = []
    else:
        name = received.partition(':')[0]
        expected = [received]
    found = [line for line in lines if line.startswith(f'{name}:')]
    assert found == expected, found


@when('codec decodes a response {status:d} with {header}')
def decode_response(context, status, header):
    name, _, text = header.partition(': ')
    context.response = call_codec.decode_response(status, [(name, text)])


@when('codec decodes the headers {headers} of a response {status:d}')
def decode_response_headers(context, headers, status):
    pairs = [header.partition(':') for header in headers.split(', ')]
    context.response = call_codec.decode_response(
        status, [(name, text.strip()) for name, _, text in pairs]
    )


@then("codec's response is pausing {pause:g}")
def response_pauses(context, pause):
    assert context.response.pause_s == pause, context.response.pause_s


@then("codec's response is {meaning}")
def response_is(context, meaning):
    response = context.response
    found = {
        'sealed': response.has_seal,
        'not run': response.not_run,
        'misdirected': response.is_misdirected,
        'encoded': response.has_encoded_body,
        'idle 5': response.keep_alive_s == 5,
        'of version 3': response.version == 3,
        'of no version': response.version == 0,
        'leaving': response.is_leaving,
    }
    expected = not meaning.startswith('un')
    assert found[meaning.removeprefix('un')] == expected


@when('codec decodes a request with the deadline {deadline}')
def decode_deadline(context, deadline):
    context.decoded = call_codec.decode_request(
        'GET',
        '/',
        [('X-Deadline-Ms', deadline)],
    )


@then("codec's outcome is {outcome}")
def outcome_is(context, outcome):
    decoded = context.decoded
    if decoded.is_err():
        assert decoded.err_value.kind.value == outcome
    else:
        assert decoded.ok_value.deadline_s == float(outcome)


@then('platform settings name a link of {rate:g} bytes/s')
def check_link_rate(context, rate):
    found = context.settings.unwrap().link_bytes_per_s
    assert round(found) == rate, found
