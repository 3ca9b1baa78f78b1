"""Connect load steps with the open calls and the loaded layers of a worker."""

import time

from loguru import logger
from result import Ok

from apricotpin.components.installer import decisions, open_calls, orders
from apricotpin.components.installer.events import LoadJob, LoadJobDone
from apricotpin.components.installer.loaded_weights import LoadedWeights
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.components.installer.switching import is_reachable
from apricotpin.messages.pieces import OrderEffect


def select_step(
    calls: open_calls.OpenCalls,
    weights: LoadedWeights,
    worker: WorkerState,
    current: Install,
    now_s: float,
) -> tuple[decisions.LoadStep, Install]:
    """Return the next load step and the version that it concerns."""
    to_read = weights.layers_to_read
    if to_read is not None:
        step = (
            decisions.LoadStep.VERIFY
            if is_reachable(worker)
            else decisions.LoadStep.WAIT
        )
        return step, to_read.install
    install = open_calls.install_to_load(calls, current)
    step = decisions.LoadStep.WAIT
    if weights.can_load(install.version):
        step = decisions.next_step(install, worker, now_s)
    step, reason = open_calls.next_step(calls, install, worker, step, now_s)
    if reason != calls.reason_logged:
        calls.reason_logged = reason
        logger.bind(
            version=current.version,
            ordered_version=install.version,
            reason=reason or 'none',
        ).info('load_waits')
    return step, install


def prepare_job(
    calls: open_calls.OpenCalls,
    weights: LoadedWeights,
    worker: WorkerState,
    job: LoadJob,
) -> None:
    """Add to a job the order to give, or the pieces to verify."""
    if job.step is decisions.LoadStep.START:
        job.order = orders.begin_order(calls, job.install, job.part, worker)
    elif job.step is decisions.LoadStep.VERIFY:
        indexes = weights.layers_to_read.indexes_to_read
        job.pieces = dict.fromkeys(sorted(indexes), b'')


def record_calls(
    calls: open_calls.OpenCalls,
    weights: LoadedWeights,
    done: LoadJobDone,
    now_s: float,
) -> None:
    """Record what the calls of a load step may still change."""
    job = done.job
    open_calls.record_copies(calls, job.install, done.unanswered, now_s)
    if done.has_copied:
        open_calls.record_write(calls)
    if done.order_reply is not None:
        orders.record_reply(calls, weights, job.order, done.order_reply, now_s)
        _record_kept(weights, done)
    if job.step is decisions.LoadStep.SCAN and done.succeeded:
        open_calls.record_scan(calls, done.found_staged)
    if job.step is decisions.LoadStep.VERIFY and done.succeeded:
        _record_verified(weights, done)


def apply_report(
    calls: open_calls.OpenCalls,
    weights: LoadedWeights,
    worker: WorkerState,
    current: Install | None,
    restarted: bool,
) -> None:
    """Settle open calls, and hide layers that may be of other pieces."""
    if restarted:
        calls.forget()
        weights.forget()
    orders.apply_report(calls, weights, worker, time.monotonic())
    version = worker.version
    is_unexplained = weights.apply_report(
        worker,
        0 if calls.order is None else calls.order.install.version,
        current,
        calls.has_copied,
    )
    if is_unexplained:
        logger.bind(
            version=version,
            ordered_version=weights.ordered_version,
            accepted_orders=worker.report.accepted_orders,
        ).warning('worker_weights_unexplained')


def _record_kept(weights: LoadedWeights, done: LoadJobDone) -> None:
    """Give no further order for bad layers that orders do not replace.

    A worker loads a version only if it holds layers of another one.
    """
    install = done.job.install
    if done.order_reply != Ok(OrderEffect.IN_EFFECT):
        return
    if weights.record_kept(install.version):
        logger.bind(version=install.version, reason='bad_layers').warning(
            'worker_weights_not_replaced'
        )


def _record_verified(weights: LoadedWeights, done: LoadJobDone) -> None:
    install = done.job.install
    bad = len(done.job.pieces) - len(done.pieces)
    is_current = weights.record_check(
        install, frozenset(done.job.pieces), is_intact=not bad
    )
    if is_current and bad:
        install.load_ordered_s = None
        install.pieces.check.discard()
        logger.bind(version=install.version, pieces=bad).warning(
            'worker_weights_bad'
        )
