"""Steps for which hosts read the operator's records from the store."""

from behave import given, then, when

from apricotpin.components.follower import const, decisions, readers
from apricotpin.components.follower.compression import decompress
from apricotpin.messages.feeds import EntryHost, Feed, FeedEntry, FeedPage

_NOW_S = 100.0
_DATA_CENTRES = ('a', 'b', 'c')
_OWN_VERSION = 7
_COUNT = 5
_LIST_AGE_MAX_S = 1.2


def _hosts(count):
    return [
        EntryHost(f'{name}{number}', f'{name}{number}:1', name)
        for name in _DATA_CENTRES
        for number in range(count)
    ]


def _make_state(own_host, hosts):
    others = [host for host in hosts if host is not own_host]
    state = readers.SourceState(_LIST_AGE_MAX_S)
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


class _LateReader:
    """Play a host that gets desired states only by fetches from other hosts.

    Each other host has a change as soon as it is made. A host of the own data
    centre delivers it within a step, one of another data centre does not
    deliver it before the time limit of a fetch.
    """

    def __init__(self, state):
        self.state = state
        self.newest = _OWN_VERSION
        self.longest_lack_s = 0
        self.fetch_ends_s = {}

    def announce_change(self, now_s):
        """Receive hellos of all other hosts that name the next version."""
        self.newest += 1
        for host in self.state.hosts[1:]:
            readers.record_peer_version(
                self.state, host.peer_address, self.newest, now_s
            )

    def step(self, now_s):
        """End the fetches that are due, then start one if possible."""
        ended = [
            fetched_from
            for fetched_from, ends_s in self.fetch_ends_s.items()
            if ends_s <= now_s
        ]
        for source in ended:
            self._end_fetch(source)
        lacked_s = readers.outdated_for_s(self.state, now_s)
        self.longest_lack_s = max(self.longest_lack_s, lacked_s)
        address = readers.select_source(self.state, now_s)
        if address is None:
            return
        readers.record_fetch(self.state, address, now_s)
        label = readers.source_label(self.state, address)
        duration_s = 0 if label == readers.NEAR else const.FETCH_TIMEOUT_S
        self.fetch_ends_s[address] = now_s + duration_s

    def _end_fetch(self, address):
        self.fetch_ends_s.pop(address)
        self.state.fetching_from.discard(address)
        if readers.source_label(self.state, address) == readers.NEAR:
            readers.record_own_version(self.state, self.newest)


@when(
    'follower reads each of {changes:d} changes, one every {gap:g} s, too late'
)
def reads_too_late(context, changes, gap):
    host = _LateReader(context.source_state)
    step_s = const.FETCH_CHECK_DELAY_S
    change_due_s = _NOW_S
    now_s = _NOW_S
    while now_s < _NOW_S + changes * gap + 1:
        if now_s >= change_due_s and host.newest < _OWN_VERSION + changes:
            host.announce_change(now_s)
            change_due_s += gap
        host.step(now_s)
        now_s += step_s
    context.longest_lack_s = host.longest_lack_s


@then('follower has lacked no state for over {limit:g} s')
def lacked_no_state(context, limit):
    assert context.longest_lack_s <= limit, context.longest_lack_s
