"""Decodes records of the platform's store.

A record may be truncated or written by another program. One that cannot be
decoded becomes an entry without a decoded value but with a decode_error.
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
    """Decode a record; empty content means that the key was removed."""
    if not content:
        return FeedEntry(key, None)
    try:
        return FeedEntry(key, decoder(json.loads(content)))
    except _DECODE_ERRORS as error:
        return FeedEntry(key, None, repr(error))


def as_non_empty_string(found: Any) -> str:
    """Return a non-empty string; raise ValueError for anything else."""
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a non-empty string')
    return found


def as_integer(found: Any) -> int:
    """Return an integer; raise ValueError for anything else."""
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{found!r} is not an integer')
    return found
