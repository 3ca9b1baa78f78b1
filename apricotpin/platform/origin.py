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
from apricotpin.platform.calls import HttpCaller, expect

# Enough to keep the origin's link busy between two answers.
ORIGIN_CONNECTIONS: Final = 4


class OriginService:
    """Own the connections to each origin."""

    __slots__ = ('_callers', '_kernel')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._callers: dict[str, HttpCaller] = {}

    def fetch(self, message: Any, reply: Reply) -> None:
        """Fetch in a greenlet of its own."""
        caller = self._callers.get(message.address)
        if caller is None:
            caller = HttpCaller(
                message.address,
                ORIGIN_CONNECTIONS,
                ErrorKind.ORIGIN_UNAVAILABLE,
            )
            self._callers[message.address] = caller
        action = _ACTIONS[type(message)]
        self._kernel.spawn(
            lambda: reply.forward(action(caller, message)),
        )


def _fetch_manifest(
    caller: HttpCaller,
    message: FetchManifest,
) -> Result[PieceManifest, Failure]:
    path = names.PATH_MANIFEST.format(
        model=message.model,
        version=message.version,
    )
    return expect(
        caller.call('GET', path),
        _decode_manifest,
        ErrorKind.ORIGIN_UNAVAILABLE,
    )


def _decode_manifest(answer: HttpResponse) -> PieceManifest:
    fields = answer.document()
    digests = tuple(fields['digests'])
    if not all(isinstance(digest, str) for digest in digests):
        raise ValueError('a digest is not a text')
    return PieceManifest(
        fields['model'],
        fields['version'],
        fields['layers'],
        digests,
    )


def _fetch_piece(
    caller: HttpCaller,
    message: FetchPiece,
) -> Result[bytes, Failure]:
    path = names.PATH_PIECE.format(
        model=message.model,
        version=message.version,
        index=message.index,
    )
    return expect(
        caller.call('GET', path),
        lambda answer: answer.body,
        ErrorKind.ORIGIN_UNAVAILABLE,
    )


_ACTIONS: Final = types.MappingProxyType(
    {FetchManifest: _fetch_manifest, FetchPiece: _fetch_piece}
)
