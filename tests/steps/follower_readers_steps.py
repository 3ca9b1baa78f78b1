"""Steps for which hosts read the operator's records from the store."""

from behave import given, then, when

from apricotpin.components.follower import decisions, readers
from apricotpin.components.follower.compression import decompress
from apricotpin.messages.feeds import EntryHost, Feed, FeedEntry, FeedPage

_NOW_S = 100.0
_DATA_CENTRES = ('a', 'b', 'c')
_OWN_VERSION = 7
_COUNT = 5


def _hosts(count):
    return [
        EntryHost(f'{name}{number}', f'{name}{number}:1', name)
        for name in _DATA_CENTRES
        for number in range(count)
    ]


def _make_state(own_host, hosts):
    others = [host for host in hosts if host is not own_host]
    state = readers.SourceState()
    state.hosts = (own_host, *others)
    readers.record_own_version(state, _OWN_VERSION)
    return state


@given(
    'follower runs on every one of {count:d} hosts in each of 3 data centres'
)
def runs_on_every(context, count):
    hosts = _hosts(count)
    context.states = [_make_state(host, hosts) for host in hosts]


@then('follower reads the store on {count:d} hosts of each data centre')
def reads_on(context, count):
    for data_centre in _DATA_CENTRES:
        reading = [
            state.hosts[0].host_id
            for state in context.states
            if state.hosts[0].data_centre == data_centre
            and readers.should_read_store(
                state, getattr(context, 'now_s', _NOW_S)
            )
        ]
        assert len(reading) == count, reading


@given('follower runs on a host that knows no other host')
def knows_no_host(context):
    context.source_state = readers.SourceState()


@given('follower runs on a host that {role} and {state}')
def runs_on(context, role, state):
    hosts = _hosts(_COUNT)
    states = [_make_state(host, hosts) for host in hosts]
    context.source_state = next(
        one for one in states if readers.is_reader(one) == (role == 'reads')
    )
    context.source_state.has_read_failed = state == 'failed to read'
    if state == 'is up to date':
        readers.record_own_version(context.source_state, _OWN_VERSION + 1)


def _find_host(context, source):
    own_host, *others = context.source_state.hosts
    local = [
        host for host in others if host.data_centre == own_host.data_centre
    ]
    if source == 'another data centre':
        return next(host for host in others if host not in local)
    may_fetch = [
        readers.may_fetch_from(context.source_state, host.peer_address, _NOW_S)
        for host in local
    ]
    if source == 'another reader':
        reading = [
            host
            for host in local
            if readers.is_reader(_make_state(host, context.source_state.hosts))
        ]
        assigned = local[may_fetch.index(True)]
        return next(host for host in reading if host is not assigned)
    return local[may_fetch.index(True) if True in may_fetch else 0]


@when('follower has lacked a desired state for {lacking:g} s that {source} has')
def lacks_state(context, source, lacking):
    readers.record_peer_version(
        context.source_state, '-', _OWN_VERSION + 1, _NOW_S
    )
    context.address = _find_host(context, source).peer_address
    context.now_s = _NOW_S + lacking


@when(
    'follower receives hellos of {count:d} changes, '
    'and each change {late:g} s later'
)
def receives_changes(context, count, late):
    announced = [(_NOW_S + 0.26 * step, step) for step in range(count)]
    received = [(now_s + late, step) for now_s, step in announced]
    context.fetched = False
    address = _find_remote_address(context)
    for now_s, step in sorted([*announced, *received]):
        if (now_s, step) in received:
            context.fetched |= readers.may_fetch_from(
                context.source_state, address, now_s
            )
            readers.record_own_version(
                context.source_state, _OWN_VERSION + 1 + step
            )
        else:
            readers.record_peer_version(
                context.source_state, address, _OWN_VERSION + 1 + step, now_s
            )


def _find_remote_address(context):
    return _find_host(context, 'another data centre').peer_address


@then('follower {fetches} from another data centre')
def fetches_remotely(context, fetches):
    assert context.fetched == (fetches == 'fetches')


@when('follower caches a snapshot at offset {first:d} and one at {second:d}')
def caches_snapshots(context, first, second):
    context.cache = decisions.RecordCache()
    for offset in (first, second):
        entry = FeedEntry('config', None, content=str(offset).encode())
        page = FeedPage([entry], offset)
        decisions.update_cache(
            context.cache, Feed.OPERATOR, page, is_snapshot=True
        )


@then('follower sends the snapshot of offset {cached:d}')
def sends_snapshot(context, cached):
    records = decisions.cached_records(context.cache, Feed.OPERATOR)
    assert records.next_offset == cached
    assert decompress(records.records[0].content) == str(cached).encode()


@then('follower {fetches} it from there')
def fetches_it(context, fetches):
    may_fetch = readers.may_fetch_from(
        context.source_state, context.address, context.now_s
    )
    assert may_fetch == (fetches == 'fetches')


@then('follower {reads} the store')
def reads_store(context, reads):
    now_s = getattr(context, 'now_s', _NOW_S)
    assert readers.should_read_store(context.source_state, now_s) == (
        reads == 'reads'
    )


@when('follower has lacked a desired state for {lacking:g} s on every host')
def all_lack_state(context, lacking):
    for state in context.states:
        readers.record_peer_version(state, '-', _OWN_VERSION + 1, _NOW_S)
    context.now_s = _NOW_S + lacking


@when(
    'follower has lacked a desired state for {lacking:g} s that {count:d} '
    'local hosts have'
)
def lacks_local_state(context, lacking, count):
    own_host, *others = context.source_state.hosts
    context.sources = [
        host.peer_address
        for host in others
        if host.data_centre == own_host.data_centre
    ][:count]
    for address in context.sources:
        readers.record_peer_version(
            context.source_state, address, _OWN_VERSION + 1, _NOW_S - lacking
        )


@when(
    'follower asked the first of them {first:g} s and the second {second:g} s '
    'ago'
)
def asked_before(context, first, second):
    for address, ago_s in zip(context.sources, (first, second), strict=True):
        context.source_state.last_fetch_s[address] = _NOW_S - ago_s


@then('follower asks {following} next')
def asks_next(context, following):
    selected = readers.select_source(context.source_state, _NOW_S)
    names = ('the first', 'the second')
    expected = dict(zip(names, context.sources, strict=True))
    assert selected == expected.get(following), selected


@when('follower fetched a desired state {pause:g} s ago')
def fetched_before(context, pause):
    context.source_state.last_fetch_s['-'] = _NOW_S - pause


@then('follower waits for {left:g} s before it fetches again')
def waits_for(context, left):
    found = readers.fetch_pause_left_s(context.source_state, _NOW_S)
    assert round(found, 3) == left, found
