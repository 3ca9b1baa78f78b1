"""Decodes records of the platform's store, whoever wrote them.

Writers may be torn or foreign: whatever cannot be read becomes an entry
without a meaning, with the fault beside it.
"""

import json
from collections.abc import Callable
from typing import Any, Final

from apricotpin.messages.feeds import FeedEntry

_DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    IndexError,
)


def decode_entry(
    key: str,
    content: bytes,
    decoder: Callable[[Any], Any],
) -> FeedEntry:
    """Decode a record; one without content has no meaning and no fault."""
    if not content:
        return FeedEntry(key, None)
    try:
        return FeedEntry(key, decoder(json.loads(content)))
    except _DECODE_ERRORS as error:
        return FeedEntry(key, None, repr(error))


def as_non_empty_string(found: Any) -> str:
    """Return a text that is not empty; raise ValueError otherwise."""
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a text')
    return found


def as_integer(found: Any) -> int:
    """Return a whole number; raise ValueError otherwise."""
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{found!r} is not a whole number')
    return found
