"""What an attempt brought, and the connection it goes over."""

from apricotpin.helpers.exchange import Exchange
from apricotpin.components.frontend.streams import EventStream
from apricotpin.components.frontend.verdicts import Attempt
from apricotpin.messages.routing import Selected


class Trial:
    """Hold what one attempt brought: a whole body or an open stream."""

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
    """Hold an upstream and the connection to it, if there is one."""

    __slots__ = ('chosen', 'exchange')

    def __init__(self, chosen: Selected, opened: Exchange | None) -> None:
        self.chosen = chosen
        self.exchange = opened
