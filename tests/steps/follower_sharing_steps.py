"""Steps for the list of upstreams that hosts of a data centre share."""

import json
import random
import time

from behave import given, then, when
from gevent import sleep, spawn
from gevent.server import StreamServer
from result import Ok

from apricotpin.components.follower import (
    const,
    decisions,
    list_sharing,
    readers,
    shared_list,
)
from apricotpin.components.follower.compression import decompress
from apricotpin.components.follower.events import (
    STORE,
    FeedRead,
    GetListSources,
)
from apricotpin.components.follower.feed_reads import FeedReader
from apricotpin.components.peer_api.dispatch import make_connection_handler
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.messages import feeds
from apricotpin.messages.upstreams import UpstreamUnlisted
from apricotpin.platform.worker_documents import decode_upstream_record
from tests.steps.follower_readers_steps import _DATA_CENTRES
from tests.upstream_fake import open_port

_NOW_S = 100.0
_STEPS = 30
_AGE_MAX_S = 1.2
_KEYS = ('a', 'b', 'c')
_SILENT_S = 3.0
_OTHER_HOST = '10.0.0.9:7700'


def _content(state='ready', sequence=1, slots=4):
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': slots,
        'state': state,
        'sequence': sequence,
    }
    return json.dumps(fields).encode()


def _entry(key, **changed):
    content = _content(**changed)
    entry = decode_upstream_record(key, content)
    return feeds.FeedEntry(key, entry.decoded, '', content)


@then(
    'follower reads the list from the store on {reading:d} hosts of each data '
    'centre'
)
def check_reading(context, reading):
    for data_centre in _DATA_CENTRES:
        sources = _sources(context, data_centre)
        assert len([one for one in sources if not one]) == reading, sources


@then(
    "follower's other hosts ask 2 hosts of their data centre, each first for "
    'about half of them'
)
def check_sources(context):
    for data_centre in _DATA_CENTRES:
        sources = [one for one in _sources(context, data_centre) if one]
        assert all(len(set(one)) == 2 for one in sources), sources
        assert all(
            one.startswith(data_centre) for pair in sources for one in pair
        )
        first = [one[0] for one in sources]
        assert all(first.count(one) <= len(first) * 0.8 + 1 for one in first)


def _sources(context, data_centre):
    return [
        readers.list_sources(state)
        for state in context.states
        if state.hosts[0].data_centre == data_centre
    ]


class _Copy:
    """Hold the list of a host that copies it from a reader."""

    def __init__(self):
        self.list_id = ''
        self.revision = 0
        self.content_by_key = {}

    def update(self, shared):
        """Apply what changed since the last update."""
        changes = shared_list.changes_since(
            shared, self.list_id, self.revision, _NOW_S
        )
        if changes.is_complete:
            self.content_by_key.clear()
        for record in changes.records:
            if record.content:
                self.content_by_key[record.key] = decompress(record.content)
            else:
                self.content_by_key.pop(record.key, None)
        self.list_id = changes.list_id
        self.revision = changes.revision


def _record(shared, entries):
    """Record entries that are read from the store now."""
    shared.read_s = _NOW_S
    shared_list.record_read(shared, entries, 1)


def _change(draw, shared, actual, events):
    key = str(draw.randrange(12))
    if 'removals' in events and draw.randrange(2):
        actual.pop(key, None)
        shared_list.record_removal(shared, key)
        return
    entry = _entry(key, slots=draw.randrange(1, 9), sequence=draw.random())
    known = actual.get(key)
    is_same = known is not None and (
        json.loads(known)['slots'] == json.loads(entry.content)['slots']
    )
    if not is_same:
        actual[key] = entry.content
    _record(shared, [entry])


@when(
    "follower's reader and a host that copies its list go through {events} in "
    '{worlds:d} worlds'
)
def copy_worlds(context, events, worlds):
    context.pairs = []
    if 'more removals' in events:
        original = const.SHARED_REMOVALS_MAX
        const.SHARED_REMOVALS_MAX = 2
        context.cleanups = [
            lambda: setattr(const, 'SHARED_REMOVALS_MAX', original)
        ]
    for seed in range(worlds):
        draw = random.Random(seed)
        shared, actual, copy = (
            shared_list.SharedUpstreams(_AGE_MAX_S),
            {},
            _Copy(),
        )
        for _ in range(_STEPS):
            if 'restarts' in events and not draw.randrange(8):
                shared = shared_list.SharedUpstreams(_AGE_MAX_S)
                entries = [
                    _entry(key, slots=json.loads(content)['slots'])
                    for key, content in actual.items()
                ]
                actual = {one.key: one.content for one in entries}
                _record(shared, entries)
            _change(draw, shared, actual, events)
            if draw.randrange(2):
                copy.update(shared)
                context.pairs.append((dict(copy.content_by_key), dict(actual)))


@then("follower's host has the list of the reader after each copy")
def check_copies(context):
    for copied, actual in context.pairs:
        assert copied == actual, (copied, actual)


@when("follower's reader reads the same entries 10 times, {written}")
def read_again(context, written):
    context.shared = shared_list.SharedUpstreams(_AGE_MAX_S)
    for number in range(10):
        changed = {}
        if written == 'with another sequence':
            changed = {'sequence': number}
        entries = [_entry(key, **changed) for key in _KEYS]
        if number > 5 and written == 'with one worker leaving':
            entries[1] = _entry('b', state='draining')
        _record(context.shared, entries)


@then("follower's reader has recorded {changes:d} changes")
def check_changes(context, changes):
    assert context.shared.revision == changes


class _Reader:
    """Run the part of a reader that shares its list, over the peer API."""

    def __init__(self, state, drain_limit_s=3.0):
        self.kernel = Kernel('entry')
        self.state = state
        self.drain_limit_s = drain_limit_s
        self.hangs_from_s = float('inf')
        self.restart()
        self.kernel.register(
            SERVICE_CONFIGURATION,
            {feeds.ReadSharedList: self._read},
        )
        routes = {'read_shared_list': SERVICE_CONFIGURATION}
        listener = open_port()
        host, port = listener.getsockname()
        self.address = f'{host}:{port}'
        self.server = StreamServer(
            listener, make_connection_handler(self.kernel, routes)
        )
        if state == 'refuses connections':
            listener.close()
        else:
            self.server.start()

    def restart(self):
        """Begin a new list, as a new process does."""
        self.sharing = list_sharing.ListSharing(
            decisions.shared_list_age_max_s(self.drain_limit_s)
        )
        if self.state != 'read the store too long ago':
            self.read_store([_entry(key) for key in _KEYS])

    def read_store(self, entries):
        """Record entries that the reader has read from the store."""
        page = Ok(feeds.FeedPage(entries, 7))
        took_s = 1.5 if self.state.startswith('took 1.5 s') else 0
        self.sharing.record_read(
            FeedRead(feeds.Feed.UPSTREAMS, page, False, STORE, took_s)
        )

    def close(self):
        """End what was started."""
        self.server.stop()
        self.kernel.stop()

    def _read(self, message, reply):
        is_hung = time.monotonic() >= self.hangs_from_s
        if is_hung or self.state == 'does not respond':
            sleep(_SILENT_S)
        if self.state == 'sends malformed records':
            records = [feeds.FeedRecord('a', b'not compressed')]
            reply.ok(feeds.SharedList('x', 1, True, 1, records))
        else:
            self.sharing.read(message, reply)


@given(
    'follower runs with a drain limit of {drain:g} s on a host whose reader '
    '{state}'
)
def host_with_drain_limit(context, drain, state):
    _start_host(context, _Reader(state, drain))


@given('follower runs on a host whose reader {state}')
def host_with_reader(context, state):
    _start_host(context, _Reader(state))


def _start_host(context, reader):
    context.reader = reader
    kernel = Kernel('entry')

    def decode(message, reply):
        entries = [
            decode_upstream_record(record.key, record.content)
            for record in message.records.records
        ]
        reply.ok(feeds.FeedPage(entries, message.records.next_offset))

    def read_store(_message, reply):
        reply.ok(feeds.FeedPage([_entry(key) for key in _KEYS], 7))

    kernel.register(
        SERVICE_STORE,
        {
            feeds.DecodeRecords: decode,
            feeds.ReadSnapshot: read_store,
            feeds.ReadChanges: read_store,
        },
    )
    address = context.reader.address
    kernel.register(
        SERVICE_CONFIGURATION,
        {GetListSources: lambda _message, reply: reply.ok((address,))},
    )
    context.host = FeedReader(kernel, feeds.Feed.UPSTREAMS, 0)
    context.cleanups = [context.reader.close, kernel.stop]
    context.listed = {}


def _read_list(context):
    page = context.host.read()
    if context.host.is_snapshot:
        context.listed.clear()
    for entry in page.ok_value.entries:
        if entry.decoded is None:
            context.listed.pop(entry.key, None)
        else:
            context.listed[entry.key] = entry.decoded


@when("follower's host reads the list of upstreams twice")
def read_list_twice(context):
    began_s = time.monotonic()
    _read_list(context)
    if context.reader.state.startswith('restarts'):
        context.reader.restart()
    _read_list(context)
    context.took_s = time.monotonic() - began_s


@then("follower's host got it from {source} within {limit:g} s")
def check_source(context, source, limit):
    expected = STORE if source == 'the store' else context.reader.address
    assert context.host.source == expected, context.host.source
    assert context.took_s <= limit, context.took_s


@then("follower's host has the upstreams a, b and c")
def check_listed(context):
    assert set(context.listed) == set(_KEYS), context.listed


@when("follower's host waits for a change and worker b leaves")
def wait_for_change(context):
    _read_list(context)
    waiting = spawn(_read_list, context)
    sleep(0.1)
    assert not waiting.ready()
    began_s = time.monotonic()
    context.reader.sharing.record_unlisted(UpstreamUnlisted('b'), Reply())
    waiting.join()
    context.took_s = time.monotonic() - began_s


@then("follower's host has heard of it within {limit:g} s")
def check_heard(context, limit):
    assert set(context.listed) == {'a', 'c'}, context.listed
    assert context.took_s <= limit, context.took_s


@then(
    'follower reads the records of entry hosts every {pause:g} s with '
    '{others:d} others'
)
def check_hosts_pause(context, pause, others):
    assert decisions.hosts_pause_s(others) == pause


@when(
    "follower's reader no longer reads the store and the host goes on reading "
    'the list'
)
def reader_stops(context):
    _read_until_store(context, float('inf'))


@when(
    "follower's reader no longer reads the store, and hangs after {after:g} s "
    'and the host goes on reading the list'
)
def reader_hangs(context, after):
    _read_until_store(context, after)


def _read_until_store(context, hangs_after_s):
    context.reader.read_store([_entry(key) for key in _KEYS])
    began_s = time.monotonic()
    context.reader.hangs_from_s = began_s + hangs_after_s
    _read_list(context)
    while context.host.source != STORE:
        _read_list(context)
        sleep(const.CHANGES_PAUSE_S)
    context.took_s = time.monotonic() - began_s


@then("follower's host has read the store within {limit:g} s")
def has_read_store(context, limit):
    assert context.took_s <= limit, context.took_s


@given("follower's hosts have a drain limit of {drain:g} s")
def hosts_with_drain_limit(context, drain):
    for state in context.states:
        state.list_age_max_s = decisions.shared_list_age_max_s(drain)


@when(
    "follower's reader hears {way} that worker b leaves, and reads the store "
    'with no changes'
)
def reader_hears(context, way):
    source = STORE if way == 'from the store' else _OTHER_HOST
    page = Ok(feeds.FeedPage([_entry('b', state='draining')], 8))
    sharing = context.reader.sharing
    sharing.record_read(FeedRead(feeds.Feed.UPSTREAMS, page, False, source, 0))
    context.reader.read_store([])


@then("follower's host hears from its reader that worker b leaves")
def host_hears(context):
    _read_list(context)
    assert context.host.source == context.reader.address
    assert context.listed['b'].draining
