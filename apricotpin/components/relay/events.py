"""Messages between the relay service and its fetching tasks."""

from result import Result

from apricotpin.components.relay.state import CachedVersion
from apricotpin.errors import Failure


class PieceFetched:
    """Carry a fetched piece, or the failure to fetch it.

    may_wait: the source was allowed to wait for a piece that it lacked.
    """

    __slots__ = ('cached', 'content', 'index', 'may_wait', 'source')

    def __init__(
        self,
        cached: CachedVersion,
        index: int,
        source: str,
        content: Result[bytes, Failure],
        may_wait: bool = False,
    ) -> None:
        self.may_wait = may_wait
        self.cached = cached
        self.index = index
        self.source = source
        self.content = content


class RetryPiece:
    """Ask to fetch a piece again after a pause."""

    __slots__ = ('cached', 'index')

    def __init__(self, cached: CachedVersion, index: int) -> None:
        self.cached = cached
        self.index = index


class GetNextFetchJob:
    """Ask for the next fetch job; the reply comes once there is one."""

    __slots__ = ('cached',)

    def __init__(self, cached: CachedVersion) -> None:
        self.cached = cached


class FetchJob:
    """Describe a piece to fetch and its source.

    origin is the origin's address. The source may wait up to wait_ms for a
    piece that it lacks. doubted_digest is that of the manifest to be replaced,
    empty if none is.
    """

    __slots__ = ('doubted_digest', 'index', 'origin', 'source', 'wait_ms')

    def __init__(
        self,
        index: int,
        source: str,
        origin: str,
        wait_ms: int,
        doubted_digest: str = '',
    ) -> None:
        self.doubted_digest = doubted_digest
        self.index = index
        self.source = source
        self.origin = origin
        self.wait_ms = wait_ms
