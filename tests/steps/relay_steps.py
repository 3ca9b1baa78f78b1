"""Steps for the sources of weights on entry hosts."""

import json
import time
from collections import Counter

from behave import given, then, when
from gevent.event import AsyncResult
from result import Err, Ok

from apricotpin.components.relay import decisions, events
from apricotpin.components.relay.holders import Holders
from apricotpin.components.relay.service import RelayService
from apricotpin.components.relay.sources import Sources
from apricotpin.components.relay.state import Demand, Holding
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.stripes import source_key, stripe_of
from apricotpin.messages import desired
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.fleet import EntryHostsChanged, LoadReport
from apricotpin.messages.weights import FetchChunk

_KEY = source_key('m', 2, 0)
_PIECES = 64
_DIGESTS = [f'digest {index}' for index in range(_PIECES)]
_HEARD_S = 100.0


@given('relay with {count:d} hosts in each of {places:d} data centres')
def hosts_in(context, count, places):
    context.hosts = tuple(
        EntryHost(
            f'h{place}-{number}', f'10.{place}.0.{number}:1', f'dc{place}'
        )
        for place in range(places)
        for number in range(count)
    )


@when('relay computes the sources of every host')
def compute(context):
    context.sources = {
        host: decisions.sources_of(host, context.hosts, 'dc0', _KEY)
        for host in context.hosts
    }


@when('relay computes who hands out each piece')
def compute_pieces(context):
    keys = [source_key('m', 2, stripe_of(index)) for index in range(_PIECES)]
    chains = [decisions.chain_of(context.hosts, 'dc0', key) for key in keys]
    context.firsts = {}
    places = {host.data_centre for host in context.hosts}
    for place in places:
        context.firsts[place] = Counter(
            next(host for host in chain if host.data_centre == place).host_id
            for chain in chains
        )


@then('relay has no host that hands out more than {most:d} pieces')
def hands_out_most(context, most):
    for counts in context.firsts.values():
        assert sum(counts.values()) == _PIECES
        assert max(counts.values()) <= most, counts


@then('relay has {sources:d} hosts at most that hand out pieces')
def has_sources(context, sources):
    for counts in context.firsts.values():
        assert len(counts) <= sources, counts


@given('relay knows the sources of a host that {role}')
def knows_sources(context, role):
    chain = decisions.chain_of(context.hosts, '', _KEY)
    own = chain[0] if role == 'leads' else chain[-1]
    context.known = Sources(own)
    context.known.change_hosts(context.hosts)
    context.held = Holding('m', 2)
    context.held.demands[0] = Demand.ALL
    context.first = context.known.next_fetch(context.held, 0).source


@when("relay's first source {fails}")
def first_fails(context, fails):
    refused = fails == 'refuses the connection'
    kind = ErrorKind.PEER_UNAVAILABLE if refused else ErrorKind.CHUNK_NOT_YET
    waited = not fails.endswith('not asked to wait')
    context.known.note_failed(context.first, waited, Failure(kind, ''))
    if fails.endswith('for 2 s'):
        since_s = time.monotonic() - 2
        context.known.waiting[context.first] = since_s
        context.known.note_failed(context.first, waited, Failure(kind, ''))


@when('{after:g} s pass for relay')
def time_passes(context, after):
    monotonic = time.monotonic
    time.monotonic = lambda: monotonic() + after
    context.cleanups = [lambda: setattr(time, 'monotonic', monotonic)]


@then('relay asks that source {order}')
def asks_source(context, order):
    found = context.known.next_fetch(context.held, 0).source
    assert (found == context.first) == (order == 'first'), found


@when('relay loses the host that fetches from the origin')
def lose_first(context):
    compute(context)
    context.hosts = tuple(
        host for host in context.hosts if context.sources[host][0]
    )


@when('relay computes the sources of a host that knows only itself')
def compute_alone(context):
    own = context.hosts[-1]
    context.sources = {own: decisions.sources_of(own, (own,), 'dc0', _KEY)}


@then('relay sends {count:d} host to the origin first')
def to_origin(context, count):
    firsts = [sources[0] for sources in context.sources.values()]
    assert firsts.count('') == count, firsts


@then('relay sends {count:d} hosts to another data centre first')
def to_others(context, count):
    places = {host.peer_address: host.data_centre for host in context.hosts}
    crossing = [
        host.host_id
        for host, sources in context.sources.items()
        if sources[0] and places[sources[0]] != host.data_centre
    ]
    assert len(crossing) == count, crossing


@then('relay names the origin and every host for every host')
def names_all(context):
    for host, sources in context.sources.items():
        others = (
            {other.peer_address for other in context.hosts}
            if len(
                context.sources,
            )
            > 1
            else {host.peer_address}
        )
        expected = (others - {host.peer_address}) | {''}
        assert set(sources) == expected, sources
        assert len(sources) == len(expected), sources


@then('relay asks hosts after the origin only for what they hold')
def only_held(context):
    for sources in context.sources.values():
        after = sources[sources.index('') :]
        waits = [decisions.may_wait(sources, source) for source in after]
        assert not any(waits), sources


@when(
    'relay knows {count:d} agents that hold piece {index:d} and asks '
    'for host {which}'
)
def knows_agents(context, count, index, which):
    agents = tuple(f'agent {number}' for number in range(count))
    chain = decisions.chain_of(context.hosts, 'dc0', _KEY)
    near = [host for host in chain if host.data_centre == 'dc1']
    own = near[0] if which == 'first' else near[-1]
    shared = decisions.share_out(agents, index)
    context.near = {host.peer_address for host in near}
    context.sources = decisions.sources_of(
        own, context.hosts, 'dc0', _KEY, shared
    )


@then('relay asks {first} first')
def asks_first(context, first):
    found = context.sources[0]
    kind = 'entry host' if found in context.near else 'other'
    expected = found if found.startswith('agent') else kind
    assert first == expected, context.sources


def _spec():
    engine = desired.Engine('m', 16, 16, 4, 8, 1.0)
    return desired.ServiceSpec('drafting', 10, engine)


def _state():
    return desired.DesiredState(
        1, (), (_spec(),), None, desired.CallerLimits(1, 1, 1, 1)
    )


def _report(place, version, layers='0-16', reachable=True):
    start, end = layers.split('-')
    return LoadReport(
        address='10.9.0.1:80',
        peer_address='10.9.0.1:7700',
        data_centre=place,
        service_name='drafting',
        count=1,
        reachable=reachable,
        started_ms=7,
        active=0,
        queued=0,
        version=version,
        layers_start=int(start),
        layers_end=int(end),
        switching=False,
    )


@given('relay knows a model of 16 layers')
def knows_model(context):
    context.holders = Holders('dc1')
    context.holders.change_state(_state())


@when(
    'relay hears of layers {layers} of version {version:d} '
    'from {place}, {worker}'
)
def hears_of(context, layers, version, place, worker):
    report = _report(place, version, layers, worker == 'reachable')
    context.holders.take(report, _HEARD_S)


@then('relay counts {count:d} holders of version 1 after {age:g} s')
def counts(context, count, age):
    found = context.holders.of_version('m', 1, _HEARD_S + age)
    assert len(found) == count, found


@given('relay runs on a host that {role} and started {age:g} s ago')
def runs_on(context, role, age):
    # Which host leads depends on the version, so the next step picks it.
    context.role = role
    context.age = age


@given('relay knows that version {version:d} was declared long ago')
def declared(context, version):
    key = source_key('m', version, 0)
    chain = decisions.chain_of(context.hosts, '', key)
    own = chain[0] if context.role == 'leads' else chain[-1]
    started_s = time.monotonic() - context.age
    relay = RelayService(Kernel('entry'), own, started_s)
    relay.change_state(desired.DesiredStateChanged(_state()), Reply())
    relay.change_hosts(EntryHostsChanged(context.hosts), Reply())
    if version > 1:
        target = desired.ModelVersion('m', version)
        relay.change_version(desired.ModelVersionChanged(target, -1), Reply())
    context.relay = relay


@when('relay hears of an agent that holds version {version:d}')
def hears_holder(context, version):
    context.relay.take_report(_report('dc0', version), Reply())


@then('relay {fetches} version {version:d}')
def fetches_version(context, fetches, version):
    fetching = context.relay.is_fetching('m', version, 0)
    assert fetching == (fetches == 'fetches')


def _ask(context, version):
    asked = FetchChunk('m', str(version), 0, 100)
    context.relay.fetch_chunk(asked, Reply())


@when('relay is asked for versions {versions}')
def ask_versions(context, versions):
    numbers = [int(number) for number in versions.split(', ')]
    _ask(context, numbers[0])
    context.first = context.relay.holding('m', numbers[0])
    for number in numbers[1:]:
        _ask(context, number)


@when("relay's worker for the first of them asks for more")
def first_asks(context):
    context.waiter = AsyncResult()
    context.relay.next_fetch(
        events.GetNextFetch(context.first), Reply(context.waiter)
    )


@when('relay is asked for version {version:d}')
def ask_version(context, version):
    _ask(context, version)


@then("relay's first worker {fate}")
def first_worker(context, fate):
    ended = context.waiter.get(timeout=1).is_err()
    assert ended == (fate == 'ends')


@then('relay holds versions {versions}')
def holds_versions(context, versions):
    held = [
        str(version)
        for version in range(1, 4)
        if context.relay.is_fetching('m', version, 0)
    ]
    assert ', '.join(held) == versions, held


def _next_fetch(context):
    holding = context.relay.holding('m', 1)
    waiter = AsyncResult()
    context.relay.next_fetch(events.GetNextFetch(holding), Reply(waiter))
    return holding, waiter.get(timeout=1).ok_value


@then('relay sends its worker for the manifest to the origin')
def manifest_from_origin(context):
    holding, fetch = _next_fetch(context)
    assert (fetch.index, fetch.source) == (-1, ''), fetch.source
    manifest = json.dumps({'layers': 16, 'digests': _DIGESTS}).encode()
    fetched = events.Fetched(holding, -1, '', Ok(manifest))
    context.relay.take_fetched(fetched, Reply())


@then('relay, when the agent {failure} it, next fetches {following}')
def after_failure(context, failure, following):
    holding = context.relay.holding('m', 1)
    content = {
        'spoils': Ok(b'spoilt'),
        'refuses': Err(Failure(ErrorKind.CHUNK_NOT_YET, '')),
    }[failure]
    fetched = events.Fetched(holding, 0, '10.9.0.1:7700', content)
    context.relay.take_fetched(fetched, Reply())
    waiter = AsyncResult()
    context.relay.next_fetch(events.GetNextFetch(holding), Reply(waiter))
    index = waiter.get(block=False).ok_value.index if waiter.ready() else None
    found = 'nothing' if index is None else 'another piece'
    assert found == following, found
    assert index != 0


@then('relay sends its worker for piece {index:d} to an agent')
def piece_from_agent(context, index):
    _, fetch = _next_fetch(context)
    assert (fetch.index, fetch.source) == (index, '10.9.0.1:7700')
