"""Parser for the server-sent events of a stream."""

import json
from typing import Any, Final

from apricotpin.components.frontend.const import EVENT_MAX_BYTES
from apricotpin.errors import Failure
from apricotpin.helpers.event_buffer import EVENT_END, EventBuffer

_DONE: Final = b'[DONE]'
_FIELD_SEPARATOR: Final = b':'


class Event:
    """Describe one event: its received bytes, its name and its data."""

    __slots__ = ('name', 'payload', 'raw')

    def __init__(self, raw: bytes, name: bytes, payload: bytes) -> None:
        self.raw = raw
        self.name = name
        self.payload = payload

    @classmethod
    def parse(cls, block: bytes) -> 'Event':
        """Parse the lines of an event; other fields remain in raw only."""
        fields: dict[bytes, bytes] = {}
        for line in block.splitlines():
            field, _, text = line.partition(_FIELD_SEPARATOR)
            fields[field] = fields.get(field, b'') + text.strip()
        name = fields.get(b'event', b'')
        return cls(b'%b\n\n' % block, name, fields.get(b'data', b''))

    @property
    def is_end(self) -> bool:
        """Return whether this event marks the regular end of a stream."""
        return self.payload == _DONE

    @property
    def is_error(self) -> bool:
        """Return whether the upstream reports a failure with this event."""
        return self.name == b'error'

    @property
    def is_token(self) -> bool:
        """Return whether this event carries a token."""
        return bool(self.payload) and not self.is_end and not self.is_error

    @property
    def index(self) -> int | None:
        """Return the position of the token, None if the engine gives none."""
        try:
            document = json.loads(self.payload)
        except ValueError:
            return None
        index = document.get('index') if isinstance(document, dict) else None
        return index if isinstance(index, int) else None


class EventSplitter:
    """Parse the complete events of a stream."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        self._buffer = EventBuffer()

    def feed(self, part: bytes) -> list[Event]:
        """Buffer received bytes and return the events that they complete."""
        blocks = EVENT_END.split(self._buffer.feed(part))
        return [Event.parse(block) for block in blocks if block]

    @property
    def exceeds_limit(self) -> bool:
        """Return whether the buffered event exceeds EVENT_MAX_BYTES."""
        return self._buffer.pending_bytes > EVENT_MAX_BYTES


def encode_error(document: dict[str, Any]) -> bytes:
    """Return the event that reports a failure of its stream to a caller."""
    return f'event: error\ndata: {json.dumps(document)}\n\n'.encode()


def describe_failure(failure: Failure, repeat: str, executed: str) -> Any:
    """Return the JSON object that reports a failure to a caller."""
    return {
        'error': failure.kind.value,
        'detail': failure.detail,
        'repeat': repeat,
        'executed': executed,
    }
