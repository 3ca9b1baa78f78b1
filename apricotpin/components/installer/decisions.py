"""Decide what an agent fetches, stages and orders, and when."""

import enum

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerView
from apricotpin.helpers.hashing import matches_sha256
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.pieces import WorkerReport


class Load(enum.Enum):
    """Say what the loader does next."""

    WAIT = 'wait'
    SCAN = 'scan'
    STAGE = 'stage'
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


def is_reachable(view: WorkerView) -> bool:
    """Tell whether the worker answers."""
    return view.report is not None and view.misses < const.UNREACHABLE_AFTER


def is_installed(view: WorkerView, install: Install) -> bool:
    """Tell whether the worker holds the whole version, or a later one."""
    if view.report is None or view.version < install.version:
        return False
    whole = view.layers_start == 0 and view.layers_end >= install.stock.layers
    return whole or view.version > install.version


def supersedes(
    install: Install | None,
    view: WorkerView,
    version: int,
) -> bool:
    """Tell whether a version is installed in place of the one in progress.

    The workers that switch first finish a version that is almost here, so
    that its bound is kept while the others fetch the newer one.
    """
    if install is None:
        return True
    if version <= install.version:
        return False
    if is_installed(view, install):
        return True
    if install.finish_first:
        return False
    if install.group > 0:
        return True
    held = len(install.stock.pieces)
    return held < const.ALMOST_HERE_SHARE * max(1, len(install.stock.digests))


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


def is_stalled(install: Install, now_s: float) -> bool:
    """Tell whether nothing of a version has come for some time."""
    if install.stock.is_complete:
        return False
    return now_s - install.stock.progress_s > const.STALL_S


def best_parked(
    parked: dict[int, Install],
    install: Install,
    view: WorkerView,
    now_s: float,
) -> Install | None:
    """Return an older version to install while a newer one does not come."""
    if is_installed(view, install) or not is_stalled(install, now_s):
        return None
    newer = [
        version
        for version, one in parked.items()
        if view.version < version < install.version and one.stock.digests
    ]
    return parked[max(newer)] if newer else None


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
    if install.stock.is_complete and may_switch(install, view, now_s):
        return Load.START
    return Load.WAIT


def may_switch(install: Install, view: WorkerView, now_s: float) -> bool:
    """Tell whether the worker may stop serving what it holds."""
    serves_nothing = view.version == 0 or view.layers_end < install.stock.layers
    if serves_nothing or install.turn == 0:
        return True
    return now_s >= install.switch_by_s


def is_switching(install: Install, view: WorkerView, now_s: float) -> bool:
    """Tell whether entry hosts should send to other workers now."""
    if is_installed(view, install):
        return False
    if install.ordered_s is not None:
        return True
    if not install.stock.digests or not may_switch(install, view, now_s):
        return False
    return left_s(install, now_s) < const.DRAIN_AHEAD_S


def left_s(install: Install, now_s: float) -> float:
    """Estimate the time until all pieces are here."""
    missing = len(install.stock.digests) - len(install.stock.pieces)
    if not missing:
        return 0
    if not install.stock.pieces:
        return float('inf')
    return (now_s - install.stock.begun_s) / len(install.stock.pieces) * missing


def _after_order(install: Install, view: WorkerView, now_s: float) -> Load:
    busy = view.report.busy
    overdue = now_s - install.ordered_s > const.ORDER_EFFECT_S
    if overdue and not busy:
        return Load.START
    return Load.WAIT


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
    )
