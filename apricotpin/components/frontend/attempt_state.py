"""State of one attempt at a request."""

from apricotpin.components.frontend.decision_types import AttemptSummary
from apricotpin.components.frontend.streams import EventStream
from apricotpin.helpers.exchange import Exchange
from apricotpin.messages.routing import Selected


class Attempt:
    """Track one attempt with its complete body or its open stream.

    may_be_silent is true once no other worker could continue its stream.
    """

    __slots__ = ('body', 'exchange', 'may_be_silent', 'stream', 'summary')

    def __init__(
        self,
        summary: AttemptSummary,
        exchange: Exchange | None = None,
        body: bytes = b'',
        stream: EventStream | None = None,
    ) -> None:
        self.summary = summary
        self.exchange = exchange
        self.body = body
        self.stream = stream
        self.may_be_silent = False


class UpstreamConnection:
    """Pair an upstream with the exchange to it, None if not connected."""

    __slots__ = ('exchange', 'upstream')

    def __init__(self, upstream: Selected, opened: Exchange | None) -> None:
        self.upstream = upstream
        self.exchange = opened
