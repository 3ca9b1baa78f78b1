"""Steps for what agents decide."""

import hashlib
import json
import types

from behave import given, then, when
from gevent import sleep
from gevent.event import AsyncResult
from result import Err, Ok

from apricotpin.components.installer import (
    decisions,
    events,
    switching,
    versions,
)
from apricotpin.components.installer.const import NOT_YET_PAUSE_S
from apricotpin.components.installer.service import InstallerService
from apricotpin.components.installer.state import Install, WorkerView
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.fleet import EntryHello, WeightsTarget
from apricotpin.messages.pieces import WorkerReport
from apricotpin.messages.upstreams import LoadedLayers

_BEGUN_S = 100.0
_LAYERS = 16
_SLOW_COPY_S = 3
_PIECE_S = 0.5
_BOUND_S = 8
_PIECES = [b'0', b'1', b'2', b'3']
_HELD = {
    'older': (1, 16),
    'older, unchecked': (1, 16),
    'installed': (2, 16),
    'newer': (3, 16),
    'half loaded': (1, 8),
    'ordered': (1, 16),
    'ordered in vain': (1, 16),
}


def _digests():
    return [hashlib.sha256(piece).hexdigest() for piece in _PIECES]


def _install(version, held, worker=''):
    install = Install('m', version, _BEGUN_S, _BEGUN_S + 6.24, _BEGUN_S)
    stock = install.stock
    stock.flow.fetched = held
    stock.flow.fetch_s = held * _PIECE_S
    stock.layers = _LAYERS
    stock.digests = [] if worker == 'without a manifest' else _digests()
    stock.pieces = dict(enumerate(_PIECES[:held]))
    stock.staged = set() if worker == 'unstaged' else set(stock.pieces)
    stock.scanned = worker != 'unscanned'
    checked = worker in {'older', 'empty', 'half loaded', 'ordered in vain'}
    stock.checked_s = _BEGUN_S + 6 if checked else None
    if worker == 'checked long ago':
        stock.checked_s = _BEGUN_S - 2
    if worker.startswith('ordered'):
        install.ordered_s = _BEGUN_S
    return install


@given(
    'installer with a worker {worker} and {held:d} of 4 pieces in turn {turn:d}'
)
def installer_with(context, worker, held, turn):
    context.view = WorkerView()
    version, end = _HELD.get(worker, (0, 0))
    loaded = (LoadedLayers('m', version, 0, end),) if version else ()
    report = WorkerReport(0, 0, False, 7, loaded)
    decisions.view_report(context.view, report, _LAYERS)
    if worker == 'unreachable':
        context.view.misses = 2
    context.install = _install(2, held, worker)
    context.install.turn = turn


def _take_as_fetched(install, after):
    """Let the pieces that are here have taken this long together."""
    install.stock.flow.fetched = len(install.stock.pieces)
    install.stock.flow.fetch_s = after


@when('installer decides after {after:g} s')
def decide(context, after):
    context.now_s = _BEGUN_S + after
    _take_as_fetched(context.install, after)
    switching.note_draining(context.install, context.view, _BEGUN_S)
    switching.note_draining(context.install, context.view, context.now_s)


@when('installer ended a check that took {took:g} s and {after:g} s pass')
def ended_check(context, took, after):
    begun_s = _BEGUN_S - took
    decisions.note_step(
        context.install, decisions.Load.CHECK, {}, begun_s, _BEGUN_S
    )
    context.now_s = _BEGUN_S + after


@when('installer drains a worker with {active:d} requests for {drained:g} s')
def drain(context, active, drained):
    context.view.report.active = active
    context.install.stock.checked_s = _BEGUN_S
    context.now_s = _BEGUN_S + drained
    switching.note_draining(context.install, context.view, _BEGUN_S)


@then("installer's next step is {action}")
def next_step(context, action):
    found = decisions.next_load(context.install, context.view, context.now_s)
    assert found.value == action, found


@then('installer tells entry hosts that it is {state}')
def tells(context, state):
    found = switching.is_switching(
        context.install,
        context.view,
        context.now_s,
    )
    assert found == (state == 'switching')


@when(
    'installer in group {group:d} hears after {after:g} s of version 3 '
    'with {spare:g} s left for it'
)
def hears(context, group, after, spare):
    now_s = _BEGUN_S + after
    context.install.group = group
    context.install.stock.flow.progress_s = now_s
    _take_as_fetched(context.install, after)
    context.replaces = versions.supersedes(
        context.install, context.view, 3, spare, now_s
    )


@when('installer has parked version {version:d}')
def has_parked(context, version):
    context.wanted = versions.fetch_order(
        context.install,
        {version: _install(version, 0)},
        context.view,
        _BOUND_S,
        _BEGUN_S,
    )[0]


@then('installer fetches pieces of version {version:d}')
def fetches_pieces_of(context, version):
    assert context.wanted.version == version


@then('installer {relation} the version in progress')
def relation_is(context, relation):
    assert context.replaces == (relation == 'replaces')


@when(
    'installer has waited for {silent:g} s and parked a version that is {held}'
)
def parked(context, silent, held):
    newest = _install(3, 1)
    if held.endswith('near its bound'):
        newest.declared_s -= 6
    count = 2 if held == 'partly here' else len(_PIECES)
    older = _install(1 if held == 'what the worker has' else 2, count)
    if held == 'unknown':
        older.stock.digests = []
    context.fallback = versions.better_install(
        newest,
        {older.version: older},
        context.view,
        _BOUND_S,
        _BEGUN_S + silent,
    )


@when(
    'installer installs version 2, {left:g} s from its bound, '
    'with {missing:d} pieces of 0.5 s to come'
)
def installs_near_bound(context, left, missing):
    newer = _install(3, 0)
    newer.declared_s = _BEGUN_S + left - _BOUND_S
    context.fallback = versions.better_install(
        _install(2, len(_PIECES) - missing),
        {3: newer},
        context.view,
        _BOUND_S,
        _BEGUN_S,
    )


@when(
    'installer has version 2 whole, version 3 named {third:g} s ago '
    'and version 4 {ago:g} s ago'
)
def three_versions(context, third, ago):
    parked = {3: _install(3, 0), 4: _install(4, 0)}
    parked[3].declared_s = _BEGUN_S - third
    parked[4].declared_s = _BEGUN_S - ago
    context.fallback = versions.better_install(
        _install(2, len(_PIECES)), parked, context.view, _BOUND_S, _BEGUN_S
    )


@when('installer has versions 2 and 3 whole')
def two_whole(context):
    context.fallback = versions.better_install(
        _install(2, len(_PIECES)),
        {3: _install(3, len(_PIECES))},
        context.view,
        _BOUND_S,
        _BEGUN_S,
    )


@when('installer has {missing:d} pieces of version 2 to come and {left:g} s')
def older_to_come(context, missing, left):
    newest = _install(3, 1)
    newest.declared_s = _BEGUN_S + left - _BOUND_S
    order = versions.fetch_order(
        newest,
        {2: _install(2, len(_PIECES) - missing)},
        context.view,
        _BOUND_S,
        _BEGUN_S,
    )
    context.order = ', '.join(str(one.version) for one in order)


@then('installer fetches versions {order}')
def fetches_versions(context, order):
    assert context.order == order, context.order


@then('installer falls back to {version}')
def falls_back(context, version):
    found = context.fallback
    fallback = 'none' if found is None else str(found.version)
    assert fallback == version, fallback


@when('installer found all pieces that it has at the worker')
def found_all(context):
    context.install.stock.flow.fetched = 0
    context.install.stock.flow.fetch_s = 0


@then('installer expects it within {left:g} s')
def expects_within(context, left):
    found = switching.left_s(context.install)
    assert round(found, 3) == left, found


@when('installer checks content that is {described}')
def check(context, described):
    content = {'right': b'1', 'spoilt': b'x', 'missing': None}[described]
    context.sound = decisions.is_sound(_install(2, 0), 1, content)


@then('installer finds it {verdict}')
def finds(context, verdict):
    assert context.sound == (verdict == 'sound')


def _hear(installer, version):
    target = WeightsTarget('drafting', 'm', version, 100)
    hello = EntryHello('e1', '10.0.0.9:7700', 'a', [target])
    installer.hear_entry(hello, Reply())


def _ask_piece(installer):
    waiter = AsyncResult()
    installer.next_piece(events.NextPiece(), Reply(waiter))
    assert waiter.ready(), 'no piece is asked for'
    return waiter.get().ok_value


@given('installer has {count:d} pieces of version 2 when it hears of version 3')
def hears_newer(context, count):
    settings = types.SimpleNamespace(
        service='drafting',
        data_centre='a',
        upstream_address='10.0.0.1:80',
        peer_address='10.0.0.1:7700',
        is_first_start=False,
        limits=types.SimpleNamespace(version_limit_s=8),
    )
    installer = InstallerService(Kernel('agent'), settings)
    _hear(installer, 2)
    order = _ask_piece(installer)
    pieces = [f'{number}'.encode() for number in range(64)]
    digests = [hashlib.sha256(piece).hexdigest() for piece in pieces]
    manifest = json.dumps({'layers': 16, 'digests': digests}).encode()
    taken = events.PieceFetched(order, 'e1', Ok(manifest))
    installer.take_piece(taken, Reply())
    for _ in range(count):
        order = _ask_piece(installer)
        content = pieces[order.index]
        installer.take_piece(
            events.PieceFetched(order, 'e1', Ok(content)),
            Reply(),
        )
    # So slow a version is not finished before a newer one, but in time.
    order.install.group = 1
    order.install.stock.flow.fetch_s += _SLOW_COPY_S
    _hear(installer, 3)
    context.installer = installer


@when("installer's host was suspended for {suspended:g} s after a check")
def suspended_for(context, suspended):
    install = _ask_piece(context.installer).install
    install.stock.checked_s = _BEGUN_S
    context.installer.suspended_s -= suspended
    context.install = install
    _hear(context.installer, 3)


@then("installer's staged pieces count as {checked}")
def staged_count_as(context, checked):
    found = context.install.stock.checked_s is not None
    assert found == (checked == 'checked')


@when('installer has waited {waited:d} s in vain and a report arrives')
def waited_in_vain(context, waited):
    newest = context.failed_order.install
    assert newest.version == 3, newest.version
    newest.stock.flow.progress_s -= waited
    report = WorkerReport(0, 0, False, 7, (LoadedLayers('m', 1, 0, 16),))
    context.installer.take_report(events.ReportRead(Ok(report)), Reply())


@then('installer fetches a piece of version {version:d} next')
def fetches_next(context, version):
    assert _ask_piece(context.installer).install.version == version


@then('installer loads version {version:d}')
def loads(context, version):
    assert _scanned(context.installer).order.install.version == version


_FAILURES = {
    'does not answer': ErrorKind.PEER_UNAVAILABLE,
    'has no piece yet': ErrorKind.CHUNK_NOT_YET,
}


@given('installer knows a second entry host')
def knows_second(context):
    context.installer.hear_entry(
        EntryHello('e2', '10.0.0.8:7700', 'a', []), Reply()
    )


@when("installer's entry host {fails}")
def entry_host_fails(context, fails):
    order = _ask_piece(context.installer)
    failed = Err(Failure(_FAILURES[fails], ''))
    fetched = events.PieceFetched(order, order.addresses[0], failed)
    context.installer.take_piece(fetched, Reply())
    context.failed_order = order
    context.first_asked = order.addresses[0]


@when('installer fetches the rest of version 2')
def fetches_rest(context):
    order = _ask_piece(context.installer)
    while order.install.version == 2:
        content = f'{order.index}'.encode()
        fetched = events.PieceFetched(order, 'e1', Ok(content))
        context.installer.take_piece(fetched, Reply())
        if order.install.stock.is_complete:
            return
        order = _ask_piece(context.installer)


@then('installer asks that host {order}')
def asks_host(context, order):
    sleep(NOT_YET_PAUSE_S)
    again = _ask_piece(context.installer)
    assert again.install is context.failed_order.install
    addresses = again.addresses
    place = {'first': 0, 'last': -1}[order]
    assert addresses[place] == context.first_asked, addresses


def _scanned(installer):
    waiter = AsyncResult()
    installer.next_load(events.NextLoad(), Reply(waiter))
    assert waiter.ready(), 'no step is asked for'
    order = waiter.get().ok_value
    return events.LoadDone(order, True, {})


@when(
    'installer knows {known} of a version, its worker is {there} and it {guess}'
)
def knows(context, known, there, guess):
    worker = 'without a manifest' if known == 'nothing' else 'unscanned'
    context.index = decisions.next_index(
        _install(2, 0, worker),
        there == 'there',
        guess == 'may guess',
    )


@then('installer fetches {index}')
def fetches(context, index):
    found = {None: 'nothing', -1: 'manifest'}.get(context.index, context.index)
    assert str(found) == index, found


@when('installer is asked for staged pieces of version {version:d} of {model}')
def asked_for_staged(context, version, model):
    context.shared = decisions.shares(
        context.view, context.install, model, version
    )


@then('installer {shares} them')
def shares_them(context, shares):
    assert context.shared == (shares == 'shares')
