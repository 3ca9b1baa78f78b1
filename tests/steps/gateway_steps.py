"""Steps for the gateway's decisions."""

from behave import given, then, when

from apricotpin.components.gateway import decisions
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.desired import RouteKind
from apricotpin.messages.requests import ResponseHead
from tests.steps.routes_steps import make_route

_NOW_S = 100.0
_ANSWERED_BY = {
    'misdirected by another worker': 'worker-2',
    'misdirected by the same worker': 'worker-1',
}
_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'stream': RouteKind.STREAM,
    'resumable': RouteKind.STREAM,
}


@given('gateway with a request of kind {kind} for at most {most:d} workers')
def request_of(context, kind, most):
    route = make_route(
        kind=_KINDS[kind],
        max_attempts=most,
        resumable=kind == 'resumable',
    )
    context.progress = decisions.Progress(route, _NOW_S, _NOW_S + 6, '')


@when("gateway's attempts end in {verdicts}")
def attempts_end(context, verdicts):
    for name in verdicts.split(', '):
        context.verdict = Verdict(name)
        sent = context.verdict is not Verdict.CONNECT_FAILED
        decisions.note_attempt(context.progress, 'w', context.verdict, sent)


@then("gateway's next action is {action}")
def next_action(context, action):
    found = decisions.next_action(context.progress, context.verdict, _NOW_S)
    assert found.value == action, found


@then("gateway's caller is told {told}")
def caller_told(context, told):
    if told == '-':
        return
    cause = Failure(ErrorKind.NOT_RUN, '')
    failure = decisions.failure_of(context.progress, cause, _NOW_S)
    assert failure.kind.value == told, failure


@when('gateway judges an answer {status:d} that is {described}')
def judge(context, status, described):
    head = ResponseHead(
        status,
        [],
        'other' if described == 'of another request' else 'mine',
        has_seal=described != 'unsealed',
        not_run=described == 'not run',
        is_misdirected=described.startswith('misdirected'),
        has_encoded_body=described == 'encoded',
        keep_alive_s=None,
        responder_id=_ANSWERED_BY.get(described, ''),
    )
    context.verdict = decisions.judge_head(head, 'mine', 'worker-1')


@then("gateway's verdict is {verdict}")
def verdict_is(context, verdict):
    assert context.verdict.value == verdict, context.verdict


@when('gateway refuses as {kind} with {left:f} s left')
def refuse(context, kind, left):
    context.back_s = decisions.come_back_s(ErrorKind(kind), left)


@then("gateway's caller is asked back after {back}")
def asked_back(context, back):
    expected = None if back == 'none' else float(back)
    if expected is None:
        assert context.back_s is None
    else:
        assert round(context.back_s, 3) == expected, context.back_s


@when('gateway splits the parts {parts}')
def split(context, parts):
    context.splitter = EventSplitter()
    taken = [
        context.splitter.take(part.replace('~', '\n').encode())
        for part in parts.split(' + ')
    ]
    context.whole = b''.join(taken).decode()


@then('gateway passed on {whole} with the last id {identity}')
def passed_on(context, whole, identity):
    assert context.whole == whole.replace('~', '\n'), context.whole
    assert (context.splitter.last_id or '-') == identity
