"""Greenlets that read feeds, from the store or through another host."""

import contextlib
import random
import time
import types
from typing import Any, Final

import gevent
from loguru import logger
from result import Err, Result

from apricotpin.components.follower import const
from apricotpin.components.follower.events import (
    STORE,
    FeedRead,
    FetchEnded,
    GetPeers,
    GetRecords,
    ReadsItself,
)
from apricotpin.components.follower.packing import pack, unpack
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_STORE
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


# How long a read waits for a change, and the pause after it, in seconds.
_PACES: Final = types.MappingProxyType(
    {
        Feed.OPERATOR: (const.CHANGES_WAIT_S, const.CHANGES_PAUSE_S),
        Feed.UPSTREAMS: (0, const.UPSTREAMS_PAUSE_S),
        Feed.HOSTS: (0, const.HOSTS_PAUSE_S),
    }
)


def follow(kernel: Kernel, feed: Feed) -> None:
    """Read a feed over and over; a read that fails is repeated soon."""
    pause_s = jittered_backoff(
        const.RETRY_FIRST_S,
        const.RETRY_LONGEST_S,
        random.random,
    )
    wait_s, rest_s = _PACES[feed]
    reader = FeedReader(kernel, feed, wait_s)
    failures = 0
    while True:
        if feed is Feed.OPERATOR and not _reads_itself(kernel):
            # What came meanwhile is read as a whole, not change by change.
            reader.offset = -1
            gevent.sleep(const.NOT_READING_PAUSE_S)
            continue
        whole = reader.offset < 0
        page = reader.read()
        kernel.send(
            SERVICE_CONFIGURATION,
            FeedRead(feed, page, whole, reader.source, reader.took_s),
        )
        if page.is_ok():
            failures = 0
            gevent.sleep(rest_s)
        else:
            failures += 1
            gevent.sleep(pause_s(failures))


def _reads_itself(kernel: Kernel) -> bool:
    return kernel.call(SERVICE_CONFIGURATION, ReadsItself()).unwrap_or(True)


class FeedReader:
    """Own the position in a feed and whether a peer reads it for this host.

    The store may turn this host away while it serves others.
    """

    __slots__ = (
        '_client',
        '_direct_from_s',
        '_feed',
        '_kernel',
        '_wait_s',
        'offset',
        'source',
        'took_s',
    )

    def __init__(self, kernel: Kernel, feed: Feed, wait_s: float) -> None:
        self.offset = -1
        # Who was asked last, and for how long.
        self.source = STORE
        self.took_s: float = 0
        self._kernel = kernel
        self._feed = feed
        self._wait_s = wait_s
        self._client = PeerClient()
        self._direct_from_s = float('-inf')

    def read(self) -> Result[FeedPage, Failure]:
        """Return the next entries, from the store or through a peer."""
        began_s = time.monotonic()
        page = self._advance(self._read())
        self.took_s = time.monotonic() - began_s
        return page

    def _read(self) -> Result[FeedPage, Failure]:
        now_s = time.monotonic()
        if now_s >= self._direct_from_s:
            self.source = STORE
            page = self._read_direct()
            if _is_answered(page):
                return page
            self._direct_from_s = time.monotonic() + const.DIRECT_RETRY_S
        return self._read_through_peers()

    def _advance(
        self,
        page: Result[FeedPage, Failure],
    ) -> Result[FeedPage, Failure]:
        if page.is_ok():
            self.offset = page.ok_value.next_offset
        elif page.err_value.kind is ErrorKind.LOG_OFFSET_EXPIRED:
            self.offset = -1
        return page

    def _read_direct(self) -> Result[FeedPage, Failure]:
        return read_store(self._kernel, self._feed, self.offset, self._wait_s)

    def _read_through_peers(self) -> Result[FeedPage, Failure]:
        failed = Err(Failure(ErrorKind.LOG_UNAVAILABLE, 'no peer is known'))
        peers = self._kernel.call(SERVICE_CONFIGURATION, GetPeers())
        addresses = list(peers.unwrap_or(()))
        random.shuffle(addresses)
        for address in addresses[: const.PEERS_ASKED]:
            self.source = address
            page = read_peer(
                self._kernel,
                self._client,
                address,
                ReadFeed(
                    self._feed.value,
                    self.offset,
                    int(self._wait_s * 1000),
                ),
                self._wait_s + const.PEER_TIMEOUT_S,
            )
            if _is_answered(page):
                return page
            failed = page
        return failed


def read_store(
    kernel: Kernel,
    feed: Feed,
    offset: int,
    wait_s: float,
) -> Result[FeedPage, Failure]:
    """Read a feed from the store; an offset below 0 asks for a snapshot."""
    message: Any = ReadSnapshot(feed)
    if offset >= 0:
        message = ReadChanges(feed, offset, wait_s)
    return kernel.call(SERVICE_STORE, message, const.READ_TIMEOUT_S)


def read_peer(
    kernel: Kernel,
    client: PeerClient,
    address: str,
    message: ReadFeed,
    timeout_s: float,
) -> Result[FeedPage, Failure]:
    """Read a feed through another entry host, silent for timeout_s at most."""
    asked = client.call(address, 'read_feed', message, timeout_s)
    if asked.is_err():
        return asked
    told: FeedRecords = asked.ok_value
    if told.fault:
        return Err(Failure(ErrorKind(told.fault), f'at {address}'))
    try:
        records = [
            FeedRecord(record.key, unpack(record.content))
            for record in told.records
        ]
    except (TypeError, ValueError) as error:
        # A field that is left out on the wire is None.
        detail = f'read_feed at {address}: {error}'
        return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
    wanted = DecodeRecords(
        Feed(message.feed),
        FeedRecords(told.next_offset, records),
    )
    return kernel.call(SERVICE_STORE, wanted)


def read_for_peer(kernel: Kernel, message: ReadFeed, reply: Reply) -> None:
    """Read a feed from the store for another entry host, not through one.

    A host that starts while the store is away gets what this one remembers.
    """
    wait_s = message.wait_ms / 1000
    feed = Feed(message.feed)
    if message.offset == const.REMEMBERED:
        reply.forward(kernel.call(SERVICE_CONFIGURATION, GetRecords(feed)))
        return
    page = read_store(kernel, feed, message.offset, wait_s)
    if page.is_err() and message.offset < 0:
        reply.forward(kernel.call(SERVICE_CONFIGURATION, GetRecords(feed)))
        return
    if page.is_err():
        reply.ok(FeedRecords(0, [], page.err_value.kind.value))
        return
    records = [
        FeedRecord(entry.key, pack(entry.content))
        for entry in page.ok_value.entries
    ]
    reply.ok(FeedRecords(page.ok_value.next_offset, records))


def fetch_from_peer(kernel: Kernel, address: str) -> None:
    """Fetch the operator's entries from a host that remembers newer ones."""
    with contextlib.ExitStack() as ending:
        # A fetch that never ended would stop this host from asking anybody.
        ending.callback(
            kernel.send,
            SERVICE_CONFIGURATION,
            FetchEnded(address),
        )
        _fetch(kernel, address)


def _fetch(kernel: Kernel, address: str) -> None:
    began_s = time.monotonic()
    page = _remembered_by(kernel, address)
    took_s = time.monotonic() - began_s
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


def _remembered_by(kernel: Kernel, address: str) -> Result[FeedPage, Failure]:
    message = ReadFeed(Feed.OPERATOR.value, const.REMEMBERED, 0)
    with contextlib.closing(PeerClient()) as client:
        try:
            # The bound of each read alone lets a slow host take for ever.
            with gevent.Timeout(const.FETCH_S):
                return read_peer(
                    kernel, client, address, message, const.FETCH_S
                )
        except gevent.Timeout:
            detail = f'read_feed at {address} took {const.FETCH_S} s'
            return Err(Failure(ErrorKind.TIMEOUT, detail))


def _is_answered(page: Result[FeedPage, Failure]) -> bool:
    if page.is_ok():
        return True
    return page.err_value.kind is ErrorKind.LOG_OFFSET_EXPIRED
