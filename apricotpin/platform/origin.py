"""The origin service: fetches manifests and pieces from the origin."""

import types
from typing import Any, Final

from result import Result

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpResponse
from apricotpin.messages.pieces import (
    FetchManifest,
    FetchPiece,
    PieceManifest,
)
from apricotpin.platform import names
from apricotpin.platform.http_client import PlatformHttpClient, decode_expected

# Enough connections to keep the origin's link busy between two responses.
ORIGIN_CONNECTIONS: Final = 4


class OriginService:
    """Own the connections to each origin."""

    __slots__ = ('_clients', '_kernel')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._clients: dict[str, PlatformHttpClient] = {}

    def fetch(self, message: Any, reply: Reply) -> None:
        """Fetch a manifest or a piece in a new greenlet."""
        client = self._clients.get(message.address)
        if client is None:
            client = PlatformHttpClient(
                message.address,
                ORIGIN_CONNECTIONS,
                ErrorKind.ORIGIN_UNAVAILABLE,
            )
            self._clients[message.address] = client
        action = _ACTIONS[type(message)]
        self._kernel.spawn(
            lambda: reply.forward(action(client, message)),
        )


def _fetch_manifest(
    client: PlatformHttpClient,
    message: FetchManifest,
) -> Result[PieceManifest, Failure]:
    path = names.PATH_MANIFEST.format(
        model=message.model,
        version=message.version,
    )
    return decode_expected(
        client.call('GET', path),
        _decode_manifest,
        ErrorKind.ORIGIN_UNAVAILABLE,
    )


def _decode_manifest(response: HttpResponse) -> PieceManifest:
    fields = response.document()
    digests = tuple(fields['digests'])
    if not all(isinstance(digest, str) for digest in digests):
        raise ValueError('digests has an entry that is not a string')
    return PieceManifest(
        fields['model'],
        fields['version'],
        fields['layers'],
        digests,
    )


def _fetch_piece(
    client: PlatformHttpClient,
    message: FetchPiece,
) -> Result[bytes, Failure]:
    path = names.PATH_PIECE.format(
        model=message.model,
        version=message.version,
        index=message.index,
    )
    return decode_expected(
        client.call('GET', path),
        lambda response: response.body,
        ErrorKind.ORIGIN_UNAVAILABLE,
    )


_ACTIONS: Final = types.MappingProxyType(
    {FetchManifest: _fetch_manifest, FetchPiece: _fetch_piece}
)
