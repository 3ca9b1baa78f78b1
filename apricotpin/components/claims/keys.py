"""Idempotency keys: form, creation time and partition."""

import uuid
from typing import Final

from apricotpin.components.claims.const import CLOCK_SKEW_S
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages import verdicts

_UUID_VERSION: Final = 7
_TIME_SHIFT_BITS: Final = 80
_MS_PER_S: Final = 1000
_KEY_LENGTH: Final = 36


class Key:
    """Name an action: a caller's key within a workspace and service."""

    __slots__ = ('created_s', 'name', 'text')

    def __init__(self, name: str, text: str, created_s: float) -> None:
        self.name = name
        self.text = text
        self.created_s = created_s


def parse_key(workspace: str, service_name: str, text: str) -> Key | None:
    """Return the key, or None unless it is a UUID of version 7.

    Spellings of one UUID that differ in case are the same key.
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
    # The UUID has a fixed length and a service name has no slash, so names of
    # different actions never coincide.
    name = f'{canonical}/{service_name}/{workspace}'
    return Key(name, canonical, created_s_of(name))


def created_s_of(name: str) -> float:
    """Return the creation time of a key in seconds since the epoch."""
    number = uuid.UUID(name[:_KEY_LENGTH]).int
    return (number >> _TIME_SHIFT_BITS) / _MS_PER_S


def refusal_by_age(
    created_s: float,
    now_s: float,
    horizon_s: float,
) -> str:
    """Return the verdict that refuses a key for its age, or nothing.

    A key created before the horizon may have a claim that was forgotten.
    """
    if created_s < horizon_s:
        return verdicts.EXPIRED
    if created_s > now_s + CLOCK_SKEW_S:
        return verdicts.INVALID
    return ''


def partition_of(name: str, partitions: int) -> int:
    """Return the number of the partition that holds a key."""
    return rank_of(name) % partitions
