"""Messages between the relay and the greenlets that fetch for it."""

from result import Result

from apricotpin.components.relay.state import Holding
from apricotpin.errors import Failure


class Fetched:
    """Carry the outcome of a fetch back to the service.

    waited holds where the source was given time to fetch the piece itself.
    """

    __slots__ = ('content', 'holding', 'index', 'source', 'waited')

    def __init__(
        self,
        holding: Holding,
        index: int,
        source: str,
        content: Result[bytes, Failure],
        waited: bool = False,
    ) -> None:
        self.waited = waited
        self.holding = holding
        self.index = index
        self.source = source
        self.content = content


class GetNextFetch:
    """Ask for the index to fetch next and the sources to try."""

    __slots__ = ('holding',)

    def __init__(self, holding: Holding) -> None:
        self.holding = holding


class Fetch:
    """Name what a worker fetches, from whom, and where the origin is."""

    __slots__ = ('index', 'origin', 'source', 'wait_ms')

    def __init__(
        self,
        index: int,
        source: str,
        origin: str,
        wait_ms: int,
    ) -> None:
        self.index = index
        self.source = source
        self.origin = origin
        self.wait_ms = wait_ms
