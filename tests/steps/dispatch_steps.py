"""Steps for the selection of an upstream and the retry budget."""

import random
import time

from behave import given, then, when
from gevent import sleep, socket
from gevent.event import AsyncResult

from apricotpin.components.dispatch import (
    budget,
    decisions,
    health,
    versions,
)
from apricotpin.components.dispatch.service import (
    CloseIdleConnections,
    DispatchService,
)
from apricotpin.components.dispatch.state import DispatchState, RequestWindow
from apricotpin.components.dispatch.upstream import IdleConnection, Upstream
from apricotpin.components.dispatch.state_updates import StateUpdater
from apricotpin.components.dispatch.waiting import ExpireWaiters, Waiter
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
    AttemptDone,
    AvailabilityStated,
    CancelSelection,
    LoadedLayers,
    SelectUpstream,
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
)

_NOW_S = 1000.0
_LIMITS = OperatorLimits(2, 3, 2, 8, 102, 0.2, 10, 8)
_ENGINE = Engine('m', 16, 16, 64, 32768, 0.3)
_COMPLETE = (LoadedLayers('m', 1, 0, 16),)


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
    state = DispatchState('near', _LIMITS)
    state.services = {'drafting': ServiceSpec('drafting', 264, _ENGINE)}
    return state


def _make_entry(name, data_centre='near', **changed):
    fields = {
        'instance_id': name,
        'service': 'drafting',
        'address': '10.0.0.1:80',
        'data_centre': data_centre,
        'slots': 16,
        'draining': False,
        'started_ms': 5,
        'loaded': _COMPLETE,
    }
    return UpstreamEntry(**{**fields, **changed})


def _make_upstream(name, described):
    entries = {
        'draining': {'draining': True},
        'of another service': {'service': 'fees'},
        'registered empty, never reported': {'loaded': ()},
        'remote': {'data_centre': 'far'},
        'remote, of version 2': {'data_centre': 'far'},
    }
    reports = {
        'without weights': {'version': 0, 'layers_end': 0},
        'half loaded': {'layers_end': 8},
        'reported unreachable': {'reachable': False},
        'reported as restarted': {'started_ms': 6},
        'full by reports': {'active': 16, 'queued': 2},
        'full by an old report': {'active': 16, 'queued': 2},
        'busy': {'active': 8},
        'connected and busy': {'active': 3},
        'without a free slot': {'active': 16},
        'half full': {'active': 10},
        'switching': {'switching': True},
        'of version 2': {'version': 2},
        'remote, of version 2': {'version': 2},
        'reported as leaving': {'leaving': True},
    }
    upstream = Upstream(_make_entry(name, **entries.get(described, {})))
    if 'never reported' not in described:
        report = make_report(**reports.get(described, {}))
        age_s = 5 if 'old' in described else 0.1
        health.record_report(upstream, report, _NOW_S - age_s)
    if described.startswith('restarted'):
        before = make_report(leaving=True, started_ms=4)
        health.record_report(upstream, before, _NOW_S)
        health.record_report(upstream, make_report(), _NOW_S)
    if described.startswith('connected'):
        upstream.idle_connections.append(IdleConnection(None, _NOW_S + 1))
    stated = upstream.availability
    stated.is_leaving = stated.is_leaving or described == 'leaving'
    if described in {'paused', 'past its pause'}:
        sign = 1 if described == 'paused' else -1
        stated.pause_until_s = _NOW_S + sign
    if described == 'full':
        upstream.own_in_flight = 18
    if described == 'failing':
        upstream.failure_score = 0.9
    if described in {'in back-off', 'past its back-off'}:
        sign = 1 if described == 'in back-off' else -1
        upstream.backoff_until_s = _NOW_S + sign
    return upstream


@given('dispatch knows a worker that is {described}')
def knows_workers(context, described):
    context.state = make_state()
    names = described.split(' and one that is ')
    for number, name in enumerate(names):
        context.state.upstreams.add(_make_upstream(str(number), name))


@given('dispatch knows that version {version:d} was declared {ago:g} s ago')
def knows_declared(context, version, ago):
    context.state.declared_versions = {'m': {version: _NOW_S - ago}}


def _select(context):
    return decisions.select_upstream(
        context.state,
        'drafting',
        (),
        _NOW_S,
        context.random,
    )


@given(
    'dispatch measures that the path to the remote data centre takes '
    '{delay:g} s longer than usual'
)
def measure_path(context, delay):
    StateUpdater(context.state).update_path_delays(
        PathDelaysMeasured({'far': delay}), Reply()
    )


@when('dispatch selects an upstream')
def select(context):
    context.random = random.Random(1).random
    context.selected = _select(context)


@then("dispatch's selection is {outcome}")
def selection_is(context, outcome):
    found = context.selected
    kind = 'made' if found.is_ok() else found.err_value.kind.value
    assert kind == outcome, found


@then("dispatch's refusal gives the reason {reason}")
def refusal_gives(context, reason):
    detail = context.selected.err_value.detail
    assert detail.endswith(f': {reason}'), detail


@when('dispatch selects an upstream for a request that is {kind}')
def select_for(context, kind):
    context.selected = decisions.select_upstream(
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
def knows_report(context, active, age):
    context.state = make_state()
    upstream = Upstream(_make_entry('0'))
    report = make_report(active=active)
    health.record_report(upstream, report, _NOW_S - age)
    context.state.upstreams.add(upstream)


@given('dispatch knows {count:d} remote workers that are idle')
def knows_remote(context, count):
    for number in range(1, count + 1):
        name = str(number)
        upstream = Upstream(_make_entry(name, 'far'))
        health.record_report(upstream, make_report(), _NOW_S)
        context.state.upstreams.add(upstream)


@given(
    'dispatch on one of {hosts:d} hosts counts {requests:d} requests a second'
)
def counts_rate(context, hosts, requests):
    context.state.local_host_count = hosts
    window = context.state.get_window('drafting')
    for second in (2, 1):
        for _ in range(requests):
            budget.record_selection(window, _NOW_S - second)


@given('dispatch receives version {version:d}, declared {ago:g} s ago')
def receives_declared(context, version, ago):
    context.suspended_s = 0
    original = clocks.boot_time_s
    clocks.boot_time_s = lambda: original() + context.suspended_s
    context.cleanups = [lambda: setattr(clocks, 'boot_time_s', original)]
    context.state = make_state()
    declared = ModelVersionChanged(ModelVersion('m', version), ago)
    StateUpdater(context.state).record_version(declared, Reply())
    context.service = DispatchService(Kernel('entry'), context.state)


@when("dispatch's host is suspended for {suspended:g} s")
def suspend(context, suspended):
    context.suspended_s = suspended


@then('dispatch sends {sent} to a worker with version 1')
def sends(context, sent):
    context.service.add_upstream(UpstreamListed(_make_entry('0')), Reply())
    outcome = _request_upstream(context.service, 'first', 0).get(timeout=1)
    assert outcome.is_ok() == (sent == 'one request'), outcome


@when('dispatch selects an upstream {count:d} times')
def select_often(context, count):
    context.random = random.Random(1).random
    context.selected_ids = [
        _select(context).ok_value.entry.instance_id for _ in range(count)
    ]


@then('dispatch selects the first worker each time')
def selects_first(context):
    assert set(context.selected_ids) == {'0'}, context.selected_ids


@when(
    'dispatch checks version {loaded:d} with {declared:d} declared '
    '{ago:g} s ago'
)
def check_version(context, loaded, declared, ago):
    state = make_state()
    state.declared_versions = {'m': {declared: _NOW_S - ago}}
    context.is_allowed = versions.is_allowed(state, 'm', loaded, _NOW_S)


@when(
    'dispatch checks version 1 with 2 declared 8 s ago and 3 declared 1 s ago'
)
def check_version_before_last(context):
    state = make_state()
    state.declared_versions = {'m': {2: _NOW_S - 8, 3: _NOW_S - 1}}
    context.is_allowed = versions.is_allowed(state, 'm', 1, _NOW_S)


@when('dispatch computes by when a stream must start')
def compute_start_deadline(context):
    context.start_deadline_s = versions.get_start_deadline_s(
        context.state, context.state.upstreams.get('0'), _NOW_S
    )


@then('dispatch lets the stream start within {left}')
def starts_within(context, left):
    found = context.start_deadline_s
    shown = 'any time' if found is None else f'{found - _NOW_S:.2f}'
    assert shown == left, shown


@then("dispatch's check finds the version {verdict}")
def version_is(context, verdict):
    assert context.is_allowed == (verdict == 'allowed')


@when('dispatch on one of {hosts:d} hosts counts {requests:d} requests')
def count_requests(context, hosts, requests):
    context.state = make_state()
    context.state.entry_host_count = hosts
    context.window = RequestWindow()
    context.now_s = _NOW_S
    for _ in range(requests):
        budget.record_request(context.window, False, _NOW_S)


@when('dispatch counts {requests:d} requests and {passed:d} s pass')
def count_and_wait(context, requests, passed):
    count_requests(context, 7, requests)
    context.now_s = _NOW_S + passed


@then('dispatch allows {retries:d} retries')
def allows(context, retries):
    allowed = 0
    while budget.may_retry(context.state, context.window, context.now_s):
        budget.record_request(context.window, True, context.now_s)
        allowed += 1
        assert allowed <= retries, allowed
    assert allowed == retries, allowed


@when('dispatch records the verdicts {verdicts}')
def record_verdicts(context, verdicts):
    context.upstream = _make_upstream('0', 'idle')
    for name in verdicts.split(', '):
        health.record_verdict(
            context.upstream,
            Verdict(name),
            _NOW_S,
            lambda failures: failures * 0.3,
        )


@then("dispatch's worker is {state}")
def worker_is(context, state):
    has_capacity = decisions.has_capacity(context.upstream, True, _NOW_S)
    assert has_capacity == (state == 'available')


def _request_upstream(service, ticket, hold_s):
    waiter = AsyncResult()
    message = SelectUpstream(ticket, 'drafting', 1, hold_s)
    service.select_upstream(message, Reply(waiter))
    return waiter


_PAUSE = 'a pause of '


def _advance_clock(context):
    context.passed_s = 0
    original = clocks.boot_time_s
    clocks.boot_time_s = lambda: original() + context.passed_s
    context.cleanups = [lambda: setattr(clocks, 'boot_time_s', original)]


@given('dispatch received from its worker the statement {statement}')
def receives_statement(context, statement):
    _advance_clock(context)
    context.state = make_state()
    context.service = DispatchService(Kernel('entry'), context.state)
    context.service.add_upstream(UpstreamListed(_make_entry('0')), Reply())
    for number, stated in enumerate(statement.split(', then ')):
        # As from responses to several requests that run at the same time.
        ticket = str(number)
        upstream = context.state.upstreams.get('0')
        context.state.start_attempt(ticket, upstream)
        pause_s = 0
        if stated.startswith(_PAUSE):
            pause_s = float(stated.removeprefix(_PAUSE).removesuffix(' s'))
        context.service.record_availability(
            AvailabilityStated(ticket, stated == 'leaving', pause_s), Reply()
        )


@when("dispatch's worker {event}")
def worker_event(context, event):
    service = context.service
    context.instance_id = '0'
    listed = _make_entry('0')
    if event == 'gives its address to another':
        context.instance_id = '1'
        listed = _make_entry('1')
    elif 'restarts' in event:
        listed = _make_entry('0', started_ms=6)
    if 'unlisted' in event:
        service.remove_upstream(UpstreamUnlisted('0'), Reply())
        service.close_expired(CloseIdleConnections(), Reply())
    if event.startswith('is full'):
        busy = AttemptDone('0', '0', Verdict.BUSY.value)
        service.end_attempt(busy, Reply())
    service.add_upstream(UpstreamListed(listed), Reply())


@then('dispatch sends {sent} to it after {later:g} s')
def sends_after(context, sent, later):
    context.passed_s = later
    outcome = _request_upstream(context.service, 'next', 0).get(timeout=1)
    found = 'nothing'
    if outcome.is_ok() and outcome.ok_value.instance_id == context.instance_id:
        found = 'a request'
    assert found == sent, outcome


@given('dispatch knows workers that are paused for {pauses} s')
def knows_paused(context, pauses):
    context.state = make_state()
    context.service = DispatchService(Kernel('entry'), context.state)
    now_s = clocks.boot_time_s()
    for number, pause in enumerate(pauses.split(', ')):
        entry = _make_entry(str(number))
        context.service.add_upstream(UpstreamListed(entry), Reply())
        health.record_availability(
            context.state.upstreams.get(str(number)), False, float(pause), now_s
        )


@when('dispatch receives a request that may wait {wait:g} s')
def receive_waiting(context, wait):
    began_s = time.monotonic()
    waiter = _request_upstream(context.service, 'next', wait)
    context.replied_at_once = waiter.ready()
    if not context.replied_at_once:
        sleep(wait)
        context.service.expire_waiters(ExpireWaiters(), Reply())
    context.selected = waiter.get(timeout=1)
    context.took_s = time.monotonic() - began_s


@then("dispatch's reply is {outcome}")
def reply_is(context, outcome):
    selected = context.selected
    if selected.is_ok():
        found = 'made' if context.replied_at_once else 'made within its wait'
    else:
        assert context.replied_at_once, selected
        until_s = selected.err_value.retry_after_s + context.took_s
        found = f'refused at once until {until_s:.2f}'
    assert found == outcome, found


@given('dispatch knows one worker with capacity for {count:d} request')
def knows_capacity(context, count):
    context.state = make_state()
    upstream = _make_upstream('0', 'idle')
    # Other hosts use all but this many of its 16 slots and 2 queue places.
    upstream.report_received_s = clocks.boot_time_s()
    upstream.others_in_flight = 18 - count
    context.state.upstreams.add(upstream)
    context.service = DispatchService(Kernel('entry'), context.state)


@when('dispatch receives 2 requests and the caller of the {left} leaves')
def receive_and_leave(context, left):
    _request_upstream(context.service, 'first', 0)
    _request_upstream(context.service, 'second', 5)
    tickets = ['first', 'second'] if left == 'both' else [left]
    for ticket in tickets:
        context.service.cancel_selection(CancelSelection(ticket), Reply())


@then('dispatch counts {own:d} requests at the worker')
def counts(context, own):
    assert context.state.upstreams.get('0').own_in_flight == own


@then('dispatch replies to the next request {reply}')
def next_reply(context, reply):
    selected = _request_upstream(context.service, 'third', 0).get(timeout=1)
    kind = 'with a worker'
    if selected.is_err():
        kind = selected.err_value.kind.value
    assert kind == reply, kind


_FULL = {'active': 16, 'queued': 16}
_ADDRESSES = {'drafting': '10.0.0.1:80', 'fees': '10.0.0.2:80'}


@given('dispatch knows full workers of drafting and of fees')
def knows_full_services(context):
    context.state = make_state()
    context.state.services['fees'] = ServiceSpec('fees', 100, None)
    context.service = DispatchService(Kernel('entry'), context.state)
    for service, address in _ADDRESSES.items():
        entry = _make_entry(service, service=service, address=address)
        context.service.add_upstream(UpstreamListed(entry), Reply())
        report = make_report(address=address, **_FULL)
        context.service.record_report(report, Reply())


@when('dispatch receives requests that wait, {first} before {second}')
def receive_two(context, first, second):
    context.waiters = {}
    for place, described in (('the first', first), ('the second', second)):
        is_retry = described.startswith('a retry')
        service = 'fees' if described.endswith('fees') else 'drafting'
        message = SelectUpstream(
            place,
            service,
            0 if 'urgent' in described else 1,
            9,
            ('drafting',) if is_retry else (),
            'upstream_busy' if is_retry else '',
        )
        context.waiters[place] = AsyncResult()
        context.service._waiters.add(
            Waiter(message, Reply(context.waiters[place]), float('inf'))
        )


@when('dispatch receives a report that {freed} is free')
def receive_free(context, freed):
    address = _ADDRESSES.get(freed, _ADDRESSES['drafting'])
    # One request less than the worker can take.
    loads = {
        'drafting': {'active': 16, 'queued': 1},
        'fees': {'active': 16, 'queued': 15},
        'nothing': _FULL,
    }
    report = make_report(address=address, **loads[freed])
    context.service.record_report(report, Reply())


@then('dispatch has served {served}')
def check_served(context, served):
    found = [
        place for place, waiter in context.waiters.items() if waiter.ready()
    ]
    assert (found or ['neither']) == [served], found


@given('dispatch runs an attempt on a connection')
def runs_attempt(context):
    context.state = make_state()
    context.service = DispatchService(Kernel('entry'), context.state)
    context.service.add_upstream(UpstreamListed(_make_entry('0')), Reply())
    context.state.start_attempt('t', context.state.upstreams.get('0'))
    own, peer = socket.socketpair()
    context.connection = own
    context.cleanups = [own.close, peer.close]


@when("dispatch's upstream {event} and the attempt ends")
def end_after(context, event):
    service = context.service
    if event == 'is unlisted':
        service.remove_upstream(UpstreamUnlisted('0'), Reply())
    elif event == 'restarts':
        restarted = _make_entry('0', started_ms=6)
        service.add_upstream(UpstreamListed(restarted), Reply())
    elif event == 'states to leave':
        stated = AvailabilityStated('t', True, 0)
        service.record_availability(stated, Reply())
    done = AttemptDone('t', '0', Verdict.ANSWERED.value, context.connection, 5)
    service.end_attempt(done, Reply())


@then('dispatch has {state} the connection')
def check_connection(context, state):
    assert (context.connection.fileno() < 0) == (state == 'closed')
