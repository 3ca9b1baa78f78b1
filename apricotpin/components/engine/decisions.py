"""Decide on the next order that brings the engine to its target version."""

from collections.abc import Callable

from result import Result

from apricotpin.components.engine import const
from apricotpin.components.engine.state import (
    Engine,
    OrderProgress,
    TargetVersion,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.transfers import EngineReport, EngineStepDone
from apricotpin.messages.weights import EngineState


def set_target_version(engine: Engine, target: TargetVersion) -> None:
    """Set the target version unless the current one has a higher number.

    If it is the same version, the orders keep their progress. The number is
    the fencing number of the configuration that names the version.
    """
    current = engine.target
    if current is not None:
        if target.fencing_number < current.fencing_number:
            return
        if _is_same_version(current, target):
            current.fencing_number = target.fencing_number
            if target.chunks is not None:
                current.chunks = target.chunks
            return
    has_order_in_flight = engine.orders.has_order_in_flight
    engine.target = target
    engine.orders = OrderProgress()
    engine.orders.has_order_in_flight = has_order_in_flight


def begin_read_if_due(engine: Engine, now_s: float) -> bool:
    """Record the start of a status read if one is due; return whether it is."""
    reads = engine.reads
    if reads.has_read_in_flight or now_s < reads.next_read_s:
        return False
    reads.has_read_in_flight = True
    return True


def begin_next_order(
    engine: Engine,
    gate_is_open: Callable[[], bool],
    now_s: float,
) -> str | None:
    """Return the order to give now and record that it begins, or return None.

    A host that the gate lets switch first reports that it is switching. It
    activates the version when no requests are in progress, at the latest
    after the drain limit.
    """
    orders = engine.orders
    if not _may_give_order(engine) or now_s < orders.backoff_until_s:
        return None
    if not orders.is_loaded:
        orders.has_order_in_flight = True
        return const.STEP_LOAD
    if orders.drain_deadline_s is None:
        return _begin_switch(engine, gate_is_open, now_s)
    if engine.reads.report.in_flight and now_s < orders.drain_deadline_s:
        return None
    return _begin_activation(engine)


def record_order_outcome(
    engine: Engine,
    done: EngineStepDone,
    now_s: float,
) -> str:
    """Record the outcome of an order; return its label for the metric."""
    orders = engine.orders
    orders.has_order_in_flight = False
    engine.reads.invalidate(now_s)
    target = engine.target
    is_superseded = target is None or target.manifest.digest != done.digest
    if done.outcome.is_err():
        if not is_superseded:
            engine.schedule_retry(now_s)
        is_refused = done.outcome.err_value.kind is ErrorKind.ENGINE_REFUSED
        return const.ORDER_REFUSED if is_refused else const.ORDER_FAILED
    if not is_superseded:
        orders.is_loaded = True
        orders.awaits_confirmation = done.step == const.STEP_ACTIVATE
    return const.ORDER_DONE


def record_read_outcome(
    engine: Engine,
    serial: int,
    outcome: Result[EngineReport, Failure],
    now_s: float,
) -> str | None:
    """Record the outcome of a status read.

    Return the label of the order that the report confirms or contradicts, or
    None if it settles no order. A read with another serial than the current
    one is discarded, because it began before the last order or switch.
    """
    reads = engine.reads
    reads.has_read_in_flight = False
    if serial != reads.serial:
        reads.next_read_s = now_s
        return None
    reads.next_read_s = now_s + _read_period_s(engine)
    if outcome.is_err():
        reads.failure_count += 1
        if reads.failure_count >= const.FAILED_READS_MAX:
            reads.report = None
            reads.has_current_report = False
            engine.orders.is_loaded = False
        return None
    reads.failure_count = 0
    reads.has_current_report = True
    reads.report = outcome.ok_value
    return _check_activation(engine, now_s)


def engine_state(engine: Engine) -> EngineState:
    """Return the state that is published to other services."""
    report = engine.reads.report
    switching = engine.orders.drain_deadline_s is not None
    if report is None:
        return EngineState('', '', switching)
    version = '' if _has_wrong_digest(engine, report) else report.version
    return EngineState(report.model, version, switching, report.in_flight)


def _may_give_order(engine: Engine) -> bool:
    if engine.target is None or engine.target.chunks is None:
        return False
    if engine.orders.has_order_in_flight or not engine.reads.has_current_report:
        return False
    return not (engine.is_confirmed or engine.follows_newer_order)


def _is_same_version(one: TargetVersion, other: TargetVersion) -> bool:
    return one.manifest.digest == other.manifest.digest and (
        one.manifest.model,
        one.manifest.version,
    ) == (other.manifest.model, other.manifest.version)


def _begin_switch(
    engine: Engine,
    gate_is_open: Callable[[], bool],
    now_s: float,
) -> str | None:
    if not engine.reads.report.version:
        # An engine that serves no version has no requests that must end first.
        return _begin_activation(engine)
    if gate_is_open():
        engine.orders.drain_deadline_s = now_s + engine.drain_limit_s
        engine.reads.invalidate(now_s)
    return None


def _begin_activation(engine: Engine) -> str:
    engine.orders.has_order_in_flight = True
    return const.STEP_ACTIVATE


def _check_activation(engine: Engine, now_s: float) -> str | None:
    orders = engine.orders
    was_activated = orders.awaits_confirmation
    orders.awaits_confirmation = False
    if engine.is_confirmed:
        has_switched = was_activated or orders.drain_deadline_s is not None
        orders.drain_deadline_s = None
        orders.failures = 0
        return const.ORDER_CONFIRMED if has_switched else None
    if was_activated:
        engine.schedule_retry(now_s)
        return const.ORDER_NOT_CONFIRMED
    return None


def _has_wrong_digest(engine: Engine, report: EngineReport) -> bool:
    target = engine.target
    if target is None or target.matches(report):
        return False
    manifest = target.manifest
    return (report.model, report.version) == (manifest.model, manifest.version)


def _read_period_s(engine: Engine) -> float:
    if engine.orders.drain_deadline_s is None:
        return const.READ_PERIOD_S
    return const.DRAIN_READ_PERIOD_S
