"""Service that caches pieces of weights for agents and other relays."""

import time

import gevent
from loguru import logger

from apricotpin.components.relay import const, manifests
from apricotpin.components.relay.events import (
    GetNextFetchJob,
    PieceFetched,
    RetryPiece,
)
from apricotpin.components.relay.fetch_queue import FetchQueue
from apricotpin.components.relay.sources import Sources
from apricotpin.components.relay.state import CachedVersion, FetchScope
from apricotpin.components.relay.tasks import fetch_pieces
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.metrics import count
from apricotpin.helpers.pieces import STATUS_OK
from apricotpin.helpers.stripes import stripe_of
from apricotpin.messages import desired, fleet
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class RelayService:
    """Serve cached pieces, and assign fetch jobs for missing ones."""

    __slots__ = (
        '_cache',
        '_declared_versions',
        '_kernel',
        '_queue',
        '_sources',
        '_started_s',
    )

    def __init__(
        self,
        kernel: Kernel,
        own_host: EntryHost,
        started_s: float,
    ) -> None:
        self._kernel = kernel
        self._sources = Sources(own_host)
        self._queue = FetchQueue(kernel, self._sources)
        self._declared_versions: dict[str, int] = {}
        self._cache: dict[tuple[str, int], CachedVersion] = {}
        self._started_s = started_s

    def apply_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Record the origin's address and which model each service runs."""
        self._sources.apply_state(message.state)
        reply.ok()

    def update_hosts(
        self,
        message: fleet.EntryHostsChanged,
        reply: Reply,
    ) -> None:
        self._sources.update_hosts(message.hosts)
        reply.ok()

    def apply_declared_version(
        self,
        message: desired.ModelVersionChanged,
        reply: Reply,
    ) -> None:
        """Fetch a new version at once if other hosts fetch it from this one.

        A version that was declared earlier may be on all workers already.
        """
        target = message.target
        self._declared_versions[target.model] = target.version
        if 0 <= message.declared_for_s < const.DECLARATION_AGE_MAX_S:
            self._fetch_primary_stripes(target, FetchScope.ALL_SOURCES)
        reply.ok()

    def handle_load_report(
        self, report: fleet.LoadReport, reply: Reply
    ) -> None:
        """Copy the declared version from agents if other hosts need it.

        Workers that start empty later can then be served at once, without
        using the origin or a link between data centres.
        """
        now_s = time.monotonic()
        loaded = self._sources.record_report(report, now_s)
        has_settled = now_s - self._started_s > const.STARTUP_SETTLE_S
        if loaded is not None and has_settled:
            declared = self._declared_versions.get(loaded.model, loaded.version)
            if loaded.version == declared:
                self._fetch_primary_stripes(loaded, FetchScope.LOCAL_AGENTS)
        reply.ok()

    def fetch_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Reply with a piece now or as soon as it is cached."""
        if not message.version.isdigit():
            reply.ok(ChunkAnswer(const.STATUS_UNKNOWN))
            return
        key = (message.model, int(message.version))
        is_evicted = _is_evicted(self._cache, *key)
        if is_evicted or (key not in self._cache and not message.wait_ms):
            # A requester that does not wait may be the host that this one
            # would fetch from.
            reply.ok(ChunkAnswer(const.STATUS_NOT_YET))
            return
        cached = self.get_or_start(*key)
        if message.index != const.MANIFEST_INDEX:
            self._queue.widen_scope(
                cached, stripe_of(message.index), FetchScope.ALL_SOURCES
            )
        content = cached.content.get(message.index)
        if message.doubted_digest and message.index == const.MANIFEST_INDEX:
            content = self._queue.review_manifest(
                cached, message.doubted_digest
            )
        if content is not None:
            reply.ok(ChunkAnswer(STATUS_OK, content))
            return
        waiting = cached.waiting_replies.setdefault(message.index, [])
        waiting.append(reply)
        gevent.spawn_later(
            message.wait_ms / 1000,
            reply.ok,
            ChunkAnswer(const.STATUS_NOT_YET),
        )

    def is_fetching(self, model: str, version: int, index: int) -> bool:
        """Return whether a piece of a version is cached or being fetched."""
        cached = self._cache.get((model, version))
        if cached is None:
            return False
        return cached.scope_of(index) > FetchScope.MANIFEST

    def get_or_start(self, model: str, version: int) -> CachedVersion:
        """Return the cached version, or start to fetch a new one."""
        known = self._cache.get((model, version))
        if known is not None:
            return known
        cached = CachedVersion(model, version)
        self._cache[(model, version)] = cached
        for _ in range(const.PARALLEL_FETCHES):
            self._kernel.spawn(fetch_pieces, self._kernel, cached)
        versions = sorted(
            number for name, number in self._cache if name == model
        )
        for old in versions[: -const.VERSIONS_CACHED_MAX]:
            evicted = self._cache.pop((model, old))
            for fetcher in evicted.idle_fetchers:
                fetcher.err(ErrorKind.VERSION_UNKNOWN, 'superseded')
        logger.bind(model=model, version=version).info('version_wanted')
        return cached

    def assign_job(self, message: GetNextFetchJob, reply: Reply) -> None:
        """Reply to a fetching task once there is a piece to fetch."""
        cached = message.cached
        if self._cache.get((cached.model, cached.version)) is not cached:
            reply.err(ErrorKind.VERSION_UNKNOWN, 'superseded')
            return
        job = self._queue.next_job(cached)
        if job is None:
            cached.idle_fetchers.append(reply)
        else:
            reply.ok(job)

    def handle_fetched_piece(self, message: PieceFetched, reply: Reply) -> None:
        """Cache an intact piece and reply to the requests that wait for it."""
        cached, index = message.cached, message.index
        reply.ok()
        if message.content.is_err():
            self._sources.record_failure(
                message.source,
                message.may_wait,
                message.content.err_value,
            )
            self._queue.enqueue(cached, index)
            return
        self._sources.record_success(message.source)
        content = message.content.ok_value
        if not self._is_intact(cached, index, content):
            self._handle_corrupt_piece(message)
            return
        cached.content[index] = content
        cached.corrupt_counts.pop(index, None)
        kind = 'origin' if message.source == const.ORIGIN else 'peer'
        count(self._kernel, 'chunk_bytes_total', kind, len(content))
        if index == const.MANIFEST_INDEX:
            self._apply_manifest(cached, content)
        elif not cached.missing:
            logger.bind(
                model=cached.model,
                version=cached.version,
                pieces=len(cached.content) - 1,
                took_ms=int((time.monotonic() - cached.started_s) * 1000),
            ).info('version_held')
        for waiter in cached.waiting_replies.pop(index, []):
            waiter.ok(ChunkAnswer(STATUS_OK, content))

    def retry_piece(self, message: RetryPiece, reply: Reply) -> None:
        """Fetch a piece again that was corrupt."""
        self._queue.enqueue(message.cached, message.index)
        reply.ok()

    def _is_intact(
        self, cached: CachedVersion, index: int, content: bytes
    ) -> bool:
        if index != const.MANIFEST_INDEX:
            return manifests.is_intact(cached, index, content)
        engine = self._sources.engine_of(cached.model)
        return manifests.is_readable(content) and manifests.confirm_manifest(
            cached, content, engine
        )

    def _fetch_primary_stripes(
        self,
        target: desired.ModelVersion,
        scope: FetchScope,
    ) -> None:
        """Fetch the stripes that other local hosts fetch from this one."""
        for stripe in self._sources.primary_stripes(target):
            cached = self.get_or_start(target.model, target.version)
            self._queue.widen_scope(cached, stripe, scope)

    def _apply_manifest(self, cached: CachedVersion, content: bytes) -> None:
        is_first = not cached.digests
        missing_before = set(cached.missing)
        if not manifests.replace_manifest(cached, content, time.monotonic()):
            return
        added = [
            index for index in cached.missing if index not in missing_before
        ]
        self._queue.enqueue_all(cached, added)
        if not is_first:
            logger.bind(
                model=cached.model, version=cached.version, dropped=len(added)
            ).warning('manifest_replaced')

    def _handle_corrupt_piece(self, message: PieceFetched) -> None:
        cached, index = message.cached, message.index
        is_piece = index != const.MANIFEST_INDEX
        local_only = cached.scope_of(index) is FetchScope.LOCAL_AGENTS
        if is_piece and message.source != const.ORIGIN and local_only:
            # A corrupt staged piece does not mean that others are corrupt.
            return
        self._sources.back_off(
            message.source,
            Failure(
                ErrorKind.CHUNK_CORRUPT,
                f'piece {index} does not match its digest (-1: manifest)',
            ),
        )
        self._queue.retry_corrupt(cached, index)


def _is_evicted(
    cache: dict[tuple[str, int], CachedVersion],
    model: str,
    version: int,
) -> bool:
    """Return whether newer versions have replaced this one in the cache."""
    newer = [
        number for name, number in cache if name == model and number > version
    ]
    return len(newer) >= const.VERSIONS_CACHED_MAX
