"""Steps for silent workers and their failure score."""

from behave import given, then, when

from apricotpin.components.dispatch.service import DispatchService
from apricotpin.core import Kernel, Reply
from apricotpin.messages.upstreams import (
    AttemptDone,
    AttemptSilent,
    UpstreamListed,
)
from tests.steps.dispatch_steps import _make_entry, make_state


@given('dispatch has two workers, of which one has {attempts:d} attempts')
def has_attempts(context, attempts):
    context.state = make_state()
    context.service = DispatchService(Kernel('entry'), context.state)
    for name in ('0', '1'):
        context.service.add_upstream(UpstreamListed(_make_entry(name)), Reply())
    context.tickets = [str(number) for number in range(attempts)]
    for ticket in context.tickets:
        context.state.start_attempt(ticket, context.state.upstreams.get('0'))


@when(
    'dispatch is told that they are silent, and that {ended:d} end as {verdict}'
)
def are_silent(context, ended, verdict):
    for ticket in context.tickets:
        context.service.record_silence(AttemptSilent(ticket), Reply())
    for ticket in context.tickets[:ended]:
        done = AttemptDone(ticket, '0', verdict)
        context.service.end_attempt(done, Reply())


@then('dispatch has recorded a failure score of {score:g} for it')
def check_score(context, score):
    found = context.state.upstreams.get('0').failure_score
    assert round(found, 2) == round(score, 2), found
