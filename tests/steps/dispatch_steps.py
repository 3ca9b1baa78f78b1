"""Steps for the choice of an upstream and the retry budget."""

import random

from behave import given, then, when
from gevent.event import AsyncResult

from apricotpin.components.dispatch import budget, decisions, versions
from apricotpin.components.dispatch.beliefs import Beliefs
from apricotpin.components.dispatch.service import DispatchService
from apricotpin.components.dispatch.state import DispatchState, Upstream, Window
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.helpers.exchange import Verdict
from apricotpin.host_settings import OperatorLimits
from apricotpin.messages.desired import (
    Engine,
    ModelVersion,
    ModelVersionChanged,
    ServiceSpec,
)
from apricotpin.messages.fleet import LoadReport, PathDelaysMeasured
from apricotpin.messages.upstreams import (
    CancelSelection,
    LoadedLayers,
    SelectUpstream,
    UpstreamEntry,
    UpstreamListed,
)

_NOW_S = 1000.0
_BOUNDS = OperatorLimits(2, 3, 2, 8, 102, 0.2, 10, 8)
_ENGINE = Engine('m', 16, 16, 64, 32768, 0.3)
_WHOLE = (LoadedLayers('m', 1, 0, 16),)


def make_report(**changed):
    """Return the report of an idle worker with version 1, changed as given."""
    fields = {
        'address': '10.0.0.1:80',
        'peer_address': '10.0.0.1:7700',
        'data_centre': 'near',
        'service_name': 'drafting',
        'count': 1,
        'reachable': True,
        'started_ms': 5,
        'active': 0,
        'queued': 0,
        'version': 1,
        'layers_start': 0,
        'layers_end': 16,
        'switching': False,
    }
    return LoadReport(**{**fields, **changed})


def make_state():
    """Return a state that knows the drafting service and no worker."""
    state = DispatchState('near', _BOUNDS)
    state.services = {'drafting': ServiceSpec('drafting', 264, _ENGINE)}
    return state


def _entry(name, data_centre='near', **changed):
    fields = {
        'instance_id': name,
        'service': 'drafting',
        'address': '10.0.0.1:80',
        'data_centre': data_centre,
        'slots': 16,
        'draining': False,
        'started_ms': 5,
        'loaded': _WHOLE,
    }
    return UpstreamEntry(**{**fields, **changed})


def _upstream(name, described):
    entries = {
        'draining': {'draining': True},
        'of another service': {'service': 'fees'},
        'entered empty, never reported': {'loaded': ()},
        'far': {'data_centre': 'far'},
        'far, of version 2': {'data_centre': 'far'},
    }
    reports = {
        'without weights': {'version': 0, 'layers_end': 0},
        'half loaded': {'layers_end': 8},
        'reported unreachable': {'reachable': False},
        'reported as started anew': {'started_ms': 6},
        'full by reports': {'active': 16, 'queued': 2},
        'full by an old report': {'active': 16, 'queued': 2},
        'busy': {'active': 8},
        'without room to begin': {'active': 16},
        'half full': {'active': 10},
        'switching': {'switching': True},
        'of version 2': {'version': 2},
        'far, of version 2': {'version': 2},
    }
    upstream = Upstream(_entry(name, **entries.get(described, {})))
    if 'never reported' not in described:
        report = make_report(**reports.get(described, {}))
        age_s = 5 if 'old' in described else 0.1
        decisions.note_report(upstream, report, _NOW_S - age_s)
    if described == 'full':
        upstream.own = 18
    if described == 'failing':
        upstream.failure_score = 0.9
    if described in {'resting', 'rested'}:
        sign = 1 if described == 'resting' else -1
        upstream.rest_until_s = _NOW_S + sign
    return upstream


@given('dispatch knows a worker that is {described}')
def knows_one(context, described):
    context.state = make_state()
    names = described.split(' and one that is ')
    context.state.upstreams = {
        str(number): _upstream(str(number), name)
        for number, name in enumerate(names)
    }


@given('dispatch knows that version {version:d} was declared {ago:g} s ago')
def knows_declared(context, version, ago):
    context.state.targets = {'m': {version: _NOW_S - ago}}


def _choose(context):
    return decisions.choose(
        context.state,
        'drafting',
        (),
        _NOW_S,
        context.random,
    )


@given(
    'dispatch measures that the path elsewhere takes {delay:g} s longer than '
    'usual'
)
def measure_way(context, delay):
    Beliefs(context.state).note_paths(
        PathDelaysMeasured({'far': delay}), Reply()
    )


@when('dispatch chooses')
def choose(context):
    context.random = random.Random(1).random
    context.chosen = _choose(context)


@then("dispatch's choice is {chosen}")
def choice_is(context, chosen):
    found = context.chosen
    kind = 'made' if found.is_ok() else found.err_value.kind.value
    assert kind == chosen, found


@then("dispatch's refusal says {why}")
def refusal_says(context, why):
    detail = context.chosen.err_value.detail
    assert detail.endswith(f': {why}'), detail


@when('dispatch chooses for a request that is {kind}')
def choose_for(context, kind):
    context.chosen = decisions.choose(
        context.state,
        'drafting',
        (),
        _NOW_S,
        random.Random(1).random,
        kind == 'resumed',
    )


@given(
    'dispatch knows a worker whose report with {active:d} active is '
    '{age:g} s old'
)
def knows_reported(context, active, age):
    context.state = make_state()
    upstream = Upstream(_entry('0'))
    report = make_report(active=active)
    decisions.note_report(upstream, report, _NOW_S - age)
    context.state.upstreams = {'0': upstream}


@given('dispatch knows {count:d} workers elsewhere that are as free')
def knows_elsewhere(context, count):
    for number in range(1, count + 1):
        name = str(number)
        upstream = Upstream(_entry(name, 'far'))
        decisions.note_report(upstream, make_report(), _NOW_S)
        context.state.upstreams[name] = upstream


@given(
    'dispatch on one of {hosts:d} hosts counts {requests:d} requests a second'
)
def counts_rate(context, hosts, requests):
    context.state.near_hosts = hosts
    window = context.state.window('drafting')
    for second in (2, 1):
        for _ in range(requests):
            budget.note_sent(window, _NOW_S - second)


@given('dispatch hears of version {version:d} declared {ago:g} s ago')
def hears_declared(context, version, ago):
    context.suspended_s = 0
    original = clocks.boot_time_s
    clocks.boot_time_s = lambda: original() + context.suspended_s
    context.cleanups = [lambda: setattr(clocks, 'boot_time_s', original)]
    context.state = make_state()
    declared = ModelVersionChanged(ModelVersion('m', version), ago)
    Beliefs(context.state).change_version(declared, Reply())
    context.service = DispatchService(Kernel('entry'), context.state)


@when("dispatch's host is suspended for {suspended:g} s")
def suspend(context, suspended):
    context.suspended_s = suspended


@then('dispatch picks {picked} of a worker with version 1')
def picks(context, picked):
    context.service.list_upstream(UpstreamListed(_entry('0')), Reply())
    outcome = _ask(context.service, 'first', 0).get(timeout=1)
    assert outcome.is_ok() == (picked == 'one request'), outcome


@when('dispatch chooses {count:d} times')
def choose_often(context, count):
    context.random = random.Random(1).random
    context.all_chosen = [
        _choose(context).ok_value.entry.instance_id for _ in range(count)
    ]


@then('dispatch chose the first each time')
def chose_first(context):
    assert set(context.all_chosen) == {'0'}, context.all_chosen


@when(
    'dispatch judges version {held:d} with {declared:d} known for {known:g} s'
)
def judge_version(context, held, declared, known):
    state = make_state()
    state.targets = {'m': {declared: _NOW_S - known}}
    context.allowed = versions.is_allowed(state, 'm', held, _NOW_S)


@when('dispatch judges version 1 with 2 known for 8 s and 3 for 1 s')
def judge_skipped(context):
    state = make_state()
    state.targets = {'m': {2: _NOW_S - 8, 3: _NOW_S - 1}}
    context.allowed = versions.is_allowed(state, 'm', 1, _NOW_S)


@when('dispatch computes until when a stream may begin')
def compute_begin(context):
    context.begin_by_s = versions.begin_by_s(
        context.state, context.state.upstreams['0'], _NOW_S
    )


@then('dispatch lets it begin within {left}')
def begins_within(context, left):
    found = context.begin_by_s
    shown = 'any time' if found is None else f'{found - _NOW_S:.2f}'
    assert shown == left, shown


@then("dispatch's version is {fate}")
def version_is(context, fate):
    assert context.allowed == (fate == 'allowed')


@when('dispatch on one of {hosts:d} hosts counts {requests:d} requests')
def count_requests(context, hosts, requests):
    context.state = make_state()
    context.state.entry_hosts = hosts
    context.window = Window()
    context.boot_time_s = _NOW_S
    for _ in range(requests):
        budget.note_arrival(context.window, False, _NOW_S)


@when('dispatch counts {requests:d} requests and {passed:d} s pass')
def count_and_wait(context, requests, passed):
    count_requests(context, 7, requests)
    context.boot_time_s = _NOW_S + passed


@then('dispatch allows {retries:d} retries')
def allows(context, retries):
    allowed = 0
    while budget.may_retry(context.state, context.window, context.boot_time_s):
        budget.note_arrival(context.window, True, context.boot_time_s)
        allowed += 1
        assert allowed <= retries, allowed
    assert allowed == retries, allowed


@when('dispatch notes the verdicts {verdicts}')
def note_verdicts(context, verdicts):
    context.upstream = _upstream('0', 'idle')
    for name in verdicts.split(', '):
        decisions.note_verdict(
            context.upstream,
            Verdict(name),
            _NOW_S,
            lambda failures: failures * 0.3,
        )


@then("dispatch's worker is {state}")
def worker_is(context, state):
    room = decisions.has_room(context.upstream, True, _NOW_S)
    assert room == (state == 'free')


def _ask(service, ticket, hold_s):
    waiter = AsyncResult()
    message = SelectUpstream(ticket, 'drafting', 1, hold_s)
    service.pick(message, Reply(waiter))
    return waiter


@given('dispatch serves one worker with room for {count:d} request')
def one_place(context, count):
    context.state = make_state()
    upstream = _upstream('0', 'idle')
    # All but this many of its 18 places are taken by others.
    upstream.reported_s = clocks.boot_time_s()
    upstream.others = 18 - count
    context.state.upstreams = {'0': upstream}
    context.service = DispatchService(Kernel('entry'), context.state)


@when('dispatch is asked by 2 requests and the caller of the {left} leaves')
def leaves(context, left):
    _ask(context.service, 'first', 0)
    _ask(context.service, 'second', 5)
    tickets = ['first', 'second'] if left == 'both' else [left]
    for ticket in tickets:
        context.service.cancel_pick(CancelSelection(ticket), Reply())


@then('dispatch counts {own:d} requests at the worker')
def counts(context, own):
    assert context.state.upstreams['0'].own == own


@then('dispatch answers the next request {answer}')
def next_answer(context, answer):
    picked = _ask(context.service, 'third', 0).get(timeout=1)
    kind = 'with a worker'
    if picked.is_err():
        kind = picked.err_value.kind.value
    assert kind == answer, kind
