"""Messages between the tasks of the follower component."""

from typing import Final

from result import Result

from apricotpin.errors import Failure
from apricotpin.messages.feeds import Feed, FeedPage


STORE: Final = 'store'


class FeedRead:
    """Carry the outcome of one read of a feed.

    source is STORE or the address of the entry host that was asked. is_shared
    is true for a page of the list that another entry host shares.
    """

    __slots__ = (
        'feed',
        'is_shared',
        'is_snapshot',
        'page',
        'source',
        'took_s',
    )

    def __init__(
        self,
        feed: Feed,
        page: Result[FeedPage, Failure],
        is_snapshot: bool,
        source: str,
        took_s: float,
        is_shared: bool = False,
    ) -> None:
        self.is_shared = is_shared
        self.feed = feed
        self.page = page
        self.is_snapshot = is_snapshot
        self.source = source
        self.took_s = took_s


class GetListSources:
    """Ask for the peers to read the list of upstreams from.

    The reply is empty if this host has to read it from the store.
    """

    __slots__ = ()


class GetPeerAddresses:
    """Ask for the other entry hosts, which may read a feed for this one."""

    __slots__ = ()


class PeerAddresses:
    """List the other entry hosts: of this data centre, and of other ones."""

    __slots__ = ('far', 'near')

    def __init__(self, near: tuple[str, ...], far: tuple[str, ...]) -> None:
        self.near = near
        self.far = far


class ShouldReadStore:
    """Ask whether this host has to read the operator's records itself."""

    __slots__ = ()


class CheckFetchDue:
    """Ask for a fetch if a newer desired state is known and still lacking."""

    __slots__ = ()


class FetchEnded:
    """Report that a fetch from an entry host ended, whatever its outcome."""

    __slots__ = ('address',)

    def __init__(self, address: str) -> None:
        self.address = address


class GetCachedRecords:
    """Ask for the records of a feed as this host last read them."""

    __slots__ = ('feed',)

    def __init__(self, feed: Feed) -> None:
        self.feed = feed


class CheckConfirmation:
    """Ask to measure how old the last proof of the newest state is."""

    __slots__ = ()


class CheckOverdueRemovals:
    """Ask to remove upstreams whose entries were not restored in time."""

    __slots__ = ()
