"""Steps for hellos, load reports and switch groups."""

import random

from behave import then, when
from gevent import sleep, spawn

from apricotpin.components.presence import (
    const,
    datagrams,
    decisions,
    schedule,
    switching,
)
from apricotpin.components.presence.declared_versions import DeclaredVersions
from apricotpin.core import Kernel
from apricotpin.helpers import clocks
from apricotpin.helpers.wire import decode_datagram, encode_datagram
from apricotpin.messages.desired import ModelVersion, RouteKind
from apricotpin.messages.fleet import EntryHello, WeightsTarget
from tests.naive import presence as naive
from tests.steps.dispatch_steps import make_report
from tests.steps.routes_steps import make_route, make_state

_REPORTS = 60
_TICK_S = 0.001
_WATCHED_S = 0.1
_ROUTES = {
    'resumable': {'kind': RouteKind.STREAM, 'resumable': True},
    'idempotent': {},
    'non_idempotent': {'kind': RouteKind.NON_IDEMPOTENT},
    'stream': {'kind': RouteKind.STREAM},
    'without retries': {'max_attempts': 1},
}


@when('presence divides {count:d} workers into switch groups')
def divide(context, count):
    context.reports = [
        make_report(
            address=f'10.0.0.{number}:80', peer_address=f'10.0.0.{number}:7700'
        )
        for number in range(count)
    ]


@then(
    'presence puts worker {worker:d} in group {number:d}, after {earlier:d} '
    'workers'
)
def is_in_group(context, worker, number, earlier):
    turns = switching.switch_turns(
        context.reports, lambda _report: 2, frozenset()
    )
    turn = turns[f'10.0.0.{worker}:7700']
    found = (turn.group, turn.waits_for)
    assert found == (number, earlier), found


def _random_reports(source, count):
    return [
        make_report(
            address=f'10.0.{source.randrange(9)}.{number}:80',
            peer_address=f'10.0.0.{number}:7700',
            data_centre=source.choice(('a', 'b')),
            service_name=source.choice(('s', 't')),
            version=source.randrange(4),
            installing=source.choice((0, 2, 3)),
            reachable=bool(source.randrange(5)),
        )
        for number in range(count)
    ]


@when('presence computes the turns of {count:d} workers in {worlds:d} worlds')
def compute_turns(context, count, worlds):
    context.worlds = []
    for seed in range(worlds):
        reports = _random_reports(random.Random(seed), count)
        turns = switching.switch_turns(
            reports, lambda report: report.installing or 3, frozenset()
        )
        context.worlds.append((reports, turns))


@then('presence computes the same turns for one worker at a time')
def same_turns(context):
    for seed, (reports, turns) in enumerate(context.worlds):
        assert len(turns) == len(reports)
        for report in reports:
            turn = turns[report.peer_address]
            version = report.installing or 3
            expected = naive.switch_turn(report, reports, version)
            found = (turn.waits_for, turn.group)
            assert (*found, turn.version) == (*expected, version), seed


@when('presence counts the outdated among 2 workers that are {state}')
def count_outdated(context, state):
    fields = {
        'older': {'version': 1},
        'empty': {'version': 0},
        'loading': {'version': 0, 'switching': True},
        'switched': {'version': 2},
        'unreachable': {'version': 1, 'reachable': False},
    }[state]
    reports = [make_report(**fields), make_report(**fields)]
    context.outdated = switching.count_outdated(reports, 2)


@then('presence lets the next group wait for {outdated:d}')
def waits_for(context, outdated):
    assert context.outdated == outdated


@when('presence receives a report with count {count:d} after count 100')
def receive_report(context, count):
    known = decisions.LastMessage(make_report(count=100), 0)
    context.newer = decisions.is_newer(known, make_report(count=count))


@then('presence considers the report {order}')
def check_order(context, order):
    assert context.newer == (order == 'newer')


@when('presence decodes a datagram that is {content}')
def decode(context, content):
    target = WeightsTarget('drafting', 'm', 2, 10)
    hello = EntryHello('e1', '10.0.0.9:7700', 'a', [target], 1, 1, 7)
    datagram = {
        'a report': encode_datagram(make_report()),
        'a hello': encode_datagram(hello),
        'truncated': encode_datagram(hello)[:-7],
        'random bytes': b'\x0f\xff' * 9,
        'empty': b'',
    }[content]
    context.decoded = decode_datagram(datagram)


@then('the datagram is {result}')
def is_decoded(context, result):
    assert (context.decoded is None) == (result == 'rejected'), context.decoded


@when('presence finds the resumable services among routes that are {names}')
def find_resumable(context, names):
    routes = [make_route(**_ROUTES[name]) for name in names.split(', ')]
    context.resumable = decisions.resumable_services(make_state(routes, []))


@then('presence decides that requests {may} be interrupted')
def may_be_interrupted(context, may):
    assert ('plain' in context.resumable) == (may == 'may')


@when(
    'presence sends a version known for 1 s after a suspension of '
    '{suspended:g} s'
)
def send_version(context, suspended):
    original = clocks.boot_time_s
    versions = DeclaredVersions()
    versions.record(ModelVersion('m', 2), 6)
    versions.record(ModelVersion('m', 3), 1)
    clocks.boot_time_s = lambda: original() + suspended
    try:
        context.sent = [
            *versions.targets({'s': 'm'}),
            *versions.earlier({'s': 'm'}),
        ]
    finally:
        clocks.boot_time_s = original


@then('presence sends that the version is known for {known:d} s')
def is_sent_as_known(context, known):
    found = [(one.version, one.known_for_ms // 1000) for one in context.sent]
    assert found == [(3, known), (2, known + 5)], found


@when(
    'presence sends reports to {local:d} local and {remote:d} remote entry '
    'hosts'
)
def send_reports(context, local, remote):
    data_centres = ['a'] * local + ['b'] * remote
    context.hellos = [
        EntryHello(f'e{number}', f'e{number}:1', data_centre, [])
        for number, data_centre in enumerate(data_centres)
    ]


@then('presence sends a report to at most {receivers:d} entry hosts')
def sends_to_at_most(context, receivers):
    counts = [
        len(decisions.select_receivers(context.hellos, 'a', count))
        for count in range(_REPORTS)
    ]
    assert max(counts) == receivers, counts


@then('presence reaches every entry host within {reports:d} reports')
def reaches_all(context, reports):
    for first in range(_REPORTS):
        reached = {
            hello.host_id
            for count in range(first, first + reports)
            for hello in decisions.select_receivers(context.hellos, 'a', count)
        }
        assert len(reached) == len(context.hellos), reached


def _make_hello(**changed):
    fields = {
        'host_id': 'edge-1',
        'peer_address': '10.0.0.9:7700',
        'data_centre': 'near',
        'targets': [],
    }
    return EntryHello(**{**fields, **changed})


@when('presence receives a {kind} with {field} = {content}')
def receive_with(context, kind, field, content):
    make = _make_hello if kind == 'hello' else make_report
    sent = make()
    setattr(sent, field, None if content == 'nothing' else content)
    received = decode_datagram(encode_datagram(sent))
    context.is_used = received is not None and decisions.is_usable(received)


@then('presence {fate} the message')
def check_fate(context, fate):
    assert context.is_used == (fate == 'uses')


@when(
    'presence schedules the hellos of one of {hosts:d} entry hosts and '
    '{agents:d} agents in each of {centres:d} data centres'
)
def schedule_hellos(context, hosts, agents, centres):
    context.schedules = []
    others = centres - 1
    for count, made in (
        (hosts, schedule.schedule_to_entry_hosts(hosts * others)),
        (agents, schedule.schedule_to_agents(hosts, agents * others)),
    ):
        receivers = [
            schedule.Receiver(f'10.{centre}.0.{number}:7700', not centre)
            for centre in range(centres)
            for number in range(count)
        ]
        context.schedules.append((made, receivers))
    context.host_count = hosts


def _due(made, receivers, own_id, tick):
    return schedule.select_due(receivers, made, own_id, tick)


@then('presence sends at most {most:d} hellos a second')
def check_rate(context, most):
    ticks = 3000
    count = sum(
        len(_due(made, receivers, 'e0', tick))
        for made, receivers in context.schedules
        for tick in range(ticks)
    )
    rate_per_s = count / (ticks * const.HELLO_PERIOD_S)
    assert rate_per_s <= most, rate_per_s


@then('presence sends each host a hello within the period that it names')
def check_periods(context):
    for made, receivers in context.schedules:
        for is_local in (True, False):
            ticks = made.ticks_of(is_local)
            addresses = {
                one.address for one in receivers if one.is_local == is_local
            }
            reached = {
                one.address
                for tick in range(ticks)
                for one in _due(made, receivers, 'e0', tick)
                if one.is_local == is_local
            }
            assert reached == addresses
            period_s = made.period_ms(is_local) / 1000
            assert round(period_s, 3) == round(ticks * 0.3, 3)


@then('an agent gets a hello from an entry host of its data centre every 0.3 s')
def check_agent(context):
    made, receivers = context.schedules[1]
    agent = next(one for one in receivers if one.is_local)
    for tick in range(9):
        senders = [
            number
            for number in range(context.host_count)
            if _due(made, [agent], f'e{number}', tick)
        ]
        assert senders, tick


@when(
    'presence has heard a host with a period of {period:g} s, {silent:g} s ago'
)
def heard_with_period(context, period, silent):
    hello = _make_hello(period_ms=round(period * 1000))
    context.known = {'edge-1': decisions.LastMessage(hello, 100.0)}
    decisions.remove_silent(
        context.known, const.ENTRY_HOST_TIMEOUT_S, 100 + silent
    )


@then('presence considers the host {state}')
def check_known(context, state):
    assert ('edge-1' in context.known) == (state == 'known')


class _Socket:
    """Fail, or return noise after a short wait, and count the reads."""

    def __init__(self, fails):
        self.reads = 0
        self._fails = fails

    def recv(self, _size):
        self.reads += 1
        if self._fails:
            raise OSError('unusable')
        sleep(_TICK_S)
        return b'noise'


@when('presence receives datagrams from a socket whose reads {outcome}')
def receive_from(context, outcome):
    context.socket = _Socket(outcome == 'fail')
    receiver = spawn(datagrams.receive_forever, Kernel('entry'), context.socket)
    sleep(_WATCHED_S)
    receiver.kill()


@then('presence reads the socket at most {most:d} times in 0.1 s')
def check_reads(context, most):
    assert 0 < context.socket.reads <= most, context.socket.reads
