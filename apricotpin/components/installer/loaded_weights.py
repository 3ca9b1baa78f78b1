"""Decide whether the layers that a worker reports are those of a version."""

import enum
from typing import Final

from apricotpin.components.installer.checks import piece_indexes
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.messages.pieces import LayerRange


class LayerState(enum.Enum):
    """Name what is known of layers that count as not loaded.

    UNREAD: their pieces are to be read. INTACT: they were found intact, or an
    order loads them again. BAD: they are to be loaded again. KEPT: they are
    bad, but the worker answers that the order to load them is in effect.
    """

    UNREAD = 'unread'
    INTACT = 'intact'
    BAD = 'bad'
    KEPT = 'kept'


_BAD_STATES: Final = frozenset((LayerState.BAD, LayerState.KEPT))


class UnverifiedLayers:
    """Describe layers of one version that count as not loaded.

    Once they are INTACT they count again, but not before the worker has begun
    orders_min orders. install and indexes are what is to be read; install is
    None where it is not known, indexes where it is all pieces.
    """

    __slots__ = ('indexes', 'install', 'orders_min', 'state')

    def __init__(self, state: LayerState) -> None:
        self.state = state
        self.install: Install | None = None
        self.indexes: frozenset[int] | None = None
        self.orders_min = 0

    @property
    def indexes_to_read(self) -> frozenset[int]:
        """Return the indexes of the pieces to read."""
        if self.indexes is None:
            return frozenset(range(len(self.install.pieces.digests)))
        return self.indexes


class LoadedWeights:
    """Track whether loaded layers may consist of pieces of another version.

    ordered_version is the version of the last accepted order, reported_version
    that of the last report. unverified maps versions to their layers that
    count as not loaded.
    """

    __slots__ = ('ordered_version', 'reported_version', 'unverified')

    def __init__(self) -> None:
        self.unverified: dict[int, UnverifiedLayers] = {}
        self.forget()

    def forget(self) -> None:
        """Trust the layers that are reported next."""
        self.ordered_version = 0
        self.reported_version: int | None = None
        self.unverified.clear()

    def require_check(
        self,
        install: Install,
        part: LayerRange,
        indexes: frozenset[int] | None = None,
    ) -> None:
        """Count a version as not loaded until its pieces were read again."""
        if indexes is None:
            indexes = frozenset(piece_indexes(install.pieces, part))
        layers = self.unverified.setdefault(
            install.version, UnverifiedLayers(LayerState.UNREAD)
        )
        layers.state = LayerState.UNREAD
        layers.install = install
        layers.indexes = indexes

    def record_bad(self, version: int) -> None:
        """Count a version as not loaded until it is loaded again."""
        self.unverified[version] = UnverifiedLayers(LayerState.BAD)

    def is_bad(self, version: int) -> bool:
        """Return whether the layers of a version are bad."""
        layers = self.unverified.get(version)
        return layers is not None and layers.state in _BAD_STATES

    def record_kept(self, version: int) -> bool:
        """Record that an order does not replace the layers of a version.

        Return whether that was not known.
        """
        layers = self.unverified.get(version)
        if layers is None or layers.state is not LayerState.BAD:
            return False
        layers.state = LayerState.KEPT
        return True

    def can_load(self, version: int) -> bool:
        """Return whether an order for a version may begin a load."""
        layers = self.unverified.get(version)
        is_kept = layers is not None and layers.state is LayerState.KEPT
        return not is_kept or version != self.reported_version

    def record_order(self, version: int, orders_min: int) -> None:
        """Record an order that began to load checked pieces."""
        self.ordered_version = version
        layers = self.unverified.get(version)
        if layers is not None:
            layers.orders_min = orders_min
            layers.state = LayerState.INTACT

    def record_check(
        self, install: Install, indexes: frozenset[int], is_intact: bool
    ) -> bool:
        """Record pieces read; return whether they are those to be read."""
        layers = self.unverified.get(install.version)
        if layers is None or layers.state is not LayerState.UNREAD:
            return False
        if layers.install is not install or layers.indexes_to_read - indexes:
            return False
        layers.state = LayerState.INTACT if is_intact else LayerState.BAD
        return True

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
            state = LayerState.BAD if has_copied else LayerState.UNREAD
            self.unverified[version] = UnverifiedLayers(state)
        elif version and version == self.ordered_version:
            # A worker that has loaded the ordered version has no other.
            for other in self.unverified.keys() - {version}:
                self.unverified.pop(other)
        self._select_installs(current)
        self._hide(worker)
        return is_unexplained

    @property
    def layers_to_read(self) -> UnverifiedLayers | None:
        """Return the newest layers whose pieces are to be read."""
        for _, layers in sorted(self.unverified.items(), reverse=True):
            is_known = layers.install and layers.install.pieces.digests
            if layers.state is LayerState.UNREAD and is_known:
                return layers
        return None

    def _select_installs(self, current: Install | None) -> None:
        if current is None:
            return
        for version, layers in self.unverified.items():
            is_unread = layers.state is LayerState.UNREAD
            if not is_unread or layers.install is not None:
                continue
            if current.version == version:
                layers.install = current
            else:
                # The staged pieces may be those of the current version.
                layers.state = LayerState.BAD

    def _hide(self, worker: WorkerState) -> None:
        report = worker.report
        layers = self.unverified.get(worker.version)
        if layers is None:
            return
        is_replaced = (
            layers.state is LayerState.INTACT
            and not report.has_order_in_progress
            and report.accepted_orders >= layers.orders_min
        )
        if is_replaced:
            self.unverified.pop(worker.version)
            return
        worker.version = 0
        worker.layers_start = 0
        worker.layers_end = 0
