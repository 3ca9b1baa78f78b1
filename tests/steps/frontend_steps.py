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


@given('frontend without configuration')
def start_unconfigured(context):
    """Start the components only."""
    context.world = World()
    context.cleanups = [context.world.close]


@given(
    'frontend with a grace period of {grace_s:g} s and an upstream of "{name}"'
)
def start_with_grace(context, grace_s, name):
    """Start the components with another setting."""
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


@given("frontend's claims service answers {verdict}")
def order_verdict(context, verdict):
    """Order a verdict or a failure."""
    context.world.claims.verdict = verdict


@given('frontend\'s claims service has the outcome "{body}" {detail}')
@given('frontend\'s claims service has the outcome "" {detail}')
def order_outcome(context, detail, body=''):
    """Order a stored outcome."""
    text = '' if detail == 'whole' else detail
    context.world.claims.store(body.encode(), text)


@given("frontend's claims service stores nothing")
def order_no_store(context):
    """Let records fail to become durable."""
    context.world.claims.stores = False


@given(
    "frontend's process pauses for {pause_s:g} s in a claim, "
    'and "{place}" leaves',
)
def order_pause(context, pause_s, place):
    """Stop the whole process between the choice and the first byte."""
    world = context.world
    world.claims.block_s = pause_s
    world.claims.then = lambda: world.set_state(place, 'leaving')


@given('frontend holds {count:d} requests in flight')
def hold(context, count):
    """Send requests that their upstream answers when it is told to."""
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
    # A held request that has not arrived yet would leave its fault to the
    # request under test, so all of them must have reached the upstream.
    with gevent.Timeout(30):
        while len(_upstream(context, 'near').received) < count:
            gevent.sleep(0.01)
    in_flight = world.status(SERVICE_ROUTER)['requests_in_flight']
    assert in_flight == count, in_flight


@when('frontend has no request in flight')
def wait_for_ends(context):
    """Wait for the router, which hears of an end after the caller does."""
    with gevent.Timeout(30):
        while context.world.status(SERVICE_ROUTER)['requests_in_flight']:
            gevent.sleep(0.01)


@when("frontend's held requests end")
def release_held(context):
    """Let the upstream answer."""
    _upstream(context, 'near').released.set()
    gevent.joinall(context.held, timeout=5)


@then('frontend answered all held requests')
def check_held(context):
    """Compare the answers to requests that were in progress."""
    right = right_answer('POST', '/letters/held', _BODY)
    for request in context.held:
        heard = request.get(timeout=5)
        assert heard.whole, heard.body
        assert heard.document == right, heard.body


@when(
    'frontend receives a request of workspace {workspace:w} '
    'and priority {priority}',
)
def ask_with_priority(context, workspace, priority):
    """Send a request with the headers of admission."""
    headers = {'X_Workspace': workspace}
    if priority != '-':
        headers['X_Priority'] = priority
    context.heard = context.world.ask('POST', _LETTERS, _BODY, **headers)


@when('frontend receives a request with {fault}')
def ask_wrongly(context, fault):
    """Send a request that differs in one respect."""
    target, body, headers = _REQUESTS[fault]
    context.heard = context.world.ask('POST', target, body, **headers)


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
    assert context.heard.headers['X-Request-Id'] == 'my-id'


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
    assert context.heard.status == status, context.heard.status


@then('frontend asked for {count:d} claims')
def check_claims(context, count):
    """Count claims that were asked for."""
    assert len(context.world.claims.asked) == count


@when('frontend is stopped')
def stop(context):
    """Stop the kernel beside the test."""
    context.stopping = gevent.spawn(context.world.kernel.stop)
    gevent.sleep(0.05)


@then('frontend has not stopped yet')
def check_running(context):
    """Guard against a stop that interrupts requests."""
    assert not context.stopping.ready()


@then('frontend has stopped')
def check_stopped(context):
    """Guard against a stop that never ends."""
    context.stopping.join(timeout=5)
    assert context.stopping.ready()


@when('frontend is stopped while {count:d} callers send requests')
def stop_under_load(context, count):
    """Stop in the middle of a load."""
    context.loads = [
        gevent.spawn(_send_until_refused, context.world) for _ in range(count)
    ]
    gevent.sleep(0.3)
    stop(context)
    gevent.joinall(context.loads, timeout=8)


def _send_until_refused(world):
    answers = []
    for _ in range(5000):
        try:
            heard = world.ask('POST', _LETTERS, _BODY)
        except (ConnectionRefusedError, ConnectionResetError):
            return answers
        answers.append(heard)
        if heard.kind == 'stopping':
            return answers
    return answers


@then('frontend gave every caller whole answers until it refused')
def check_load(context):
    """Guard against answers that a stop cuts short."""
    right = right_answer('POST', '/letters/held', _BODY)
    answered = 0
    for load in context.loads:
        answers = [
            heard for heard in load.get(timeout=1) if heard.kind != 'stopping'
        ]
        assert answers, 'no request was sent'
        assert all(heard.document == right for heard in answers)
        answered += len(answers)
    # A connection that was never accepted is reset, but nothing ran for it.
    runs = sum(upstream.runs for upstream in _upstreams(context))
    assert runs == answered, (runs, answered)
