"""State of one attempt at a request."""

from apricotpin.helpers.exchange import Exchange
from apricotpin.components.frontend.streams import EventStream
from apricotpin.components.frontend.verdicts import Attempt
from apricotpin.messages.routing import Chosen


class Trial:
    """Track one attempt with its complete body or its open stream."""

    __slots__ = ('attempt', 'body', 'exchange', 'stream')

    def __init__(
        self,
        attempt: Attempt,
        used: Exchange | None = None,
        body: bytes = b'',
        stream: EventStream | None = None,
    ) -> None:
        self.attempt = attempt
        self.exchange = used
        self.body = body
        self.stream = stream


class Opened:
    """Pair an upstream with the exchange to it, None if not connected."""

    __slots__ = ('chosen', 'exchange')

    def __init__(self, chosen: Chosen, opened: Exchange | None) -> None:
        self.chosen = chosen
        self.exchange = opened
