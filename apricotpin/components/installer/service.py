"""Own the version to install and the state of the worker beside it."""

import json
import time

from loguru import logger

from apricotpin.components.installer import const, decisions
from apricotpin.components.installer.entries import Entries
from apricotpin.components.installer.events import (
    IsShared,
    LoadDone,
    LoadOrder,
    NextLoad,
    NextPiece,
    PieceFetched,
    PieceOrder,
    ReportRead,
)
from apricotpin.components.installer.state import Install, WorkerView
from apricotpin.const import SERVICE_PRESENCE
from apricotpin.core import Kernel, Reply
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import (
    AnnounceLoad,
    EntryHello,
    LoadReport,
    WeightsTarget,
)
from apricotpin.messages.pieces import WorkerReport


class InstallerService:
    """Own the version to install and the state of the worker."""

    __slots__ = (
        '_entries',
        '_fetchers',
        '_install',
        '_kernel',
        '_loaders',
        '_parked',
        '_settings',
        '_view',
    )

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._entries = Entries(settings.data_centre)
        self._view = WorkerView()
        self._install: Install | None = None
        # Versions that were begun and not finished.
        self._parked: dict[int, Install] = {}
        self._fetchers: list[Reply] = []
        self._loaders: list[Reply] = []

    def hear_entry(self, hello: EntryHello, reply: Reply) -> None:
        """Learn of an entry host, the declared version and the turn."""
        now_s = time.monotonic()
        self._entries.hear(hello)
        for target in hello.targets:
            if target.service_name == self._settings.service:
                self._take_target(target, hello, now_s)
        self._go_on()
        reply.ok()

    def take_report(self, message: ReportRead, reply: Reply) -> None:
        """Take the worker's report and pass it on to entry hosts."""
        if message.report.is_err():
            self._view.misses += 1
            if self._view.misses == const.UNREACHABLE_AFTER:
                detail = repr(message.report.err_value)
                logger.bind(dependency='worker', error=detail).warning(
                    'dependency_lost',
                )
        else:
            self._take_report(message.report.ok_value)
        self._kernel.send(SERVICE_PRESENCE, AnnounceLoad(self.own_report()))
        self._fall_back()
        self._go_on()
        reply.ok()

    def next_piece(self, _message: NextPiece, reply: Reply) -> None:
        """Let a fetcher wait for its next piece."""
        self._fetchers.append(reply)
        self._go_on()

    def take_piece(self, message: PieceFetched, reply: Reply) -> None:
        """Keep a piece that is sound."""
        install, index = message.order.install, message.order.index
        install.stock.fetching.discard(index)
        reply.ok()
        if message.content is None:
            self._entries.suspect(message.address)
        elif index == const.MANIFEST_INDEX:
            self._take_manifest(install, message.content)
        elif decisions.is_sound(install, index, message.content):
            install.stock.pieces[index] = message.content
            install.stock.progress_s = time.monotonic()
            _log_if_complete(install)
        else:
            logger.bind(index=index, source=message.address).warning(
                'piece_corrupt',
            )
        self._go_on()

    def next_load(self, _message: NextLoad, reply: Reply) -> None:
        """Let the loader wait for its next step."""
        self._loaders.append(reply)
        self._go_on()

    def take_load(self, message: LoadDone, reply: Reply) -> None:
        """Note what a step at the worker achieved."""
        install = message.order.install
        action = message.order.action
        if action is decisions.Load.SCAN:
            install.stock.scanned = message.done
            install.stock.begun_s = time.monotonic()
            install.stock.pieces.update(message.pieces)
            install.stock.staged.update(message.pieces)
            _log_if_complete(install)
        elif action is decisions.Load.STAGE and message.done:
            install.stock.staged.update(message.pieces)
        elif action is decisions.Load.START and message.done:
            install.ordered_s = time.monotonic()
        reply.ok()
        self._go_on()

    def is_shared(self, message: IsShared, reply: Reply) -> None:
        """Answer whether the staged pieces are those of a version."""
        reply.ok(
            decisions.shares(
                self._view,
                self._install,
                message.model,
                message.version,
            ),
        )

    def own_report(self) -> LoadReport:
        """Return what entry hosts are told of the worker."""
        return decisions.report_of(
            self._settings,
            self._view,
            self._install,
            time.monotonic(),
        )

    def _take_target(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        now_s: float,
    ) -> None:
        install = self._install
        if decisions.supersedes(install, self._view, target.version):
            install = self._begin(target, hello, now_s)
        near = hello.data_centre == self._settings.data_centre
        if near and target.version == install.version:
            install.turn = hello.turn
            install.group = hello.group
            install.may_cut = hello.may_cut

    def _begin(
        self,
        target: WeightsTarget,
        hello: EntryHello,
        now_s: float,
    ) -> Install:
        known_for_s = max(0, target.known_for_ms) / 1000
        allowed_s = self._settings.bounds.version_s * const.SWITCH_LATEST_SHARE
        switch_by_s = now_s - known_for_s + allowed_s
        before = self._install
        if before is not None and not decisions.is_installed(
            self._view,
            before,
        ):
            # The version that was skipped has an earlier bound.
            switch_by_s = min(switch_by_s, before.switch_by_s)
            self._parked[before.version] = before
        install = self._parked.pop(target.version, None) or Install(
            target.model,
            target.version,
            now_s,
            switch_by_s,
        )
        install.stock.progress_s = now_s
        self._install = install
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_ms=target.known_for_ms,
            entry_host=hello.host_id,
        ).info('version_wanted')
        return install

    def _fall_back(self) -> None:
        install = self._install
        if install is None:
            return
        now_s = time.monotonic()
        older = decisions.best_parked(
            self._parked,
            install,
            self._view,
            now_s,
        )
        if older is None:
            return
        logger.bind(
            version=older.version,
            instead_of=install.version,
            pieces=len(older.stock.pieces),
        ).info('version_fallback')
        self._parked[install.version] = install
        self._install = self._parked.pop(older.version)
        self._install.stock.progress_s = now_s
        self._install.finish_first = True

    def _take_report(self, report: WorkerReport) -> None:
        view, install = self._view, self._install
        was_there = decisions.is_reachable(view)
        before = (view.version, view.layers_end)
        layers = 0 if install is None else install.stock.layers
        restarted = decisions.view_report(view, report, layers)
        if not was_there:
            logger.bind(dependency='worker').info('dependency_regained')
        if (view.version, view.layers_end) != before:
            logger.bind(
                version=view.version,
                layers=f'{view.layers_start}-{view.layers_end}',
                restarted=restarted,
            ).info('worker_weights_changed')
        if install is None:
            return
        if restarted:
            # What is staged may be gone with the worker.
            install.ordered_s = None
            install.stock.staged.clear()
            install.stock.scanned = bool(install.stock.pieces)
        if decisions.is_installed(view, install) and install.stock.pieces:
            # The staged copy is read again if the worker starts anew.
            install.stock.pieces.clear()
            install.stock.staged.clear()
            install.stock.scanned = False
            install.ordered_s = None

    def _take_manifest(self, install: Install, content: bytes) -> None:
        try:
            document = json.loads(content)
            install.stock.layers = int(document['layers'])
            install.stock.digests = [str(one) for one in document['digests']]
        except (ValueError, KeyError, TypeError) as error:
            logger.bind(error=repr(error)).warning('manifest_unreadable')

    def _go_on(self) -> None:
        install = self._install
        if install is None:
            return
        now_s = time.monotonic()
        self._feed_fetchers(install, now_s)
        if self._loaders:
            action = decisions.next_load(install, self._view, now_s)
            if action is not decisions.Load.WAIT:
                loader = self._loaders.pop()
                loader.ok(_load_order(install, action))

    def _feed_fetchers(self, install: Install, now_s: float) -> None:
        view = self._view
        if decisions.is_installed(view, install):
            return
        while self._fetchers:
            index = decisions.next_index(
                install,
                decisions.is_reachable(view),
                not self._settings.first_start,
            )
            if index is None:
                return
            addresses = self._entries.order(
                f'{install.model}/{install.version}',
                now_s,
            )
            if not addresses:
                return
            install.stock.fetching.add(index)
            order = PieceOrder(install, index, addresses)
            self._fetchers.pop().ok(order)


def _log_if_complete(install: Install) -> None:
    if install.stock.is_complete:
        logger.bind(
            model=install.model,
            version=install.version,
            turn=install.turn,
            took_ms=int((time.monotonic() - install.stock.begun_s) * 1000),
        ).info('pieces_complete')


def _load_order(install: Install, action: decisions.Load) -> LoadOrder:
    pieces: dict[int, bytes] = {}
    if action is decisions.Load.STAGE:
        pieces = {
            index: content
            for index, content in install.stock.pieces.items()
            if index not in install.stock.staged
        }
    elif action is decisions.Load.START:
        pieces = dict(install.stock.pieces)
    return LoadOrder(action, install, pieces)
