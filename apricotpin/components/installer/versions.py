"""Which version is installed now, which waits, and which is given up."""

from collections.abc import Iterable

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

    def wanted(self, view: WorkerView, now_s: float) -> Install | None:
        """Return the version of which a piece is fetched now, if any."""
        order = self._fetch_order(view, now_s)
        asked = [one for one in order if one.stock.flow.again_s <= now_s]
        return asked[0] if asked else None

    def has_choice(self, view: WorkerView, now_s: float) -> bool:
        """Tell whether another version could use the link meanwhile."""
        return len(self._fetch_order(view, now_s)) > 1

    def change_current(self, view: WorkerView, now_s: float) -> None:
        """Install another version where that one serves sooner or longer."""
        before = self.current
        if before is None:
            return
        install = better_install(
            before, self._parked, view, self._bound_s, now_s
        )
        if install is None:
            return
        logger.bind(
            version=install.version,
            instead_of=before.version,
            pieces=len(install.stock.pieces),
            pieces_instead_of=len(before.stock.pieces),
        ).info('version_fallback')
        self._parked[before.version] = before
        self.current = self._parked.pop(install.version)
        install.stock.flow.progress_s = now_s

    def note_staged(self, install: Install, indexes: Iterable[int]) -> None:
        """Note that a worker holds one version's pieces in place of others."""
        beside = [*self._parked.values(), self.current]
        for other in beside:
            if other is not None and other is not install:
                other.stock.staged.difference_update(indexes)

    def drop_older(self, view: WorkerView) -> None:
        """Drop the versions that the worker's own replaces."""
        drop_older(self._parked, view.version)

    def _fetch_order(self, view: WorkerView, now_s: float) -> list[Install]:
        if self.current is None:
            return []
        return fetch_order(
            self.current, self._parked, view, self._bound_s, now_s
        )

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
            now_s - known_for_s(target),
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
            now_s - known_for_s(target),
        )
        install.switch_by_s = switch_by_s
        install.stock.flow.progress_s = now_s
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
    if not install.stock.pieces:
        return True
    if install.stock.is_complete:
        return False
    left = left_s(install)
    if install.group == 0 and now_s + left <= install.switch_by_s:
        return False
    copy_s = install.stock.flow.piece_s * len(install.stock.digests)
    return left + copy_s > spare_s


def fetch_order(
    install: Install,
    parked: dict[int, Install],
    view: WorkerView,
    bound_s: float,
    now_s: float,
) -> list[Install]:
    """Return the versions to fetch, best first.

    While a whole version waits for its turn, the next one is fetched; while a
    version does not come, an older one that may still serve.
    """
    if install.stock.is_complete:
        return [newest_after(install, parked) or install]
    older = older_than(install, parked, view, bound_s, now_s)
    return [install, *(one for one in older if not one.stock.is_complete)]


def better_install(
    install: Install,
    parked: dict[int, Install],
    view: WorkerView,
    bound_s: float,
    now_s: float,
) -> Install | None:
    """Return the version to install in place of the one in progress, if any.

    While a newer version does not come, an older one that is whole is better;
    one that could serve for too short a time gives way to the newer.
    """
    if is_installed(view, install) or install.ordered_s is not None:
        return None
    newer = newest_after(install, parked)
    if newer is not None:
        following = next_after(install, install, parked)
        worth = is_worth_loading(install, following, bound_s, now_s)
        return None if worth and not newer.stock.is_complete else newer
    if not is_stalled(install, now_s):
        return None
    older = older_than(install, parked, view, bound_s, now_s)
    whole = [one for one in older if one.stock.is_complete]
    return whole[0] if whole else None


def newest_after(
    install: Install,
    parked: dict[int, Install],
) -> Install | None:
    """Return the newest version after one."""
    newer = [version for version in parked if version > install.version]
    return parked[max(newer)] if newer else None


def next_after(
    one: Install,
    install: Install,
    parked: dict[int, Install],
) -> Install:
    """Return the next version after one, whose bound ends it."""
    known = {**parked, install.version: install}
    return known[min(version for version in known if version > one.version)]


def older_than(
    install: Install,
    parked: dict[int, Install],
    view: WorkerView,
    bound_s: float,
    now_s: float,
) -> list[Install]:
    """Return the older versions that are worth loading, newest first."""
    older = [
        one
        for version, one in parked.items()
        if view.version < version < install.version
        and one.stock.digests
        and is_worth_loading(
            one, next_after(one, install, parked), bound_s, now_s
        )
    ]
    return sorted(older, key=lambda one: one.version, reverse=True)


def is_worth_loading(
    older: Install,
    newer: Install,
    bound_s: float,
    now_s: float,
) -> bool:
    """Tell whether a version can serve for some time before its bound."""
    ends_s = newer.declared_s + bound_s - const.VERSION_RESERVE_S
    ready_s = now_s + left_s(older) + const.LOAD_S
    return ends_s - ready_s >= const.LEAST_USE_S


def is_stalled(install: Install, now_s: float) -> bool:
    """Tell whether nothing of a version has come for some time."""
    if install.stock.is_complete:
        return False
    return now_s - install.stock.flow.progress_s > const.STALL_S


def drop_older(parked: dict[int, Install], version: int) -> None:
    """Drop the versions that a worker's own replaces."""
    older = [one for one in parked if one <= version]
    for one in older:
        parked.pop(one)
