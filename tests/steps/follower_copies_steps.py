"""Steps for copies of the desired state between hosts."""

import json
import random
from types import SimpleNamespace

from behave import given, then, when

from gevent import sleep, spawn_later
from gevent.server import StreamServer
from thriftpy2.utils import serialize

from apricotpin.components import follower as follower_component
from apricotpin.components.follower import decisions
from apricotpin.components.peer_api.dispatch import (
    make_connection_handler,
    route_table,
)
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_STORE
from apricotpin.core import Kernel, Started
from apricotpin.helpers.wire import to_wire
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.feeds import (
    DecodeRecords,
    EntryHost,
    Feed,
    FeedEntry,
    FeedPage,
    ReadChanges,
    ReadFeed,
    ReadSnapshot,
)
from apricotpin.messages.fleet import ConfigVersionReceived, EntryHostsChanged
from apricotpin.platform import operator_documents

_OWN_VERSION = 7
_NEWER_VERSION = 8
_PERIOD_S = 0.1
# Longer than the first reads of the store take.
_STARTUP_S = 0.3
_SEED = 18
_DRAIN_LIMIT_S = 2.0
_CONTACT_LIMIT_S = 3.0
_LETTERS = 'abcdefghijklmnopqrstuvwxyz0123456789'


def _document(version, count):
    draw = random.Random(_SEED)

    def name():
        return ''.join(draw.choices(_LETTERS, k=7))

    routes = [
        {
            'name': f'r-{name()}',
            'hostname': f'{name()[:4]}{number % 90}.example',
            'path_prefix': f'/{name()}/{name()[:4]}/',
            'route_type': 'streaming',
            'service': 'model',
            'timeout_ms': 6000,
            'goal_ms': 400,
            'gap_target_ms': 300,
            'max_attempts': 2,
            'priority': 1,
            'resumable': True,
        }
        for number in range(count)
    ]
    return json.dumps(
        {'version': version, 'routes': routes, 'services': []},
    ).encode()


def _page(version):
    content = _document(version, 3)
    entry = operator_documents.decode_operator_record('config', content)
    entry.content = content
    return FeedPage([entry], version)


def _decode(message, reply):
    entries = []
    for record in message.records.records:
        entry = operator_documents.decode_operator_record(
            record.key, record.content
        )
        entry.content = record.content
        entries.append(entry)
    reply.ok(FeedPage(entries, message.records.next_offset))


class _PeerHost:
    """Run another host, which has a newer desired state."""

    def __init__(self, delay_s, damage=None):
        self.requests = 0
        self._delay_s = delay_s
        self._damage = damage
        self._kernel = Kernel('other')
        self._kernel.register(
            SERVICE_CONFIGURATION,
            {ReadFeed: self._read_feed},
        )
        handler = make_connection_handler(self._kernel, route_table())
        self._server = StreamServer(('127.0.0.1', 0), handler)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self):
        """Stop the host."""
        self._kernel.stop()
        self._server.stop(timeout=0)

    def _read_feed(self, _message, reply):
        self.requests += 1
        spawn_later(self._delay_s, self._respond, reply)

    def _respond(self, reply):
        cache = decisions.RecordCache()
        decisions.update_cache(
            cache, Feed.OPERATOR, _page(_NEWER_VERSION), is_snapshot=True
        )
        records = decisions.cached_records(cache, Feed.OPERATOR)
        if self._damage is not None:
            self._damage(records)
        reply.ok(records)


def _decompress_content(records):
    records.records[0].content = _document(_NEWER_VERSION, 3)


def _truncate_content(records):
    records.records[0].content = records.records[0].content[:-9]


def _remove_records(records):
    records.records = None


_DAMAGES = {
    'is not compressed': _decompress_content,
    'is truncated': _truncate_content,
    'is without records': _remove_records,
}


class _Fleet:
    """Run a follower, and other hosts that have a newer desired state."""

    def __init__(self, *peer_hosts):
        self.versions = []
        self.peer_hosts = peer_hosts
        self.kernel = Kernel('own')
        self.kernel.register(
            SERVICE_STORE,
            {
                ReadSnapshot: self._read,
                ReadChanges: self._read_changes,
                DecodeRecords: _decode,
            },
        )
        self.kernel.register(
            'watch',
            {DesiredStateChanged: self._record_version},
        )
        limits = SimpleNamespace(
            drain_limit_s=_DRAIN_LIMIT_S, contact_limit_s=_CONTACT_LIMIT_S
        )
        follower_component.setup(self.kernel, SimpleNamespace(limits=limits))
        self.kernel.publish(EntryHostsChanged(self._hosts()))
        self.kernel.publish(Started())

    def receive_hellos(self):
        """Pass on the version that a hello of each other host carries."""
        for peer_host in self.peer_hosts:
            self.kernel.send(
                SERVICE_CONFIGURATION,
                ConfigVersionReceived(peer_host.address, _NEWER_VERSION),
            )

    @property
    def requests(self):
        """Return how many copies the follower requested."""
        return sum(peer_host.requests for peer_host in self.peer_hosts)

    def close(self):
        """Stop the follower and the other hosts."""
        self.kernel.stop()
        for peer_host in self.peer_hosts:
            peer_host.close()

    def _hosts(self):
        others = [
            EntryHost(f'other-{number}', peer_host.address, 'a')
            for number, peer_host in enumerate(self.peer_hosts)
        ]
        return (EntryHost('own', '127.0.0.1:1', 'a'), *others)

    def _read(self, message, reply):
        if message.feed is Feed.OPERATOR:
            reply.ok(_page(_OWN_VERSION))
        else:
            reply.ok(FeedPage([], 0))

    def _read_changes(self, message, reply):
        # The operator's records do not change, so a read of them gets no
        # reply.
        if message.feed is not Feed.OPERATOR:
            reply.ok(FeedPage([], 0))

    def _record_version(self, message, reply):
        self.versions.append(message.state.version)
        reply.ok()


@given('follower runs on a host beside a host that responds after {takes:g} s')
def runs_beside_one(context, takes):
    _start(context, takes)


@given(
    'follower runs beside hosts that respond after {first:g} s and {second:g} s'
)
def runs_beside_two(context, first, second):
    _start(context, first, second)


def _start(context, *delays_s):
    _start_fleet(context, [_PeerHost(delay_s) for delay_s in delays_s])


@given(
    'follower runs beside {count:d} hosts whose response {response} and one '
    'intact host'
)
def runs_beside_damaged(context, count, response):
    damaged = [_PeerHost(0, _DAMAGES[response]) for _ in range(count)]
    _start_fleet(context, [*damaged, _PeerHost(0)])


def _start_fleet(context, peer_hosts):
    context.fleet = _Fleet(*peer_hosts)
    context.cleanups = [context.fleet.close]
    sleep(_STARTUP_S)
    assert context.fleet.versions == [_OWN_VERSION], context.fleet.versions


@when(
    'follower receives every {period:g} s for {total:g} s that a newer '
    'desired state is there'
)
def receives_hellos(context, period, total):
    for _ in range(round(total / period)):
        context.fleet.receive_hellos()
        sleep(period)


@then('follower has the newer desired state')
def has_newer(context):
    assert context.fleet.versions[-1] == _NEWER_VERSION, context.fleet.versions


@then('follower fetched {count:d} copy')
def fetched_copies(context, count):
    assert context.fleet.requests == count, context.fleet.requests


@then('follower fetched at most {count:d} copies')
def fetched_at_most(context, count):
    assert context.fleet.requests <= count, context.fleet.requests


@given('follower has cached a desired state of {routes:d} routes')
def has_cached_state(context, routes):
    content = _document(_NEWER_VERSION, routes)
    context.cache = decisions.RecordCache()
    page = FeedPage([FeedEntry('config', None, content=content)], 1)
    decisions.update_cache(context.cache, Feed.OPERATOR, page, is_snapshot=True)


@then('follower sends it in at most {kb:d} KB')
def sends_at_most(context, kb):
    records = decisions.cached_records(context.cache, Feed.OPERATOR)
    size_bytes = len(serialize(to_wire(records)))
    assert size_bytes <= kb * 1000, size_bytes
