"""Split a stream at event boundaries, so that callers get complete events."""

import re
from typing import Final

_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffer the start of an event until the rest of it arrives."""

    __slots__ = ('_held', 'last_id')

    def __init__(self) -> None:
        self._held = b''
        self.last_id = ''

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._held)

    def take(self, received: bytes) -> bytes:
        """Buffer received bytes and return the events that they complete."""
        self._held += received
        end = 0
        for match in _EVENT_END.finditer(self._held):
            end = match.end()
        whole = self._held[:end]
        self._held = self._held[end:]
        identities = _EVENT_ID.findall(whole)
        if identities:
            self.last_id = identities[-1].decode('latin-1').strip()
        return whole

    def take_rest(self) -> bytes:
        """Return the buffered bytes at the regular end of a stream."""
        rest = self._held
        self._held = b''
        return rest
