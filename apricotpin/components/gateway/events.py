"""Split a stream at event boundaries, so that callers get complete events."""

import re
from typing import Final

from apricotpin.helpers.event_buffer import EventBuffer

_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Return complete events, and track the id of the last one."""

    __slots__ = ('_buffer', 'last_event_id')

    def __init__(self) -> None:
        self._buffer = EventBuffer()
        self.last_event_id = ''

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return self._buffer.pending_bytes

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun whose end is missing."""
        return self._buffer.has_partial_event

    def feed(self, received: bytes) -> bytes:
        """Buffer received bytes and return the events that they complete."""
        complete = self._buffer.feed(received)
        event_ids = _EVENT_ID.findall(complete)
        if event_ids:
            self.last_event_id = event_ids[-1].decode('latin-1').strip()
        return complete
