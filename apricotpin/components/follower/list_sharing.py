"""Share the list of upstreams with other hosts, and read it from them."""

import time
from typing import Any

import gevent
from result import Err, Result

from apricotpin.components.follower import const, shared_list
from apricotpin.components.follower.compression import decompress
from apricotpin.components.follower.events import STORE, FeedRead
from apricotpin.core import Kernel, Reply
from apricotpin.const import SERVICE_STORE
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.feeds import (
    DecodeRecords,
    Feed,
    FeedPage,
    FeedRecord,
    FeedRecords,
    ReadSharedList,
    SharedList,
)
from apricotpin.messages.upstreams import UpstreamUnlisted


class WaitingHost:
    """Hold the request of a host that waits for a change, until deadline_s."""

    __slots__ = ('deadline_s', 'message', 'reply')

    def __init__(
        self, message: ReadSharedList, reply: Reply, deadline_s: float
    ) -> None:
        self.message = message
        self.reply = reply
        self.deadline_s = deadline_s


class ListSharing:
    """Reply to the hosts that read the list of upstreams from this one."""

    __slots__ = ('_shared', '_waiting')

    def __init__(self, age_max_s: float) -> None:
        self._shared = shared_list.SharedUpstreams(age_max_s)
        self._waiting: list[WaitingHost] = []

    def record_read(self, message: FeedRead) -> None:
        """Record what this host read from the store, or through another host.

        Both advance the offset, so that the next read does not return the
        entries again. The list is vouched for by reads of the store only.
        """
        is_read = message.feed is Feed.UPSTREAMS and not message.is_shared
        if not is_read or message.page.is_err():
            return
        page = message.page.ok_value
        if message.source == STORE:
            # The entries may be as old as the start of the read.
            self._shared.read_s = time.monotonic() - message.took_s
        if shared_list.record_read(
            self._shared, page.entries, page.next_offset
        ):
            self._reply_to_waiting()

    def record_unlisted(self, message: UpstreamUnlisted, reply: Reply) -> None:
        """Record that an upstream is no longer listed."""
        if shared_list.record_removal(self._shared, message.instance_id):
            self._reply_to_waiting()
        reply.ok()

    def read(self, message: ReadSharedList, reply: Reply) -> None:
        """Reply with what changed, at once or as soon as something does."""
        now_s = time.monotonic()
        changes = self._changes(message)
        if changes.records or changes.is_complete or changes.fault:
            reply.ok(changes)
            return
        wait_s = message.wait_ms / 1000
        self._waiting = [
            waiting for waiting in self._waiting if waiting.deadline_s > now_s
        ]
        self._waiting.append(WaitingHost(message, reply, now_s + wait_s))
        gevent.spawn_later(wait_s, self._end_wait, message, reply)

    def _end_wait(self, message: ReadSharedList, reply: Reply) -> None:
        # The list may have become too old during the wait.
        reply.ok(self._changes(message))

    def _reply_to_waiting(self) -> None:
        for waiting in self._waiting:
            waiting.reply.ok(self._changes(waiting.message))
        self._waiting.clear()

    def _changes(self, message: ReadSharedList) -> SharedList:
        return shared_list.changes_since(
            self._shared, message.list_id, message.revision, time.monotonic()
        )


class SharedListReader:
    """Hold which state of a reader's list this host has.

    source and is_complete describe the last page that was returned.
    """

    __slots__ = (
        '_backoff_until_s',
        '_client',
        '_kernel',
        '_list_id',
        '_revision',
        'is_complete',
        'source',
    )

    def __init__(self, kernel: Kernel) -> None:
        self.source = ''
        self.is_complete = False
        self._kernel = kernel
        self._client = PeerClient()
        self._list_id = ''
        self._revision = 0
        self._backoff_until_s: dict[str, float] = {}

    def read(self, addresses: tuple[str, ...]) -> Result[FeedPage, Failure]:
        """Read what changed from the first reader that is not in back-off."""
        now_s = time.monotonic()
        usable = [
            address
            for address in addresses
            if self._backoff_until_s.get(address, 0) <= now_s
        ]
        if not usable:
            return _failed('all readers of the list are in back-off')
        self.source = usable[0]
        page = self._read(usable[0])
        if page.is_err():
            self.reset()
            self._backoff_until_s = {
                **{
                    address: until_s
                    for address, until_s in self._backoff_until_s.items()
                    if until_s > now_s
                },
                usable[0]: now_s + const.SHARED_LIST_BACKOFF_S,
            }
        return page

    def reset(self) -> None:
        """Ask for the whole list next, since another source was used."""
        self._list_id = ''
        self._revision = 0

    def _read(self, address: str) -> Result[FeedPage, Failure]:
        message = ReadSharedList(
            self._list_id,
            self._revision,
            int(const.SHARED_LIST_WAIT_S * 1000),
        )
        timeout_s = const.SHARED_LIST_WAIT_S + const.SHARED_LIST_TIMEOUT_S
        called: Result[SharedList, Failure] = _failed(
            f'read_shared_list at {address} did not end within {timeout_s} s'
        )
        # Limits the whole call. The client limits each read only.
        with gevent.Timeout(timeout_s, False):
            called = self._client.call(
                address, 'read_shared_list', message, timeout_s
            )
        return called.and_then(self._decode)

    def _decode(self, shared: SharedList) -> Result[FeedPage, Failure]:
        if shared.fault:
            return _failed(f'read_shared_list: {shared.fault}')
        try:
            records = [_decompress(record) for record in shared.records]
        except (TypeError, ValueError) as error:
            return _failed(f'malformed list: {error!r}')
        decoded = self._kernel.call(
            SERVICE_STORE,
            DecodeRecords(Feed.UPSTREAMS, FeedRecords(shared.offset, records)),
        )
        if decoded.is_ok():
            self._list_id = shared.list_id
            self._revision = shared.revision
            self.is_complete = bool(shared.is_complete)
        return decoded


def _decompress(record: FeedRecord) -> FeedRecord:
    content = decompress(record.content) if record.content else b''
    return FeedRecord(record.key, content)


def _failed(detail: str) -> Result[Any, Failure]:
    return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
