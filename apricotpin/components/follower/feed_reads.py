"""Greenlets that read feeds, from the store or through another host."""

import contextlib
import random
import time
import types
from typing import Any, Final

import gevent
from loguru import logger
from result import Err, Result

from apricotpin.components.follower import const, decisions
from apricotpin.components.follower.compression import compress, decompress
from apricotpin.components.follower.events import (
    STORE,
    FeedRead,
    FetchEnded,
    GetCachedRecords,
    GetListSources,
    GetPeerAddresses,
    PeerAddresses,
    ShouldReadStore,
)
from apricotpin.components.follower.list_sharing import SharedListReader
from apricotpin.const import (
    SERVICE_CONFIGURATION,
    SERVICE_STORE,
    STORE_OVERDUE_S,
)
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.feeds import (
    DecodeRecords,
    Feed,
    FeedPage,
    FeedRecord,
    FeedRecords,
    ReadChanges,
    ReadFeed,
    ReadSnapshot,
)


_MS_PER_S: Final = 1000
# The pause after a successful read of each feed.
_PAUSES_S: Final = types.MappingProxyType(
    {
        Feed.OPERATOR: const.CHANGES_PAUSE_S,
        Feed.UPSTREAMS: const.UPSTREAMS_PAUSE_S,
        Feed.HOSTS: const.HOSTS_PAUSE_S,
    }
)


def read_feed_forever(kernel: Kernel, feed: Feed, long_poll_s: float) -> None:
    """Read a feed repeatedly, and retry failed reads with growing pauses.

    Only reads of the operator's records wait for a change.
    """
    backoff_s = jittered_backoff(
        const.BACKOFF_FIRST_S,
        const.BACKOFF_MAX_S,
        random.random,
    )
    wait_s = long_poll_s if feed is Feed.OPERATOR else 0
    reader = FeedReader(kernel, feed, wait_s)
    failures = 0
    while True:
        if feed is Feed.OPERATOR and not _should_read_store(kernel):
            # The next read asks for a snapshot, not for every change since
            # the last one.
            reader.offset = -1
            gevent.sleep(const.READER_CHECK_PERIOD_S)
            continue
        page = reader.read()
        kernel.send(
            SERVICE_CONFIGURATION,
            FeedRead(
                feed,
                page,
                reader.is_snapshot,
                reader.source,
                reader.took_s,
                reader.is_shared,
            ),
        )
        if page.is_ok():
            failures = 0
            gevent.sleep(_pause_s(kernel, reader))
        else:
            failures += 1
            # A read that hung has taken the time of the pause already.
            gevent.sleep(max(0, backoff_s(failures) - reader.took_s))


def _pause_s(kernel: Kernel, reader: 'FeedReader') -> float:
    """Return the pause after a successful read."""
    if reader.feed is Feed.HOSTS:
        peers = kernel.call(SERVICE_CONFIGURATION, GetPeerAddresses())
        known = peers.unwrap_or(PeerAddresses((), ()))
        return decisions.hosts_pause_s(len(known.near) + len(known.far))
    # Another host responds when something has changed.
    if reader.is_shared:
        return const.CHANGES_PAUSE_S
    return _PAUSES_S[reader.feed]


def _should_read_store(kernel: Kernel) -> bool:
    return kernel.call(SERVICE_CONFIGURATION, ShouldReadStore()).unwrap_or(True)


class FeedReader:
    """Hold the position in a feed, and the back-off from the store.

    While the store refuses this host, a peer that it serves can read the feed
    for it.
    """

    __slots__ = (
        '_client',
        '_is_store_silent',
        '_kernel',
        '_peer_turn',
        '_store_backoff_until_s',
        '_shared',
        '_wait_s',
        'feed',
        'is_shared',
        'is_snapshot',
        'offset',
        'source',
        'took_s',
    )

    def __init__(self, kernel: Kernel, feed: Feed, wait_s: float) -> None:
        self.offset = -1
        # Source that was asked last, and how long that read took.
        self.source = STORE
        self.took_s: float = 0
        # Whether the last read asked for all entries.
        self.is_snapshot = True
        # Whether the last page is of a list that another host shares.
        self.is_shared = False
        self._shared = SharedListReader(kernel)
        self._kernel = kernel
        self.feed = feed
        self._wait_s = wait_s
        self._client = PeerClient()
        # Whether the last read of the store had no response in time.
        self._is_store_silent = False
        self._peer_turn = 0
        self._store_backoff_until_s = float('-inf')

    def read(self) -> Result[FeedPage, Failure]:
        """Return the next entries, from the store or through a peer."""
        started_s = time.monotonic()
        page = self._read_shared()
        self.is_shared = page is not None
        if page is None:
            self.is_snapshot = self.offset < 0
            page = self._advance(self._read())
        self.took_s = time.monotonic() - started_s
        return page

    def _read_shared(self) -> Result[FeedPage, Failure] | None:
        """Return what another host shares, None if the store has to be read."""
        if self.feed is not Feed.UPSTREAMS:
            return None
        sources = self._kernel.call(SERVICE_CONFIGURATION, GetListSources())
        page = self._shared.read(sources.unwrap_or(()))
        if page.is_err():
            return None
        self.source = self._shared.source
        self.is_snapshot = self._shared.is_complete
        # The next read of the store has to find what changed until then.
        self.offset = -1
        return page

    def _read(self) -> Result[FeedPage, Failure]:
        now_s = time.monotonic()
        if now_s < self._store_backoff_until_s:
            return self._read_through_peers(const.PEERS_TRIED_MAX, self._wait_s)
        self.source = STORE
        self._shared.reset()
        page = self._read_from_store()
        took_s = time.monotonic() - now_s
        has_responded = _has_responded(page)
        self._is_store_silent = not has_responded and took_s >= STORE_OVERDUE_S
        if has_responded:
            return page
        if self._is_store_silent:
            return self._read_after_silence()
        self._store_backoff_until_s = time.monotonic() + const.STORE_BACKOFF_S
        return self._read_through_peers(const.PEERS_TRIED_MAX, self._wait_s)

    def _read_after_silence(self) -> Result[FeedPage, Failure]:
        """Read through one peer, to return to the store if that fails too.

        The store may respond again at any moment. If the peer can read it, the
        silence is that of this host's path, and peers are asked for a while.
        """
        page = self._read_through_peers(1, 0)
        if _has_responded(page):
            self._store_backoff_until_s = (
                time.monotonic() + const.STORE_BACKOFF_S
            )
        return page

    def _advance(
        self,
        page: Result[FeedPage, Failure],
    ) -> Result[FeedPage, Failure]:
        if page.is_ok():
            self.offset = page.ok_value.next_offset
        elif page.err_value.kind is ErrorKind.LOG_OFFSET_EXPIRED:
            self.offset = -1
        return page

    def _read_from_store(self) -> Result[FeedPage, Failure]:
        # A response at once tells sooner that the store responds again.
        wait_s = 0 if self._is_store_silent else self._wait_s
        return read_store(self._kernel, self.feed, self.offset, wait_s)

    def _read_through_peers(
        self, count: int, wait_s: float
    ) -> Result[FeedPage, Failure]:
        failed = Err(
            Failure(
                ErrorKind.LOG_UNAVAILABLE,
                'the store cannot be read, and no other entry host is known',
            )
        )
        peers = self._kernel.call(SERVICE_CONFIGURATION, GetPeerAddresses())
        addresses = decisions.peers_to_ask(
            peers.unwrap_or(PeerAddresses((), ())),
            self._peer_turn,
            random.shuffle,
        )
        self._peer_turn += 1
        for address in addresses[:count]:
            self.source = address
            page = read_peer(
                self._kernel,
                self._client,
                address,
                ReadFeed(self.feed.value, self.offset, int(wait_s * _MS_PER_S)),
                wait_s + const.PEER_TIMEOUT_S,
            )
            if _has_responded(page):
                return page
            failed = page
        return failed


def read_store(
    kernel: Kernel,
    feed: Feed,
    offset: int,
    wait_s: float,
    is_for_peer: bool = False,
) -> Result[FeedPage, Failure]:
    """Read a feed from the store; an offset below 0 asks for a snapshot."""
    message: Any = ReadSnapshot(feed, is_for_peer)
    if offset >= 0:
        message = ReadChanges(feed, offset, wait_s, is_for_peer)
    return kernel.call(SERVICE_STORE, message, const.READ_TIMEOUT_S)


def read_peer(
    kernel: Kernel,
    client: PeerClient,
    address: str,
    message: ReadFeed,
    timeout_s: float,
) -> Result[FeedPage, Failure]:
    """Read a feed through another entry host.

    timeout_s limits each read from the connection. FETCH_TIMEOUT_S limits the
    whole call beside its wait, as a host may send slowly.
    """
    limit_s = message.wait_ms / _MS_PER_S + const.FETCH_TIMEOUT_S
    detail = f'read_feed at {address} did not end within {limit_s} s'
    called: Result[Any, Failure] = Err(Failure(ErrorKind.TIMEOUT, detail))
    with gevent.Timeout(limit_s, False):
        called = client.call(address, 'read_feed', message, timeout_s)
    if called.is_err():
        return called
    received: FeedRecords = called.ok_value
    if received.fault:
        return Err(
            Failure(_to_error_kind(received.fault), f'read_feed at {address}')
        )
    try:
        records = [
            FeedRecord(record.key, decompress(record.content))
            for record in received.records
        ]
    except (TypeError, ValueError) as error:
        # A field that is missing in the message is None here.
        detail = f'malformed response to read_feed from {address}: {error}'
        return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
    request = DecodeRecords(
        Feed(message.feed),
        FeedRecords(received.next_offset, records),
    )
    return kernel.call(SERVICE_STORE, request)


def _to_error_kind(fault: str) -> ErrorKind:
    """Return the kind that a peer names; one of another version may differ."""
    try:
        return ErrorKind(fault)
    except ValueError:
        return ErrorKind.PEER_UNAVAILABLE


def read_for_peer(kernel: Kernel, message: ReadFeed, reply: Reply) -> None:
    """Read a feed from the store for another entry host.

    It is not read through a third host. If the store cannot be read, a peer
    that asks for a snapshot, as it does when it starts, gets the records
    cached here.
    """
    wait_s = message.wait_ms / _MS_PER_S
    try:
        feed = Feed(message.feed)
    except ValueError:
        reply.err(ErrorKind.BAD_REQUEST, f'no feed is named {message.feed!r}')
        return
    if message.offset == const.CACHE_OFFSET:
        reply.forward(
            kernel.call(SERVICE_CONFIGURATION, GetCachedRecords(feed))
        )
        return
    page = read_store(kernel, feed, message.offset, wait_s, is_for_peer=True)
    if page.is_err() and message.offset < 0:
        reply.forward(
            kernel.call(SERVICE_CONFIGURATION, GetCachedRecords(feed))
        )
        return
    if page.is_err():
        reply.ok(FeedRecords(0, [], page.err_value.kind.value))
        return
    records = [
        FeedRecord(entry.key, compress(entry.content))
        for entry in page.ok_value.entries
    ]
    reply.ok(FeedRecords(page.ok_value.next_offset, records))


def fetch_from_peer(kernel: Kernel, address: str) -> None:
    """Fetch the operator's records from a host that has newer ones cached."""
    with contextlib.ExitStack() as exit_stack:
        # Sent on any outcome: a fetch that is never reported as ended would
        # take up one of the concurrent fetches for good.
        exit_stack.callback(
            kernel.send,
            SERVICE_CONFIGURATION,
            FetchEnded(address),
        )
        _fetch(kernel, address)


def _fetch(kernel: Kernel, address: str) -> None:
    started_s = time.monotonic()
    page = _read_peer_cache(kernel, address)
    took_s = time.monotonic() - started_s
    if page.is_ok():
        kernel.send(
            SERVICE_CONFIGURATION,
            FeedRead(Feed.OPERATOR, page, True, address, took_s),
        )
    else:
        logger.bind(
            entry_host=address,
            error=repr(page.err_value),
            took_ms=int(took_s * 1000),
        ).warning('desired_state_not_fetched')


def _read_peer_cache(
    kernel: Kernel,
    address: str,
) -> Result[FeedPage, Failure]:
    message = ReadFeed(Feed.OPERATOR.value, const.CACHE_OFFSET, 0)
    with contextlib.closing(PeerClient()) as client:
        return read_peer(
            kernel, client, address, message, const.FETCH_TIMEOUT_S
        )


def _has_responded(page: Result[FeedPage, Failure]) -> bool:
    """Return whether the source responded; an expired offset is a response."""
    if page.is_ok():
        return True
    return page.err_value.kind is ErrorKind.LOG_OFFSET_EXPIRED
