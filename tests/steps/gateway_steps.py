"""Steps for the decisions of the gateway component."""

import heapq
import random

from behave import given, then, when

from apricotpin.components.gateway import decisions, responses
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.requests import ResponseHead
from apricotpin.messages.desired import RouteKind
from tests.steps.routes_steps import make_route

_NOW_S = 100.0
_RESPONDING_INSTANCES = {
    'misdirected by another worker': 'worker-2',
    'misdirected by the same worker': 'worker-1',
}
_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'stream': RouteKind.STREAM,
    'resumable': RouteKind.STREAM,
}


@given('gateway with a request of kind {kind} for at most {most:d} attempts')
def request_of(context, kind, most):
    route = make_route(
        kind=_KINDS[kind],
        max_attempts=most,
        resumable=kind == 'resumable',
    )
    context.progress = decisions.Progress(route, _NOW_S, _NOW_S + 6, '')


@given(
    'gateway with a {kind} stream for at most {most:d} attempts, goals of '
    '{goal:g} s and {gap:g} s'
)
def stream_of(context, kind, most, goal, gap):
    route = make_route(
        kind=_KINDS[kind],
        max_attempts=most,
        resumable=kind == 'resumable',
        latency_goal_s=goal,
        event_gap_goal_s=gap,
    )
    context.progress = decisions.Progress(route, _NOW_S, _NOW_S + 6, '')


@then("gateway's worker may be silent for {silence:g} s before the first event")
def check_first_silence(context, silence):
    found = decisions.silence_timeout_s(context.progress, _NOW_S)
    assert round(found, 3) == silence, found


@then("gateway's worker may be silent for {silence:g} s between two events")
def check_event_silence(context, silence):
    found = decisions.event_silence_timeout_s(context.progress, _NOW_S)
    assert round(found, 3) == silence, found


@when("gateway's attempts end in {verdicts}")
def attempts_end(context, verdicts):
    for name in verdicts.split(', '):
        context.verdict = Verdict(name)
        sent = context.verdict is not Verdict.CONNECT_FAILED
        decisions.record_attempt(context.progress, 'w', context.verdict, sent)


@then("gateway's next action is {action}")
def check_action(context, action):
    found = decisions.next_action(context.progress, context.verdict, _NOW_S)
    assert found.value == action, found


@then("gateway's caller receives the failure {expected}")
def check_failure(context, expected):
    if expected == '-':
        return
    cause = Failure(ErrorKind.NOT_RUN, '')
    failure = decisions.classify_failure(context.progress, cause, _NOW_S)
    assert failure.kind.value == expected, failure


@when('gateway receives a response {status:d} that is {described}')
def classify(context, status, described):
    _classify(context, status, described, is_reused=False)


@when(
    'gateway receives on a kept connection a response {status:d} that is '
    '{described}'
)
def classify_reused(context, status, described):
    _classify(context, status, described, is_reused=True)


def _classify(context, status, described, is_reused):
    response_id = 'mine'
    if described.endswith('of another request'):
        response_id = 'other'
    elif described.endswith('without an id'):
        response_id = ''
    head = ResponseHead(
        status,
        [],
        response_id,
        has_seal=described != 'unsealed',
        not_run=described.startswith('not run'),
        is_misdirected=described.startswith('misdirected'),
        has_encoded_body=described == 'encoded',
        keep_alive_s=None,
        responder_id=_RESPONDING_INSTANCES.get(described, ''),
    )
    context.verdict = responses.classify_head(
        head, 'mine', 'worker-1', is_reused
    )


@then("gateway's verdict is {verdict}")
def check_verdict(context, verdict):
    assert context.verdict.value == verdict, context.verdict


@when('gateway refuses a request as {kind} with {left:f} s left')
def refuse(context, kind, left):
    failure = Failure(ErrorKind(kind))
    context.retry_times_s = [
        decisions.retry_after_s(failure, left, random_unit)
        for random_unit in (1, 0)
    ]


@then("gateway's refusal names a retry time from {first} to {last}")
def check_retry_times(context, first, last):
    expected = [
        None if named == 'none' else float(named) for named in (first, last)
    ]
    found = [
        None if found_s is None else round(found_s, 3)
        for found_s in context.retry_times_s
    ]
    assert found == expected, found


_LEFT_S = 6.0
_BURST_S = 0.2


def _serve_burst(callers, slots, busy, retry_after_s):
    """Return how many callers are served, each returning at most once."""
    arrivals = [
        (number * _BURST_S / callers, True) for number in range(callers)
    ]
    free_at_s = [float()] * slots
    served = 0
    while arrivals:
        now_s, may_return = heapq.heappop(arrivals)
        free = min(range(slots), key=free_at_s.__getitem__)
        if free_at_s[free] <= now_s:
            free_at_s[free] = now_s + busy
            served += 1
        elif may_return:
            heapq.heappush(arrivals, (now_s + retry_after_s(), False))
    return served


@when(
    "gateway's callers return once after a burst of {callers:d} at {slots:d} "
    'slots of {busy:g} s'
)
def replay_burst(context, callers, slots, busy):
    source = random.Random(1)
    failure = Failure(ErrorKind.OVERLOADED)
    context.served = _serve_burst(
        callers,
        slots,
        busy,
        lambda: decisions.retry_after_s(failure, _LEFT_S, source.random()),
    )
    context.served_together = _serve_burst(callers, slots, busy, lambda: 0.4)


@then(
    "gateway's workers serve at least {served:d} of them, and more than with "
    'one retry time for all'
)
def check_served(context, served):
    assert context.served >= served, context.served
    assert context.served > context.served_together, context.served_together


@when(
    'gateway refuses a request with {left:f} s left whose workers all pause '
    'for {pause:f} s'
)
def refuse_paused(context, left, pause):
    failure = Failure(ErrorKind.OVERLOADED, '', pause)
    context.retry_after_s = decisions.retry_after_s(failure, left, 0)


@then("gateway's refusal names a retry time of {named}")
def check_retry_after(context, named):
    expected = None if named == 'none' else float(named)
    if expected is None:
        assert context.retry_after_s is None
    else:
        assert round(context.retry_after_s, 3) == expected, (
            context.retry_after_s
        )


@when('gateway splits the parts {parts}')
def split(context, parts):
    context.splitter = EventSplitter()
    passed_on = [
        context.splitter.feed(part.replace('~', '\n').encode())
        for part in parts.split(' + ')
    ]
    context.passed_on = b''.join(passed_on).decode()


@then('gateway passed on {events} with the last id {event_id}')
def check_events(context, events, event_id):
    assert context.passed_on == events.replace('~', '\n'), context.passed_on
    assert (context.splitter.last_event_id or '-') == event_id
