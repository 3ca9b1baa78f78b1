"""The list of upstreams as a reader shares it with hosts of its data centre."""

import itertools
import uuid
from collections.abc import Iterable

from apricotpin.components.follower import const
from apricotpin.components.follower.compression import compress
from apricotpin.errors import ErrorKind
from apricotpin.messages.feeds import FeedEntry, FeedRecord, SharedList
from apricotpin.messages.upstreams import UpstreamEntry


class SharedEntry:
    """Hold an upstream's entry, and the revision in which it last changed.

    The entry of a removed upstream is None.
    """

    __slots__ = ('content', 'entry', 'revision')

    def __init__(
        self, entry: UpstreamEntry | None, content: bytes, revision: int
    ) -> None:
        self.entry = entry
        self.content = content
        self.revision = revision


class SharedUpstreams:
    """Hold the listed upstreams with the revision of their last change.

    entries is in the order of the last changes. Revisions start anew with each
    process, which list_id identifies. From forgotten_revision on, all removals
    are known. read_s is when the store was last read, on the monotonic clock;
    for age_max_s after that the list may be passed on.
    """

    __slots__ = (
        'age_max_s',
        'entries',
        'forgotten_revision',
        'list_id',
        'offset',
        'read_s',
        'revision',
    )

    def __init__(self, age_max_s: float) -> None:
        self.age_max_s = age_max_s
        self.list_id = uuid.uuid4().hex
        self.revision = 0
        self.entries: dict[str, SharedEntry] = {}
        self.forgotten_revision = 0
        self.offset = 0
        self.read_s = float('-inf')


def record_read(
    shared: SharedUpstreams,
    entries: Iterable[FeedEntry],
    offset: int,
) -> bool:
    """Record entries that were read; return whether one has changed.

    Workers write their entries again and again without a change.
    """
    before = shared.revision
    for read in entries:
        known = shared.entries.get(read.key)
        if not isinstance(read.decoded, UpstreamEntry):
            continue
        if known is None or not _is_equal(known.entry, read.decoded):
            _record_change(shared, read.key, read.decoded, read.content)
    shared.offset = offset
    return shared.revision != before


def record_removal(shared: SharedUpstreams, instance_id: str) -> bool:
    """Record that an upstream is no longer listed; return whether it was."""
    known = shared.entries.get(instance_id)
    if known is None or known.entry is None:
        return False
    _record_change(shared, instance_id, None, b'')
    _forget_removals(shared)
    return True


def changes_since(
    shared: SharedUpstreams, list_id: str, revision: int, now_s: float
) -> SharedList:
    """Return what changed since a revision, or the whole list.

    The list is whole for a host that has none of it, has it from another
    process, or may have missed a removal that is forgotten here.
    """
    if now_s - shared.read_s > shared.age_max_s:
        return SharedList('', 0, False, 0, [], ErrorKind.LOG_UNAVAILABLE.value)
    is_complete = (
        list_id != shared.list_id or revision < shared.forgotten_revision
    )
    known_revision = 0 if is_complete else revision
    # The entries are in the order of their last changes, so that a reply costs
    # what has changed and not the length of the list.
    changed = itertools.takewhile(
        lambda item: item[1].revision > known_revision,
        reversed(shared.entries.items()),
    )
    records = [
        FeedRecord(key, compress(one.content) if one.entry else b'')
        for key, one in changed
    ]
    if is_complete:
        # A whole list names the removed upstreams by leaving them out.
        records = [record for record in records if record.content]
    return SharedList(
        shared.list_id, shared.revision, is_complete, shared.offset, records
    )


def _record_change(
    shared: SharedUpstreams,
    key: str,
    entry: UpstreamEntry | None,
    content: bytes,
) -> None:
    shared.revision += 1
    shared.entries.pop(key, None)
    shared.entries[key] = SharedEntry(entry, content, shared.revision)


def _forget_removals(shared: SharedUpstreams) -> None:
    removed = [key for key, one in shared.entries.items() if one.entry is None]
    for key in removed[: -const.SHARED_REMOVALS_MAX]:
        forgotten = shared.entries.pop(key)
        shared.forgotten_revision = forgotten.revision


def _is_equal(known: UpstreamEntry | None, entry: UpstreamEntry) -> bool:
    return known is not None and known.is_equal(entry)
