"""Decide whether the layers that a worker reports are those of a version."""

from apricotpin.components.installer.checks import piece_indexes
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.messages.pieces import LayerRange


class LoadedWeights:
    """Track whether loaded layers may consist of pieces of another version.

    ordered_version is the version of the last accepted order, reported_version
    that of the last report. Layers of unverified_version count as not loaded
    until their pieces were found intact at the worker, or until an order later
    than the first orders_min ones has loaded them again. install and indexes
    are what is to be read for that; install is None where it is not known.
    """

    __slots__ = (
        'indexes',
        'install',
        'is_bad',
        'is_verified',
        'ordered_version',
        'orders_min',
        'reported_version',
        'unverified_version',
    )

    def __init__(self) -> None:
        self.ordered_version = 0
        self.reported_version: int | None = None
        self.forget()

    def forget(self) -> None:
        """Trust the layers that are reported next."""
        self.ordered_version = 0
        self.reported_version = None
        self._clear()

    def require_check(
        self,
        install: Install,
        part: LayerRange,
        indexes: frozenset[int] | None = None,
    ) -> None:
        """Count a version as not loaded until its pieces were read again."""
        if indexes is None:
            indexes = frozenset(piece_indexes(install.pieces, part))
        self.unverified_version = install.version
        self.install = install
        self.indexes = indexes
        self.is_verified = False
        self.is_bad = False

    def record_bad(self, version: int) -> None:
        """Count a version as not loaded until it is loaded again."""
        self._clear()
        self.unverified_version = version
        self.is_bad = True

    def record_order(self, version: int, orders_min: int) -> None:
        """Record an order that began to load checked pieces."""
        self.ordered_version = version
        if version == self.unverified_version:
            self.orders_min = orders_min
            self.is_verified = True
            self.is_bad = False

    def record_check(self, is_intact: bool) -> None:
        """Record whether the pieces read again are those of the version."""
        self.is_verified = is_intact
        self.is_bad = not is_intact

    def apply_report(
        self,
        worker: WorkerState,
        open_version: int,
        current: Install | None,
        has_copied: bool,
    ) -> bool:
        """Hide unverified layers; return whether a report is unexplained.

        open_version is that of an order that was sent and is not settled, 0
        if there is none. has_copied: the staged pieces may not be those that
        were loaded.
        """
        version = worker.version
        explained = (0, self.reported_version, self.ordered_version)
        is_first = self.reported_version is None
        self.reported_version = version
        is_unexplained = (
            not is_first
            and version not in explained
            and version != open_version
        )
        if is_unexplained:
            self.record_bad(version)
            self.is_bad = has_copied
        elif version and version != self.unverified_version:
            if version == self.ordered_version:
                self._clear()
        self._select_install(current)
        self._hide(worker)
        return is_unexplained

    @property
    def needs_check(self) -> bool:
        """Return whether pieces are to be read to verify loaded layers."""
        return (
            self.install is not None
            and bool(self.install.pieces.digests)
            and not self.is_bad
            and not self.is_verified
        )

    def _select_install(self, current: Install | None) -> None:
        if self.install is not None or current is None:
            return
        if current.version == self.unverified_version:
            self.install = current
            self.indexes = None
        elif self.unverified_version:
            # The staged pieces may be those of the current version.
            self.is_bad = True

    def _hide(self, worker: WorkerState) -> None:
        report = worker.report
        is_replaced = (
            self.is_verified
            and not report.has_order_in_progress
            and report.accepted_orders >= self.orders_min
        )
        if is_replaced:
            self._clear()
        if worker.version and worker.version == self.unverified_version:
            worker.version = 0
            worker.layers_start = 0
            worker.layers_end = 0

    def _clear(self) -> None:
        self.unverified_version = 0
        self.install: Install | None = None
        self.indexes: frozenset[int] | None = None
        self.is_verified = False
        self.is_bad = False
        self.orders_min = 0
