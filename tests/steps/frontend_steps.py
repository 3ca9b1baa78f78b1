"""Steps for the frontend component."""

import json

import gevent
from behave import given, then, when

from apricotpin.const import SERVICE_FRONTEND, SERVICE_ROUTER
from tests.frontend_world import World
from tests.upstream_fake import event_of, expected_response

_ALWAYS = 100
_BODY = b'a letter'
_GENERATE = '/services/drafting/generate'
_LETTERS = '/services/fees/letters/held'
_LONG = 4 * 1024 * 1024 + 1

# Target, body and headers of requests that differ in one respect.
_REQUESTS = {
    'a long body': (_LETTERS, b'x' * _LONG, {}),
    'a long chunk': (_LETTERS, iter([b'x' * _LONG]), {}),
    'priority 10': (_LETTERS, _BODY, {'X_Priority': '10'}),
    'priority high': (_LETTERS, _BODY, {'X_Priority': 'high'}),
    'a space in its id': (_LETTERS, _BODY, {'X_Request_Id': 'a b'}),
    'a long id': (_LETTERS, _BODY, {'X_Request_Id': 'a' * 129}),
    'dots in its path': ('/services/fees/letters/../fees', _BODY, {}),
    'coded dots': ('/services/fees/letters/%2e%2e/fees', _BODY, {}),
    'an unknown service': ('/services/none/letters', _BODY, {}),
    'an unknown path': ('/letters', _BODY, {}),
    'all kinds of headers': (
        '/services/fees/letters/a%20b?c=%2F&d',
        _BODY,
        {
            'X_Request_Id': 'my-id',
            'X_Workspace': 'small',
            'X_Colour': 'blue',
            'Te': 'trailers',
        },
    ),
}


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
def set_fault(context, place, fault):
    """Set a fault for the next request."""
    _set_faults(_upstream(context, place), fault, 1)


@given('frontend upstream "{place}" always has the fault "{fault}"')
def set_faults(context, place, fault):
    """Set a fault for all requests."""
    _set_faults(_upstream(context, place), fault, _ALWAYS)


def _set_faults(upstream, fault, times):
    if fault == 'refused':
        upstream.close()
    else:
        upstream.faults = [fault] * times


@when('frontend receives {method:w} {target:S}')
def send_request(context, method, target):
    """Send a request."""
    context.sent = (method, target)
    body = b'' if method == 'GET' else _BODY
    context.response = context.world.ask(method, target, body)


@when('frontend receives {method:w} {target:S} with a key')
def send_with_key(context, method, target):
    """Send a request with an idempotency key."""
    context.sent = (method, target)
    key = context.world.key
    context.response = context.world.ask(
        method,
        target,
        _BODY,
        Idempotency_Key=key,
    )


@when('frontend waits {pause_s:g} s')
def wait(_context, pause_s):
    """Let time pass."""
    gevent.sleep(pause_s)


@then('frontend responds {kind}, executed {executed}, repeat {repeat}')
def check_response(context, kind, executed, repeat):
    """Compare the error response to the caller."""
    response = context.response
    repeat_advice = (
        '-' if response.kind == 'ok' else response.document['repeat']
    )
    found = (response.kind, response.executed, repeat_advice)
    assert found == (kind, executed, repeat), (found, response.body)


@then('frontend responds with status {status:d} from the upstream')
def check_status(context, status):
    """Compare the status of a response that is passed on."""
    found = (context.response.status, context.response.kind)
    assert found == (status, 'ok'), found


@then('frontend passed on the correct response')
def check_correct(context):
    """Compare the response with the one expected for this request."""
    response = context.response
    method, target = context.sent
    path = '/{0}'.format(target.split('/', 3)[3])
    body = b'' if method == 'GET' else _BODY
    assert response.is_complete, 'the response is truncated'
    assert response.document == expected_response(method, path, body), (
        response.body
    )


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
    """Check that the fault occurred."""
    counts = context.world.metrics.counts
    assert counts.get(('retries_total', reason), 0) >= retries, counts


@then('frontend reported {report} to claims')
def check_report(context, report):
    """Compare what was reported to the claims service."""
    names = {True: 'not_run', False: 'outcome'}
    found = [names[entry.not_run] for entry in context.world.claims.reported]
    assert (found or ['nothing']) == [report], found


@then('frontend holds nothing of the request')
def check_nothing_held(context):
    """Check that the request was released everywhere."""
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


def _encode_order(tokens, stream):
    order = {'prompt': 'a', 'max_tokens': tokens, 'stream': stream}
    return json.dumps(order).encode()


@when('frontend streams {tokens:d} tokens')
def stream(context, tokens):
    """Read a whole stream."""
    body = _encode_order(tokens, stream=True)
    context.response = context.world.ask('POST', _GENERATE, body)


@when('frontend streams {tokens:d} tokens of version {version}')
def stream_version(context, tokens, version):
    """Read a whole stream of one version."""
    body = _encode_order(tokens, stream=True)
    context.response = context.world.ask(
        'POST',
        _GENERATE,
        body,
        X_Model_Version=version,
    )


@when('frontend asks for {tokens:d} tokens at once')
def send_for_tokens(context, tokens):
    """Read a response that is not a stream."""
    body = _encode_order(tokens, stream=False)
    context.response = context.world.ask('POST', _GENERATE, body)


@when("frontend's caller disconnects after the first of {tokens:d} tokens")
def disconnect(context, tokens):
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
    body = _encode_order(tokens, stream=True)
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
    response = context.response
    events = [event_of(version, index) for index in range(last + 1)]
    events.append(b'data: [DONE]\n\n')
    assert response.body == b''.join(events), response.body
    assert response.is_complete, 'the final chunk is missing'
    assert response.headers['X-Model-Version'] == version


@then(
    'frontend ended the stream after token {last:d} with {kind} '
    'and no final chunk',
)
def check_cut(context, last, kind):
    """Compare the events of a stream that failed."""
    check_error_event(context, kind)
    body = context.response.body
    passed_on = [event_of('v1', index) for index in range(last + 1)]
    assert body.startswith(b''.join(passed_on)), body
    assert body.count(b'\n\n') == len(passed_on) + 1, body


@then('frontend ended the stream with {kind} and no final chunk')
def check_error_event(context, kind):
    """Compare the last event of a stream that failed."""
    response = context.response
    last_event = response.body.split(b'\n\n')[-2]
    assert last_event.startswith(b'event: error\n'), response.body
    error = json.loads(last_event.split(b'data: ')[1])
    assert (error['error'], error['executed']) == (kind, 'unknown'), error
    assert not response.is_complete, 'a final chunk was sent'
    assert b'[DONE]' not in response.body, response.body


@then('frontend upstream "{place}" was asked to resume from {position:d}')
def check_resumption(context, place, position):
    """Compare the request that resumed a stream."""
    body = json.loads(_upstream(context, place).received[0].body)
    assert body.get('resume_from', 0) == position, body


@then('frontend upstream "{place}" received nothing')
def check_nothing_received(context, place):
    """Check that an upstream received no request."""
    received = _upstream(context, place).received
    assert not received, [request.body for request in received]


@then('frontend responded {kind} with version {version}')
def check_version(context, kind, version):
    """Compare the version that a response names."""
    response = context.response
    found = (response.kind, response.headers.get('X-Model-Version', '-'))
    assert found == (kind, version), (found, response.body)
    assert version == '-' or f'{version}-0'.encode() in response.body


@then('frontend upstream "{place}" was disconnected before token {limit:d}')
def check_cancelled(context, place, limit):
    """Check that a caller's disconnect cancels the request."""
    upstream = _upstream(context, place)
    assert upstream.cancelled == 1, upstream.cancelled
    assert upstream.tokens_sent < limit, upstream.tokens_sent


@given('frontend without configuration')
def start_unconfigured(context):
    """Start the components without a configuration."""
    context.world = World()
    context.cleanups = [context.world.close]


@given(
    'frontend with a grace period of {grace_s:g} s and an upstream of "{name}"'
)
def start_with_grace(context, grace_s, name):
    """Start the components with this grace period."""
    context.world = World(grace_s)
    context.cleanups = [context.world.close]
    context.world.configure()
    context.world.add_upstream(name, 'near')


@given('frontend is configured with {section} {field} {number:g}')
def configure(context, section, field, number):
    """Change one number of the configuration."""
    context.world.document[section][field] = number
    context.world.configure()


@given('frontend upstream "{place}" is {state}')
def set_state(context, place, state):
    """Announce another state of an upstream."""
    context.world.set_state(place, state)


@given("frontend's claims service replies {verdict}")
def set_verdict(context, verdict):
    """Set a verdict or a failure."""
    context.world.claims.verdict = verdict


@given('frontend\'s claims service has the outcome "{body}" {detail}')
@given('frontend\'s claims service has the outcome "" {detail}')
def set_outcome(context, detail, body=''):
    """Set a stored outcome."""
    text = '' if detail == 'complete' else detail
    context.world.claims.store(body.encode(), text)


@given("frontend's claims service stores nothing")
def store_nothing(context):
    """Let the claims service store no record."""
    context.world.claims.stores = False


@given(
    "frontend's process pauses for {pause_s:g} s in a claim, "
    'and "{place}" is leaving',
)
def pause_process(context, pause_s, place):
    """Stop the whole process between the selection and the first byte."""
    world = context.world
    world.claims.block_s = pause_s
    world.claims.after_block = lambda: world.set_state(place, 'leaving')


@given('frontend has {count:d} requests in flight')
def hold(context, count):
    """Send requests whose responses the upstream holds back."""
    world = context.world
    for service in world.document['services'].values():
        service['silent_s'] = 20
        service['timeout_s'] = 20
    world.configure()
    _upstream(context, 'near').faults = ['hold'] * count
    context.held = [
        gevent.spawn(
            world.ask,
            'POST',
            _LETTERS,
            _BODY,
            X_Priority='0',
        )
        for _ in range(count)
    ]
    context.cleanups.append(lambda: release_held(context))
    # Wait until all requests have reached the upstream. Otherwise the request
    # under test would get the fault of one that has not arrived yet.
    with gevent.Timeout(30):
        while len(_upstream(context, 'near').received) < count:
            gevent.sleep(0.01)
    in_flight = world.status(SERVICE_ROUTER)['requests_in_flight']
    assert in_flight == count, in_flight


@when('frontend has no request in flight')
def wait_for_ends(context):
    """Wait for the router, which receives an end later than the caller."""
    with gevent.Timeout(30):
        while context.world.status(SERVICE_ROUTER)['requests_in_flight']:
            gevent.sleep(0.01)


@when("frontend's held requests end")
def release_held(context):
    """Let the upstream respond."""
    _upstream(context, 'near').released.set()
    gevent.joinall(context.held, timeout=5)


@then('frontend responded to all held requests')
def check_held(context):
    """Compare the responses to requests that were in progress."""
    expected = expected_response('POST', '/letters/held', _BODY)
    for request in context.held:
        response = request.get(timeout=5)
        assert response.is_complete, response.body
        assert response.document == expected, response.body


@when(
    'frontend receives a request of workspace {workspace:w} '
    'and priority {priority}',
)
def send_with_priority(context, workspace, priority):
    """Send a request with the headers that decide on admission."""
    headers = {'X_Workspace': workspace}
    if priority != '-':
        headers['X_Priority'] = priority
    context.response = context.world.ask('POST', _LETTERS, _BODY, **headers)


@when('frontend receives a request with {fault}')
def send_invalid(context, fault):
    """Send a request that differs in one respect."""
    target, body, headers = _REQUESTS[fault]
    context.response = context.world.ask('POST', target, body, **headers)


@then('frontend passed the headers on as they should be')
def check_headers(context):
    """Compare what the upstream and the caller received."""
    request = _received(context)[0]
    sent = request.headers
    assert request.path == '/letters/a%20b?c=%2F&d', request.path
    assert sent['X-Request-Id'].startswith('my-id-'), sent['X-Request-Id']
    assert sent['X-Request-Id'].endswith('-1'), sent['X-Request-Id']
    assert sent['X-Priority'] == '9', sent['X-Priority']
    assert sent['X-Colour'] == 'blue', sent['X-Colour']
    assert sent['Te'] is None, sent['Te']
    assert sent['Host'] == _upstream(context, 'near').address, sent['Host']
    assert context.response.headers['X-Request-Id'] == 'my-id'


@when("frontend's caller sends half of its body")
def send_half(context):
    """Leave a request unfinished."""
    connection = context.world.open_raw(
        b'POST /services/fees/letters/2 HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 10\r\n\r\nhalf',
    )
    context.cleanups.append(connection.close)
    gevent.sleep(0.05)


@then('frontend passed on status {status:d}')
def check_passed_status(context, status):
    """Compare the status alone."""
    assert context.response.status == status, context.response.status


@then('frontend requested {count:d} claims')
def check_claims(context, count):
    """Count the claims that were requested."""
    assert len(context.world.claims.requested) == count


@when('frontend is stopped')
def stop(context):
    """Stop the kernel in another greenlet."""
    context.stopping = gevent.spawn(context.world.kernel.stop)
    gevent.sleep(0.05)


@then('frontend has not stopped yet')
def check_running(context):
    """Check that the stop waits for requests."""
    assert not context.stopping.ready()


@then('frontend has stopped')
def check_stopped(context):
    """Check that the stop ends."""
    context.stopping.join(timeout=5)
    assert context.stopping.ready()


@when('frontend is stopped while {count:d} callers send requests')
def stop_under_load(context, count):
    """Stop while callers send requests."""
    context.loads = [
        gevent.spawn(_send_until_refused, context.world) for _ in range(count)
    ]
    gevent.sleep(0.3)
    stop(context)
    gevent.joinall(context.loads, timeout=8)


def _send_until_refused(world):
    responses = []
    for _ in range(5000):
        try:
            response = world.ask('POST', _LETTERS, _BODY)
        except (ConnectionRefusedError, ConnectionResetError):
            return responses
        responses.append(response)
        if response.kind == 'stopping':
            return responses
    return responses


@then('frontend sent every caller complete responses until it refused')
def check_load(context):
    """Check that the stop cut no response short."""
    expected = expected_response('POST', '/letters/held', _BODY)
    responded = 0
    for load in context.loads:
        responses = [
            response
            for response in load.get(timeout=1)
            if response.kind != 'stopping'
        ]
        assert responses, 'no request was sent'
        assert all(response.document == expected for response in responses)
        responded += len(responses)
    # A connection that was not accepted is reset, but its request did not run.
    runs = sum(upstream.runs for upstream in _upstreams(context))
    assert runs == responded, (runs, responded)
