"""Service that installs declared versions on the worker beside the agent."""

import time

from loguru import logger

from apricotpin.components.installer import (
    checks,
    const,
    decisions,
    load_steps,
    manifests,
    open_calls,
    switching,
)
from apricotpin.components.installer.entry_hosts import EntryHosts
from apricotpin.components.installer.events import (
    CanShareVersion,
    FetchJob,
    GetNextFetchJob,
    GetNextLoadJob,
    LoadJob,
    LoadJobDone,
    PieceFetched,
    ReportRead,
)
from apricotpin.components.installer.loaded_weights import LoadedWeights
from apricotpin.components.installer.state import Install, WorkerState
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
    """Assign fetch and load jobs to the installer's tasks.

    Owns the versions to install, the last state of the worker, the
    calls of the worker that may still take effect, and the replies to tasks
    that wait for a job.
    """

    __slots__ = (
        'suspended_s',
        '_entry_hosts',
        '_fetchers',
        '_kernel',
        '_loaders',
        '_open_calls',
        '_settings',
        '_versions',
        '_weights',
        '_worker',
    )

    def __init__(self, kernel: Kernel, settings: HostSettings) -> None:
        self._kernel = kernel
        # Total suspension of the host since boot, as last read.
        self.suspended_s = clocks.suspended_s()
        self._settings = settings
        self._entry_hosts = EntryHosts(settings.data_centre)
        self._worker = WorkerState()
        self._weights = LoadedWeights()
        self._open_calls = open_calls.OpenCalls()
        if not settings.is_first_start:
            self._open_calls.expect_earlier_agent(time.monotonic())
        self._versions = Versions(
            settings.data_centre,
            settings.limits.version_limit_s,
        )
        self._fetchers: list[Reply] = []
        self._loaders: list[Reply] = []

    def handle_hello(self, hello: EntryHello, reply: Reply) -> None:
        """Record an entry host, its declared version and the turn."""
        now_s = time.monotonic()
        self._entry_hosts.record_hello(hello)
        for target in hello.targets:
            if target.service_name == self._settings.service:
                self._versions.apply_target(target, hello, self._worker, now_s)
        self._assign_jobs()
        reply.ok()

    def handle_report(self, message: ReportRead, reply: Reply) -> None:
        """Record the worker's report and send a load report to entry hosts."""
        if message.was_absent:
            self._open_calls.exclude_earlier_agent()
        if message.report.is_err():
            self._worker.missed_reports += 1
            if self._worker.missed_reports == const.UNREACHABLE_AFTER_MISSED:
                detail = repr(message.report.err_value)
                logger.bind(dependency='worker', error=detail).warning(
                    'dependency_lost',
                )
        else:
            self._apply_report(message.report.ok_value)
        self._kernel.send(
            SERVICE_PRESENCE, SendLoadReport(self.own_load_report())
        )
        self._versions.reselect_current(self._worker, time.monotonic())
        self._assign_jobs()
        reply.ok()

    def enqueue_fetcher(self, _message: GetNextFetchJob, reply: Reply) -> None:
        """Reply to a fetching task once there is a piece to fetch."""
        self._fetchers.append(reply)
        self._assign_jobs()

    def handle_fetched_piece(self, message: PieceFetched, reply: Reply) -> None:
        """Keep an intact piece, or record why the fetch failed."""
        install, index = message.job.install, message.job.index
        install.pieces.fetching.discard(index)
        corrupt_in_row = 0
        if message.content.is_err():
            self._handle_fetch_failure(message)
        elif index == const.MANIFEST_INDEX:
            corrupt_in_row = self._apply_manifest(message)
        elif decisions.is_intact(install, index, message.content.ok_value):
            decisions.record_piece(
                install,
                index,
                message.content.ok_value,
                message.job.started_s,
                time.monotonic(),
            )
            _log_if_complete(install)
        else:
            self._entry_hosts.back_off(message.address)
            corrupt_in_row = _record_corrupt_piece(message)
        reply.ok(corrupt_in_row)
        self._assign_jobs()

    def enqueue_loader(self, _message: GetNextLoadJob, reply: Reply) -> None:
        """Reply to the loading task once there is a step to take."""
        self._loaders.append(reply)
        self._assign_jobs()

    def handle_load_job_done(self, message: LoadJobDone, reply: Reply) -> None:
        """Record the outcome of a load step."""
        install = message.job.install
        step = message.job.step
        now_s = time.monotonic()
        load_steps.record_calls(self._open_calls, self._weights, message, now_s)
        if step is decisions.LoadStep.SCAN:
            decisions.record_scan(
                install, message.pieces, message.succeeded, now_s
            )
            _log_if_complete(install)
        elif step is decisions.LoadStep.STAGE:
            # A copy that failed may have overwritten pieces all the same.
            self._versions.record_overwritten(install, message.job.pieces)
            if message.succeeded:
                decisions.record_staged(install, message.pieces)
        elif message.succeeded:
            decisions.record_step(
                install,
                step,
                message.job.part,
                now_s - _elapsed_s(message.job),
                now_s,
            )
            _log_if_overlong(message.job)
        reply.ok()
        self._assign_jobs()

    def can_share_version(self, message: CanShareVersion, reply: Reply) -> None:
        """Reply whether the staged pieces are those of a version."""
        reply.ok(
            decisions.can_share_version(
                self._worker,
                self._versions.current,
                message.model,
                message.version,
            )
            and not open_calls.has_open_copy(
                self._open_calls, message.version, time.monotonic()
            ),
        )

    def own_load_report(self) -> LoadReport:
        """Return the load report that is sent to entry hosts."""
        return decisions.build_load_report(
            self._settings,
            self._worker,
            open_calls.install_to_load(
                self._open_calls, self._versions.current
            ),
            time.monotonic(),
        )

    def _apply_report(self, report: WorkerReport) -> None:
        worker, install = self._worker, self._versions.current
        was_reachable = switching.is_reachable(worker)
        before = (worker.version, worker.layers_end)
        layers = 0 if install is None else install.pieces.layers
        restarted = decisions.update_worker(worker, report, layers)
        load_steps.apply_report(
            self._open_calls, self._weights, worker, install, restarted
        )
        if not was_reachable:
            logger.bind(dependency='worker').info('dependency_regained')
        if (worker.version, worker.layers_end) != before:
            logger.bind(
                version=worker.version,
                layers=f'{worker.layers_start}-{worker.layers_end}',
                restarted=restarted,
            ).info('worker_weights_changed')
        if install is None:
            return
        if restarted:
            # A restarted worker may have lost its staged pieces.
            install.load_ordered_s = None
            install.pieces.staged.clear()
            install.pieces.check.discard()
            install.pieces.is_scanned = bool(install.pieces.content)
        if switching.is_installed(worker, install) and install.pieces.content:
            # The content is not needed any more: if the worker restarts, its
            # staged pieces are scanned again.
            install.pieces.content.clear()
            install.pieces.staged.clear()
            install.pieces.is_scanned = False
            install.pieces.check.discard()
            install.load_ordered_s = None
            self._versions.discard_replaced(worker)
        else:
            checks.finish_loaded_part(install, worker)

    def _apply_manifest(self, message: PieceFetched) -> int:
        """Use a manifest; return how many in a row were unreadable."""
        install = message.job.install
        bound = logger.bind(version=install.version, source=message.address)
        try:
            is_replaced = manifests.replace_manifest(
                install.pieces, message.content.ok_value
            )
        except (ValueError, KeyError, TypeError) as error:
            bound.bind(error=repr(error)).warning('manifest_unreadable')
            self._entry_hosts.back_off(message.address)
            return manifests.record_unreadable(install.pieces)
        if is_replaced:
            bound.bind(pieces=len(install.pieces.content)).warning(
                'manifest_replaced'
            )
            _log_if_complete(install)
        return 0

    def _assign_jobs(self) -> None:
        install = self._versions.current
        if install is None:
            return
        now_s = time.monotonic()
        self._detect_suspension(install)
        switching.update_draining(install, self._worker, now_s)
        self._assign_fetch_jobs(now_s)
        if self._loaders:
            step, install = load_steps.select_step(
                self._open_calls, self._weights, self._worker, install, now_s
            )
            if step is decisions.LoadStep.WAIT:
                return
            job = _build_load_job(install, step, self._worker, now_s)
            load_steps.prepare_job(
                self._open_calls, self._weights, self._worker, job
            )
            self._loaders.pop().ok(job)

    def _detect_suspension(self, install: Install) -> None:
        """Have staged pieces checked again after a suspension of the host.

        They may become corrupt while the monotonic clock stands still.
        """
        suspended_s = clocks.suspended_s()
        new_suspension_s = suspended_s - self.suspended_s
        self.suspended_s = suspended_s
        if new_suspension_s > const.SUSPENSION_MIN_S:
            logger.bind(suspended_s=round(new_suspension_s, 2)).info(
                'host_suspended'
            )
            install.pieces.check.discard()
            loading = open_calls.install_to_load(self._open_calls, install)
            loading.pieces.check.discard()

    def _handle_fetch_failure(self, message: PieceFetched) -> None:
        install = message.job.install
        failure = message.content.err_value
        if message.job.index == const.MANIFEST_INDEX:
            manifests.dismiss_doubt(install.pieces)
        if not decisions.record_fetch_failure(
            install, failure, time.monotonic()
        ):
            return
        self._entry_hosts.back_off(message.address)
        logger.bind(
            source=message.address,
            version=install.version,
            index=message.job.index,
            pieces=len(install.pieces.content),
            error=repr(failure),
        ).warning('piece_not_fetched')

    def _assign_fetch_jobs(self, now_s: float) -> None:
        while self._fetchers:
            job = self._next_fetch_job(now_s)
            if job is None:
                return
            job.install.pieces.fetching.add(job.index)
            self._fetchers.pop().ok(job)

    def _next_fetch_job(self, now_s: float) -> FetchJob | None:
        worker = self._worker
        install = self._versions.next_to_fetch(worker, now_s)
        if install is None or switching.is_installed(worker, install):
            return None
        index = decisions.next_piece_index(
            install,
            switching.is_reachable(worker),
            not self._settings.is_first_start,
        )
        if index is None:
            return None
        key = source_key(install.model, install.version, stripe_of(index))
        addresses = self._entry_hosts.ordered_addresses(key, now_s)
        if not addresses:
            return None
        if not install.pieces.content:
            install.pieces.started_s = now_s
        wait_ms = const.FETCH_WAIT_MS
        if self._versions.has_alternative(worker, now_s):
            wait_ms = const.PROBE_WAIT_MS
        return FetchJob(install, index, addresses, wait_ms, now_s)


def _record_corrupt_piece(message: PieceFetched) -> int:
    install, index = message.job.install, message.job.index
    corrupt_in_row = manifests.record_corrupt_piece(install.pieces, index)
    logger.bind(
        version=install.version,
        index=index,
        source=message.address,
        in_row=corrupt_in_row,
        manifest_doubted=install.pieces.manifest.is_doubted,
    ).warning('piece_corrupt')
    return corrupt_in_row


def _log_if_complete(install: Install) -> None:
    if install.pieces.is_complete:
        logger.bind(
            model=install.model,
            version=install.version,
            turn=install.turn,
            took_ms=int((time.monotonic() - install.pieces.started_s) * 1000),
        ).info('pieces_complete')


def _elapsed_s(job: LoadJob) -> float:
    """Return how long a step has taken, including suspensions of the host."""
    return clocks.boot_time_s() - job.started_s


def _log_if_overlong(job: LoadJob) -> None:
    took_s = _elapsed_s(job)
    if job.step is decisions.LoadStep.CHECK and took_s > const.ORDER_AGE_MAX_S:
        logger.bind(
            version=job.install.version,
            layers=f'{job.part.start}-{job.part.end}',
            took_ms=int(took_s * 1000),
        ).warning('check_overlong')


def _build_load_job(
    install: Install,
    step: decisions.LoadStep,
    worker: WorkerState,
    now_s: float,
) -> LoadJob:
    part = checks.next_part(install, worker)
    content = install.pieces.content
    pieces: dict[int, bytes] = {}
    if step is decisions.LoadStep.STAGE:
        pieces = {
            index: piece
            for index, piece in content.items()
            if index not in install.pieces.staged
        }
    elif step is decisions.LoadStep.CHECK:
        indexes = checks.piece_indexes(install.pieces, part)
        pieces = {index: content[index] for index in indexes}
    job = LoadJob(step, install, part, pieces, clocks.boot_time_s())
    if step is decisions.LoadStep.START:
        left_s = checks.order_time_left_s(install.pieces.check, now_s)
        job.send_by_s = job.started_s + left_s
    return job
