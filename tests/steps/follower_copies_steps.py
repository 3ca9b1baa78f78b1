"""Steps for copies of the desired state between hosts."""

import json
import random

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

_KNOWN = 7
_NEWER = 8
_PERIOD_S = 0.1
# Longer than an answer that was asked for last takes.
_SETTLE_S = 0.3
_SEED = 18
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


class _Other:
    """Hold another host, which hands out a newer state."""

    def __init__(self, takes_s, spoil=None):
        self.asked = 0
        self._takes_s = takes_s
        self._spoil = spoil
        self._kernel = Kernel('other')
        self._kernel.register(
            SERVICE_CONFIGURATION,
            {ReadFeed: self._hand_out},
        )
        serve = make_connection_handler(self._kernel, route_table())
        self._server = StreamServer(('127.0.0.1', 0), serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self):
        """Stop the host."""
        self._kernel.stop()
        self._server.stop(timeout=0)

    def _hand_out(self, _message, reply):
        self.asked += 1
        spawn_later(self._takes_s, self._answer, reply)

    def _answer(self, reply):
        memory = decisions.Memory()
        decisions.remember(memory, Feed.OPERATOR, _page(_NEWER), whole=True)
        records = decisions.recall(memory, Feed.OPERATOR)
        if self._spoil is not None:
            self._spoil(records)
        reply.ok(records)


def _leave_unpacked(records):
    records.records[0].content = _document(_NEWER, 3)


def _cut_off(records):
    records.records[0].content = records.records[0].content[:-9]


def _leave_out(records):
    records.records = None


_SPOILT = {
    'is not compressed': _leave_unpacked,
    'is cut off': _cut_off,
    'is without records': _leave_out,
}


class _World:
    """Hold a follower, and other hosts that hand out a newer state."""

    def __init__(self, *others):
        self.versions = []
        self.others = others
        self.kernel = Kernel('own')
        self.kernel.register(
            SERVICE_STORE,
            {
                ReadSnapshot: self._read,
                ReadChanges: self._stay_silent,
                DecodeRecords: _decode,
            },
        )
        self.kernel.register(
            'watch',
            {DesiredStateChanged: self._note_version},
        )
        follower_component.setup(self.kernel, None)
        self.kernel.publish(EntryHostsChanged(self._hosts()))
        self.kernel.publish(Started())

    def hear(self):
        """Let a greeting of each other host arrive."""
        for other in self.others:
            self.kernel.send(
                SERVICE_CONFIGURATION,
                ConfigVersionReceived(other.address, _NEWER),
            )

    @property
    def asked(self):
        """Return how many copies were asked for."""
        return sum(other.asked for other in self.others)

    def close(self):
        """End what the scenario started."""
        self.kernel.stop()
        for other in self.others:
            other.close()

    def _hosts(self):
        others = [
            EntryHost(f'other-{number}', other.address, 'a')
            for number, other in enumerate(self.others)
        ]
        return (EntryHost('own', '127.0.0.1:1', 'a'), *others)

    def _read(self, message, reply):
        if message.feed is Feed.OPERATOR:
            reply.ok(_page(_KNOWN))
        else:
            reply.ok(FeedPage([], 0))

    def _stay_silent(self, message, reply):
        if message.feed is not Feed.OPERATOR:
            reply.ok(FeedPage([], 0))

    def _note_version(self, message, reply):
        self.versions.append(message.state.version)
        reply.ok()


@given('follower runs on a host beside a host that answers after {takes:g} s')
def beside(context, takes):
    _start(context, takes)


@given(
    'follower runs beside hosts that answer after {first:g} s and {second:g} s'
)
def beside_two(context, first, second):
    _start(context, first, second)


def _start(context, *takes_s):
    _start_world(context, [_Other(one_s) for one_s in takes_s])


@given(
    'follower runs beside {count:d} hosts whose answer {answer} and one that '
    'is well'
)
def beside_spoilt(context, count, answer):
    spoilt = [_Other(0, _SPOILT[answer]) for _ in range(count)]
    _start_world(context, [*spoilt, _Other(0)])


def _start_world(context, others):
    context.world = _World(*others)
    context.cleanups = [context.world.close]
    sleep(_SETTLE_S)
    assert context.world.versions == [_KNOWN], context.world.versions


@when(
    'follower hears every {period:g} s for {total:g} s of a newer desired '
    'state there'
)
def hears(context, period, total):
    for _ in range(round(total / period)):
        context.world.hear()
        sleep(period)


@then('follower has the newer desired state')
def has_newer(context):
    assert context.world.versions[-1] == _NEWER, context.world.versions


@then('follower asked for {count:d} copy')
def asked_for_copies(context, count):
    assert context.world.asked == count, context.world.asked


@then('follower asked for at most {count:d} copies')
def asked_at_most(context, count):
    assert context.world.asked <= count, context.world.asked


@given('follower remembers a desired state of {routes:d} routes')
def remembers_state(context, routes):
    content = _document(_NEWER, routes)
    context.memory = decisions.Memory()
    page = FeedPage([FeedEntry('config', None, content=content)], 1)
    decisions.remember(context.memory, Feed.OPERATOR, page, whole=True)


@then('follower hands it out in at most {kb:d} KB')
def hands_out(context, kb):
    records = decisions.recall(context.memory, Feed.OPERATOR)
    size_bytes = len(serialize(to_wire(records)))
    assert size_bytes <= kb * 1000, size_bytes
