"""Decide what an agent fetches, stages and orders, and when."""

import enum

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerView
from apricotpin.components.installer.switching import (
    is_drained,
    is_installed,
    is_reachable,
    is_switching,
    may_switch,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import matches_sha256
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.pieces import WorkerReport


class Load(enum.Enum):
    """Say what the loader does next."""

    WAIT = 'wait'
    SCAN = 'scan'
    STAGE = 'stage'
    CHECK = 'check'
    START = 'start'


def view_report(view: WorkerView, report: WorkerReport, layers: int) -> bool:
    """Take a report; return whether the worker has started again."""
    known = view.report
    view.report = report
    view.misses = 0
    view.version = 0
    view.layers_start = 0
    view.layers_end = 0
    for part in report.loaded:
        if part.version >= view.version:
            view.version = part.version
            view.layers_start = part.start
            view.layers_end = layers if part.end < 0 else part.end
    return known is not None and known.started_ms != report.started_ms


def next_index(
    install: Install,
    is_there: bool,
    may_guess: bool,
) -> int | None:
    """Return the piece to fetch next; the manifest comes first.

    is_there tells whether the worker answers, and may_guess whether one that
    does not is taken as empty.
    """
    if not install.stock.digests:
        wanted = const.MANIFEST_INDEX
        return None if wanted in install.stock.fetching else wanted
    if not install.stock.scanned and (is_there or not may_guess):
        # What is staged already needs no transfer.
        return None
    taken = install.stock.fetching.union(install.stock.pieces)
    missing = (
        index
        for index, _ in enumerate(install.stock.digests)
        if index not in taken
    )
    return next(missing, None)


def is_not_yet(failure: Failure) -> bool:
    """Tell whether an entry host waits for a piece itself."""
    return failure.kind is ErrorKind.CHUNK_NOT_YET


def note_failed(
    install: Install,
    failure: Failure,
    now_s: float,
) -> bool:
    """Note that a piece did not come; return whether its source is suspect."""
    if not is_not_yet(failure):
        return True
    install.stock.flow.again_s = now_s + const.NOT_YET_PAUSE_S
    return now_s - install.stock.flow.progress_s > const.SOURCE_STALL_S


def note_fetched(
    install: Install,
    index: int,
    content: bytes,
    begun_s: float,
    now_s: float,
) -> None:
    """Keep a piece that is sound."""
    stock = install.stock
    stock.pieces[index] = content
    stock.flow.progress_s = now_s
    stock.flow.fetched += 1
    stock.flow.fetch_s += now_s - begun_s


def is_sound(install: Install, index: int, content: bytes | None) -> bool:
    """Tell whether content is the piece that the manifest names."""
    return matches_sha256(content, install.stock.digests[index])


def next_load(install: Install, view: WorkerView, now_s: float) -> Load:
    """Return what the loader does next."""
    if not install.stock.digests or not is_reachable(view):
        return Load.WAIT
    if is_installed(view, install):
        return Load.WAIT
    if not install.stock.scanned:
        return Load.SCAN
    if install.ordered_s is not None:
        return _after_order(install, view, now_s)
    if set(install.stock.pieces) - install.stock.staged:
        return Load.STAGE
    if not install.stock.is_complete:
        return Load.WAIT
    return _when_staged(install, view, now_s)


def _when_staged(install: Install, view: WorkerView, now_s: float) -> Load:
    """Check ahead of the turn, so that the worker is away for less time."""
    checked_s = install.stock.checked_s
    if checked_s is None:
        return Load.CHECK
    if not may_switch(install, view, now_s):
        return Load.WAIT
    if not is_drained(install, view, now_s):
        return Load.WAIT
    if now_s - checked_s > const.CHECK_FRESH_S:
        return Load.CHECK
    return Load.START


def _after_order(install: Install, view: WorkerView, now_s: float) -> Load:
    busy = view.report.has_order_in_progress
    overdue = now_s - install.ordered_s > const.ORDER_EFFECT_S
    if overdue and not busy:
        return Load.START
    return Load.WAIT


def note_scan(
    install: Install,
    found: dict[int, bytes],
    done: bool,
    now_s: float,
) -> None:
    """Take the staged pieces that a scan found right."""
    stock = install.stock
    stock.scanned = done
    stock.begun_s = now_s
    stock.pieces.update(found)
    stock.staged.update(found)


def note_step(
    install: Install,
    action: Load,
    staged: dict[int, bytes],
    begun_s: float,
    now_s: float,
) -> None:
    """Note a step at the worker that succeeded."""
    if action is Load.STAGE:
        install.stock.staged.update(staged)
    elif action is Load.CHECK:
        # A check that took longer than it stays fresh allows the order that
        # follows it at once.
        oldest_s = now_s - const.CHECK_FRESH_S + const.ORDER_AFTER_CHECK_S
        install.stock.checked_s = max(begun_s, oldest_s)
    elif action is Load.START:
        install.ordered_s = now_s


def shares(
    view: WorkerView,
    install: Install | None,
    model: str,
    version: int,
) -> bool:
    """Tell whether what is staged is the whole version that the worker runs.

    A worker stages one version of a model, so pieces of a newer one replace
    those of the version that it still runs.
    """
    if not is_reachable(view) or view.version != version:
        return False
    if install is not None and not is_installed(view, install):
        return False
    return any(part.model == model for part in view.report.loaded)


def report_of(
    settings: HostSettings,
    view: WorkerView,
    install: Install | None,
    now_s: float,
) -> LoadReport:
    """Return what entry hosts are told of the worker."""
    report = view.report
    is_done = install is None or is_installed(view, install)
    return LoadReport(
        address=settings.upstream_address,
        peer_address=settings.peer_address,
        data_centre=settings.data_centre,
        service_name=settings.service,
        count=0,
        reachable=is_reachable(view),
        started_ms=0 if report is None else report.started_ms,
        active=0 if report is None else report.active,
        queued=0 if report is None else report.queued,
        version=view.version,
        layers_start=view.layers_start,
        layers_end=view.layers_end,
        switching=install is not None and is_switching(install, view, now_s),
        installing=0 if is_done else install.version,
    )
