"""Digests and rendezvous hashing."""

import hashlib
from collections.abc import Iterable, Sequence

from blake3 import blake3

_RANK_BYTES = 8


def digest_hex(content: bytes) -> str:
    """Return the BLAKE3 digest of content in hexadecimal."""
    return blake3(content).hexdigest()


def sha256_hex(content: bytes) -> str:
    """Return the SHA-256 digest of content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def matches_sha256(content: bytes | None, digest: str) -> bool:
    """Return whether content is not None and has the SHA-256 digest."""
    if content is None:
        return False
    return sha256_hex(content) == digest


def matches_digest_of(
    index: int, content: bytes | None, digests: Sequence[str]
) -> bool:
    """Return whether content matches the digest of the piece at an index.

    There may be no such piece, since a manifest may replace a longer one.
    """
    return index < len(digests) and matches_sha256(content, digests[index])


def rank_of(*parts: str) -> int:
    """Return a 64-bit number that depends only on the parts."""
    joined = '\x00'.join(parts).encode()
    return int.from_bytes(blake3(joined).digest(_RANK_BYTES), 'big')


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return members in descending order of their rank for the key.

    Every process that knows the same members computes the same order. A
    member that is added or removed moves only the keys assigned to it.
    """
    return sorted(members, key=lambda member: (rank_of(key, member), member))
