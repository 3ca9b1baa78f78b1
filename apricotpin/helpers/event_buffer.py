"""Buffer of a stream of server-sent events, which returns complete ones."""

import re
from typing import Final

EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_END_MAX_BYTES: Final = 4


class EventBuffer:
    """Buffer the start of an event until the rest of it arrives."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._pending)

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun whose end is missing."""
        return bool(self._pending.strip())

    def feed(self, received: bytes) -> bytes:
        """Buffer received bytes and return the events that they complete."""
        # Only the last bytes of what was buffered before may be part of an end:
        # an event of many parts must not be searched again for each of them.
        start = max(0, len(self._pending) - _EVENT_END_MAX_BYTES + 1)
        self._pending += received
        end = _last_event_end(self._pending, start)
        complete = bytes(self._pending[:end])
        del self._pending[:end]  # noqa: WPS420
        return complete


def _last_event_end(pending: bytearray, start: int) -> int:
    """Return the end of the last complete event, 0 if there is none."""
    ends = [match.end() for match in EVENT_END.finditer(pending, start)]
    return ends[-1] if ends else 0
