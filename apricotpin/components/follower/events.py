"""Messages within the follower component."""

from typing import Final

from result import Result

from apricotpin.errors import Failure
from apricotpin.messages.feeds import Feed, FeedPage


STORE: Final = 'store'


class FeedRead:
    """Carry the outcome of one read; whole holds for a snapshot.

    source is STORE or the address of the entry host that was asked.
    """

    __slots__ = ('feed', 'page', 'source', 'took_s', 'whole')

    def __init__(
        self,
        feed: Feed,
        page: Result[FeedPage, Failure],
        whole: bool,
        source: str,
        took_s: float,
    ) -> None:
        self.feed = feed
        self.page = page
        self.whole = whole
        self.source = source
        self.took_s = took_s


class GetPeers:
    """Ask for the entry hosts that may read a feed for this one."""

    __slots__ = ()


class ReadsItself:
    """Ask whether this host reads the operator's records from the store."""

    __slots__ = ()


class CheckBehind:
    """Look for a host to ask, if this one lacks a desired state."""

    __slots__ = ()


class FetchEnded:
    """Tell that a host was asked for its desired state, with any outcome."""

    __slots__ = ('address',)

    def __init__(self, address: str) -> None:
        self.address = address


class GetRecords:
    """Ask for the records of a feed as far as this host knows them."""

    __slots__ = ('feed',)

    def __init__(self, feed: Feed) -> None:
        self.feed = feed


class CheckLapsed:
    """Take upstreams as gone whose entries did not return in time."""

    __slots__ = ()
