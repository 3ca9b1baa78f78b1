"""Queue of the pieces to fetch, and when to fetch one of them again."""

import random
import time
from typing import Final

import gevent
from loguru import logger

from apricotpin.components.relay import const, manifests
from apricotpin.components.relay.events import FetchJob, RetryPiece
from apricotpin.components.relay.sources import Sources
from apricotpin.components.relay.state import CachedVersion, FetchScope
from apricotpin.const import SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.stripes import stripe_of

_CORRUPT_BACKOFF_S: Final = jittered_backoff(
    const.CORRUPT_RETRY_FIRST_S, const.CORRUPT_RETRY_MAX_S, random.random
)


class FetchQueue:
    """Assign the pieces of cached versions to idle fetching tasks."""

    __slots__ = ('_kernel', '_sources')

    def __init__(self, kernel: Kernel, sources: Sources) -> None:
        self._kernel = kernel
        self._sources = sources

    def next_job(self, cached: CachedVersion) -> FetchJob | None:
        """Return the job for the first queued piece that is still wanted."""
        while cached.queue:
            index = cached.queue.popleft()
            if not _is_wanted(cached, index):
                continue
            job = self._sources.next_job(cached, index)
            if job is not None:
                return job
        return None

    def widen_scope(
        self,
        cached: CachedVersion,
        stripe: int,
        scope: FetchScope,
    ) -> None:
        """Fetch a stripe: a requester of one piece needs the others too."""
        if cached.scope_of(stripe) >= scope:
            return
        cached.scopes[stripe] = scope
        missing = cached.missing
        self.enqueue_all(
            cached,
            [index for index in missing if stripe_of(index) == stripe],
        )

    def enqueue_all(self, cached: CachedVersion, indexes: list[int]) -> None:
        for index in indexes:
            self.enqueue(cached, index)

    def enqueue(self, cached: CachedVersion, index: int) -> None:
        """Have a piece fetched unless it is cached by now."""
        if not _is_wanted(cached, index):
            return
        if not cached.idle_fetchers:
            if index not in cached.queue:
                cached.queue.append(index)
            return
        job = self._sources.next_job(cached, index)
        if job is not None:
            cached.idle_fetchers.pop().ok(job)

    def retry_corrupt(self, cached: CachedVersion, index: int) -> None:
        """Fetch a corrupt piece again, after a pause if it was so before."""
        count = cached.corrupt_counts.get(index, 0) + 1
        cached.corrupt_counts[index] = count
        is_piece = index != const.MANIFEST_INDEX
        if is_piece and count % const.CORRUPT_FETCHES_MAX == 0:
            # The manifest itself may be corrupt.
            self._read_manifest_again(cached)
        if count == 1:
            self.enqueue(cached, index)
            return
        gevent.spawn_later(
            _CORRUPT_BACKOFF_S(count - 1),
            self._kernel.send,
            SERVICE_WEIGHTS,
            RetryPiece(cached, index),
        )

    def review_manifest(
        self, cached: CachedVersion, doubted_digest: str
    ) -> bytes | None:
        """Return the manifest, or None while a doubted one is read again."""
        if manifests.should_read_again(
            cached, doubted_digest, time.monotonic()
        ):
            self._read_manifest_again(cached)
        if manifests.is_awaited(cached, doubted_digest):
            return None
        return cached.content.get(const.MANIFEST_INDEX)

    def _read_manifest_again(self, cached: CachedVersion) -> None:
        if cached.manifest.is_doubted:
            return
        cached.manifest.is_doubted = True
        logger.bind(model=cached.model, version=cached.version).warning(
            'manifest_doubted'
        )
        self.enqueue(cached, const.MANIFEST_INDEX)


def _is_wanted(cached: CachedVersion, index: int) -> bool:
    """Return whether a piece or the manifest is still to be fetched."""
    if index == const.MANIFEST_INDEX:
        return cached.manifest.is_doubted or index not in cached.content
    # A manifest that replaced another one may have fewer pieces.
    return index < len(cached.digests) and index not in cached.content
