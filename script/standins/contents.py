"""Deterministic contents of weights, generations and plain responses.

A response depends only on the request and the served version, so a caller can
compute the expected response to its request without any shared state.
"""

import json
from collections.abc import Iterator
from typing import Any

from blake3 import blake3

from apricotpin.helpers.hashing import digest_hex

_TOKEN_HEX_DIGITS = 8


class Weights:
    """Describe a model version whose bytes are generated when they are read."""

    __slots__ = ('chunk_bytes', 'model', 'size_bytes', 'version')

    def __init__(
        self,
        model: str,
        version: str,
        size_bytes: int,
        chunk_bytes: int,
    ) -> None:
        self.model = model
        self.version = version
        self.size_bytes = size_bytes
        self.chunk_bytes = chunk_bytes

    @classmethod
    def from_text(cls, text: str) -> 'Weights':
        """Parse model/version:size_bytes:chunk_bytes.

        Raise ValueError if the text does not have this form.
        """
        name, size_bytes, chunk_bytes = text.split(':')
        model, version = name.split('/')
        return cls(model, version, int(size_bytes), int(chunk_bytes))

    def as_text(self) -> str:
        """Return the text that from_text parses."""
        name = f'{self.model}/{self.version}'
        return f'{name}:{self.size_bytes}:{self.chunk_bytes}'

    @property
    def chunk_count(self) -> int:
        """Return the number of chunks; the last one may be shorter."""
        return -(-self.size_bytes // self.chunk_bytes)

    def chunk(self, index: int) -> bytes:
        """Return the bytes of a chunk."""
        start = index * self.chunk_bytes
        length = min(self.chunk_bytes, self.size_bytes - start)
        name = f'{self.model}/{self.version}/{index}'.encode()
        return blake3(name).digest(length)

    def chunks(self) -> Iterator[bytes]:
        """Return all chunks in order."""
        return (self.chunk(index) for index in range(self.chunk_count))


def manifest_of(weights: Weights) -> dict[str, Any]:
    """Return the manifest of a version.

    Its digest covers the bytes of all chunks in order.
    """
    hasher = blake3()
    digests = []
    for chunk in weights.chunks():
        hasher.update(chunk)
        digests.append(digest_hex(chunk))
    return {
        'model': weights.model,
        'version': weights.version,
        'size_bytes': weights.size_bytes,
        'chunk_bytes': weights.chunk_bytes,
        'chunk_digests': digests,
        'digest': hasher.hexdigest(),
    }


def encode_manifest(manifest: dict[str, Any]) -> bytes:
    """Return the manifest as compact JSON with sorted keys, as it is served."""
    text = json.dumps(manifest, sort_keys=True, separators=(',', ':'))
    return text.encode()


def token_of(digest: str, prompt: str, index: int) -> str:
    """Return the token that the version with this digest generates."""
    text = f'{digest}\x00{prompt}\x00{index}'.encode()
    return digest_hex(text)[:_TOKEN_HEX_DIGITS]


def plain_response(service: str, method: str, path: str, body: bytes) -> Any:
    """Return the document with which a plain service responds to a request."""
    digest = digest_hex(b'\x00'.join([method.encode(), path.encode(), body]))
    return {
        'service': service,
        'method': method,
        'path': path,
        'digest': digest,
    }
