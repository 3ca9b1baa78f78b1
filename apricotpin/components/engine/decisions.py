"""The next step towards the version that the engine shall serve."""

from collections.abc import Callable

from result import Result

from apricotpin.components.engine import const
from apricotpin.components.engine.state import Engine, Orders, Wanted
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.transfers import EngineReport, EngineStepDone
from apricotpin.messages.weights import EngineState


def expect_version(engine: Engine, wanted: Wanted) -> None:
    """Take the version that a configuration orders, unless it is older."""
    current = engine.wanted
    if current is not None:
        if wanted.fencing_number < current.fencing_number:
            return
        if _same_version(current, wanted):
            current.fencing_number = wanted.fencing_number
            if wanted.chunks is not None:
                current.chunks = wanted.chunks
            return
    in_progress = engine.orders.ordering
    engine.wanted = wanted
    engine.orders = Orders()
    engine.orders.ordering = in_progress


def read_due(engine: Engine, now_s: float) -> bool:
    """Tell whether to ask the engine what it serves, and note the request."""
    reads = engine.reads
    if reads.reading or now_s < reads.due_s:
        return False
    reads.reading = True
    return True


def next_order(
    engine: Engine,
    gate_is_open: Callable[[], bool],
    now_s: float,
) -> str | None:
    """Return the next order to give, or None if there is nothing to do yet.

    A host that may switch reports switching first and gives the requests in
    progress at most drain_s to end.
    """
    orders = engine.orders
    if not _may_order(engine) or now_s < orders.resume_s:
        return None
    if not orders.loaded:
        orders.ordering = True
        return const.STEP_LOAD
    if orders.switching_until_s is None:
        return _begin_switch(engine, gate_is_open, now_s)
    if engine.reads.report.in_flight and now_s < orders.switching_until_s:
        return None
    return _activate(engine)


def settle_order(
    engine: Engine,
    done: EngineStepDone,
    now_s: float,
) -> str:
    """Take the outcome of an order; return the label it is counted under."""
    orders = engine.orders
    orders.ordering = False
    engine.reads.renew(now_s)
    wanted = engine.wanted
    superseded = wanted is None or wanted.manifest.digest != done.digest
    if done.outcome.is_err():
        if not superseded:
            engine.repeat_later(now_s)
        refused = done.outcome.err_value.kind is ErrorKind.ENGINE_REFUSED
        return const.ORDER_REFUSED if refused else const.ORDER_FAILED
    if not superseded:
        orders.loaded = True
        orders.activated = done.step == const.STEP_ACTIVATE
    return const.ORDER_DONE


def settle_read(
    engine: Engine,
    serial: int,
    outcome: Result[EngineReport, Failure],
    now_s: float,
) -> str | None:
    """Take a report; return the label of an order that it settles, if any."""
    reads = engine.reads
    reads.reading = False
    if serial != reads.serial:
        reads.due_s = now_s
        return None
    reads.due_s = now_s + _read_period_s(engine)
    if outcome.is_err():
        reads.failed += 1
        if reads.failed >= const.FAILED_READS_MAX:
            reads.report = None
            reads.fresh = False
            engine.orders.loaded = False
        return None
    reads.failed = 0
    reads.fresh = True
    reads.report = outcome.ok_value
    return _settle_activation(engine, now_s)


def state_of(engine: Engine) -> EngineState:
    """Return what other services are told about the engine."""
    report = engine.reads.report
    switching = engine.orders.switching_until_s is not None
    if report is None:
        return EngineState('', '', switching)
    version = '' if _has_wrong_digest(engine, report) else report.version
    return EngineState(report.model, version, switching, report.in_flight)


def _may_order(engine: Engine) -> bool:
    if engine.wanted is None or engine.wanted.chunks is None:
        return False
    if engine.orders.ordering or not engine.reads.fresh:
        return False
    return not (engine.confirmed or engine.outranked)


def _same_version(one: Wanted, other: Wanted) -> bool:
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
        # An engine that serves nothing yet has no requests to protect.
        return _activate(engine)
    if gate_is_open():
        engine.orders.switching_until_s = now_s + engine.drain_s
        engine.reads.renew(now_s)
    return None


def _activate(engine: Engine) -> str:
    engine.orders.ordering = True
    return const.STEP_ACTIVATE


def _settle_activation(engine: Engine, now_s: float) -> str | None:
    orders = engine.orders
    activated = orders.activated
    orders.activated = False
    if engine.confirmed:
        switched = activated or orders.switching_until_s is not None
        orders.switching_until_s = None
        orders.failures = 0
        return const.ORDER_CONFIRMED if switched else None
    if activated:
        engine.repeat_later(now_s)
        return const.ORDER_NOT_CONFIRMED
    return None


def _has_wrong_digest(engine: Engine, report: EngineReport) -> bool:
    wanted = engine.wanted
    if wanted is None or wanted.matches(report):
        return False
    manifest = wanted.manifest
    return (report.model, report.version) == (manifest.model, manifest.version)


def _read_period_s(engine: Engine) -> float:
    if engine.orders.switching_until_s is None:
        return const.READ_PERIOD_S
    return const.DRAIN_READ_PERIOD_S
