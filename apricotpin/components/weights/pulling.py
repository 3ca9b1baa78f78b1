"""Pull the target version: lanes, source selection and overdue fetches."""

import random

from apricotpin.components.weights.plan import Plan
from apricotpin.components.weights.selection import (
    Selection,
    abandon_lane,
    next_fetch,
    overdue_lanes,
    settle_fetch,
)
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.transfer import Transfer
from apricotpin.components.weights.worker_pool import WorkerPool
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count_retry
from apricotpin.messages.transfers import FetchDone, GetNextFetch, Lane
from apricotpin.settings import Settings


class Puller:
    """Own the lanes of the target version and what their sources did."""

    __slots__ = ('_pool', '_kernel', '_plan', '_store', 'selection')

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        plan: Plan,
        store: VersionStore,
    ) -> None:
        self.selection: Selection | None = None
        self._kernel = kernel
        self._plan = plan
        self._store = store
        self._pool = WorkerPool(kernel, settings)

    def start(self, target: Transfer) -> None:
        """Start the lanes: one for the manifest, all for the chunks."""
        if target.complete or (target.manifest and not target.pulling):
            return
        stripes = len(target.stripes)
        lanes = stripes * self._plan.window_chunks if target.pulling else 1
        for number in range(lanes):
            place, stripe = divmod(number, stripes)
            self._pool.start(Lane(target.transfer_id, stripe, place))

    def stop(self) -> None:
        """End all fetches."""
        self._pool.stop()

    def renew_topology(self) -> None:
        """Compute the trees from the plan."""
        topology = self._plan.topology()
        if topology is None:
            return
        if self.selection is None:
            self.selection = Selection(
                self._plan.host_id,
                self._plan.stall_s,
                topology,
                random.random,
            )
        self.selection.topology = topology
        self.selection.stall_s = self._plan.stall_s

    def wait(self, message: GetNextFetch, reply: Reply, now_s: float) -> None:
        """Answer a lane with its next fetch, now or when there is one."""
        target = self._store.target
        lane = message.lane
        if target is None or lane.transfer_id != target.transfer_id:
            reply.ok(None)
            return
        # A lane that asks has no fetch in progress.
        target.close(lane)
        if target.complete:
            reply.ok(None)
            return
        self._pool.wait(message, reply)
        self.give_orders(now_s)

    def give_orders(self, now_s: float) -> None:
        """Hand the next fetches to the lanes that wait."""
        target = self._store.target
        if target is None or target.complete:
            return
        for lane in self._pool.waiting():
            order = next_fetch(self.selection, target, lane, now_s)
            if order is not None:
                self._pool.give(lane, order)

    def settle(self, message: FetchDone, now_s: float) -> ErrorKind | None:
        """Check what arrived; return why the fetch has to be repeated."""
        target = self._store.target
        reason = settle_fetch(self.selection, target, message, now_s)
        if reason is not None:
            count_retry(self._kernel, reason.value)
        return reason

    def is_current(self, message: FetchDone) -> bool:
        """Tell whether a report belongs to the target version."""
        target = self._store.target
        return (
            target is not None
            and message.lane.transfer_id == target.transfer_id
        )

    def end_overdue(self, now_s: float) -> None:
        """End fetches whose source sends too slowly."""
        target = self._store.target
        if target is None or self.selection is None:
            return
        for key in overdue_lanes(self.selection, target, now_s):
            abandon_lane(self.selection, target, key, now_s)
            self._pool.restart(key, target.transfer_id)
            count_retry(self._kernel, 'source_slow')
