"""Decide how records that were read change the state of this process."""

import itertools
from collections.abc import Callable

from apricotpin.components.follower import const
from apricotpin.components.follower.compression import compress
from apricotpin.components.follower.events import PeerAddresses
from apricotpin.errors import ErrorKind
from apricotpin.messages.feeds import (
    EntryHost,
    Feed,
    FeedPage,
    FeedRecord,
    FeedRecords,
)
from apricotpin.messages.upstreams import UpstreamEntry


class UpstreamList:
    """Hold the listed upstreams, and when the store was last unreachable.

    removal_due_s holds the instances whose entry disappeared around a store
    outage, and when they are removed unless it returns. Times are on the
    monotonic clock.
    """

    __slots__ = (
        'is_store_unreachable',
        'removal_due_s',
        'store_recovered_s',
        'upstreams',
    )

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamEntry] = {}
        self.removal_due_s: dict[str, float] = {}
        self.is_store_unreachable = False
        self.store_recovered_s = float('-inf')


def record_reachable(
    upstream_list: UpstreamList,
    is_reachable: bool,
    now_s: float,
) -> bool:
    """Record whether the store responds; return whether that changed."""
    has_changed = upstream_list.is_store_unreachable == is_reachable
    if upstream_list.is_store_unreachable and is_reachable:
        upstream_list.store_recovered_s = now_s
    upstream_list.is_store_unreachable = not is_reachable
    return has_changed


def record_entry(upstream_list: UpstreamList, entry: UpstreamEntry) -> None:
    """Record an entry that the store lists, and cancel its removal."""
    upstream_list.upstreams[entry.instance_id] = entry
    upstream_list.removal_due_s.pop(entry.instance_id, None)


def handle_removed_entry(
    upstream_list: UpstreamList,
    instance_id: str,
    now_s: float,
) -> bool:
    """Handle a removed entry; return whether its upstream is removed now.

    Entries expire during a store outage, and the platform restores those of
    running upstreams. An upstream whose entry is missing shortly after an
    outage is therefore kept for the time that this takes, unless it drains.
    """
    entry = upstream_list.upstreams.get(instance_id)
    if entry is None:
        return False
    is_after_outage = (
        now_s - upstream_list.store_recovered_s < const.RESTORE_TIMEOUT_S
    )
    if is_after_outage and not entry.draining:
        upstream_list.removal_due_s.setdefault(
            instance_id,
            upstream_list.store_recovered_s + const.RESTORE_TIMEOUT_S,
        )
        return False
    upstream_list.upstreams.pop(instance_id)
    upstream_list.removal_due_s.pop(instance_id, None)
    return True


def remove_overdue(upstream_list: UpstreamList, now_s: float) -> list[str]:
    """Remove and return the instances whose entries were not restored."""
    overdue = [
        pending_id
        for pending_id, due_s in upstream_list.removal_due_s.items()
        if due_s <= now_s
    ]
    for instance_id in overdue:
        upstream_list.removal_due_s.pop(instance_id)
        upstream_list.upstreams.pop(instance_id, None)
    return overdue


def find_unlisted(
    upstream_list: UpstreamList,
    listed_ids: set[str],
) -> list[str]:
    """Return the recorded instances that are not in a snapshot."""
    return [
        instance_id
        for instance_id in upstream_list.upstreams
        if instance_id not in listed_ids
    ]


class RecordCache:
    """Hold the records of each feed as they were read last.

    compressed holds them in the form in which other hosts get them, from the
    first request on.
    """

    __slots__ = ('compressed', 'offsets', 'records')

    def __init__(self) -> None:
        self.compressed: dict[Feed, FeedRecords] = {}
        self.records: dict[Feed, dict[str, bytes]] = {}
        self.offsets: dict[Feed, int] = {}


def update_cache(
    cache: RecordCache,
    feed: Feed,
    page: FeedPage,
    is_snapshot: bool,
) -> None:
    """Update the cached records of a feed with a page.

    A snapshot from another host is ignored if it is older than they are.
    """
    if is_snapshot and page.next_offset < cache.offsets.get(feed, 0):
        return
    records = {} if is_snapshot else cache.records.get(feed, {})
    for entry in page.entries:
        if entry.content:
            records[entry.key] = entry.content
        else:
            records.pop(entry.key, None)
    cache.compressed.pop(feed, None)
    cache.records[feed] = records
    cache.offsets[feed] = page.next_offset


def cached_records(cache: RecordCache, feed: Feed) -> FeedRecords:
    """Return the cached records of a feed, or a fault if there are none."""
    content_by_key = cache.records.get(feed, {})
    if not content_by_key:
        return FeedRecords(0, [], ErrorKind.LOG_UNAVAILABLE.value)
    if feed not in cache.compressed:
        records = [
            FeedRecord(key, compress(content))
            for key, content in content_by_key.items()
        ]
        cache.compressed[feed] = FeedRecords(cache.offsets[feed], records)
    return cache.compressed[feed]


def should_record_age(
    declared: dict[int, float | None],
    version: int,
    declared_for_s: float,
    now_s: float,
) -> bool:
    """Return whether to record for how long a version has been declared.

    declared holds when the versions of a model were declared, None where
    unknown. Of two ages the greater holds, because a host may have read the
    version late.
    """
    if version not in declared:
        return True
    if declared_for_s < 0:
        return False
    declared_at_s = declared[version]
    return (
        declared_at_s is None
        or now_s - declared_for_s < declared_at_s - const.AGE_TOLERANCE_S
    )


def group_peers(hosts: tuple[EntryHost, ...]) -> PeerAddresses:
    """Group the addresses of the other hosts; this host is the first one."""
    near, far = [], []
    for host in hosts[1:]:
        is_near = host.data_centre == hosts[0].data_centre
        (near if is_near else far).append(host.peer_address)
    return PeerAddresses(tuple(near), tuple(far))


def peers_to_ask(
    peers: PeerAddresses, turn: int, shuffle: Callable[[list[str]], None]
) -> list[str]:
    """Return the peers to read through, alternately near and far ones.

    A data centre may be cut off from the store, or from the others, so that
    peers of one kind alone would never respond. The next turn begins with a
    peer of the other kind.
    """
    near, far = list(peers.near), list(peers.far)
    shuffle(near)
    shuffle(far)
    first, second = (far, near) if turn % 2 else (near, far)
    paired = itertools.chain.from_iterable(itertools.zip_longest(first, second))
    return [address for address in paired if address is not None]


def hosts_pause_s(other_hosts: int) -> float:
    """Return the pause between two reads of the entry hosts' records."""
    return max(const.HOSTS_PAUSE_S, other_hosts * const.HOSTS_PAUSE_PER_HOST_S)


def shared_list_age_max_s(drain_limit_s: float) -> float:
    """Return how old a reader's read may be for it to vouch for its list.

    The result is 0 if the list can't be shared within the drain limit.
    """
    age_max_s = drain_limit_s - const.SHARED_LIST_DELIVERY_S
    return age_max_s if age_max_s >= const.SHARED_LIST_AGE_NEEDED_S else 0
