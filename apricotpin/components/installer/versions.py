"""Select the version to install now, and those to defer or discard."""

from collections.abc import Iterable

from loguru import logger

from apricotpin.components.installer import const
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.components.installer.switching import (
    is_installed,
    remaining_fetch_s,
)
from apricotpin.messages.fleet import EntryHello, WeightsTarget


class Versions:
    """Track the version being installed and the deferred versions."""

    __slots__ = ('current', '_data_centre', '_deferred', '_version_limit_s')

    def __init__(self, data_centre: str, version_limit_s: float) -> None:
        self.current: Install | None = None
        self._data_centre = data_centre
        self._version_limit_s = version_limit_s
        self._deferred: dict[int, Install] = {}

    def apply_target(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        worker: WorkerState,
        now_s: float,
    ) -> None:
        """Install or defer a declared version; record the turn of a hello."""
        install = self.current
        time_left_s = (
            self._version_limit_s - const.LOAD_MARGIN_S - declared_for_s(target)
        )
        if should_replace(install, worker, target.version, time_left_s, now_s):
            install = self._start_install(target, hello, worker, now_s)
        elif target.version > install.version:
            self._defer_target(target, now_s)
        is_local = hello.data_centre == self._data_centre
        if is_local and hello.turn_version == install.version:
            install.turn = hello.turn
            install.group = hello.group
            install.may_truncate = hello.may_cut

    def next_to_fetch(
        self, worker: WorkerState, now_s: float
    ) -> Install | None:
        """Return the version to fetch a piece of now, if any."""
        ordered = self._fetch_order(worker, now_s)
        due = [
            one for one in ordered if one.pieces.transfer.retry_at_s <= now_s
        ]
        return due[0] if due else None

    def has_alternative(self, worker: WorkerState, now_s: float) -> bool:
        """Return whether the link could be used for another version."""
        return len(self._fetch_order(worker, now_s)) > 1

    def reselect_current(self, worker: WorkerState, now_s: float) -> None:
        """Switch to a deferred version if that serves sooner or longer."""
        previous = self.current
        if previous is None:
            return
        install = select_replacement(
            previous, self._deferred, worker, self._version_limit_s, now_s
        )
        if install is None:
            return
        logger.bind(
            version=install.version,
            instead_of=previous.version,
            pieces=len(install.pieces.content),
            pieces_instead_of=len(previous.pieces.content),
        ).info('version_fallback')
        self._deferred[previous.version] = previous
        self.current = self._deferred.pop(install.version)
        install.pieces.transfer.idle_since_s = now_s

    def record_overwritten(
        self, install: Install, indexes: Iterable[int]
    ) -> None:
        """Record that pieces may have replaced those of other versions."""
        installs = [*self._deferred.values(), self.current]
        for other in installs:
            if other is not None and other is not install:
                other.pieces.staged.difference_update(indexes)
                other.pieces.check.discard()

    def discard_replaced(self, worker: WorkerState) -> None:
        """Discard deferred versions up to the loaded one."""
        discard_up_to(self._deferred, worker.version)

    def _fetch_order(self, worker: WorkerState, now_s: float) -> list[Install]:
        if self.current is None:
            return []
        return fetch_order(
            self.current, self._deferred, worker, self._version_limit_s, now_s
        )

    def _switch_deadline_s(self, target: WeightsTarget, now_s: float) -> float:
        allowed_s = self._version_limit_s * const.SWITCH_DEADLINE_FRACTION
        return now_s - declared_for_s(target) + allowed_s

    def _defer_target(
        self,
        target: WeightsTarget,
        now_s: float,
    ) -> None:
        """Defer a version.

        The staged pieces are those of another version, so no scan is needed.
        """
        if target.version in self._deferred:
            return
        install = Install(
            target.model,
            target.version,
            now_s,
            self._switch_deadline_s(target, now_s),
            now_s - declared_for_s(target),
        )
        install.pieces.is_scanned = True
        self._deferred[target.version] = install
        logger.bind(
            version=target.version,
            after=self.current.version,
            pieces=len(self.current.pieces.content),
        ).info('version_parked')

    def _start_install(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        worker: WorkerState,
        now_s: float,
    ) -> Install:
        switch_deadline_s = self._switch_deadline_s(target, now_s)
        previous = self.current
        if previous is not None and not is_installed(worker, previous):
            # The skipped version sets an earlier deadline.
            switch_deadline_s = min(
                switch_deadline_s, previous.switch_deadline_s
            )
            self._deferred[previous.version] = previous
        install = self._deferred.pop(target.version, None) or Install(
            target.model,
            target.version,
            now_s,
            switch_deadline_s,
            now_s - declared_for_s(target),
        )
        install.switch_deadline_s = switch_deadline_s
        install.pieces.transfer.idle_since_s = now_s
        if previous is not None:
            # Groups after the first wait until an entry host names the turn.
            install.group = previous.group
            install.turn = previous.group
        self.current = install
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_ms=target.known_for_ms,
            entry_host=hello.host_id,
        ).info('version_wanted')
        return install


def declared_for_s(target: WeightsTarget) -> float:
    """Return how long ago a version was declared, 0 if that is unknown."""
    return max(0, target.known_for_ms) / 1000


def should_replace(
    current: Install | None,
    worker: WorkerState,
    version: int,
    time_left_s: float,
    now_s: float,
) -> bool:
    """Return whether a newer version is installed instead of the current one.

    The current one is finished first if the newer one can still be fetched
    after it within time_left_s. Otherwise no worker could serve between the
    deadline that the current one sets for older versions and the arrival of
    the newer one. A complete version that waits for its turn does not delay
    the newer one. The first switch group always finishes a version that will
    be complete by its switch deadline, since the origin may deliver nothing
    of the newer one.
    """
    if current is None:
        return True
    if version <= current.version:
        return False
    if is_installed(worker, current):
        return True
    if not current.pieces.content:
        return True
    if current.pieces.is_complete:
        return False
    remaining_s = remaining_fetch_s(current)
    if current.group == 0 and now_s + remaining_s <= current.switch_deadline_s:
        return False
    newer_s = current.pieces.transfer.piece_time_s * len(current.pieces.digests)
    return remaining_s + newer_s > time_left_s


def fetch_order(
    current: Install,
    deferred: dict[int, Install],
    worker: WorkerState,
    version_limit_s: float,
    now_s: float,
) -> list[Install]:
    """Return the versions to fetch pieces of, best first.

    While a complete version waits for its turn, the newest one is fetched.
    While the current version does not arrive, older ones that may still serve
    are fetched.
    """
    if current.pieces.is_complete:
        return [newest_after(current, deferred) or current]
    older = loadable_older(current, deferred, worker, version_limit_s, now_s)
    return [current, *(one for one in older if not one.pieces.is_complete)]


def select_replacement(
    current: Install,
    deferred: dict[int, Install],
    worker: WorkerState,
    version_limit_s: float,
    now_s: float,
) -> Install | None:
    """Return the version to install instead of the current one, if any.

    While the current version does not arrive, a complete older one is better.
    A newer one is better if it is complete, or if the current one could serve
    only for too short a time.
    """
    if is_installed(worker, current) or current.load_ordered_s is not None:
        return None
    newer = newest_after(current, deferred)
    if newer is not None:
        successor = successor_of(current, current, deferred)
        can_serve = is_worth_loading(current, successor, version_limit_s, now_s)
        return None if can_serve and not newer.pieces.is_complete else newer
    if not is_stalled(current, now_s):
        return None
    older = loadable_older(current, deferred, worker, version_limit_s, now_s)
    complete = [one for one in older if one.pieces.is_complete]
    return complete[0] if complete else None


def newest_after(
    install: Install,
    deferred: dict[int, Install],
) -> Install | None:
    """Return the newest deferred version that is newer than the given one."""
    newer = [version for version in deferred if version > install.version]
    return deferred[max(newer)] if newer else None


def successor_of(
    install: Install,
    current: Install,
    deferred: dict[int, Install],
) -> Install:
    """Return the next newer version, which sets the deadline of this one."""
    known = {**deferred, current.version: current}
    return known[min(version for version in known if version > install.version)]


def loadable_older(
    current: Install,
    deferred: dict[int, Install],
    worker: WorkerState,
    version_limit_s: float,
    now_s: float,
) -> list[Install]:
    """Return the older versions that are worth loading, newest first."""
    older = [
        one
        for version, one in deferred.items()
        if worker.version < version < current.version
        and one.pieces.digests
        and is_worth_loading(
            one, successor_of(one, current, deferred), version_limit_s, now_s
        )
    ]
    return sorted(older, key=lambda one: one.version, reverse=True)


def is_worth_loading(
    older: Install,
    newer: Install,
    version_limit_s: float,
    now_s: float,
) -> bool:
    """Return whether a version can serve long enough before its deadline."""
    ends_s = newer.declared_s + version_limit_s - const.VERSION_MARGIN_S
    ready_s = now_s + remaining_fetch_s(older) + const.LOAD_TIME_S
    return ends_s - ready_s >= const.SERVING_TIME_MIN_S


def is_stalled(install: Install, now_s: float) -> bool:
    """Return whether no piece of a version has arrived for too long."""
    if install.pieces.is_complete:
        return False
    return (
        now_s - install.pieces.transfer.idle_since_s
        > const.VERSION_STALL_TIMEOUT_S
    )


def discard_up_to(deferred: dict[int, Install], version: int) -> None:
    """Discard deferred versions up to the given one."""
    older = [one for one in deferred if one <= version]
    for one in older:
        deferred.pop(one)
