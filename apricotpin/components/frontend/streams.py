"""Stream of events from one upstream, checked as they arrive."""

import time

from result import Err, Ok, Result

from apricotpin.components.frontend.const import STREAM_END_TIMEOUT_S
from apricotpin.components.frontend.decision_types import Verdict
from apricotpin.components.frontend.events import Event, EventSplitter
from apricotpin.helpers.exchange import Exchange
from apricotpin.messages.routing import Selected


class EventStream:
    """Read the events of a response that is a stream.

    position is the index of the token that is expected next.
    """

    __slots__ = ('exchange', 'position', 'upstream', '_ready', '_splitter')

    def __init__(
        self, exchange: Exchange, upstream: Selected, position: int
    ) -> None:
        self.exchange = exchange
        self.upstream = upstream
        self.position = position
        self._splitter = EventSplitter()
        self._ready: list[Event] = []

    def wait_for_event(self) -> Verdict | None:
        """Wait for a complete event; return the verdict of a failure."""
        while not self._ready:
            part = self.exchange.read_body_part()
            if part.is_err():
                return part.err_value
            if not part.ok_value or self._splitter.exceeds_limit:
                return Verdict.TRUNCATED
            self._ready = self._splitter.feed(part.ok_value)
        return self._check_next()

    def next_event(self) -> Result[Event, Verdict]:
        """Return the next event to pass on."""
        failed = self.wait_for_event()
        if failed:
            return Err(failed)
        event = self._ready.pop(0)
        if event.is_token:
            self.position += 1
        return Ok(event)

    def read_end(self) -> None:
        """Read the end of the response so that its connection can be kept."""
        self.exchange.set_deadline(time.monotonic() + STREAM_END_TIMEOUT_S)
        self.exchange.read_body_part()

    def _check_next(self) -> Verdict | None:
        event = self._ready[0]
        if event.is_error:
            return Verdict.TRUNCATED
        if event.is_token and event.index not in {None, self.position}:
            # The upstream skipped or repeated a token, so the events are not
            # those of this response.
            return Verdict.MISMATCHED
        return None
