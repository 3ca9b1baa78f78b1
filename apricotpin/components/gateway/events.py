"""Split a stream at event boundaries, so that callers get complete events."""

import re
from typing import Final

_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffer the start of an event until the rest of it arrives."""

    __slots__ = ('_pending', 'last_event_id')

    def __init__(self) -> None:
        self._pending = b''
        self.last_event_id = ''

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._pending)

    def feed(self, received: bytes) -> bytes:
        """Buffer received bytes and return the events that they complete."""
        self._pending += received
        end = 0
        for match in _EVENT_END.finditer(self._pending):
            end = match.end()
        complete = self._pending[:end]
        self._pending = self._pending[end:]
        event_ids = _EVENT_ID.findall(complete)
        if event_ids:
            self.last_event_id = event_ids[-1].decode('latin-1').strip()
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun whose end is missing."""
        return bool(self._pending.strip())
