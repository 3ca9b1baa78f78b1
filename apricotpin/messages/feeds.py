"""Messages to the store service, which accesses the platform's store."""

import enum
from typing import Any


class Feed(enum.Enum):
    """Name the feeds of the store; each keeps entries by key."""

    OPERATOR = 'operator'
    UPSTREAMS = 'upstreams'
    HOSTS = 'hosts'


class ReadSnapshot:
    """Ask for the newest entry of each key of a feed.

    is_for_peer is true for a read on behalf of another entry host.
    """

    __slots__ = ('feed', 'is_for_peer')

    def __init__(self, feed: Feed, is_for_peer: bool = False) -> None:
        self.feed = feed
        self.is_for_peer = is_for_peer


class ReadChanges:
    """Ask for the entries of a feed from an offset on.

    While there are none, the reply comes after wait_s without entries.
    is_for_peer is true for a read on behalf of another entry host.
    """

    __slots__ = ('feed', 'is_for_peer', 'offset', 'wait_s')

    def __init__(
        self,
        feed: Feed,
        offset: int,
        wait_s: float,
        is_for_peer: bool = False,
    ) -> None:
        self.is_for_peer = is_for_peer
        self.feed = feed
        self.offset = offset
        self.wait_s = wait_s


class FeedRecord:
    """Carry an entry as the store has it; an empty content removes the key.

    The content is compressed when it is sent between hosts.
    """

    __slots__ = ('content', 'key')

    def __init__(self, key: str, content: bytes) -> None:
        self.key = key
        self.content = content


class FeedRecords:
    """Carry records as the store has them to another entry host.

    fault is the error kind if the store did not respond, else empty.
    """

    __slots__ = ('fault', 'next_offset', 'records')

    def __init__(
        self,
        next_offset: int,
        records: list[FeedRecord],
        fault: str = '',
    ) -> None:
        self.next_offset = next_offset
        self.records = records
        self.fault = fault


class ReadFeed:
    """Ask another entry host to read a feed for this one.

    offset is -1 for a new snapshot, and -2 for the records that the peer read
    last.
    """

    __slots__ = ('feed', 'offset', 'wait_ms')

    def __init__(self, feed: str, offset: int, wait_ms: int) -> None:
        self.feed = feed
        self.offset = offset
        self.wait_ms = wait_ms


class ReadSharedList:
    """Ask a reader of the list of upstreams for what changed in it.

    revision is that of the list with list_id which this host has. While
    nothing has changed, the reply comes after wait_ms.
    """

    __slots__ = ('list_id', 'revision', 'wait_ms')

    def __init__(self, list_id: str, revision: int, wait_ms: int) -> None:
        self.list_id = list_id
        self.revision = revision
        self.wait_ms = wait_ms


class SharedList:
    """Carry the upstreams that changed, or all if is_complete.

    A record without content removes the upstream. list_id and revision name
    the state that the receiver then has, and offset is that of the store.
    fault is the error kind if this host can't vouch for its list, else empty.
    """

    __slots__ = (
        'fault',
        'is_complete',
        'list_id',
        'offset',
        'records',
        'revision',
    )

    def __init__(
        self,
        list_id: str,
        revision: int,
        is_complete: bool,
        offset: int,
        records: list[FeedRecord],
        fault: str = '',
    ) -> None:
        self.list_id = list_id
        self.revision = revision
        self.is_complete = is_complete
        self.offset = offset
        self.records = records
        self.fault = fault


class DecodeRecords:
    """Ask the store service to decode records that a peer read."""

    __slots__ = ('feed', 'records')

    def __init__(self, feed: Feed, records: FeedRecords) -> None:
        self.feed = feed
        self.records = records


class FeedEntry:
    """Describe one entry of a feed, decoded where that was possible.

    decoded is a DesiredState, ModelVersion, UpstreamEntry or EntryHost, and
    None for a removed key or a record that could not be decoded. decode_error
    says why decoding failed and is empty otherwise; content is the record as
    the store has it.
    """

    __slots__ = (
        'content',
        'decode_error',
        'decoded',
        'key',
    )

    def __init__(
        self,
        key: str,
        decoded: Any,
        decode_error: str = '',
        content: bytes = b'',
    ) -> None:
        self.key = key
        self.decoded = decoded
        self.decode_error = decode_error
        self.content = content


class FeedPage:
    """Carry the entries read and the offset to read from next."""

    __slots__ = ('entries', 'next_offset')

    def __init__(self, entries: list[FeedEntry], next_offset: int) -> None:
        self.entries = entries
        self.next_offset = next_offset


class RecordEntryHost:
    """Ask the store to keep an entry host's address, or to remove it."""

    __slots__ = ('host', 'is_listed')

    def __init__(self, host: Any, is_listed: bool = True) -> None:
        self.host = host
        self.is_listed = is_listed


class EntryHost:
    """Describe where other processes reach an entry host."""

    __slots__ = ('data_centre', 'host_id', 'peer_address')

    def __init__(
        self,
        host_id: str,
        peer_address: str,
        data_centre: str,
    ) -> None:
        self.host_id = host_id
        self.peer_address = peer_address
        self.data_centre = data_centre
