"""Split a stream at event boundaries, so that callers get complete events."""

import re
from typing import Final

_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_END_MAX_BYTES: Final = 4
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffer the start of an event until the rest of it arrives."""

    __slots__ = ('_pending', 'last_event_id')

    def __init__(self) -> None:
        self._pending = bytearray()
        self.last_event_id = ''

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._pending)

    def feed(self, received: bytes) -> bytes:
        """Buffer received bytes and return the events that they complete."""
        # Only the last bytes of what was buffered before may be part of an end:
        # an event of many parts must not be searched again for each of them.
        start = max(0, len(self._pending) - _EVENT_END_MAX_BYTES + 1)
        self._pending += received
        end = _last_event_end(self._pending, start)
        complete = bytes(self._pending[:end])
        del self._pending[:end]  # noqa: WPS420
        event_ids = _EVENT_ID.findall(complete)
        if event_ids:
            self.last_event_id = event_ids[-1].decode('latin-1').strip()
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun whose end is missing."""
        return bool(self._pending.strip())


def _last_event_end(pending: bytearray, start: int) -> int:
    """Return the end of the last complete event, 0 if there is none."""
    ends = [match.end() for match in _EVENT_END.finditer(pending, start)]
    return ends[-1] if ends else 0
