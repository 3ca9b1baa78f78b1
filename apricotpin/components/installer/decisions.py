"""Decide which piece an agent fetches and which load step comes next."""

import enum

from apricotpin.components.installer import checks, const, manifests
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.components.installer.switching import (
    is_drained,
    is_installed,
    is_reachable,
    is_switching,
    may_switch,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import matches_digest_of
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.pieces import LayerRange, WorkerReport


class LoadStep(enum.Enum):
    """Name the next step to load a version into the worker.

    SCAN looks for pieces that are staged already, STAGE copies fetched pieces
    to the worker, CHECK verifies the staged pieces, START orders the load,
    VERIFY reads the staged pieces after a load.
    """

    WAIT = 'wait'
    SCAN = 'scan'
    STAGE = 'stage'
    CHECK = 'check'
    START = 'start'
    VERIFY = 'verify'


def update_worker(
    worker: WorkerState, report: WorkerReport, layers: int
) -> bool:
    """Record a report; return whether the worker has restarted."""
    previous = worker.report
    worker.report = report
    worker.missed_reports = 0
    worker.version = max((part.version for part in report.loaded), default=0)
    worker.layers_start = 0
    worker.layers_end = 0
    newest = [part for part in report.loaded if part.version == worker.version]
    for part in sorted(newest, key=lambda one: one.start):
        if part.start > worker.layers_end or not worker.layers_end:
            worker.layers_start = part.start
        worker.layers_end = max(
            worker.layers_end, layers if part.end < 0 else part.end
        )
    return previous is not None and previous.started_ms != report.started_ms


def next_piece_index(
    install: Install,
    can_reach_worker: bool,
    may_assume_empty: bool,
) -> int | None:
    """Return the index of the next piece to fetch, the manifest first.

    may_assume_empty: an unreachable worker counts as having no staged pieces.
    """
    if not install.pieces.digests:
        return manifests.index_to_fetch(install.pieces)
    if not install.pieces.is_scanned and (
        can_reach_worker or not may_assume_empty
    ):
        # Wait for the scan: a piece that is already staged needs no transfer.
        return None
    if install.pieces.manifest.is_doubted:
        return manifests.index_to_fetch(install.pieces)
    excluded = install.pieces.fetching.union(install.pieces.content)
    missing = (
        index
        for index, _ in enumerate(install.pieces.digests)
        if index not in excluded
    )
    corrupt_counts = install.pieces.manifest.corrupt_counts
    if not corrupt_counts:
        return next(missing, None)
    # Corrupt pieces come last, so that they do not delay the others.
    return min(
        missing,
        key=lambda index: (corrupt_counts.get(index, 0), index),
        default=None,
    )


def is_source_waiting(failure: Failure) -> bool:
    """Return whether the entry host lacked a piece and waits for it."""
    return failure.kind is ErrorKind.CHUNK_NOT_YET


def record_fetch_failure(
    install: Install,
    failure: Failure,
    now_s: float,
) -> bool:
    """Record a failed fetch; return whether to back off its source."""
    if not is_source_waiting(failure):
        return True
    install.pieces.transfer.retry_at_s = now_s + const.NOT_YET_RETRY_DELAY_S
    return (
        now_s - install.pieces.transfer.idle_since_s
        > const.SOURCE_STALL_TIMEOUT_S
    )


def record_piece(
    install: Install,
    index: int,
    content: bytes,
    started_s: float,
    now_s: float,
) -> None:
    """Keep an intact piece and update the transfer times."""
    pieces = install.pieces
    pieces.content[index] = content
    pieces.manifest.corrupt_counts.pop(index, None)
    pieces.manifest.corrupt_in_row = 0
    pieces.transfer.idle_since_s = now_s
    pieces.transfer.fetched_count += 1
    pieces.transfer.fetch_time_s += now_s - started_s


def is_intact(install: Install, index: int, content: bytes | None) -> bool:
    """Return whether content matches the piece's digest in the manifest."""
    return matches_digest_of(index, content, install.pieces.digests)


def next_step(install: Install, worker: WorkerState, now_s: float) -> LoadStep:
    """Return the next step to load a version into the worker."""
    if not install.pieces.digests or not is_reachable(worker):
        return LoadStep.WAIT
    if is_installed(worker, install):
        return LoadStep.WAIT
    if not install.pieces.is_scanned:
        return LoadStep.SCAN
    if install.load_ordered_s is not None:
        return _step_after_order(install, worker, now_s)
    if set(install.pieces.content) - install.pieces.staged:
        return LoadStep.STAGE
    if not install.pieces.is_complete:
        return LoadStep.WAIT
    return _step_when_staged(install, worker, now_s)


def _step_when_staged(
    install: Install, worker: WorkerState, now_s: float
) -> LoadStep:
    """Return the next step once all pieces are staged.

    The check runs before the worker's turn to switch, so that the worker is
    unavailable for less time.
    """
    if install.pieces.check.started_s is None:
        return LoadStep.CHECK
    if not may_switch(install, worker, now_s):
        return LoadStep.WAIT
    if not is_drained(install, worker, now_s):
        return LoadStep.WAIT
    return _checked_start(install, now_s)


def _step_after_order(
    install: Install, worker: WorkerState, now_s: float
) -> LoadStep:
    busy = worker.report.has_order_in_progress
    overdue = now_s - install.load_ordered_s > const.ORDER_EFFECT_TIMEOUT_S
    if overdue and not busy:
        return _checked_start(install, now_s)
    return LoadStep.WAIT


def _checked_start(install: Install, now_s: float) -> LoadStep:
    if checks.permits_order(install.pieces.check, now_s):
        return LoadStep.START
    return LoadStep.CHECK


def record_scan(
    install: Install,
    found: dict[int, bytes],
    succeeded: bool,
    now_s: float,
) -> None:
    """Record the intact pieces that a scan found at the worker."""
    pieces = install.pieces
    pieces.is_scanned = succeeded
    pieces.started_s = now_s
    pieces.content.update(found)
    pieces.staged.update(found)


def record_step(
    install: Install,
    step: LoadStep,
    part: LayerRange,
    started_s: float,
    now_s: float,
) -> None:
    """Record a check or a load order that succeeded."""
    if step is LoadStep.CHECK:
        checks.record_check(install.pieces, part, started_s, now_s)
    elif step is LoadStep.START:
        install.load_ordered_s = now_s


def record_staged(install: Install, staged: dict[int, bytes]) -> None:
    """Record pieces that were copied to the worker and not read since."""
    install.pieces.staged.update(staged)
    install.pieces.check.discard()


def can_share_version(
    worker: WorkerState,
    install: Install | None,
    model: str,
    version: int,
) -> bool:
    """Return whether the staged pieces are those of the loaded version.

    A worker stages one version of a model, so pieces of a newer version
    replace those of the version that is still loaded.
    """
    if not is_reachable(worker) or worker.version != version:
        return False
    if install is not None and not is_installed(worker, install):
        return False
    return any(part.model == model for part in worker.report.loaded)


def build_load_report(
    settings: HostSettings,
    worker: WorkerState,
    install: Install | None,
    now_s: float,
) -> LoadReport:
    """Build the load report that is sent to entry hosts."""
    report = worker.report
    is_done = install is None or is_installed(worker, install)
    return LoadReport(
        address=settings.upstream_address,
        peer_address=settings.peer_address,
        data_centre=settings.data_centre,
        service_name=settings.service,
        count=0,
        reachable=is_reachable(worker),
        started_ms=0 if report is None else report.started_ms,
        active=0 if report is None else report.active,
        queued=0 if report is None else report.queued,
        version=worker.version,
        layers_start=worker.layers_start,
        layers_end=worker.layers_end,
        switching=install is not None and is_switching(install, worker, now_s),
        installing=0 if is_done else install.version,
        leaving=report is not None and report.is_leaving,
    )
