"""Steps for decisions while calls of a worker may still take effect."""

import hashlib
import time
import types

from behave import given, then, when
from result import Err, Ok

from apricotpin.components.installer import (
    checks,
    decisions,
    events,
    load_steps,
    open_calls,
    orders,
    service,
)
from apricotpin.components.installer.loaded_weights import LoadedWeights
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.pieces import LayerRange, OrderEffect, WorkerReport
from apricotpin.messages.upstreams import LoadedLayers

_START_S = 100.0
_LAYERS = 16
_PIECES = [b'0', b'1', b'2', b'3']
_BORN_MS = 7
_ORDERS = 3


def _install(version, staged):
    install = Install('m', version, _START_S, _START_S + 6, _START_S)
    pieces = install.pieces
    pieces.layers = _LAYERS
    pieces.digests = [hashlib.sha256(piece).hexdigest() for piece in _PIECES]
    pieces.content = dict(enumerate(_PIECES))
    pieces.staged = set(pieces.content) if staged else set()
    pieces.is_scanned = True
    return install


def _report(
    context, begun, version=0, started_ms=_BORN_MS, is_busy=False, current=None
):
    """Have the worker report that it has begun so many orders."""
    loaded = (LoadedLayers('m', version, 0, _LAYERS),) if version else ()
    report = WorkerReport(
        0, 0, is_busy, started_ms, loaded, accepted_orders=begun
    )
    restarted = decisions.update_worker(context.worker, report, _LAYERS)
    load_steps.apply_report(
        context.calls, context.weights, context.worker, current, restarted
    )


def _begin(context):
    whole = LayerRange(0, _LAYERS)
    return orders.begin_order(
        context.calls, context.older, whole, context.worker
    )


def _reply(context, order, reply, after_s=0):
    now_s = _START_S + after_s
    orders.record_reply(context.calls, context.weights, order, reply, now_s)


_REPLIES = {
    'unanswered': Err(Failure(ErrorKind.ENGINE_OUTCOME_UNKNOWN, 'silent')),
    'timed out': Err(Failure(ErrorKind.TIMEOUT, '')),
    'refused': Err(Failure(ErrorKind.ENGINE_REFUSED, 'status 409')),
    'not sent': Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, 'connect_failed')),
    'begun': Ok(OrderEffect.BEGUN),
    'in effect': Ok(OrderEffect.IN_EFFECT),
}


def _apply_event(context, event):
    """Apply one of the events that follow an order."""
    if event == 'nothing':
        return
    if event == 'restart':
        _report(context, 0, started_ms=_BORN_MS + 1)
    elif event == 'version 2 is loaded':
        _report(context, _ORDERS, version=2)
    elif event.startswith('report of'):
        _report(context, int(event.split()[2]))
    elif event == 'repair':
        open_calls.record_write(context.calls)
    else:
        reply, _, after = event.partition(' after ')
        after_s = float(after.removesuffix(' s') or 0)
        _reply(context, _begin(context), _REPLIES[reply], after_s)


def _new_state(context):
    context.calls = open_calls.OpenCalls()
    context.weights = LoadedWeights()
    context.worker = WorkerState()
    context.older = _install(2, staged=True)
    context.current = _install(3, staged=False)


@given('an installer whose order for version 2 was {outcome}, then {event}')
def order_then_event(context, outcome, event):
    _new_state(context)
    _report(context, _ORDERS)
    _reply(context, _begin(context), _REPLIES[outcome])
    for one in event.split(', '):
        _apply_event(context, one)


@when('the installer selects the step for version 3 after {after:g} s')
def select_step(context, after):
    step, install = load_steps.select_step(
        context.calls,
        context.weights,
        context.worker,
        context.current,
        _START_S + after,
    )
    context.step = f'{step.value} {install.version}'


@then('the installer selects {step}')
def selects(context, step):
    assert context.step == step, context.step


@when("the installer's host was suspended after the check of version 2")
def suspended_after_check(context):
    whole = LayerRange(0, _LAYERS)
    now_s = time.monotonic()
    checks.record_check(context.older.pieces, whole, now_s, now_s)
    settings = types.SimpleNamespace(
        service='drafting',
        data_centre='a',
        is_first_start=True,
        limits=types.SimpleNamespace(version_limit_s=8),
    )
    installer = service.InstallerService(Kernel('agent'), settings)
    installer._open_calls = context.calls
    installer.suspended_s -= 1
    installer._detect_suspension(context.current)


@then('the staged pieces of version 2 are to be checked again')
def check_is_discarded(context):
    assert context.older.pieces.check.started_s is None


@given('an installer whose copy of piece {index:d} of version 2 is open')
def open_copy(context, index):
    _new_state(context)
    _report(context, _ORDERS)
    open_calls.record_copies(context.calls, context.older, (index,), _START_S)


@given('version {version:d} is staged, and was checked after {checked:g} s')
def staged_and_checked(context, version, checked):
    context.current = _install(version, staged=True)
    whole = LayerRange(0, _LAYERS)
    at_s = _START_S + checked
    checks.record_check(context.current.pieces, whole, at_s, at_s)


@when('the worker restarts')
def worker_restarts(context):
    _apply_event(context, 'restart')


@given('an installer that {follows} another agent, with a worker that {state}')
def new_agent(context, follows, state):
    _new_state(context)
    if follows == 'may follow':
        context.calls.expect_earlier_agent(_START_S)
    begun = 0 if 'no order' in state else _ORDERS
    if 'did not listen' in state:
        context.calls.exclude_earlier_agent()
    # The clock may have been set back after the worker started.
    is_ahead = 'time' in state
    born_ms = int(time.time() * 1000) + 60000 if is_ahead else _BORN_MS
    _report(context, begun, started_ms=born_ms)
    scan = events.LoadJob(
        decisions.LoadStep.SCAN, context.current, LayerRange(0, _LAYERS), {}
    )
    done = events.LoadJobDone(scan, True, {})
    done.found_staged = 'nothing staged' not in state
    load_steps.record_calls(context.calls, context.weights, done, _START_S)


@given(
    'an installer whose worker has {version:d} loaded and an order for {order}'
)
def loaded_and_ordered(context, version, order):
    _new_state(context)
    _report(context, _ORDERS, version)
    if order != 'none':
        context.older = _install(int(order), staged=True)
        _reply(context, _begin(context), _REPLIES['begun'])


@when(
    'the worker reports version {version:d} while the agent installs {current}'
)
def reports_version(context, version, current):
    context.installs = None
    if current != 'none':
        context.installs = _install(int(current), staged=True)
    _report(context, _ORDERS + 1, version, current=context.installs)


@then('the installer reports version {version:d}, and verifies {verifies}')
def reports_and_verifies(context, version, verifies):
    assert context.worker.version == version, context.worker.version
    to_read = context.weights.layers_to_read
    found = 'none' if to_read is None else str(to_read.install.version)
    assert found == verifies, found


def _begin_verify(context):
    return events.LoadJob(
        decisions.LoadStep.VERIFY,
        context.weights.layers_to_read.install,
        LayerRange(0, _LAYERS),
        dict(enumerate(_PIECES)),
    )


def _end_verify(context, verify, found):
    done = events.LoadJobDone(verify, True, found)
    load_steps.record_calls(context.calls, context.weights, done, _START_S)


@when('the pieces that the installer reads again are {state}')
def read_again(context, state):
    verify = _begin_verify(context)
    found = verify.pieces if state == 'intact' else {0: _PIECES[0]}
    _end_verify(context, verify, found)
    _report(context, _ORDERS + 1, 2, current=context.installs)


@when('the worker reports version 3 while the installer reads those of 2')
def report_while_reading(context):
    verify = _begin_verify(context)
    current = _install(3, staged=True)
    _report(context, _ORDERS + 2, 3, current=current)
    _end_verify(context, verify, verify.pieces)
    _report(context, _ORDERS + 2, 3, current=current)


@when('the worker begins version 3 while a copy of version 2 is open')
def begins_beside_copy(context):
    open_calls.record_copies(context.calls, context.older, (1,), _START_S)
    context.older = _install(3, staged=True)
    _reply(context, _begin(context), _REPLIES['begun'])


@when('the worker reports version {version:d} after {begun:d} more orders')
def reports_after_orders(context, version, begun):
    _report(context, _ORDERS + begun, version, current=context.older)


@when('the worker {event} after that')
def worker_event(context, event):
    if event == 'begins another order':
        _reply(context, _begin(context), _REPLIES['begun'])
        _report(context, _ORDERS + 1, 2, is_busy=True)
        context.version_while_loading = context.worker.version
        _report(context, _ORDERS + 2, 2)
        assert context.version_while_loading == 0
    elif event == 'states that it is in effect':
        _reply(context, _begin(context), _REPLIES['in effect'])
        _report(context, _ORDERS + 1, 2)


@when(
    'an order for these is {reply}, and the worker reports {event}',
)
def order_for_bad_layers(context, reply, event):
    install = context.installs
    whole = LayerRange(0, _LAYERS)
    job = events.LoadJob(decisions.LoadStep.START, install, whole, {})
    load_steps.prepare_job(context.calls, context.weights, context.worker, job)
    done = events.LoadJobDone(job, reply == 'in effect', {})
    done.order_reply = _REPLIES[reply]
    load_steps.record_calls(context.calls, context.weights, done, _START_S)
    if event == 'a restart':
        _report(context, 0, started_ms=_BORN_MS + 1, current=install)
    else:
        version = int(event.split()[1])
        _report(context, _ORDERS + 1, version, current=install)


@when(
    'the installer selects the step for version {version:d}, checked just now'
)
def select_checked_step(context, version):
    if version == context.installs.version:
        context.current = context.installs
    else:
        context.current = _install(version, staged=True)
    now_s = _START_S + 20
    whole = LayerRange(0, _LAYERS)
    checks.record_check(context.current.pieces, whole, now_s, now_s)
    context.current.draining_since_s = _START_S
    select_step(context, 20)


@when('version 3 is ordered after {after:g} s, and is in effect')
def ordered_in_effect(context, after):
    context.older = _install(3, staged=True)
    order = _begin(context)
    _reply(context, order, _REPLIES['in effect'], after)
    born_ms = context.worker.report.started_ms
    _report(context, _ORDERS + 1, 3, born_ms, current=context.older)
