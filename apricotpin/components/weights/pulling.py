"""Fetch the target version: fetchers, source selection and overdue fetches."""

import random

from apricotpin.components.weights.fetcher_pool import FetcherPool
from apricotpin.components.weights.plan import DistributionPlan
from apricotpin.components.weights.selection import (
    SourceSelection,
    abandon_fetch,
    begin_next_fetch,
    overdue_fetchers,
    record_fetch_outcome,
)
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.transfer import Transfer
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count_retry
from apricotpin.messages.transfers import FetchDone, Fetcher, GetNextFetch
from apricotpin.settings import Settings


class Puller:
    """Own the fetchers of a transfer and the state of source selection."""

    __slots__ = ('_pool', '_kernel', '_plan', '_store', 'selection')

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        plan: DistributionPlan,
        store: VersionStore,
    ) -> None:
        self.selection: SourceSelection | None = None
        self._kernel = kernel
        self._plan = plan
        self._store = store
        self._pool = FetcherPool(kernel, settings)

    def start(self, target: Transfer) -> None:
        """Start one fetcher for the manifest, or all of them for the chunks."""
        if target.is_complete or (target.manifest and not target.is_pulling):
            return
        stripes = len(target.stripe_progress)
        fetcher_count = (
            stripes * self._plan.window_chunks if target.is_pulling else 1
        )
        for index in range(fetcher_count):
            window_index, stripe = divmod(index, stripes)
            self._pool.start(Fetcher(target.transfer_id, stripe, window_index))

    def stop(self) -> None:
        """Stop all fetches."""
        self._pool.stop()

    def rebuild_topology(self) -> None:
        """Compute the trees again from the plan."""
        topology = self._plan.topology()
        if topology is None:
            return
        if self.selection is None:
            self.selection = SourceSelection(
                self._plan.host_id,
                self._plan.stall_s,
                topology,
                random.random,
            )
        self.selection.topology = topology
        self.selection.stall_s = self._plan.stall_s

    def reply_with_fetch(
        self, message: GetNextFetch, reply: Reply, now_s: float
    ) -> None:
        """Reply to a fetcher with its next fetch, now or when there is one."""
        target = self._store.target
        fetcher = message.fetcher
        if target is None or fetcher.transfer_id != target.transfer_id:
            reply.ok(None)
            return
        # A fetcher that requests its next fetch has none in progress.
        target.end_fetch(fetcher)
        if target.is_complete:
            reply.ok(None)
            return
        self._pool.add_waiting(message, reply)
        self.assign_fetches(now_s)

    def assign_fetches(self, now_s: float) -> None:
        """Reply to waiting fetchers for which there is a fetch."""
        target = self._store.target
        if target is None or target.is_complete:
            return
        for fetcher in self._pool.waiting_fetchers():
            order = begin_next_fetch(self.selection, target, fetcher, now_s)
            if order is not None:
                self._pool.assign(fetcher, order)

    def record_outcome(
        self, message: FetchDone, now_s: float
    ) -> ErrorKind | None:
        """Record a fetch; return why it must be repeated, or None."""
        target = self._store.target
        reason = record_fetch_outcome(self.selection, target, message, now_s)
        if reason is not None:
            count_retry(self._kernel, reason.value)
        return reason

    def is_current(self, message: FetchDone) -> bool:
        """Return whether the fetch belongs to the current transfer."""
        target = self._store.target
        return (
            target is not None
            and message.fetcher.transfer_id == target.transfer_id
        )

    def restart_overdue_fetchers(self, now_s: float) -> None:
        """Abandon the overdue fetches and restart their fetchers."""
        target = self._store.target
        if target is None or self.selection is None:
            return
        for key in overdue_fetchers(self.selection, target, now_s):
            abandon_fetch(self.selection, target, key, now_s)
            self._pool.restart(key, target.transfer_id)
            count_retry(self._kernel, 'source_slow')
