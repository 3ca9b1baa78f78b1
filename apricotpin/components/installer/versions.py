"""Which version is installed now, which waits, and which is given up."""

from loguru import logger

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerView
from apricotpin.components.installer.switching import is_installed, left_s
from apricotpin.messages.fleet import EntryHello, WeightsTarget


class Versions:
    """Hold the version in progress and those that were begun beside it."""

    __slots__ = ('current', '_bound_s', '_data_centre', '_parked')

    def __init__(self, data_centre: str, bound_s: float) -> None:
        self.current: Install | None = None
        self._data_centre = data_centre
        self._bound_s = bound_s
        self._parked: dict[int, Install] = {}

    def take_target(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        view: WorkerView,
        now_s: float,
    ) -> None:
        """Take a declared version, and the turn that a greeting names."""
        install = self.current
        spare_s = self._bound_s - const.LOAD_RESERVE_S - known_for_s(target)
        if supersedes(install, view, target.version, spare_s, now_s):
            install = self._begin(target, hello, view, now_s)
        elif target.version > install.version:
            self._park_next(target, now_s)
        near = hello.data_centre == self._data_centre
        if near and hello.turn_version == install.version:
            install.turn = hello.turn
            install.group = hello.group
            install.may_cut = hello.may_cut

    def wanted(self) -> Install | None:
        """Return the version whose pieces are fetched."""
        if self.current is None:
            return None
        return wanted_now(self.current, self._parked)

    def fall_back(self, view: WorkerView, now_s: float) -> None:
        """Go back to an older version while the newer one does not come."""
        install = self.current
        if install is None:
            return
        older = best_parked(self._parked, install, view, now_s)
        if older is None:
            return
        logger.bind(
            version=older.version,
            instead_of=install.version,
            pieces=len(older.stock.pieces),
        ).info('version_fallback')
        self._parked[install.version] = install
        self.current = self._parked.pop(older.version)
        self.current.stock.progress_s = now_s
        self.current.finish_first = True

    def drop_older(self, view: WorkerView) -> None:
        """Drop the versions that the worker's own replaces."""
        drop_older(self._parked, view.version)

    def _switch_by_s(self, target: WeightsTarget, now_s: float) -> float:
        allowed_s = self._bound_s * const.SWITCH_LATEST_SHARE
        return now_s - known_for_s(target) + allowed_s

    def _park_next(
        self,
        target: WeightsTarget,
        now_s: float,
    ) -> None:
        """Keep a version for later; what is staged is not of it."""
        if target.version in self._parked:
            return
        following = Install(
            target.model,
            target.version,
            now_s,
            self._switch_by_s(target, now_s),
        )
        following.stock.scanned = True
        self._parked[target.version] = following
        logger.bind(
            version=target.version,
            after=self.current.version,
            pieces=len(self.current.stock.pieces),
        ).info('version_parked')

    def _begin(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        view: WorkerView,
        now_s: float,
    ) -> Install:
        switch_by_s = self._switch_by_s(target, now_s)
        before = self.current
        if before is not None and not is_installed(view, before):
            # The version that was skipped has an earlier bound.
            switch_by_s = min(switch_by_s, before.switch_by_s)
            self._parked[before.version] = before
        install = self._parked.pop(target.version, None) or Install(
            target.model,
            target.version,
            now_s,
            switch_by_s,
        )
        install.switch_by_s = switch_by_s
        install.stock.progress_s = now_s
        if before is not None:
            # Until an entry host names the turn, later groups wait.
            install.group = before.group
            install.turn = before.group
        self.current = install
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_ms=target.known_for_ms,
            entry_host=hello.host_id,
        ).info('version_wanted')
        return install


def known_for_s(target: WeightsTarget) -> float:
    """Return for how long a version is known; an unknown time counts as 0."""
    return max(0, target.known_for_ms) / 1000


def supersedes(
    install: Install | None,
    view: WorkerView,
    version: int,
    spare_s: float,
    now_s: float,
) -> bool:
    """Tell whether a version is installed in place of the one in progress.

    The one in progress is finished where the newer one can follow it within
    the time that is left for that, spare_s: otherwise no worker may serve
    between the bound of the one in progress and the arrival of the newer.
    One that waits for its turn costs the newer one no time. The group that
    switches first finishes a version that comes in time for its own bound in
    any case, since the origin may deliver nothing of the newer one.
    """
    if install is None:
        return True
    if version <= install.version:
        return False
    if is_installed(view, install):
        return True
    if install.finish_first or install.stock.is_complete:
        return False
    left = left_s(install, now_s)
    if install.group == 0 and now_s + left <= install.switch_by_s:
        return False
    return left + copy_s(install, now_s) > spare_s


def copy_s(install: Install, now_s: float) -> float:
    """Estimate the time that a whole copy takes, by the pieces that came."""
    stock = install.stock
    if not stock.pieces:
        return float('inf')
    ended_s = stock.progress_s if stock.is_complete else now_s
    return (ended_s - stock.begun_s) / len(stock.pieces) * len(stock.digests)


def wanted_now(install: Install, parked: dict[int, Install]) -> Install:
    """Return the version whose pieces are fetched.

    While a whole version waits for its turn, the next one is fetched.
    """
    newer = [version for version in parked if version > install.version]
    if newer and install.stock.is_complete:
        return parked[max(newer)]
    return install


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


def drop_older(parked: dict[int, Install], version: int) -> None:
    """Drop the versions that a worker's own replaces."""
    older = [one for one in parked if one <= version]
    for one in older:
        parked.pop(one)
