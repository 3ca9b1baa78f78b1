"""Steps for groups of workers, reports and datagrams."""

from behave import then, when

from apricotpin.components.presence import decisions
from apricotpin.components.presence.versions import DeclaredVersions
from apricotpin.helpers import clocks
from apricotpin.helpers.wire import decode_datagram, encode_datagram
from apricotpin.messages.desired import ModelVersion, RouteKind
from apricotpin.messages.fleet import EntryHello, WeightsTarget
from tests.steps.dispatch_steps import make_report
from tests.steps.routes_steps import make_route, make_state

_REPORTS = 60
_ROUTES = {
    'resumable': {'kind': RouteKind.STREAM, 'resumable': True},
    'idempotent': {},
    'non_idempotent': {'kind': RouteKind.NON_IDEMPOTENT},
    'stream': {'kind': RouteKind.STREAM},
    'once': {'max_attempts': 1},
}


@when('presence groups {count:d} workers')
def group(context, count):
    context.reports = [
        make_report(address=f'10.0.0.{number}:80') for number in range(count)
    ]


@then('presence puts worker {worker:d} in group {number:d} behind {earlier:d}')
def grouped(context, worker, number, earlier):
    address = f'10.0.0.{worker}:80'
    found, before = decisions.group_of(address, context.reports)
    assert (found, len(before)) == (number, earlier), (found, len(before))


@when('presence counts 2 earlier workers that are {state}')
def count_earlier(context, state):
    fields = {
        'older': {'version': 1},
        'empty': {'version': 0},
        'loading': {'version': 0, 'switching': True},
        'switched': {'version': 2},
        'unreachable': {'version': 1, 'reachable': False},
    }[state]
    reports = [make_report(**fields), make_report(**fields)]
    context.held = decisions.count_behind(reports, 2)


@then('presence holds a worker back for {held:d}')
def held_back(context, held):
    assert context.held == held


@when('presence receives a report with the count {count:d} after 100')
def receive_report(context, count):
    known = decisions.Seen(make_report(count=100), 0)
    context.newer = decisions.is_newer(known, make_report(count=count))


@then('presence takes it as {fate}')
def taken(context, fate):
    assert context.newer == (fate == 'newer')


@when('presence decodes a datagram that is {kind}')
def decode(context, kind):
    target = WeightsTarget('drafting', 'm', 2, 10)
    hello = EntryHello('e1', '10.0.0.9:7700', 'a', [target], 1, 1, 7)
    received = {
        'a report': encode_datagram(make_report()),
        'a greeting': encode_datagram(hello),
        'torn': encode_datagram(hello)[:-7],
        'noise': b'\x0f\xff' * 9,
        'empty': b'',
    }[kind]
    context.decoded = decode_datagram(received)


@then('presence finds it {fate}')
def decoded(context, fate):
    assert (context.decoded is None) == (fate == 'nothing'), context.decoded


@when('presence looks at routes that are {names}')
def look_at_routes(context, names):
    routes = [make_route(**_ROUTES[name]) for name in names.split(', ')]
    context.resumable = decisions.resumable_services(make_state(routes, []))


@then('presence lets its requests be {fate}')
def lets_be(context, fate):
    assert ('plain' in context.resumable) == (fate == 'cut')


@when(
    'presence tells a version known for 1 s after a suspension of '
    '{suspended:g} s'
)
def tell_version(context, suspended):
    original = clocks.boot_time_s
    versions = DeclaredVersions()
    versions.note(ModelVersion('m', 2), 6)
    versions.note(ModelVersion('m', 3), 1)
    clocks.boot_time_s = lambda: original() + suspended
    try:
        context.told = [
            *versions.targets({'s': 'm'}),
            *versions.earlier({'s': 'm'}),
        ]
    finally:
        clocks.boot_time_s = original


@then('presence tells that it is known for {told:d} s')
def tells_known(context, told):
    found = [(one.version, one.known_for_ms // 1000) for one in context.told]
    assert found == [(3, told), (2, told + 5)], found


@when('presence sends reports to {near:d} hosts near and {far:d} elsewhere')
def send_reports(context, near, far):
    places = ['a'] * near + ['b'] * far
    context.hellos = [
        EntryHello(f'e{number}', f'e{number}:1', place, [])
        for number, place in enumerate(places)
    ]


@then('presence sent each report to {sent:d} hosts at most')
def sent_at_most(context, sent):
    counts = [
        len(decisions.receivers(context.hellos, 'a', count))
        for count in range(_REPORTS)
    ]
    assert max(counts) == sent, counts


@then('presence reached every host within {reports:d} reports')
def reached_all(context, reports):
    for first in range(_REPORTS):
        reached = {
            hello.host_id
            for count in range(first, first + reports)
            for hello in decisions.receivers(context.hellos, 'a', count)
        }
        assert len(reached) == len(context.hellos), reached
