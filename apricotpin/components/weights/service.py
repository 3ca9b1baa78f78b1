"""Fetch the target version and serve its chunks to other hosts."""

import time

from loguru import logger

from apricotpin.components.weights import const
from apricotpin.components.weights.plan import DistributionPlan
from apricotpin.components.weights.pulling import Puller
from apricotpin.components.weights.reporter import TransferReporter
from apricotpin.components.weights.serving import ChunkServer
from apricotpin.components.weights.status import TransferTotals, build_status
from apricotpin.components.weights.store import VersionStore
from apricotpin.const import SERVICE_WEIGHTS
from apricotpin.core import Kernel, Reply
from apricotpin.messages.admin import (
    GetServiceStatus,
    ServiceStatus,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.messages.transfers import (
    ChunksNeeded,
    FetchDone,
    GetNextFetch,
    WeightsTick,
)
from apricotpin.messages.weights import (
    EngineState,
    FetchChunk,
    GetWeightsStatus,
)
from apricotpin.settings import Settings


class WeightsService:
    """Own the versions that this host holds, their transfer and uploads."""

    __slots__ = (
        '_plan',
        '_puller',
        '_reporter',
        '_server',
        '_store',
        '_totals',
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._plan = DistributionPlan(settings)
        self._store = VersionStore(settings.weights_memory_bytes)
        self._totals = TransferTotals(settings.host_id)
        self._puller = Puller(kernel, settings, self._plan, self._store)
        self._server = ChunkServer(kernel, self._store, self._totals)
        self._reporter = TransferReporter(kernel, self._plan, self._totals)

    def handle_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Apply the target version and weights settings of a configuration."""
        changed = self._plan.apply_config(message)
        self._server.set_stripes(self._plan.stripes)
        target = self._plan.target
        if target is None:
            self._puller.stop()
            self._store.target = None
        elif self._store.has_target(target):
            self._continue_target(changed)
        else:
            self._start_target()
        reply.ok()

    def handle_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Compute the trees again if the hosts of the model have changed."""
        if self._plan.update_hosts(message.hosts):
            self._puller.rebuild_topology()
            self._puller.assign_fetches(time.monotonic())
        reply.ok()

    def handle_engine_state(self, message: EngineState, reply: Reply) -> None:
        """Free the previous version once the engine serves the target."""
        self._totals.confirmed_version = message.version
        target = self._store.target
        if target and target.matches(message.model, message.version):
            self._store.previous = None
        reply.ok()

    def handle_chunks_needed(self, message: ChunksNeeded, reply: Reply) -> None:
        """Start to fetch the chunks, or send them to the engine service."""
        reply.ok()
        target = self._store.target
        if target is None or not target.matches(message.model, message.version):
            return
        if target.is_complete:
            self._reporter.send_complete_version(target)
        elif target.is_pulling:
            return
        elif self._store.make_room():
            target.begin_pull(time.monotonic())
            self._puller.start(target)
        else:
            self._reporter.report_too_large(target, self._store.memory_bytes)

    def handle_next_fetch(self, message: GetNextFetch, reply: Reply) -> None:
        """Reply to a fetcher with its next fetch, now or when there is one."""
        self._puller.reply_with_fetch(message, reply, time.monotonic())

    def handle_fetch_done(self, message: FetchDone, reply: Reply) -> None:
        """Verify what a fetcher received and assign the next fetches."""
        reply.ok()
        if not self._puller.is_current(message):
            return
        now_s = time.monotonic()
        reason = self._puller.record_outcome(message, now_s)
        if reason is None:
            self._handle_received(message)
        else:
            self._reporter.log_retry(message, reason)
        self._puller.assign_fetches(now_s)

    def handle_tick(self, _message: WeightsTick, reply: Reply) -> None:
        """Reply to overdue requests and abandon overdue fetches."""
        now_s = time.monotonic()
        self._server.reply_to_overdue(now_s)
        self._puller.restart_overdue_fetchers(now_s)
        self._puller.assign_fetches(now_s)
        reply.ok()

    def serve_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Reply to a host with a verified chunk, now or when it arrives."""
        self._server.serve(message, reply, time.monotonic())

    def report_weights_status(
        self, _message: GetWeightsStatus, reply: Reply
    ) -> None:
        """Reply to another process with the progress."""
        reply.ok(build_status(self._totals, self._store.target))

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the fields of the status page."""
        status = build_status(self._totals, self._store.target)
        fields = {name: getattr(status, name) for name in status.__slots__}
        fields['held_bytes'] = self._store.held_bytes()
        fields['fencing_number'] = self._plan.fencing_number
        selection = self._puller.selection
        if selection is not None:
            excluded = selection.suspicions.excluded(time.monotonic())
            fields['excluded'] = sorted(excluded)
            fields['banned'] = sorted(selection.suspicions.banned())
        reply.ok(ServiceStatus(SERVICE_WEIGHTS, fields))

    def stop(self) -> None:
        """Stop all fetches."""
        self._puller.stop()

    def _start_target(self) -> None:
        self._puller.stop()
        plan = self._plan
        target = self._store.replace_target(
            plan.target,
            plan.stripes,
            time.monotonic(),
        )
        self._puller.rebuild_topology()
        self._puller.selection.suspicions.clear_bans()
        logger.bind(
            model=target.target.name,
            version=target.target.version,
            fencing_number=plan.fencing_number,
        ).info('version_ordered')
        self._reporter.report_health('')
        self._puller.start(target)
        self._reporter.send_target(target)

    def _continue_target(self, changed: bool) -> None:
        target = self._store.target
        if changed:
            self._puller.stop()
            self._puller.rebuild_topology()
            self._store.restripe(self._plan.stripes, time.monotonic())
            self._puller.start(target)
        self._reporter.send_target(target)

    def _handle_received(self, message: FetchDone) -> None:
        target = self._store.target
        self._reporter.count_received(message, target.held_count)
        self._server.send_to_waiting(target, message.order.index)
        if message.order.index == const.MANIFEST_INDEX:
            self._reporter.send_target(target)
        elif target.is_complete:
            self._puller.stop()
            self._reporter.send_complete_version(target)
