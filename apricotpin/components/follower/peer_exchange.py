"""Exchange store records with other entry hosts."""

import time
from typing import Final

import gevent
from loguru import logger

from apricotpin.components.follower import (
    const,
    decisions,
    feed_reads,
    readers,
)
from apricotpin.components.follower.events import (
    CheckFetchDue,
    FeedRead,
    FetchEnded,
    GetCachedRecords,
    GetListSources,
    GetPeerAddresses,
    ShouldReadStore,
)
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import count
from apricotpin.messages.desired import DesiredState, DesiredStateChanged
from apricotpin.messages.feeds import Feed, ReadFeed
from apricotpin.messages.fleet import ConfigVersionReceived, EntryHostsChanged

_MS_PER_S: Final = 1000


class PeerExchange:
    """Hold the records read last, and from where newer ones are fetched."""

    __slots__ = ('_cache', '_is_check_scheduled', '_kernel', '_source_state')

    def __init__(self, kernel: Kernel, list_age_max_s: float) -> None:
        self._kernel = kernel
        self._cache = decisions.RecordCache()
        self._source_state = readers.SourceState(list_age_max_s)
        self._is_check_scheduled = False

    def record_read(self, message: FeedRead) -> None:
        """Record the outcome of a read, and cache what it returned."""
        if message.feed is Feed.OPERATOR:
            self._source_state.has_read_failed = message.page.is_err()
            self._log_failure(message)
        if message.page.is_ok():
            self._record_copy(message)
            decisions.update_cache(
                self._cache,
                message.feed,
                message.page.ok_value,
                message.is_snapshot,
            )

    def record_state(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Record the version of the desired state that this host has."""
        readers.record_own_version(self._source_state, message.state.version)
        reply.ok()

    def should_read_store(
        self,
        _message: ShouldReadStore,
        reply: Reply,
    ) -> None:
        """Reply whether this host has to read the operator's records now."""
        reply.ok(
            readers.should_read_store(self._source_state, time.monotonic())
        )

    def list_cached_records(
        self,
        message: GetCachedRecords,
        reply: Reply,
    ) -> None:
        """Reply with the records of a feed as they were read last."""
        reply.ok(decisions.cached_records(self._cache, message.feed))

    def record_peer_version(
        self, message: ConfigVersionReceived, reply: Reply
    ) -> None:
        """Record a peer's version of the desired state, and fetch if due."""
        reply.ok()
        readers.record_peer_version(
            self._source_state,
            message.peer_address,
            message.version,
            time.monotonic(),
        )
        self._fetch_if_due()

    def check_fetch_due(self, _message: CheckFetchDue, reply: Reply) -> None:
        """Fetch a newer desired state if it is still lacking."""
        self._is_check_scheduled = False
        self._fetch_if_due()
        reply.ok()

    def end_fetch(self, message: FetchEnded, reply: Reply) -> None:
        """Record that a fetch ended; start another if one is still due."""
        self._source_state.fetching_from.discard(message.address)
        self._fetch_if_due()
        reply.ok()

    def update_hosts(self, message: EntryHostsChanged, reply: Reply) -> None:
        """Replace the known entry hosts; this host is the first of them."""
        readers.update_hosts(self._source_state, message.hosts)
        reply.ok()

    def list_sources(self, _message: GetListSources, reply: Reply) -> None:
        """Reply with the peers to read the list of upstreams from."""
        reply.ok(readers.list_sources(self._source_state))

    def list_addresses(self, _message: GetPeerAddresses, reply: Reply) -> None:
        """Reply with the peer addresses of the other entry hosts."""
        reply.ok(decisions.group_peers(self._source_state.hosts))

    def read_feed(self, message: ReadFeed, reply: Reply) -> None:
        """Read a feed for another entry host."""
        self._kernel.spawn(
            feed_reads.read_for_peer, self._kernel, message, reply
        )

    def _log_failure(self, message: FeedRead) -> None:
        if message.page.is_ok():
            return
        logger.bind(
            source=message.source,
            took_ms=int(message.took_s * _MS_PER_S),
            known=self._source_state.own_version,
            error=repr(message.page.err_value),
        ).warning('desired_state_not_read')

    def _record_copy(self, message: FeedRead) -> None:
        """Log and count a copy of a desired state that a read returned."""
        for entry in message.page.ok_value.entries:
            if not isinstance(entry.decoded, DesiredState):
                continue
            state, size_bytes = self._source_state, len(entry.content)
            outdated_for_s = readers.outdated_for_s(state, time.monotonic())
            logger.bind(
                version=entry.decoded.version,
                known=state.own_version,
                source=message.source,
                size_bytes=size_bytes,
                took_ms=int(message.took_s * _MS_PER_S),
                lacked_ms=int(outdated_for_s * _MS_PER_S),
            ).info('desired_state_read')
            label = readers.source_label(state, message.source)
            count(self._kernel, 'desired_state_bytes_total', label, size_bytes)
            # Recorded before DesiredStateChanged is handled: this service
            # would fetch the same copy again until it reached that message in
            # its mailbox.
            readers.record_own_version(state, entry.decoded.version)

    def _fetch_if_due(self) -> None:
        state, now_s = self._source_state, time.monotonic()
        if not state.missing_since_s:
            return
        address = readers.select_source(state, now_s)
        if address is not None:
            lacked_s = readers.outdated_for_s(state, now_s)
            logger.bind(
                version=state.peer_versions[address],
                entry_host=address,
                place=readers.source_label(state, address),
                known=state.own_version,
                lacked_ms=int(lacked_s * _MS_PER_S),
            ).info('desired_state_heard')
            readers.record_fetch(state, address, now_s)
            self._kernel.spawn(
                feed_reads.fetch_from_peer, self._kernel, address
            )
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Check again later, as no further hello may name the version."""
        if self._is_check_scheduled:
            return
        self._is_check_scheduled = True
        gevent.spawn_later(
            const.FETCH_CHECK_DELAY_S,
            self._kernel.send,
            SERVICE_CONFIGURATION,
            CheckFetchDue(),
        )
