"""Decodes records of the platform's store.

A record may be truncated or written by another program. One that cannot be
decoded becomes an entry without a decoded value but with a decode_error.
"""

import json
import math
from collections.abc import Callable
from typing import Any, Final

from apricotpin.helpers.addresses import Address
from apricotpin.messages.feeds import FeedEntry

# A deeply nested record raises RecursionError, and a number that is too large
# for its type OverflowError.
DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
# Limits of what a record may hold: integers of 64 bits, names as long as the
# longest host name, errors that fit in one log line.
INTEGER_MAX: Final = 9223372036854775807
NAME_MAX: Final = 255
_ERROR_TEXT_MAX: Final = 200


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
    except DECODE_ERRORS as error:
        return FeedEntry(key, None, repr(error)[:_ERROR_TEXT_MAX])


def as_non_empty_string(found: Any) -> str:
    """Return a non-empty name; raise ValueError for anything else."""
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r:.64} is not a non-empty string')
    if len(found) > NAME_MAX:
        raise ValueError(
            f'a name has {len(found)} characters, expected up to {NAME_MAX}'
        )
    # A lone surrogate can't be sent to other hosts.
    found.encode()
    return found


def as_integer(found: Any, lowest: int = 0, highest: int = INTEGER_MAX) -> int:
    """Return an integer within limits; raise ValueError for anything else."""
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{found!r:.64} is not an integer')
    if not lowest <= found <= highest:
        raise ValueError(f'an integer is not from {lowest} to {highest}')
    return found


def as_number(found: Any) -> float:
    """Return a finite number from 0; raise ValueError for anything else."""
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ValueError(f'{found!r:.64} is not a number')
    number = float(found)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f'{number} is not a finite number from 0')
    return number


def as_address(found: Any) -> str:
    """Return an address ip:port; raise ValueError for anything else."""
    text = as_non_empty_string(found)
    return str(Address.from_ipv4_text(text))
