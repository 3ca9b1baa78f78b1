"""Decide what entries of a feed mean for what this process believes."""

from apricotpin.components.follower.const import AGE_STEP_S, LAPSE_S
from apricotpin.components.follower.packing import pack
from apricotpin.errors import ErrorKind
from apricotpin.messages.feeds import Feed, FeedPage, FeedRecord, FeedRecords
from apricotpin.messages.upstreams import UpstreamEntry


class Listing:
    """Hold the upstreams listed, and when the store was last away.

    lapsed maps instances whose entry vanished around a store outage to the
    time at which they are taken as gone. Times are of the monotonic clock.
    """

    __slots__ = ('away', 'back_s', 'known', 'lapsed')

    def __init__(self) -> None:
        self.known: dict[str, UpstreamEntry] = {}
        self.lapsed: dict[str, float] = {}
        self.away = False
        self.back_s = float('-inf')


def note_reachable(listing: Listing, reachable: bool, now_s: float) -> bool:
    """Note whether the store answers; return whether that changed."""
    changed = listing.away == reachable
    if listing.away and reachable:
        listing.back_s = now_s
    listing.away = not reachable
    return changed


def note_listed(listing: Listing, entry: UpstreamEntry) -> None:
    """Note an entry as it stands in the store now."""
    listing.known[entry.instance_id] = entry
    listing.lapsed.pop(entry.instance_id, None)


def note_vanished(listing: Listing, instance_id: str, now_s: float) -> bool:
    """Note that an entry is gone; return whether the upstream is too.

    An entry that vanished while the store was away may only have lapsed, so
    its upstream is believed for the time in which entries return.
    """
    entry = listing.known.get(instance_id)
    if entry is None:
        return False
    recent = now_s - listing.back_s < LAPSE_S
    if recent and not entry.draining:
        listing.lapsed.setdefault(instance_id, listing.back_s + LAPSE_S)
        return False
    listing.known.pop(instance_id)
    listing.lapsed.pop(instance_id, None)
    return True


def take_overdue(listing: Listing, now_s: float) -> list[str]:
    """Remove and return the instances that did not come back in time."""
    overdue = [one for one, due_s in listing.lapsed.items() if due_s <= now_s]
    for instance_id in overdue:
        listing.lapsed.pop(instance_id)
        listing.known.pop(instance_id, None)
    return overdue


def missing_from(listing: Listing, listed: set[str]) -> list[str]:
    """Return the known instances that a whole snapshot does not hold."""
    return [one for one in listing.known if one not in listed]


class Memory:
    """Hold the records of each feed as they were read last.

    packed holds them as other hosts get them, once one has asked.
    """

    __slots__ = ('offsets', 'packed', 'records')

    def __init__(self) -> None:
        self.packed: dict[Feed, FeedRecords] = {}
        self.records: dict[Feed, dict[str, bytes]] = {}
        self.offsets: dict[Feed, int] = {}


def remember(memory: Memory, feed: Feed, page: FeedPage, whole: bool) -> None:
    """Take the records of a page; whole holds for a snapshot.

    A snapshot of another host may be older than what is known here.
    """
    if whole and page.next_offset < memory.offsets.get(feed, 0):
        return
    known = {} if whole else memory.records.get(feed, {})
    for entry in page.entries:
        if entry.content:
            known[entry.key] = entry.content
        else:
            known.pop(entry.key, None)
    memory.packed.pop(feed, None)
    memory.records[feed] = known
    memory.offsets[feed] = page.next_offset


def recall(memory: Memory, feed: Feed) -> FeedRecords:
    """Return the records of a feed, or a fault if none were read yet."""
    known = memory.records.get(feed, {})
    if not known:
        return FeedRecords(0, [], ErrorKind.LOG_UNAVAILABLE.value)
    if feed not in memory.packed:
        records = [
            FeedRecord(key, pack(content)) for key, content in known.items()
        ]
        memory.packed[feed] = FeedRecords(memory.offsets[feed], records)
    return memory.packed[feed]


def takes_age(
    declared: dict[int, float | None],
    version: int,
    known_for_s: float,
    now_s: float,
) -> bool:
    """Tell whether what is heard of a version is new.

    Of two ages the larger holds: one host may have read the version late.
    """
    if version not in declared:
        return True
    if known_for_s < 0:
        return False
    since_s = declared[version]
    return since_s is None or now_s - known_for_s < since_s - AGE_STEP_S
