"""Decide when a worker stops serving what it holds and takes a version."""

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerView


def is_reachable(view: WorkerView) -> bool:
    """Tell whether the worker answers."""
    return view.report is not None and view.misses < const.UNREACHABLE_AFTER


def is_installed(view: WorkerView, install: Install) -> bool:
    """Tell whether the worker holds the whole version, or a later one."""
    if view.report is None or view.version < install.version:
        return False
    whole = view.layers_start == 0 and view.layers_end >= install.stock.layers
    return whole or view.version > install.version


def may_switch(install: Install, view: WorkerView, now_s: float) -> bool:
    """Tell whether the worker may stop serving what it holds."""
    if serves_nothing(install, view) or install.turn == 0:
        return True
    return now_s >= install.switch_by_s


def serves_nothing(install: Install, view: WorkerView) -> bool:
    """Tell whether the worker holds no whole version."""
    return view.version == 0 or view.layers_end < install.stock.layers


def is_switching(install: Install, view: WorkerView, now_s: float) -> bool:
    """Tell whether entry hosts should send to other workers now."""
    if is_installed(view, install):
        return False
    if install.ordered_s is not None:
        return True
    if not install.stock.digests or not may_switch(install, view, now_s):
        return False
    return left_s(install) < const.DRAIN_S


def is_drained(install: Install, view: WorkerView, now_s: float) -> bool:
    """Tell whether what ran at the worker has ended, or had time to."""
    if serves_nothing(install, view):
        return True
    if install.draining_s is None:
        return False
    if not view.report.active + view.report.queued:
        return True
    return now_s - install.draining_s >= const.DRAIN_S


def note_draining(install: Install, view: WorkerView, now_s: float) -> None:
    """Note since when entry hosts send new requests elsewhere."""
    if not is_switching(install, view, now_s):
        install.draining_s = None
    elif install.draining_s is None:
        install.draining_s = now_s


def left_s(install: Install) -> float:
    """Estimate the time until all pieces are here."""
    stock = install.stock
    missing = len(stock.digests) - len(stock.pieces)
    if not missing:
        return 0
    return stock.flow.piece_s * missing
