"""Idempotency keys: form, creation time and partition."""

import uuid
from typing import Final

from apricotpin.components.claims.const import CLOCK_SKEW_MAX_S
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages import verdicts

_UUID_VERSION: Final = 7
_TIME_SHIFT_BITS: Final = 80
_MS_PER_S: Final = 1000
_KEY_LENGTH: Final = 36


class Key:
    """Identify an action by the caller's key, the service and the workspace.

    name is unique over all services and workspaces; text is the UUID in lower
    case; created_s is in seconds since the epoch.
    """

    __slots__ = ('created_s', 'name', 'text')

    def __init__(self, name: str, text: str, created_s: float) -> None:
        self.name = name
        self.text = text
        self.created_s = created_s


def parse_key(workspace: str, service_name: str, text: str) -> Key | None:
    """Return the key, or None if the text is not a UUID of version 7.

    Upper and lower case spellings of a UUID are the same key.
    """
    canonical = text.lower()
    try:
        parsed = uuid.UUID(canonical)
    except ValueError:
        return None
    well_formed = (
        str(parsed) == canonical
        and parsed.variant == uuid.RFC_4122
        and parsed.version == _UUID_VERSION
    )
    if not well_formed or '/' in service_name:
        return None
    # The UUID has a fixed length and a service name contains no slash, so
    # different actions never have the same name.
    name = f'{canonical}/{service_name}/{workspace}'
    return Key(name, canonical, created_s_of(name))


def created_s_of(name: str) -> float:
    """Return the creation time of a key, in seconds since the epoch.

    Raise ValueError if the name does not start with a UUID.
    """
    number = uuid.UUID(name[:_KEY_LENGTH]).int
    return (number >> _TIME_SHIFT_BITS) / _MS_PER_S


def refusal_by_age(
    created_s: float,
    now_s: float,
    min_created_s: float,
) -> str:
    """Return the verdict that refuses a key because of its age, or ''.

    The claim of a key created before min_created_s may have been dropped.
    """
    if created_s < min_created_s:
        return verdicts.EXPIRED
    if created_s > now_s + CLOCK_SKEW_MAX_S:
        return verdicts.INVALID
    return ''


def partition_of(name: str, partition_count: int) -> int:
    """Return the number of the partition that a key belongs to."""
    return rank_of(name) % partition_count
