"""Keep the versions of this host's model and serve chunks to other hosts."""

import time

from loguru import logger

from apricotpin.components.weights import const
from apricotpin.components.weights.notices import Notices
from apricotpin.components.weights.plan import Plan
from apricotpin.components.weights.pulling import Puller
from apricotpin.components.weights.report import Totals, status_of
from apricotpin.components.weights.serving import ChunkServer
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
    """Own the versions of this host, their transfer and their uploads."""

    __slots__ = ('_notices', '_plan', '_puller', '_server', '_store', '_totals')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._plan = Plan(settings)
        self._store = VersionStore(settings.weights_memory_bytes)
        self._totals = Totals(settings.host_id)
        self._puller = Puller(kernel, settings, self._plan, self._store)
        self._server = ChunkServer(kernel, self._store, self._totals)
        self._notices = Notices(kernel, self._plan, self._totals)

    def note_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Follow the version and the settings of a configuration."""
        changed = self._plan.change_config(message)
        self._server.resize(self._plan.stripes)
        target = self._plan.target
        if target is None:
            self._puller.stop()
            self._store.target = None
        elif self._store.has_target(target):
            self._keep_target(changed)
        else:
            self._start_target()
        reply.ok()

    def note_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Compute the trees again if a host of the model came or went."""
        if self._plan.change_hosts(message.hosts):
            self._puller.renew_topology()
            self._puller.give_orders(time.monotonic())
        reply.ok()

    def note_engine(self, message: EngineState, reply: Reply) -> None:
        """Free the previous version once the target is active."""
        self._totals.confirmed_version = message.version
        target = self._store.target
        if target and target.matches(message.model, message.version):
            self._store.previous = None
        reply.ok()

    def pull_chunks(self, message: ChunksNeeded, reply: Reply) -> None:
        """Fetch the chunks of the target, or hand them over if all are held."""
        reply.ok()
        target = self._store.target
        if target is None or not target.matches(message.model, message.version):
            return
        if target.complete:
            self._notices.hand_over(target)
        elif target.pulling:
            return
        elif self._store.make_room():
            target.pull(time.monotonic())
            self._puller.start(target)
        else:
            self._notices.refuse_size(target, self._store.memory_bytes)

    def give_order(self, message: GetNextFetch, reply: Reply) -> None:
        """Answer a lane with its next fetch, now or when there is one."""
        self._puller.wait(message, reply, time.monotonic())

    def note_fetch(self, message: FetchDone, reply: Reply) -> None:
        """Check what a lane received and decide what follows."""
        reply.ok()
        if not self._puller.is_current(message):
            return
        now_s = time.monotonic()
        reason = self._puller.settle(message, now_s)
        if reason is None:
            self._note_received(message)
        else:
            self._notices.note_retry(message, reason)
        self._puller.give_orders(now_s)

    def tick(self, _message: WeightsTick, reply: Reply) -> None:
        """Answer overdue requests and end fetches that take too long."""
        now_s = time.monotonic()
        self._server.answer_overdue(now_s)
        self._puller.end_overdue(now_s)
        self._puller.give_orders(now_s)
        reply.ok()

    def serve_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Answer a host with a checked chunk, now or when it arrives."""
        self._server.serve(message, reply, time.monotonic())

    def give_status(self, _message: GetWeightsStatus, reply: Reply) -> None:
        """Answer another process with the progress."""
        reply.ok(status_of(self._totals, self._store.target))

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the progress for the status page."""
        status = status_of(self._totals, self._store.target)
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
        """End all fetches."""
        self._puller.stop()

    def _start_target(self) -> None:
        self._puller.stop()
        plan = self._plan
        target = self._store.replace_target(
            plan.target,
            plan.stripes,
            time.monotonic(),
        )
        self._puller.renew_topology()
        self._puller.selection.suspicions.lift_bans()
        logger.bind(
            model=target.target.name,
            version=target.target.version,
            fencing_number=plan.fencing_number,
        ).info('version_ordered')
        self._notices.report_health('')
        self._puller.start(target)
        self._notices.expect(target)

    def _keep_target(self, changed: bool) -> None:
        target = self._store.target
        if changed:
            self._puller.stop()
            self._puller.renew_topology()
            self._store.restripe(self._plan.stripes, time.monotonic())
            self._puller.start(target)
        self._notices.expect(target)

    def _note_received(self, message: FetchDone) -> None:
        target = self._store.target
        self._notices.note_bytes(message, target.held)
        self._server.answer_held(target, message.order.index)
        if message.order.index == const.MANIFEST_INDEX:
            self._notices.expect(target)
        elif target.complete:
            self._puller.stop()
            self._notices.hand_over(target)
