"""Events of a partition: asks, and what became of effects."""

from apricotpin.components.claims.ledger import Asked
from apricotpin.components.claims.records import Record
from apricotpin.helpers.log_client import LogPage


class AskClaim:
    """Ask the owner for a claim until a deadline."""

    __slots__ = ('ask_id', 'asked', 'deadline_s', 'record')

    def __init__(
        self,
        ask_id: int,
        asked: Asked,
        record: Record,
        deadline_s: float,
    ) -> None:
        self.ask_id = ask_id
        self.asked = asked
        self.record = record
        self.deadline_s = deadline_s


class AskFinal:
    """Ask the owner to record an outcome, or that there was no run."""

    __slots__ = ('ask_id', 'asked', 'deadline_s', 'record')

    def __init__(
        self,
        ask_id: int,
        asked: Asked,
        record: Record,
        deadline_s: float,
    ) -> None:
        self.ask_id = ask_id
        self.asked = asked
        self.record = record
        self.deadline_s = deadline_s


class AskFind:
    """Ask the owner what is known of a key."""

    __slots__ = ('ask_id', 'asked', 'deadline_s')

    def __init__(self, ask_id: int, asked: Asked, deadline_s: float) -> None:
        self.ask_id = ask_id
        self.asked = asked
        self.deadline_s = deadline_s


class Appended:
    """Report that the log stored the batch from an offset on."""

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class AppendLost:
    """Report that the append failed or its reply was lost."""

    __slots__ = ()


class PageRead:
    """Report a page of the stream."""

    __slots__ = ('page',)

    def __init__(self, page: LogPage) -> None:
        self.page = page


class ReadFailed:
    """Report that the stream could not be read."""

    __slots__ = ()


class Woken:
    """Report that a pause is over."""

    __slots__ = ()


class Ticked:
    """Report that time passed, so that deadlines are checked."""

    __slots__ = ()


class Released:
    """Report that another host is to own the partition."""

    __slots__ = ()


Ask = AskClaim | AskFinal | AskFind
Event = (
    Ask
    | Appended
    | AppendLost
    | PageRead
    | ReadFailed
    | Woken
    | Ticked
    | Released
)
