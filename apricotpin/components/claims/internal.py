"""Messages that the claims service sends to itself."""

from typing import Any

from result import Result

from apricotpin.components.claims.events import Event
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.claims import ClaimAnswer, Recorded

Answer = ClaimAnswer | Recorded


class LogReplied:
    """Report what became of an append, a read or a pause of a partition."""

    __slots__ = ('event', 'serial', 'stream')

    def __init__(self, stream: str, serial: int, event: Event) -> None:
        self.stream = stream
        self.serial = serial
        self.event = event


class Forwarded:
    """Return the answer of a peer, and the client that asked it."""

    __slots__ = ('answered', 'ask_id', 'client')

    def __init__(
        self,
        ask_id: int,
        answered: Result[Any, Failure],
        client: PeerClient,
    ) -> None:
        self.ask_id = ask_id
        self.answered = answered
        self.client = client


class Answered:
    """Return the answer to a request that this process owns."""

    __slots__ = ('answer', 'ask_id')

    def __init__(self, ask_id: int, answer: Answer) -> None:
        self.ask_id = ask_id
        self.answer = answer


class TryAgain:
    """Send a request again."""

    __slots__ = ('ask_id',)

    def __init__(self, ask_id: int) -> None:
        self.ask_id = ask_id


class Tick:
    """Check deadlines."""

    __slots__ = ()


class ReportFigures:
    """Set the gauges."""

    __slots__ = ()


class Drain:
    """Answer once no outcome waits to be recorded."""

    __slots__ = ()
