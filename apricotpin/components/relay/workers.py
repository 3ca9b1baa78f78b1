"""Greenlets that fetch pieces from the origin, other relays and agents."""

import json

import gevent
from result import Err, Ok, Result

from apricotpin.components.relay import const
from apricotpin.components.relay.events import Fetch, Fetched, GetNextFetch
from apricotpin.components.relay.state import Holding
from apricotpin.const import SERVICE_ORIGIN, SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.helpers.pieces import fetch_piece
from apricotpin.messages.pieces import FetchManifest, FetchPiece, PieceManifest
from apricotpin.messages.weights import FetchChunk


def fetch_pieces(kernel: Kernel, holding: Holding) -> None:
    """Fetch what the relay asks for until the version is superseded."""
    client = PeerClient()
    while True:
        asked = kernel.call(
            SERVICE_WEIGHTS, GetNextFetch(holding), const.IDLE_S
        )
        if asked.is_err():
            return
        fetch = asked.ok_value
        source = fetch.source
        if source == const.ORIGIN:
            content = _from_origin(kernel, holding, fetch.index, fetch.origin)
        else:
            content = _from_peer(client, holding, fetch)
        kernel.send(
            SERVICE_WEIGHTS,
            Fetched(
                holding,
                fetch.index,
                source,
                content,
                waited=fetch.wait_ms > 0,
            ),
        )
        if content.is_err():
            gevent.sleep(const.RETRY_S)


def _from_origin(
    kernel: Kernel,
    holding: Holding,
    index: int,
    origin: str,
) -> Result[bytes, Failure]:
    model, version = holding.model, holding.version
    if not origin:
        return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, 'none is known'))
    if index != const.MANIFEST_INDEX:
        wanted = FetchPiece(origin, model, version, index)
        return kernel.call(SERVICE_ORIGIN, wanted, const.FETCH_TIMEOUT_S)
    manifest = kernel.call(
        SERVICE_ORIGIN,
        FetchManifest(origin, model, version),
        const.FETCH_TIMEOUT_S,
    )
    return manifest.and_then(lambda found: _encode(found, model, version))


def _encode(
    manifest: PieceManifest,
    model: str,
    version: int,
) -> Result[bytes, Failure]:
    if manifest.model != model or manifest.version != version:
        detail = f'{manifest.model} {manifest.version}'
        return Err(Failure(ErrorKind.MANIFEST_CORRUPT, detail))
    document = {
        'layers': manifest.layers,
        'digests': list(manifest.digests),
    }
    return Ok(json.dumps(document).encode())


def _from_peer(
    client: PeerClient,
    holding: Holding,
    fetch: Fetch,
) -> Result[bytes, Failure]:
    wanted = FetchChunk(
        holding.model,
        str(holding.version),
        fetch.index,
        fetch.wait_ms,
    )
    return fetch_piece(client, fetch.source, wanted, const.FETCH_TIMEOUT_S)
