"""Steps for the figures of the demo on the platform's stand-ins."""

import types

from behave import then, when

from script import demo_platform
from script.platform_fleet import Response

_BODIES = {
    'answer': b'answer',
    'nothing': None,
    '4 events': b'id: 1\ndata: token\n\n' * 4,
    '3 events': b'id: 1\ndata: token\n\n' * 3,
}


@when('the platform demo gets an answer {status:d} with {body} to {path}')
def gets(context, status, body, path):
    answer = Response(status, {}, _BODIES[body])
    context.outcome = demo_platform.outcome_of(answer, path)


@then('the platform demo counts it as {outcome}')
def counts(context, outcome):
    assert context.outcome == outcome, context.outcome


@when(
    'the platform demo ends in {took:g} s with {ended} and version {version:d}'
)
def ends(context, took, ended, version):
    worker = types.SimpleNamespace(executed_ids=['req-1'], version=version)
    fleet = types.SimpleNamespace(
        workers={'w': worker},
        origin=types.SimpleNamespace(pieces_sent=64),
    )
    traffic = demo_platform.Traffic()
    traffic.ended.update(['ok', ended])
    context.line = demo_platform.figures_of(fleet, traffic, took)


@then("the platform demo's verdict is {verdict}")
def verdict_is(context, verdict):
    assert f'verdict={verdict}' in context.line, context.line
