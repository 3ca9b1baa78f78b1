"""The store service: reads and decodes feeds of the platform's store."""

import types
from collections.abc import Callable
from typing import Any, Final

from gevent.queue import Queue
from loguru import logger
from result import Err, Result

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.feeds import (
    DecodeRecords,
    Feed,
    FeedEntry,
    FeedPage,
    ReadChanges,
    ReadSnapshot,
    RecordEntryHost,
)
from apricotpin.platform import names, operator_documents, worker_documents
from apricotpin.platform.store_client import RawPage, StoreClient

# Connections for reads on behalf of other entry hosts, for all feeds.
PEER_CONNECTIONS: Final = 8

Records = list[tuple[str, bytes]]
Decoder = Callable[[str, bytes], FeedEntry]

_TOPICS: Final = types.MappingProxyType(
    {
        Feed.OPERATOR: names.TOPIC_OPERATOR,
        Feed.UPSTREAMS: names.TOPIC_SERVERS,
        Feed.HOSTS: names.TOPIC_HOSTS,
    }
)
_DECODERS: Final = types.MappingProxyType(
    {
        Feed.OPERATOR: operator_documents.decode_operator_record,
        Feed.UPSTREAMS: worker_documents.decode_upstream_record,
        Feed.HOSTS: worker_documents.decode_host_record,
    }
)


class StoreWrite:
    """Carry a write and the reply to it."""

    __slots__ = ('message', 'reply')

    def __init__(self, message: Any, reply: Reply) -> None:
        self.message = message
        self.reply = reply


class StoreService:
    """Own the connections of each feed, those for peers and those for writes.

    Reads run concurrently, so that none waits for one that hangs. Writes run
    one after the other, in the order in which they arrive.
    """

    __slots__ = ('_feed_clients', '_kernel', '_peer_client', '_writes')

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._feed_clients = {feed: StoreClient(address) for feed in Feed}
        self._peer_client = StoreClient(address, PEER_CONNECTIONS)
        self._writes: Queue = Queue()
        kernel.spawn(_process_writes, self._writes, StoreClient(address))

    def read(self, message: ReadSnapshot | ReadChanges, reply: Reply) -> None:
        """Read a feed in a greenlet of its own."""
        client = self._feed_clients[message.feed]
        if message.is_for_peer:
            client = self._peer_client
        self._kernel.spawn(_respond, client, message, reply)

    def decode(self, message: DecodeRecords, reply: Reply) -> None:
        """Decode records that a peer has read."""
        records = message.records
        raw = RawPage(
            [(record.key, record.content) for record in records.records],
            records.next_offset,
        )
        reply.ok(_decode_page(raw, _DECODERS[message.feed]))

    def record_host(self, message: RecordEntryHost, reply: Reply) -> None:
        """Write or remove the record of an entry host."""
        self._writes.put(StoreWrite(message, reply))


def _process_writes(queue: Queue, client: StoreClient) -> None:
    for write in queue:
        _respond(client, write.message, write.reply)


def _respond(client: StoreClient, message: Any, reply: Reply) -> None:
    reply.forward(_process(client, message))


def _process(client: StoreClient, message: Any) -> Result[Any, Failure]:
    try:
        return _ACTIONS[type(message)](client, message)
    except Exception as error:
        # A response that fails must not end the writes, or leave a reader
        # without a reply.
        logger.opt(exception=True).error('store_request_failed')
        client.drop_idle()
        return Err(Failure(ErrorKind.INTERNAL, f'{error!r:.200}'))


def _read_snapshot(
    client: StoreClient,
    message: ReadSnapshot,
) -> Result[FeedPage, Failure]:
    page = client.read_newest(_TOPICS[message.feed])
    return page.map(lambda raw: _decode_page(raw, _DECODERS[message.feed]))


def _read_changes(
    client: StoreClient,
    message: ReadChanges,
) -> Result[FeedPage, Failure]:
    page = client.read(_TOPICS[message.feed], message.offset, message.wait_s)
    return page.map(lambda raw: _decode_page(raw, _DECODERS[message.feed]))


def _record_host(
    client: StoreClient,
    message: RecordEntryHost,
) -> Result[None, Failure]:
    host = message.host
    content = (
        worker_documents.encode_host_record(host) if message.is_listed else b''
    )
    return client.append(names.TOPIC_HOSTS, host.host_id, content)


def _decode_page(raw: RawPage, decoder: Decoder) -> FeedPage:
    entries = []
    for key, content in _without_replaced(raw.records):
        entry = decoder(key, content)
        entry.content = content
        entries.append(entry)
    return FeedPage(entries, raw.next_offset)


def _without_replaced(records: Records) -> Records:
    """Leave out records that a later record of the same key replaces.

    Decoding a desired state of many routes takes tens of ms. All versions of
    a model are kept, since the version limit of the versions before each one
    is counted from its declaration.
    """
    last = {key: position for position, (key, _) in enumerate(records)}
    return [
        (key, content)
        for position, (key, content) in enumerate(records)
        if last[key] == position or key.startswith(names.KEY_VERSION_PREFIX)
    ]


_ACTIONS: Final = types.MappingProxyType(
    {
        ReadSnapshot: _read_snapshot,
        ReadChanges: _read_changes,
        RecordEntryHost: _record_host,
    }
)
