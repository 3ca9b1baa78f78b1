"""Steps for the adapter to the platform."""

import json
import pathlib
import shutil
import tempfile

import yaml
from behave import given, then, when
from gevent.event import AsyncResult

from apricotpin.core import Kernel, Reply
from apricotpin.messages.feeds import (
    DecodeRecords,
    Feed,
    FeedRecord,
    FeedRecords,
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


def _changed(fields, change):
    if change == 'truncated bytes':
        return json.dumps(fields).encode()[:-9]
    if change == 'a list':
        return b'[1]'
    name, _, text = change.partition(' = ')
    return json.dumps({**fields, name: json.loads(text)}).encode()


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
        assert loaded == (), loaded
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
    }
    expected = meaning != 'unsealed'
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
