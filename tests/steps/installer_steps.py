"""Steps for the decisions of the installer."""

import contextlib
import hashlib
import json
import time
import types

from behave import given, then, when
from gevent import GreenletExit, sleep
from gevent.event import AsyncResult
from result import Err, Ok

from apricotpin.components.installer import (
    checks,
    decisions,
    events,
    service,
    sharing,
    switching,
    tasks,
    versions,
)
from apricotpin.components.installer.const import NOT_YET_RETRY_DELAY_S
from apricotpin.components.installer.state import (
    Install,
    VersionPieces,
    WorkerState,
)
from apricotpin.components.relay import tasks as relay_tasks
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers import clocks
from apricotpin.messages.fleet import EntryHello, WeightsTarget
from apricotpin.messages.pieces import LayerRange, WorkerReport
from apricotpin.messages.upstreams import LoadedLayers

_START_S = 100.0
_LAYERS = 16
_SLOW_FETCH_S = 3
_PIECE_S = 0.5
_VERSION_LIMIT_S = 8
_PIECES = [b'0', b'1', b'2', b'3']
_LOADED = {
    'older': (1, 16),
    'older, unchecked': (1, 16),
    'installed': (2, 16),
    'newer': (3, 16),
    'half loaded': (1, 8),
    'ordered': (1, 16),
    'ordered without effect': (1, 16),
}


def _digests():
    return [hashlib.sha256(piece).hexdigest() for piece in _PIECES]


def _install(version, held, worker=''):
    install = Install('m', version, _START_S, _START_S + 6.24, _START_S)
    pieces = install.pieces
    pieces.transfer.fetched_count = held
    pieces.transfer.fetch_time_s = held * _PIECE_S
    pieces.layers = _LAYERS
    pieces.digests = [] if worker == 'without a manifest' else _digests()
    pieces.content = dict(enumerate(_PIECES[:held]))
    pieces.staged = set() if worker == 'unstaged' else set(pieces.content)
    pieces.is_scanned = worker != 'unscanned'
    checked = worker in {
        'older',
        'empty',
        'half loaded',
        'ordered without effect',
    }
    pieces.check.started_s = _START_S + 6 if checked else None
    if worker == 'checked long ago':
        pieces.check.started_s = _START_S - 2
    if worker.startswith('ordered'):
        install.load_ordered_s = _START_S
    return install


@given(
    'an installer whose worker is {worker}, '
    'with {held:d} of 4 pieces and turn {turn:d}'
)
def installer_with_worker(context, worker, held, turn):
    context.worker = WorkerState()
    version, end = _LOADED.get(worker, (0, 0))
    loaded = (LoadedLayers('m', version, 0, end),) if version else ()
    report = WorkerReport(0, 0, False, 7, loaded)
    decisions.update_worker(context.worker, report, _LAYERS)
    if worker == 'unreachable':
        context.worker.missed_reports = 2
    context.install = _install(2, held, worker)
    context.install.turn = turn


def _set_fetch_time(install, fetch_time_s):
    """Set the total time that the present pieces took to fetch."""
    install.pieces.transfer.fetched_count = len(install.pieces.content)
    install.pieces.transfer.fetch_time_s = fetch_time_s


@when('the installer decides after {after:g} s')
def decide(context, after):
    context.now_s = _START_S + after
    _set_fetch_time(context.install, after)
    switching.update_draining(context.install, context.worker, _START_S)
    switching.update_draining(context.install, context.worker, context.now_s)


@when('the installer ended a check that took {took:g} s and {after:g} s pass')
def ended_check(context, took, after):
    started_s = _START_S - took
    decisions.record_step(
        context.install,
        decisions.LoadStep.CHECK,
        LayerRange(0, _LAYERS),
        started_s,
        _START_S,
    )
    context.now_s = _START_S + after


_REPORT_S = 0.1
_LOAD_STEPS_MAX = 100


@when(
    'the installer loads a worker on which each piece takes {read:g} s to read'
)
def load_slow_worker(context, read):
    install, worker = context.install, context.worker
    install.pieces.check.discard()
    context.order_ages_s = []
    now_s = _START_S
    for _ in range(_LOAD_STEPS_MAX):
        if switching.is_installed(worker, install):
            break
        step = decisions.next_step(install, worker, now_s)
        part = checks.next_part(install, worker)
        started_s = now_s
        if step is decisions.LoadStep.CHECK:
            now_s += read * len(checks.piece_indexes(install.pieces, part))
        elif step is decisions.LoadStep.START:
            context.order_ages_s.append(now_s - install.pieces.check.started_s)
        else:
            now_s += _REPORT_S
            switching.update_draining(install, worker, now_s)
            continue
        decisions.record_step(install, step, part, started_s, now_s)
        if step is decisions.LoadStep.START:
            loaded = (LoadedLayers('m', 2, 0, part.end),)
            report = WorkerReport(0, 0, False, 7, loaded)
            decisions.update_worker(worker, report, _LAYERS)
            checks.finish_loaded_part(install, worker)
    context.took_s = now_s - _START_S


@then('the installer gave {orders:d} load orders within {within:g} s')
def gave_orders(context, orders, within):
    assert switching.is_installed(context.worker, context.install)
    assert len(context.order_ages_s) == orders, context.order_ages_s
    assert context.took_s <= within, context.took_s


@then('each load order came at most {max_s:g} s after the start of its check')
def orders_are_fresh(context, max_s):
    assert max(context.order_ages_s) <= max_s, context.order_ages_s


@then("the installer's load order is to be sent within {left:g} s")
def order_time_left(context, left):
    check = context.install.pieces.check
    found = checks.order_time_left_s(check, context.now_s)
    assert round(found, 3) == left, found


@when('the installer receives a report of layers {parts}')
def receives_layers(context, parts):
    context.worker = WorkerState()
    ranges = [part.split('-') for part in parts.split()]
    loaded = tuple(
        LoadedLayers('m', 2, int(start), int(end)) for start, end in ranges
    )
    report = WorkerReport(0, 0, False, 7, loaded)
    decisions.update_worker(context.worker, report, _LAYERS)


@then('the installer counts layers {start:d} to {end:d}')
def counts_layers(context, start, end):
    worker = context.worker
    found = (worker.layers_start, worker.layers_end)
    assert found == (start, end), found


@when('the installer divides {count:d} pieces among {layers:d} layers')
def divide_pieces(context, count, layers):
    context.pieces = VersionPieces(_START_S)
    context.pieces.layers = layers
    context.pieces.digests = [''] * count


@then(
    'the installer finds that layers {start:d} to {end:d} consist of '
    'pieces {first:d} to {last:d}'
)
def layers_consist_of(context, start, end, first, last):
    found = checks.piece_indexes(context.pieces, LayerRange(start, end))
    assert list(found) == list(range(first, last + 1)), found


@when(
    'the installer drains a worker with {active:d} requests for {drained:g} s'
)
def drain(context, active, drained):
    context.worker.report.active = active
    context.install.pieces.check.started_s = _START_S
    context.now_s = _START_S + drained
    switching.update_draining(context.install, context.worker, _START_S)


@then("the installer's next step is {step}")
def next_step(context, step):
    found = decisions.next_step(context.install, context.worker, context.now_s)
    assert found.value == step, found


@then('the installer reports its worker as {state}')
def reports_worker_as(context, state):
    found = switching.is_switching(
        context.install,
        context.worker,
        context.now_s,
    )
    assert found == (state == 'switching')


@when(
    'the installer in group {group:d} receives version 3 after {after:g} s '
    'with {left:g} s left for it'
)
def receives_during_install(context, group, after, left):
    now_s = _START_S + after
    context.install.group = group
    context.install.pieces.transfer.idle_since_s = now_s
    _set_fetch_time(context.install, after)
    context.replaces = versions.should_replace(
        context.install, context.worker, 3, left, now_s
    )


@when('the installer has deferred version {version:d}')
def has_deferred(context, version):
    context.to_fetch = versions.fetch_order(
        context.install,
        {version: _install(version, 0)},
        context.worker,
        _VERSION_LIMIT_S,
        _START_S,
    )[0]


@then('the installer fetches pieces of version {version:d}')
def fetches_pieces_of(context, version):
    assert context.to_fetch.version == version


@then('the installer {relation} the current version')
def relation_is(context, relation):
    assert context.replaces == (relation == 'replaces')


@when(
    'the installer has received no piece for {silent:g} s '
    'and deferred a version that is {state}'
)
def received_no_piece(context, silent, state):
    newest = _install(3, 1)
    if state.endswith('near its deadline'):
        newest.declared_s -= 6
    count = 2 if state == 'incomplete' else len(_PIECES)
    older = _install(1 if state == 'already loaded' else 2, count)
    if state == 'without a manifest':
        older.pieces.digests = []
    context.replacement = versions.select_replacement(
        newest,
        {older.version: older},
        context.worker,
        _VERSION_LIMIT_S,
        _START_S + silent,
    )


@when(
    'the installer installs version 2, {left:g} s before its deadline, '
    'with {missing:d} pieces of 0.5 s missing'
)
def installs_near_deadline(context, left, missing):
    newer = _install(3, 0)
    newer.declared_s = _START_S + left - _VERSION_LIMIT_S
    context.replacement = versions.select_replacement(
        _install(2, len(_PIECES) - missing),
        {3: newer},
        context.worker,
        _VERSION_LIMIT_S,
        _START_S,
    )


@when(
    'the installer has version 2 complete, version 3 declared {third:g} s ago '
    'and version 4 {ago:g} s ago'
)
def has_three_versions(context, third, ago):
    deferred = {3: _install(3, 0), 4: _install(4, 0)}
    deferred[3].declared_s = _START_S - third
    deferred[4].declared_s = _START_S - ago
    context.replacement = versions.select_replacement(
        _install(2, len(_PIECES)),
        deferred,
        context.worker,
        _VERSION_LIMIT_S,
        _START_S,
    )


@when('the installer has versions 2 and 3 complete')
def has_two_complete(context):
    context.replacement = versions.select_replacement(
        _install(2, len(_PIECES)),
        {3: _install(3, len(_PIECES))},
        context.worker,
        _VERSION_LIMIT_S,
        _START_S,
    )


@when(
    'the installer lacks {missing:d} pieces of version 2 '
    '{left:g} s before its deadline'
)
def lacks_older_pieces(context, missing, left):
    newest = _install(3, 1)
    newest.declared_s = _START_S + left - _VERSION_LIMIT_S
    order = versions.fetch_order(
        newest,
        {2: _install(2, len(_PIECES) - missing)},
        context.worker,
        _VERSION_LIMIT_S,
        _START_S,
    )
    context.order = ', '.join(str(one.version) for one in order)


@then('the installer fetches versions {order}')
def fetches_versions(context, order):
    assert context.order == order, context.order


@then('the installer switches to version {version}')
def switches_to(context, version):
    replacement = context.replacement
    found = 'none' if replacement is None else str(replacement.version)
    assert found == version, found


@when('the installer found all its pieces staged at the worker')
def found_all_staged(context):
    context.install.pieces.transfer.fetched_count = 0
    context.install.pieces.transfer.fetch_time_s = 0


@then('the installer expects the last piece within {left:g} s')
def expects_within(context, left):
    found = switching.remaining_fetch_s(context.install)
    assert round(found, 3) == left, found


@when('the installer checks content that is {described}')
def check(context, described):
    content = {'right': b'1', 'corrupt': b'x', 'missing': None}[described]
    context.is_intact = decisions.is_intact(_install(2, 0), 1, content)


@then('the installer finds it {verdict}')
def finds(context, verdict):
    assert context.is_intact == (verdict == 'intact')


def _send_hello(installer, version):
    target = WeightsTarget('drafting', 'm', version, 100)
    hello = EntryHello('e1', '10.0.0.9:7700', 'a', [target])
    installer.handle_hello(hello, Reply())


def _next_fetch_job(installer):
    waiter = AsyncResult()
    installer.enqueue_fetcher(events.GetNextFetchJob(), Reply(waiter))
    assert waiter.ready(), 'the installer assigned no fetch job'
    return waiter.get().ok_value


def _new_installer():
    settings = types.SimpleNamespace(
        service='drafting',
        data_centre='a',
        upstream_address='10.0.0.1:80',
        peer_address='10.0.0.1:7700',
        is_first_start=False,
        limits=types.SimpleNamespace(version_limit_s=8),
    )
    return service.InstallerService(Kernel('agent'), settings)


@given(
    'an installer that has {count:d} pieces of version 2 '
    'when it receives version 3'
)
def receives_newer(context, count):
    installer = _new_installer()
    _send_hello(installer, 2)
    job = _next_fetch_job(installer)
    pieces = [f'{number}'.encode() for number in range(64)]
    digests = [hashlib.sha256(piece).hexdigest() for piece in pieces]
    manifest = json.dumps({'layers': 16, 'digests': digests}).encode()
    fetched = events.PieceFetched(job, 'e1', Ok(manifest))
    installer.handle_fetched_piece(fetched, Reply())
    for _ in range(count):
        job = _next_fetch_job(installer)
        content = pieces[job.index]
        installer.handle_fetched_piece(
            events.PieceFetched(job, 'e1', Ok(content)),
            Reply(),
        )
    # The transfer is so slow that version 2 is not finished before version 3
    # is fetched, but version 2 could still be loaded before its deadline.
    job.install.group = 1
    job.install.pieces.transfer.fetch_time_s += _SLOW_FETCH_S
    _send_hello(installer, 3)
    context.installer = installer
    context.older = job.install


@when("the installer's host was suspended for {suspended:g} s after a check")
def suspended_for(context, suspended):
    install = _next_fetch_job(context.installer).install
    install.pieces.check.started_s = _START_S
    context.installer.suspended_s -= suspended
    context.install = install
    _send_hello(context.installer, 3)


@when(
    'the installer copied pieces {first:d}-{last:d} of version 3, which {ends}'
)
def copied_pieces(context, first, last, ends):
    older = context.older
    older.pieces.staged = set(older.pieces.content)
    older.pieces.check.started_s = time.monotonic()
    newer = _install(3, len(_PIECES))
    pieces = {index: b'' for index in range(first, last + 1)}
    step = decisions.LoadStep.STAGE
    job = events.LoadJob(step, newer, LayerRange(0, _LAYERS), pieces)
    done = events.LoadJobDone(job, ends == 'succeeded', pieces)
    context.installer.handle_load_job_done(done, Reply())
    context.install = older


@then('the installer counts {staged:d} pieces of version 2 as staged')
def counts_staged(context, staged):
    found = len(context.install.pieces.staged)
    assert found == staged, found


@when("the installer's host is suspended for {suspended:g} s during a check")
def suspended_during(context, suspended):
    context.install = _install(2, len(_PIECES))
    job = service._build_load_job(
        context.install,
        decisions.LoadStep.CHECK,
        WorkerState(),
        time.monotonic(),
    )
    boot_time_s = clocks.boot_time_s
    clocks.boot_time_s = lambda: boot_time_s() + suspended
    context.cleanups = [lambda: setattr(clocks, 'boot_time_s', boot_time_s)]
    # The suspension is noticed before the check ends.
    _send_hello(context.installer, 3)
    done = events.LoadJobDone(job, True, {})
    context.installer.handle_load_job_done(done, Reply())


@then('the installer counts the check as {age:g} s old')
def check_is_old(context, age):
    found = time.monotonic() - context.install.pieces.check.started_s
    assert round(found) == age, found


@then("the installer's staged pieces count as {checked}")
def staged_count_as(context, checked):
    found = context.install.pieces.check.started_s is not None
    assert found == (checked == 'checked')


@when('no piece has arrived for {waited:d} s and the installer reads a report')
def reads_report_after_wait(context, waited):
    newest = context.failed_job.install
    assert newest.version == 3, newest.version
    newest.pieces.transfer.idle_since_s -= waited
    report = WorkerReport(0, 0, False, 7, (LoadedLayers('m', 1, 0, 16),))
    context.installer.handle_report(events.ReportRead(Ok(report)), Reply())


@then('the installer next fetches a piece of version {version:d}')
def fetches_next(context, version):
    assert _next_fetch_job(context.installer).install.version == version


@then('the installer loads version {version:d}')
def loads(context, version):
    assert _finish_load_job(context.installer).job.install.version == version


_FAILURES = {
    'does not respond': ErrorKind.PEER_UNAVAILABLE,
    'has no piece yet': ErrorKind.CHUNK_NOT_YET,
}


@given('the installer knows a second entry host')
def knows_second(context):
    context.installer.handle_hello(
        EntryHello('e2', '10.0.0.8:7700', 'a', []), Reply()
    )


@when("the installer's entry host {fails}")
def entry_host_fails(context, fails):
    job = _next_fetch_job(context.installer)
    failed = Err(Failure(_FAILURES[fails], ''))
    fetched = events.PieceFetched(job, job.addresses[0], failed)
    context.installer.handle_fetched_piece(fetched, Reply())
    context.failed_job = job
    context.first_asked = job.addresses[0]


@when('the installer fetches the rest of version 2')
def fetches_rest(context):
    job = _next_fetch_job(context.installer)
    while job.install.version == 2:
        content = f'{job.index}'.encode()
        fetched = events.PieceFetched(job, 'e1', Ok(content))
        context.installer.handle_fetched_piece(fetched, Reply())
        if job.install.pieces.is_complete:
            return
        job = _next_fetch_job(context.installer)


@then('the installer asks that host {order}')
def asks_host(context, order):
    sleep(NOT_YET_RETRY_DELAY_S)
    again = _next_fetch_job(context.installer)
    assert again.install is context.failed_job.install
    addresses = again.addresses
    place = {'first': 0, 'last': -1}[order]
    assert addresses[place] == context.first_asked, addresses


def _finish_load_job(installer):
    waiter = AsyncResult()
    installer.enqueue_loader(events.GetNextLoadJob(), Reply(waiter))
    assert waiter.ready(), 'the installer assigned no load job'
    job = waiter.get().ok_value
    return events.LoadJobDone(job, True, {})


@when(
    'the installer has {known} of a version, its worker is {state} '
    'and it {assumption}'
)
def has_part_of_version(context, known, state, assumption):
    worker = 'without a manifest' if known == 'nothing' else 'unscanned'
    context.index = decisions.next_piece_index(
        _install(2, 0, worker),
        state == 'reachable',
        assumption == 'may assume it empty',
    )


@then("the installer's next fetch is {index}")
def next_fetch_is(context, index):
    found = {None: 'nothing', -1: 'manifest'}.get(context.index, context.index)
    assert str(found) == index, found


@when(
    'the installer is asked for staged pieces of version {version:d} of {model}'
)
def asked_for_staged(context, version, model):
    context.shared = decisions.can_share_version(
        context.worker, context.install, model, version
    )


@then('the installer {shares} them')
def shares_them(context, shares):
    assert context.shared == (shares == 'shares')


class _RecordingKernel:
    """Record the time limit of the first call, and end its caller."""

    def __init__(self):
        self.limits = []

    def call(self, _service, _message, *limits):
        self.limits.extend(limits)
        raise GreenletExit


@when('the {task} task asks for a job')
def ask_for_job(context, task):
    context.kernel = _RecordingKernel()
    run = {
        'installer fetch': lambda: tasks.fetch_pieces(context.kernel),
        'installer load': lambda: tasks.run_load_jobs(context.kernel),
        'relay fetch': lambda: relay_tasks.fetch_pieces(context.kernel, None),
    }[task]
    with contextlib.suppress(GreenletExit):
        run()


@then('it waits for the reply without a time limit')
def check_limit(context):
    assert context.kernel.limits == [None], context.kernel.limits


@when('installer has sent a piece of {size:d} KiB on a link of {rate:g} Mbit/s')
def send_piece(context, size, rate):
    context.pause_s = sharing.sharing_pause_s(size * 1024, rate * 125000)


@then('installer pauses for {pause:g} s')
def check_pause(context, pause):
    found = round(context.pause_s * 1000)
    assert found == round(pause * 1000), found


_MANIFEST_PIECES = [f'{number}'.encode() for number in range(64)]
_FETCHES_MAX = 80


def _manifest(wrong):
    """Return a manifest in which the named digests are wrong."""
    digests = [hashlib.sha256(one).hexdigest() for one in _MANIFEST_PIECES]
    wrong_indexes = [int(word) for word in wrong.split() if word.isdigit()]
    for index in wrong_indexes:
        digests[index] = hashlib.sha256(b'another').hexdigest()
    if wrong == 'one digest less':
        digests.pop()
    if wrong == 'nothing readable':
        return b'{"layers": 16, "digests": ['
    return json.dumps({'layers': 16, 'digests': digests}).encode()


@given('an installer that received a manifest with {wrong}')
def received_manifest(context, wrong):
    context.installer = _new_installer()
    _send_hello(context.installer, 2)
    context.manifests = [_manifest(wrong)]


def _fetch_again(context, second):
    """Reply to the fetch jobs of the installer until it has a version."""
    context.pauses = []
    context.asked = []
    context.doubted = 0
    context.all_asked = context.asked
    for _ in range(_FETCHES_MAX):
        job = _next_fetch_job(context.installer)
        pieces = job.install.pieces
        context.asked.append(job.index)
        if job.index >= 0:
            content = Ok(_MANIFEST_PIECES[job.index])
        elif job.doubted_digest or len(context.asked) > 1:
            context.doubted += bool(job.doubted_digest)
            content = second.pop(0) if len(second) > 1 else second[0]
        else:
            content = Ok(context.manifests[0])
        waiter = AsyncResult()
        fetched = events.PieceFetched(job, job.addresses[0], content)
        context.installer.handle_fetched_piece(fetched, Reply(waiter))
        context.pauses.append(waiter.get().ok_value)
        if pieces.is_complete and len(pieces.digests) == 64:
            return
        if pieces.is_complete:
            break
        # The installer asks another time after a failure.
        pieces.transfer.retry_at_s = 0
    context.asked = None


@when("the installer's entry hosts send intact pieces and {again} on doubt")
def send_pieces(context, again):
    wrong = {
        'the right one': 'nothing',
        'the same one': 'digest 5',
        'one with digest 6': 'digest 6',
    }
    if again == 'a manifest that is not sent':
        second = Err(Failure(ErrorKind.CHUNK_NOT_YET, ''))
        _fetch_again(context, [second])
        return
    sent = [Ok(_manifest(wrong[again]))]
    if again == 'one with digest 6':
        sent.append(Ok(_manifest('nothing')))
    _fetch_again(context, sent)


@then('the installer has a complete version after {fetches} fetches')
def complete_after(context, fetches):
    found = 'never' if context.asked is None else str(len(context.asked))
    assert found == fetches, found


@then('the installer doubted the manifest {doubts:d} times')
def doubted_times(context, doubts):
    assert context.doubted == doubts, context.doubted


@then("the installer's pauses after corrupt pieces grow")
def pauses_grow(context):
    in_row = [count for count in context.pauses if count]
    assert in_row == sorted(in_row), in_row


@then('the installer asked for piece 5 at least {times:d} times')
def asked_for_piece(context, times):
    found = context.all_asked.count(5)
    assert found >= times, found
