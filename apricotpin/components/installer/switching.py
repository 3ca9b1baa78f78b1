"""Decide when a worker stops serving its loaded version for a newer one."""

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerState


def is_reachable(worker: WorkerState) -> bool:
    """Return whether the worker's recent reports were read."""
    return (
        worker.report is not None
        and worker.missed_reports < const.UNREACHABLE_AFTER_MISSED
    )


def is_installed(worker: WorkerState, install: Install) -> bool:
    """Return whether a version, or a later one, is loaded completely."""
    if worker.report is None or worker.version < install.version:
        return False
    is_complete = (
        worker.layers_start == 0 and worker.layers_end >= install.pieces.layers
    )
    return is_complete or worker.version > install.version


def may_switch(install: Install, worker: WorkerState, now_s: float) -> bool:
    """Return whether the worker may stop serving its loaded version."""
    if lacks_complete_version(install, worker) or install.turn == 0:
        return True
    return now_s >= install.switch_deadline_s


def lacks_complete_version(install: Install, worker: WorkerState) -> bool:
    """Return whether the worker has no complete version loaded."""
    return worker.version == 0 or worker.layers_end < install.pieces.layers


def is_switching(install: Install, worker: WorkerState, now_s: float) -> bool:
    """Return whether entry hosts should send requests to other workers.

    Draining begins before the last pieces arrive, so that it ends at about
    the time when they are all present.
    """
    if is_installed(worker, install):
        return False
    if install.load_ordered_s is not None:
        return True
    if not install.pieces.digests or not may_switch(install, worker, now_s):
        return False
    return remaining_fetch_s(install) < const.DRAIN_MAX_S


def is_drained(install: Install, worker: WorkerState, now_s: float) -> bool:
    """Return whether no request runs any more, or the drain time is over."""
    if lacks_complete_version(install, worker):
        return True
    if install.draining_since_s is None:
        return False
    if not worker.report.active + worker.report.queued:
        return True
    return now_s - install.draining_since_s >= const.DRAIN_MAX_S


def update_draining(
    install: Install, worker: WorkerState, now_s: float
) -> None:
    """Set or clear the time since when the worker is draining."""
    if not is_switching(install, worker, now_s):
        install.draining_since_s = None
    elif install.draining_since_s is None:
        install.draining_since_s = now_s


def remaining_fetch_s(install: Install) -> float:
    """Estimate the time until all pieces are present."""
    pieces = install.pieces
    missing = len(pieces.digests) - len(pieces.content)
    if not missing:
        return 0
    return pieces.transfer.piece_time_s * missing
