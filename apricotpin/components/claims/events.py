"""Events of the partition state machine: commands and results of effects."""

from apricotpin.components.claims.claim_index import KeyQuery
from apricotpin.components.claims.records import Record
from apricotpin.helpers.log_client import LogPage


class ClaimCommand:
    """Claim a key for an attempt.

    The reply after the deadline, in seconds since the epoch, is "unavailable".
    """

    __slots__ = ('deadline_s', 'query', 'record', 'request_id')

    def __init__(
        self,
        request_id: int,
        query: KeyQuery,
        record: Record,
        deadline_s: float,
    ) -> None:
        self.request_id = request_id
        self.query = query
        self.record = record
        self.deadline_s = deadline_s


class RecordCommand:
    """Append a final record: an outcome, or that the attempt did not run."""

    __slots__ = ('deadline_s', 'query', 'record', 'request_id')

    def __init__(
        self,
        request_id: int,
        query: KeyQuery,
        record: Record,
        deadline_s: float,
    ) -> None:
        self.request_id = request_id
        self.query = query
        self.record = record
        self.deadline_s = deadline_s


class LookupCommand:
    """Look up the claim or the outcome of a key."""

    __slots__ = ('deadline_s', 'query', 'request_id')

    def __init__(
        self, request_id: int, query: KeyQuery, deadline_s: float
    ) -> None:
        self.request_id = request_id
        self.query = query
        self.deadline_s = deadline_s


class Appended:
    """Report that the log stored the batch, starting at an offset."""

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class AppendUnconfirmed:
    """Report that an append failed or got no reply.

    The batch may be in the log nevertheless.
    """

    __slots__ = ()


class PageRead:
    """Deliver a page of the stream."""

    __slots__ = ('page',)

    def __init__(self, page: LogPage) -> None:
        self.page = page


class ReadFailed:
    """Report that the stream could not be read."""

    __slots__ = ()


class PauseEnded:
    """Report the end of a pause."""

    __slots__ = ()


class Ticked:
    """Report that time has passed, so that deadlines are checked."""

    __slots__ = ()


class OwnershipLost:
    """Report that another host owns the partition now."""

    __slots__ = ()


Command = ClaimCommand | RecordCommand | LookupCommand
Event = (
    Command
    | Appended
    | AppendUnconfirmed
    | PageRead
    | ReadFailed
    | PauseEnded
    | Ticked
    | OwnershipLost
)
