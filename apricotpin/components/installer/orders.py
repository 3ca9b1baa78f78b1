"""Record orders to load and what the worker reports and replies of them."""

from result import Result

from apricotpin.components.installer import const
from apricotpin.components.installer.loaded_weights import LoadedWeights
from apricotpin.components.installer.open_calls import (
    OpenCalls,
    OpenOrder,
    copies_of_others,
    is_outcome_unknown,
)
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.pieces import LayerRange, OrderEffect


def begin_order(
    calls: OpenCalls, install: Install, part: LayerRange, worker: WorkerState
) -> OpenOrder:
    """Record an order that is about to be sent."""
    report = worker.report
    order = OpenOrder(install, part, report.accepted_orders, report.started_ms)
    previous = calls.order
    if previous is not None and previous.is_unanswered:
        order.unanswered_s = previous.unanswered_s
        order.are_pieces_changed = previous.are_pieces_changed
        order.part = LayerRange(
            min(part.start, previous.part.start),
            max(part.end, previous.part.end),
        )
    calls.order = order
    return order


def record_reply(
    calls: OpenCalls,
    weights: LoadedWeights,
    order: OpenOrder,
    reply: Result[OrderEffect, Failure],
    now_s: float,
) -> None:
    """Record the reply of the worker, or its absence, to an order."""
    if reply.is_err():
        if is_outcome_unknown(reply.err_value):
            _record_unanswered(calls, weights, order, now_s)
        elif _is_refused_late(order, reply.err_value, now_s):
            _settle(calls, order)
        return
    _settle(calls, order)
    if reply.ok_value is OrderEffect.BEGUN:
        _check_begun_load(calls, weights, order, now_s)
    elif order.is_unanswered:
        _check_late_load(weights, order)
    elif now_s < calls.earlier_until_s:
        # An order of the earlier agent may have loaded the layers.
        _check_late_load(weights, order)
    else:
        weights.ordered_version = order.install.version


def apply_report(
    calls: OpenCalls, weights: LoadedWeights, worker: WorkerState, now_s: float
) -> None:
    """Settle an order after which the worker has begun one."""
    calls.accepted_orders = worker.report.accepted_orders
    calls.worker_started_ms = worker.report.started_ms
    order = calls.order
    if order is None:
        return
    if not _has_taken_effect(order, weights, worker):
        return
    _settle(calls, order)
    weights.ordered_version = order.install.version
    if order.is_unanswered:
        order.install.load_ordered_s = now_s
        _check_late_load(weights, order)


def _has_taken_effect(
    order: OpenOrder, weights: LoadedWeights, worker: WorkerState
) -> bool:
    """Return whether a report shows that an order can't take effect later."""
    if worker.report.accepted_orders > order.expected_orders:
        return True
    version = order.install.version
    if version in weights.unverified:
        # These layers may have been loaded before the order.
        return False
    return worker.version == version and worker.layers_end >= order.part.end


def _is_refused_late(order: OpenOrder, failure: Failure, now_s: float) -> bool:
    """Return whether a refused order can't take effect any more.

    A refusal may be due to an earlier send, which the next reports show. If
    they show nothing for as long as a call may take effect, layers that are
    reported as the version later count as unexplained.
    """
    if not order.is_unanswered:
        return True
    is_settled = now_s >= order.unanswered_s + const.CALL_SETTLE_S
    return failure.kind is ErrorKind.ENGINE_REFUSED and is_settled


def _record_unanswered(
    calls: OpenCalls, weights: LoadedWeights, order: OpenOrder, now_s: float
) -> None:
    order.unanswered_s = now_s
    if order.started_ms != calls.worker_started_ms:
        # The worker that has started since may have received the order.
        calls.earlier_until_s = now_s + const.CALL_SETTLE_S
    elif order.is_settled:
        _check_late_load(weights, order)


def _check_begun_load(
    calls: OpenCalls, weights: LoadedWeights, order: OpenOrder, now_s: float
) -> None:
    """Have pieces read that a late copy may have replaced after the check."""
    install = order.install
    weights.record_order(install.version, order.expected_orders + 1)
    suspects = copies_of_others(calls, install, order.part)
    if now_s < calls.earlier_until_s:
        weights.require_check(install, order.part)
    elif suspects:
        weights.require_check(install, order.part, frozenset(suspects))


def _check_late_load(weights: LoadedWeights, order: OpenOrder) -> None:
    """Have the pieces read that an order may have loaded long after a check.

    Pieces that were written since do not show what was loaded.
    """
    version = order.install.version
    weights.ordered_version = version
    if order.are_pieces_changed:
        weights.record_bad(version)
    elif not weights.is_bad(version):
        weights.require_check(order.install, order.part)


def _settle(calls: OpenCalls, order: OpenOrder) -> None:
    order.is_settled = True
    if calls.order is order:
        calls.order = None
