"""Messages of the claims service to itself, from its tasks and timers."""

from typing import Any

from result import Result

from apricotpin.components.claims.events import Event
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.claims import ClaimAnswer, Recorded

OwnerReply = ClaimAnswer | Recorded


class LogTaskDone:
    """Deliver the result of an append, read or pause of a partition."""

    __slots__ = ('event', 'serial', 'stream')

    def __init__(self, stream: str, serial: int, event: Event) -> None:
        self.stream = stream
        self.serial = serial
        self.event = event


class ForwardDone:
    """Deliver the result of a forwarded request and hand the client back."""

    __slots__ = ('call_result', 'client', 'request_id')

    def __init__(
        self,
        request_id: int,
        call_result: Result[Any, Failure],
        client: PeerClient,
    ) -> None:
        self.request_id = request_id
        self.call_result = call_result
        self.client = client


class OwnerReplied:
    """Deliver the reply to a request for a partition of this process."""

    __slots__ = ('owner_reply', 'request_id')

    def __init__(self, request_id: int, owner_reply: OwnerReply) -> None:
        self.request_id = request_id
        self.owner_reply = owner_reply


class RetryRequest:
    """Order another try of an open request."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id


class Tick:
    """Order a check of deadlines and of expired claims."""

    __slots__ = ()


class UpdateGauges:
    """Order an update of the gauges."""

    __slots__ = ()


class Drain:
    """Request a reply once no outcome waits to be recorded."""

    __slots__ = ()
