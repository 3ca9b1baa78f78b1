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


@when('the platform demo receives a response {status:d} with {body} to {path}')
def classify_response(context, status, body, path):
    response = Response(status, {}, _BODIES[body])
    context.outcome = demo_platform.outcome_of(response, path)


@then('the platform demo counts it as {outcome}')
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@when(
    'the platform demo ends in {duration_s:g} s with {outcome} and version '
    '{version:d}'
)
def finish_demo(context, duration_s, outcome, version):
    worker = types.SimpleNamespace(executed_ids=['req-1'], version=version)
    fleet = types.SimpleNamespace(
        workers={'w': worker},
        origin=types.SimpleNamespace(pieces_sent=64),
    )
    traffic = demo_platform.Traffic()
    traffic.outcomes.update(['ok', outcome])
    context.line = demo_platform.figures_of(fleet, traffic, duration_s)


@then("the platform demo's verdict is {verdict}")
def check_verdict(context, verdict):
    assert f'verdict={verdict}' in context.line, context.line
