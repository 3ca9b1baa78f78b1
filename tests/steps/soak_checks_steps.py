"""Steps for the checks of a soak run, without processes."""

import types

from behave import given, then, when

from script.caller_requests import CallerResponse
from script.soak_callers import STREAM_KINDS, Exchange
from script.soak_checks import Stop, faults_of
from script.standins.paced_worker import body_of, event_count, event_of

_ID = 'c1-1'
_SEAL = 'x-server-seal'
_CHANGES = {
    'no last event': lambda body: body[: body.index(b'id: 4')],
    'an event twice': lambda body: event_of(_ID, 1) + body,
    'a comment': lambda body: b': comment\n\n'.rstrip() + b'\n' + body,
    'no last byte': lambda body: body[:-1],
}
_HEADERS = {
    'no seal': {_SEAL: ''},
    "another's seal": {_SEAL: 'worker-1.c1-2'},
    "another's id": {'x-attempt-id': 'c1-2'},
}


@given(
    "a soak run's {kind} request that ends as {end} with {status:d} after "
    '{ended_s:g} s'
)
def make_exchange(context, kind, end, status, ended_s):
    exchange = Exchange(_ID, 'entry', f'POST /{kind}/{_ID}', b'')
    numbers = range(1, event_count(_ID) + 1)
    events = b''.join(event_of(_ID, number) for number in numbers)
    exchange.end = end
    exchange.sent_s = exchange.started_s
    exchange.ended_s = exchange.started_s + ended_s
    exchange.response = CallerResponse(
        status,
        {'x-attempt-id': _ID, _SEAL: f'worker-1.{_ID}'},
        events if kind in STREAM_KINDS else body_of(_ID),
        end == 'complete',
    )
    context.exchange = exchange


@when("the soak run's response has {change}")
def change_response(context, change):
    response = context.exchange.response
    response.headers.update(_HEADERS.get(change, {}))
    response.body = _CHANGES.get(change, bytes)(response.body)


@when("the soak run's workers report {runs}")
def make_runs(context, runs):
    context.runs = []
    for text in () if runs == 'nothing' else runs.split(', '):
        state, _, times = text.partition(' ')
        started, _, ended = times.partition('-')
        run = types.SimpleNamespace(
            state=state,
            line=context.exchange.line,
            body=b'',
            tenant='tenant-1',
            started_s=context.exchange.started_s + float(started),
            ended_s=context.exchange.started_s + float(ended),
        )
        context.runs.append(run)


@when("the soak run's entry host is sent SIGTERM at {stop} s")
def make_stop(context, stop):
    context.stops = []
    if stop != 'none':
        stopped = Stop('entry')
        stopped.sent_s = context.exchange.started_s + float(stop)
        context.stops.append(stopped)


@then("the soak run's checks report {faults}")
def check_faults(context, faults):
    arrivals = {_ID} if context.runs else set()
    found = faults_of(context.exchange, context.runs, arrivals, context.stops)
    assert (','.join(found) or 'none') == faults, found
