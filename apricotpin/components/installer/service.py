"""Own the version to install and the state of the worker beside it."""

import json
import time

from loguru import logger

from apricotpin.components.installer import const, decisions, switching
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
from apricotpin.components.installer.versions import Versions
from apricotpin.const import SERVICE_PRESENCE
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.helpers.stripes import source_key, stripe_of
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import (
    EntryHello,
    LoadReport,
    SendLoadReport,
)
from apricotpin.messages.pieces import WorkerReport


class InstallerService:
    """Own the version to install and the state of the worker."""

    __slots__ = (
        'suspended_s',
        '_entries',
        '_fetchers',
        '_kernel',
        '_loaders',
        '_settings',
        '_versions',
        '_view',
    )

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        # How long the host was suspended, when it was last looked at.
        self.suspended_s = clocks.suspended_s()
        self._settings = settings
        self._entries = Entries(settings.data_centre)
        self._view = WorkerView()
        self._versions = Versions(
            settings.data_centre,
            settings.limits.version_limit_s,
        )
        self._fetchers: list[Reply] = []
        self._loaders: list[Reply] = []

    def hear_entry(self, hello: EntryHello, reply: Reply) -> None:
        """Learn of an entry host, the declared version and the turn."""
        now_s = time.monotonic()
        self._entries.hear(hello)
        for target in hello.targets:
            if target.service_name == self._settings.service:
                self._versions.take_target(target, hello, self._view, now_s)
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
        self._kernel.send(SERVICE_PRESENCE, SendLoadReport(self.own_report()))
        self._versions.change_current(self._view, time.monotonic())
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
        if message.content.is_err():
            self._note_failed(message)
            self._go_on()
            return
        now_s = time.monotonic()
        content = message.content.ok_value
        if index == const.MANIFEST_INDEX:
            self._take_manifest(install, content)
        elif decisions.is_sound(install, index, content):
            begun_s = message.order.begun_s
            decisions.note_fetched(install, index, content, begun_s, now_s)
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
        now_s = time.monotonic()
        if action is decisions.Load.SCAN:
            decisions.note_scan(install, message.pieces, message.done, now_s)
            _log_if_complete(install)
        elif message.done:
            if action is decisions.Load.STAGE:
                self._versions.note_staged(install, message.pieces)
            decisions.note_step(
                install,
                action,
                message.pieces,
                message.order.begun_s,
                now_s,
            )
        reply.ok()
        self._go_on()

    def is_shared(self, message: IsShared, reply: Reply) -> None:
        """Answer whether the staged pieces are those of a version."""
        reply.ok(
            decisions.shares(
                self._view,
                self._versions.current,
                message.model,
                message.version,
            ),
        )

    def own_report(self) -> LoadReport:
        """Return what entry hosts are told of the worker."""
        return decisions.report_of(
            self._settings,
            self._view,
            self._versions.current,
            time.monotonic(),
        )

    def _take_report(self, report: WorkerReport) -> None:
        view, install = self._view, self._versions.current
        was_there = switching.is_reachable(view)
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
            install.stock.checked_s = None
            install.stock.scanned = bool(install.stock.pieces)
        if switching.is_installed(view, install) and install.stock.pieces:
            # The staged copy is read again if the worker starts anew.
            install.stock.pieces.clear()
            install.stock.staged.clear()
            install.stock.scanned = False
            install.stock.checked_s = None
            install.ordered_s = None
            self._versions.drop_older(view)

    def _take_manifest(self, install: Install, content: bytes) -> None:
        try:
            document = json.loads(content)
            install.stock.layers = int(document['layers'])
            install.stock.digests = [str(one) for one in document['digests']]
        except (ValueError, KeyError, TypeError) as error:
            logger.bind(error=repr(error)).warning('manifest_unreadable')

    def _go_on(self) -> None:
        install = self._versions.current
        if install is None:
            return
        now_s = time.monotonic()
        self._note_suspension(install)
        switching.note_draining(install, self._view, now_s)
        self._feed_fetchers(now_s)
        if self._loaders:
            action = decisions.next_load(install, self._view, now_s)
            if action is not decisions.Load.WAIT:
                loader = self._loaders.pop()
                loader.ok(_load_order(install, action, now_s))

    def _note_suspension(self, install: Install) -> None:
        """Check anew what lay at the worker while the host was suspended."""
        suspended_s = clocks.suspended_s()
        passed_s = suspended_s - self.suspended_s
        self.suspended_s = suspended_s
        if passed_s > const.SUSPENSION_S:
            logger.bind(suspended_s=round(passed_s, 2)).info('host_suspended')
            install.stock.checked_s = None

    def _note_failed(self, message: PieceFetched) -> None:
        install = message.order.install
        failure = message.content.err_value
        if not decisions.note_failed(install, failure, time.monotonic()):
            return
        self._entries.suspect(message.address)
        logger.bind(
            source=message.address,
            version=install.version,
            index=message.order.index,
            pieces=len(install.stock.pieces),
            error=repr(failure),
        ).warning('piece_not_fetched')

    def _feed_fetchers(self, now_s: float) -> None:
        while self._fetchers:
            order = self._next_order(now_s)
            if order is None:
                return
            order.install.stock.fetching.add(order.index)
            self._fetchers.pop().ok(order)

    def _next_order(self, now_s: float) -> PieceOrder | None:
        view = self._view
        install = self._versions.wanted(view, now_s)
        if install is None or switching.is_installed(view, install):
            return None
        index = decisions.next_index(
            install,
            switching.is_reachable(view),
            not self._settings.is_first_start,
        )
        if index is None:
            return None
        key = source_key(install.model, install.version, stripe_of(index))
        addresses = self._entries.order(key, now_s)
        if not addresses:
            return None
        if not install.stock.pieces:
            install.stock.begun_s = now_s
        wait_ms = const.FETCH_WAIT_MS
        if self._versions.has_choice(view, now_s):
            wait_ms = const.PROBE_WAIT_MS
        return PieceOrder(install, index, addresses, wait_ms, now_s)


def _log_if_complete(install: Install) -> None:
    if install.stock.is_complete:
        logger.bind(
            model=install.model,
            version=install.version,
            turn=install.turn,
            took_ms=int((time.monotonic() - install.stock.begun_s) * 1000),
        ).info('pieces_complete')


def _load_order(
    install: Install,
    action: decisions.Load,
    now_s: float,
) -> LoadOrder:
    pieces: dict[int, bytes] = {}
    if action is decisions.Load.STAGE:
        pieces = {
            index: content
            for index, content in install.stock.pieces.items()
            if index not in install.stock.staged
        }
    elif action is decisions.Load.CHECK:
        pieces = dict(install.stock.pieces)
    return LoadOrder(action, install, pieces, now_s)
