"""Steps for the sources from which an entry host fetches weights."""

import hashlib
import json
import time
from collections import Counter

from behave import given, then, when
from gevent.event import AsyncResult
from result import Err, Ok

from apricotpin.components.relay import decisions, events
from apricotpin.components.relay.agents import AgentSources
from apricotpin.components.relay.service import RelayService
from apricotpin.components.relay.sources import Sources
from apricotpin.components.relay.state import CachedVersion, FetchScope
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
_RECEIVED_S = 100.0


@given('relays on {count:d} hosts in each of {places:d} data centres')
def hosts_in(context, count, places):
    context.hosts = tuple(
        EntryHost(
            f'h{place}-{number}', f'10.{place}.0.{number}:1', f'dc{place}'
        )
        for place in range(places)
        for number in range(count)
    )


@when('the relays compute their sources')
def compute_sources(context):
    context.sources = {
        host: decisions.order_sources(host, context.hosts, 'dc0', _KEY)
        for host in context.hosts
    }


@when('the relays compute which host serves each piece')
def compute_serving_hosts(context):
    keys = [source_key('m', 2, stripe_of(index)) for index in range(_PIECES)]
    host_orders = [
        decisions.order_hosts(context.hosts, 'dc0', key) for key in keys
    ]
    context.firsts = {}
    places = {host.data_centre for host in context.hosts}
    for place in places:
        context.firsts[place] = Counter(
            next(
                host for host in host_order if host.data_centre == place
            ).host_id
            for host_order in host_orders
        )


@then('no relay serves more than {most:d} pieces')
def serves_at_most(context, most):
    for counts in context.firsts.values():
        assert sum(counts.values()) == _PIECES
        assert max(counts.values()) <= most, counts


@then('{sources:d} relays at most of each data centre serve pieces')
def relays_serve(context, sources):
    for counts in context.firsts.values():
        assert len(counts) <= sources, counts


@given('the relay knows the sources of a host that {role}')
def knows_sources(context, role):
    ordered = decisions.order_hosts(context.hosts, '', _KEY)
    own = ordered[0] if role == 'leads' else ordered[-1]
    context.known_sources = Sources(own)
    context.known_sources.update_hosts(context.hosts)
    context.cached = CachedVersion('m', 2)
    context.cached.scopes[0] = FetchScope.ALL_SOURCES
    context.first = context.known_sources.next_job(context.cached, 0).source


@when("the relay's first source {fails}")
def first_fails(context, fails):
    refused = fails == 'refuses the connection'
    kind = ErrorKind.PEER_UNAVAILABLE if refused else ErrorKind.CHUNK_NOT_YET
    may_wait = not fails.endswith('not asked to wait')
    context.known_sources.record_failure(
        context.first, may_wait, Failure(kind, '')
    )
    if fails.endswith('for 2 s'):
        since_s = time.monotonic() - 2
        context.known_sources.no_piece_since_s[context.first] = since_s
        context.known_sources.record_failure(
            context.first, may_wait, Failure(kind, '')
        )


@when('{after:g} s pass for the relay')
def time_passes(context, after):
    monotonic = time.monotonic
    time.monotonic = lambda: monotonic() + after
    context.cleanups = [lambda: setattr(time, 'monotonic', monotonic)]


@then('the relay asks that source {order}')
def asks_source(context, order):
    found = context.known_sources.next_job(context.cached, 0).source
    assert (found == context.first) == (order == 'first'), found


@when('the relays lose the host that fetches from the origin')
def lose_first(context):
    compute_sources(context)
    context.hosts = tuple(
        host for host in context.hosts if context.sources[host][0]
    )


@when('a relay that knows no other host computes its sources')
def compute_alone(context):
    own = context.hosts[-1]
    context.sources = {own: decisions.order_sources(own, (own,), 'dc0', _KEY)}


@then('{count:d} relay has the origin as its first source')
def fetches_from_origin(context, count):
    firsts = [sources[0] for sources in context.sources.values()]
    assert firsts.count('') == count, firsts


@then('{count:d} relays have a first source in another data centre')
def fetches_from_other_data_centre(context, count):
    places = {host.peer_address: host.data_centre for host in context.hosts}
    crossing = [
        host.host_id
        for host, sources in context.sources.items()
        if sources[0] and places[sources[0]] != host.data_centre
    ]
    assert len(crossing) == count, crossing


@then('each relay lists the origin and all other hosts as sources')
def lists_all(context):
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


@then('each relay asks hosts after the origin only for pieces that they hold')
def only_held(context):
    for sources in context.sources.values():
        after = sources[sources.index('') :]
        may_wait = [
            decisions.may_ask_to_wait(sources, source) for source in after
        ]
        assert not any(may_wait), sources


@when(
    'the relay knows {count:d} agents that hold piece {index:d} and asks '
    'for host {which}'
)
def knows_agents(context, count, index, which):
    agents = tuple(f'agent {number}' for number in range(count))
    ordered = decisions.order_hosts(context.hosts, 'dc0', _KEY)
    near = [host for host in ordered if host.data_centre == 'dc1']
    own = near[0] if which == 'first' else near[-1]
    rotated = decisions.rotate_agents(agents, index)
    context.near = {host.peer_address for host in near}
    context.sources = decisions.order_sources(
        own, context.hosts, 'dc0', _KEY, rotated
    )


@then('the relay asks {first} first')
def asks_first(context, first):
    found = context.sources[0]
    kind = 'entry host' if found in context.near else 'other'
    expected = found if found.startswith('agent') else kind
    assert first == expected, context.sources


def _spec():
    engine = desired.Engine('m', 16, 16, _PIECES, 8, 1.0)
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


@given('the relay knows a model of 16 layers')
def knows_model(context):
    context.agents = AgentSources('dc1')
    context.agents.apply_state(_state())


@when(
    'the relay receives a report of layers {layers} of version {version:d} '
    'from {place}, {worker}'
)
def receives_report(context, layers, version, place, worker):
    report = _report(place, version, layers, worker == 'reachable')
    context.agents.record_report(report, _RECEIVED_S)


@then('the relay counts {count:d} agents with version 1 after {age:g} s')
def counts(context, count, age):
    found = context.agents.with_version('m', 1, _RECEIVED_S + age)
    assert len(found) == count, found


@given('the relay runs on a host that {role} and started {age:g} s ago')
def runs_on(context, role, age):
    # Which host leads depends on the version, so the next step selects it.
    context.role = role
    context.age = age


@given('the relay knows that version {version:d} was declared long ago')
def declared(context, version):
    key = source_key('m', version, 0)
    ordered = decisions.order_hosts(context.hosts, '', key)
    own = ordered[0] if context.role == 'leads' else ordered[-1]
    started_s = time.monotonic() - context.age
    relay = RelayService(Kernel('entry'), own, started_s)
    relay.apply_state(desired.DesiredStateChanged(_state()), Reply())
    relay.update_hosts(EntryHostsChanged(context.hosts), Reply())
    if version > 1:
        target = desired.ModelVersion('m', version)
        relay.apply_declared_version(
            desired.ModelVersionChanged(target, -1), Reply()
        )
    context.relay = relay


@when('the relay receives a report of an agent that holds version {version:d}')
def receives_agent_report(context, version):
    context.relay.handle_load_report(_report('dc0', version), Reply())


@then('the relay {fetches} version {version:d}')
def fetches_version(context, fetches, version):
    fetching = context.relay.is_fetching('m', version, 0)
    assert fetching == (fetches == 'fetches')


def _request_piece(context, version):
    request = FetchChunk('m', str(version), 0, 100)
    context.relay.fetch_chunk(request, Reply())


@when('the relay receives requests for versions {versions}')
def request_versions(context, versions):
    numbers = [int(number) for number in versions.split(', ')]
    _request_piece(context, numbers[0])
    context.first = context.relay.get_or_start('m', numbers[0])
    for number in numbers[1:]:
        _request_piece(context, number)


@when("the relay's task for the first of them asks for a job")
def first_task_asks(context):
    context.waiter = AsyncResult()
    context.relay.assign_job(
        events.GetNextFetchJob(context.first), Reply(context.waiter)
    )


@when('the relay receives a request for version {version:d}')
def request_version(context, version):
    _request_piece(context, version)


@then("the relay's task {outcome}")
def task_ends_or_goes_on(context, outcome):
    ended = context.waiter.get(timeout=1).is_err()
    assert ended == (outcome == 'ends')


@then('the relay caches versions {versions}')
def caches_versions(context, versions):
    held = [
        str(version)
        for version in range(1, 4)
        if context.relay.is_fetching('m', version, 0)
    ]
    assert ', '.join(held) == versions, held


def _next_job(context):
    cached = context.relay.get_or_start('m', 1)
    waiter = AsyncResult()
    context.relay.assign_job(events.GetNextFetchJob(cached), Reply(waiter))
    return cached, waiter.get(timeout=1).ok_value


@then("the relay's next job fetches the manifest from the origin")
def manifest_from_origin(context):
    cached, job = _next_job(context)
    assert (job.index, job.source) == (-1, ''), job.source
    manifest = json.dumps({'layers': 16, 'digests': _DIGESTS}).encode()
    fetched = events.PieceFetched(cached, -1, '', Ok(manifest))
    context.relay.handle_fetched_piece(fetched, Reply())


@then("after the agent {failure} it, the relay's next job fetches {following}")
def after_failure(context, failure, following):
    cached = context.relay.get_or_start('m', 1)
    content = {
        'corrupts': Ok(b'spoilt'),
        'refuses': Err(Failure(ErrorKind.CHUNK_NOT_YET, '')),
    }[failure]
    fetched = events.PieceFetched(cached, 0, '10.9.0.1:7700', content)
    context.relay.handle_fetched_piece(fetched, Reply())
    waiter = AsyncResult()
    context.relay.assign_job(events.GetNextFetchJob(cached), Reply(waiter))
    index = waiter.get(block=False).ok_value.index if waiter.ready() else None
    found = 'nothing' if index is None else 'another piece'
    assert found == following, found
    assert index != 0


@then("the relay's next job fetches piece {index:d} from an agent")
def piece_from_agent(context, index):
    _, job = _next_job(context)
    assert (job.index, job.source) == (index, '10.9.0.1:7700')


_CONTENT = [f'{number}'.encode() for number in range(_PIECES)]
_FETCHES_MAX = 120


def _manifest(wrong):
    """Return a manifest in which the named part is wrong."""
    digests = [hashlib.sha256(one).hexdigest() for one in _CONTENT]
    fields = {'layers': 16, 'digests': digests}
    words = wrong.split()
    if words[0] in {'digest', 'digests'}:
        for word in words[1:]:
            if word.isdigit():
                digests[int(word)] = 'wrong'
    elif words[-1] == 'layers':
        fields['layers'] = int(words[0])
    elif words[-1] == 'digests':
        digests.pop()
    return json.dumps(fields).encode()


def _fetch_job(context):
    waiter = AsyncResult()
    context.relay.assign_job(
        events.GetNextFetchJob(context.cached), Reply(waiter)
    )
    if not waiter.ready():
        # The pause before a piece is fetched again is over.
        for index in context.cached.missing:
            retry = events.RetryPiece(context.cached, index)
            context.relay.retry_piece(retry, Reply())
    return waiter.get(timeout=1).ok_value


def _deliver(context, job, content):
    fetched = events.PieceFetched(context.cached, job.index, '', Ok(content))
    context.relay.handle_fetched_piece(fetched, Reply())


@given('the relay has fetched a manifest with {wrong}')
def has_manifest(context, wrong):
    own = context.hosts[0]
    context.relay = RelayService(Kernel('entry'), own, time.monotonic())
    context.relay.apply_state(desired.DesiredStateChanged(_state()), Reply())
    for index in range(_PIECES):
        request = FetchChunk('m', '1', index, 100)
        context.relay.fetch_chunk(request, Reply())
    context.cached = context.relay.get_or_start('m', 1)
    context.asked = Counter()
    context.most_asked = 0
    _deliver(context, _fetch_job(context), _manifest(wrong))
    context.manifests = 1


def _is_complete(cached):
    return len(cached.content) == _PIECES + 1 and not cached.missing


@when("the relay's sources send intact pieces and next {sent}")
def send_intact(context, sent):
    following = sent.split(', ')
    for _ in range(_FETCHES_MAX):
        if _is_complete(context.cached):
            return
        job = _fetch_job(context)
        if job.index >= 0:
            context.asked[job.index] += 1
            context.most_asked = max(context.asked.values())
            _deliver(context, job, _CONTENT[job.index])
            continue
        context.asked.clear()
        context.manifests += 1
        wrong = following.pop(0) if len(following) > 1 else following[0]
        wrong = 'nothing' if wrong == 'the right one' else wrong
        _deliver(context, job, _manifest(wrong))


@then('the relay has a complete version after {reads:d} manifests')
def complete_after(context, reads):
    assert _is_complete(context.cached), context.cached.missing
    assert context.manifests == reads, context.manifests


@then(
    'the relay asked at most {times:d} times for a piece before each manifest'
)
def asked_at_most(context, times):
    assert context.most_asked <= times, context.asked


@when('a requester of the relay doubts {which}, {after:g} s later')
def doubt_manifest(context, which, after):
    context.cached.manifest.read_s -= after
    digest = {
        'the manifest': context.cached.manifest.digest,
        'an older one': hashlib.sha256(b'').hexdigest(),
        'nothing': '',
    }[which]
    request = FetchChunk('m', '1', -1, 100, doubted_digest=digest)
    context.waiter = AsyncResult()
    context.relay.fetch_chunk(request, Reply(context.waiter))


@then("the relay's requester {answer}")
def requester_gets(context, answer):
    manifest = _manifest('nothing')
    is_asked = context.cached.manifest.is_doubted
    assert is_asked == (answer == 'waits until it is read again')
    if is_asked:
        assert not context.waiter.ready()
        job = events.FetchJob(-1, '', '', 0)
        _deliver(context, job, manifest)
    found = context.waiter.get(timeout=1).ok_value
    assert (found.status, found.data) == ('ok', manifest), found.status
