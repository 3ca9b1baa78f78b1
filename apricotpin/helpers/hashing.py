"""Digests and rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from blake3 import blake3

_RANK_BYTES = 8


def digest_hex(content: bytes) -> str:
    """Return the BLAKE3 digest of content in hexadecimal."""
    return blake3(content).hexdigest()


def matches_sha256(content: bytes | None, digest: str) -> bool:
    """Tell whether content is there and has a SHA-256 digest."""
    if content is None:
        return False
    return hashlib.sha256(content).hexdigest() == digest


def rank_of(*parts: str) -> int:
    """Return a 64-bit number that depends on the parts alone."""
    joined = '\x00'.join(parts).encode()
    return int.from_bytes(blake3(joined).digest(_RANK_BYTES), 'big')


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return members by falling preference for the key.

    Every process that knows the same members computes the same order, and a
    member that comes or goes moves only the keys that it held.
    """
    return sorted(members, key=lambda member: (rank_of(key, member), member))
