"""Steps for the frontend component."""

import json

import gevent
from behave import given, then, when

from apricotpin.const import SERVICE_FRONTEND, SERVICE_ROUTER
from tests.frontend_world import World
from tests.upstream_fake import event_of, right_answer

_ALWAYS = 100
_BODY = b'a letter'
_GENERATE = '/services/drafting/generate'


def _upstream(context, place):
    names = [name for name in context.world.upstreams if place in name]
    return context.world.upstreams[names[0]]


def _upstreams(context):
    return list(context.world.upstreams.values())


def _received(context):
    return [
        request
        for upstream in _upstreams(context)
        for request in upstream.received
    ]


@given('frontend with upstreams "{places}" of "{service}"')
def start_frontend(context, places, service):
    """Start the components and one upstream in each place."""
    context.world = World()
    context.cleanups = [context.world.close]
    context.world.configure()
    for place in places.split(', '):
        context.world.add_upstream(service, place)


@given('frontend upstream "{place}" has the fault "{fault}"')
def order_fault(context, place, fault):
    """Order a fault for the next request."""
    _order(_upstream(context, place), fault, 1)


@given('frontend upstream "{place}" always has the fault "{fault}"')
def order_faults(context, place, fault):
    """Order a fault for all requests."""
    _order(_upstream(context, place), fault, _ALWAYS)


def _order(upstream, fault, times):
    if fault == 'refused':
        upstream.close()
    else:
        upstream.faults = [fault] * times


@when('frontend receives {method:w} {target:S}')
def ask(context, method, target):
    """Send a request."""
    context.asked = (method, target)
    body = b'' if method == 'GET' else _BODY
    context.heard = context.world.ask(method, target, body)


@when('frontend receives {method:w} {target:S} with a key')
def ask_with_key(context, method, target):
    """Send a request with an idempotency key."""
    context.asked = (method, target)
    key = context.world.key
    context.heard = context.world.ask(
        method,
        target,
        _BODY,
        Idempotency_Key=key,
    )


@when('frontend waits {pause_s:g} s')
def wait(_context, pause_s):
    """Let time pass."""
    gevent.sleep(pause_s)


@then('frontend answers {kind}, executed {executed}, repeat {repeat}')
def check_answer(context, kind, executed, repeat):
    """Compare what the caller is told."""
    heard = context.heard
    told = '-' if heard.kind == 'ok' else heard.document['repeat']
    found = (heard.kind, heard.executed, told)
    assert found == (kind, executed, repeat), (found, heard.body)


@then('frontend answers with status {status:d} from the upstream')
def check_status(context, status):
    """Compare the status of an answer that is passed on."""
    found = (context.heard.status, context.heard.kind)
    assert found == (status, 'ok'), found


@then('frontend passed on the right answer')
def check_right(context):
    """Compare the answer with the one to this very request."""
    heard = context.heard
    method, target = context.asked
    path = '/{0}'.format(target.split('/', 3)[3])
    body = b'' if method == 'GET' else _BODY
    assert heard.whole, 'the answer is truncated'
    assert heard.document == right_answer(method, path, body), heard.body


@then('frontend upstreams ran it {runs:d} times')
def check_runs(context, runs):
    """Count runs on all upstreams."""
    found = sum(upstream.runs for upstream in _upstreams(context))
    assert found == runs, found


@then('frontend sent it at most once')
def check_sent_once(context):
    """Count requests that reached any upstream."""
    found = len(_received(context))
    assert found <= 1, found


@then('frontend counted {retries:d} retries for {reason}')
def check_retries(context, retries, reason):
    """Compare the counter of a retry reason."""
    counts = context.world.metrics.counts
    found = counts.get(('retries_total', reason), 0)
    assert found == retries, counts


@then('frontend counted at least {retries:d} retries for {reason}')
def check_retries_at_least(context, retries, reason):
    """Guard against a fault that was never provoked."""
    counts = context.world.metrics.counts
    assert counts.get(('retries_total', reason), 0) >= retries, counts


@then('frontend reported {report} to claims')
def check_report(context, report):
    """Compare what the claims service was told."""
    names = {True: 'not_run', False: 'outcome'}
    found = [names[entry.not_run] for entry in context.world.claims.reported]
    assert (found or ['nothing']) == [report], found


@then('frontend holds nothing of the request')
def check_nothing_held(context):
    """Guard against requests that stay in flight for ever."""
    gevent.sleep(0.02)
    router = context.world.status(SERVICE_ROUTER)
    frontend = context.world.status(SERVICE_FRONTEND)
    found = (
        router['requests_in_flight'],
        router['in_flight_by_host'],
        frontend['in_progress'],
    )
    assert found == (0, {}, 0), found


@then('frontend opened {connections:d} connections to "{place}"')
def check_connections(context, connections, place):
    """Count connections that an upstream accepted."""
    found = _upstream(context, place).connections
    assert found == connections, found


@given('frontend has a far upstream of "{service}" with {field} {text}')
def add_upstream(context, service, field, text):
    """Start one more upstream that differs in one field."""
    context.world.add_upstream(service, 'far', **{field: text})


def _order_of(tokens, stream):
    order = {'prompt': 'a', 'max_tokens': tokens, 'stream': stream}
    return json.dumps(order).encode()


@when('frontend streams {tokens:d} tokens')
def stream(context, tokens):
    """Read a whole stream."""
    body = _order_of(tokens, stream=True)
    context.heard = context.world.ask('POST', _GENERATE, body)


@when('frontend streams {tokens:d} tokens of version {version}')
def stream_version(context, tokens, version):
    """Read a whole stream of one version."""
    body = _order_of(tokens, stream=True)
    context.heard = context.world.ask(
        'POST',
        _GENERATE,
        body,
        X_Model_Version=version,
    )


@when('frontend asks for {tokens:d} tokens at once')
def ask_tokens(context, tokens):
    """Read an answer that is not a stream."""
    body = _order_of(tokens, stream=False)
    context.heard = context.world.ask('POST', _GENERATE, body)


@when("frontend's caller leaves after the first of {tokens:d} tokens")
def leave(context, tokens):
    """Close the connection in the middle of a stream."""
    connection = _open_stream(context, tokens)
    received = b''
    while b'v1-0' not in received:
        received += connection.recv(4096)
    connection.close()
    gevent.sleep(0.3)


@when("frontend's caller stops reading a stream of {tokens:d} tokens")
def stop_reading(context, tokens):
    """Leave a stream unread until its buffers are full."""
    for upstream in _upstreams(context):
        upstream.token_pause_s = 0
    connection = _open_stream(context, tokens)
    context.cleanups.append(connection.close)
    gevent.sleep(0.5)


def _open_stream(context, tokens):
    body = _order_of(tokens, stream=True)
    head = (
        f'POST {_GENERATE} HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return context.world.open_raw(head.encode() + body)


@then(
    'frontend passed on tokens 0 to {last:d} of version {version} and the end'
)
def check_tokens(context, last, version):
    """Compare every event of a stream."""
    heard = context.heard
    events = [event_of(version, index) for index in range(last + 1)]
    events.append(b'data: [DONE]\n\n')
    assert heard.body == b''.join(events), heard.body
    assert heard.whole, 'the final chunk is missing'
    assert heard.headers['X-Model-Version'] == version


@then(
    'frontend ended the stream after token {last:d} with {kind} '
    'and no final chunk',
)
def check_cut(context, last, kind):
    """Compare the events of a stream that failed."""
    check_error_event(context, kind)
    body = context.heard.body
    passed_on = [event_of('v1', index) for index in range(last + 1)]
    assert body.startswith(b''.join(passed_on)), body
    assert body.count(b'\n\n') == len(passed_on) + 1, body


@then('frontend ended the stream with {kind} and no final chunk')
def check_error_event(context, kind):
    """Compare the last event of a stream that failed."""
    heard = context.heard
    last_event = heard.body.split(b'\n\n')[-2]
    assert last_event.startswith(b'event: error\n'), heard.body
    told = json.loads(last_event.split(b'data: ')[1])
    assert (told['error'], told['executed']) == (kind, 'unknown'), told
    assert not heard.whole, 'a final chunk was sent'
    assert b'[DONE]' not in heard.body, heard.body


@then('frontend upstream "{place}" was asked to resume from {position:d}')
def check_resumption(context, place, position):
    """Compare the request that resumed a stream."""
    asked = json.loads(_upstream(context, place).received[0].body)
    assert asked.get('resume_from', 0) == position, asked


@then('frontend upstream "{place}" received nothing')
def check_nothing_received(context, place):
    """Guard against a second version or an upstream that leaves."""
    received = _upstream(context, place).received
    assert not received, [request.body for request in received]


@then('frontend answered {kind} with version {version}')
def check_version(context, kind, version):
    """Compare the version that an answer names."""
    heard = context.heard
    found = (heard.kind, heard.headers.get('X-Model-Version', '-'))
    assert found == (kind, version), (found, heard.body)
    assert version == '-' or f'{version}-0'.encode() in heard.body


@then(
    'frontend upstream "{place}" saw its connection end before token {limit:d}'
)
def check_cancelled(context, place, limit):
    """Guard against work for callers that have gone."""
    upstream = _upstream(context, place)
    assert upstream.cancelled == 1, upstream.cancelled
    assert upstream.tokens_sent < limit, upstream.tokens_sent
