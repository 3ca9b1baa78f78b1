"""Tasks that fetch pieces from the origin, other relays and agents."""

import json

import gevent
from result import Err, Ok, Result

from apricotpin.components.relay import const
from apricotpin.components.relay.events import (
    FetchJob,
    GetNextFetchJob,
    PieceFetched,
)
from apricotpin.components.relay.state import CachedVersion
from apricotpin.const import SERVICE_ORIGIN, SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.helpers.pieces import fetch_piece
from apricotpin.messages.pieces import FetchManifest, FetchPiece, PieceManifest
from apricotpin.messages.weights import FetchChunk


def fetch_pieces(kernel: Kernel, cached: CachedVersion) -> None:
    """Run the fetch jobs of a version until it is evicted."""
    client = PeerClient()
    while True:
        reply = kernel.call(SERVICE_WEIGHTS, GetNextFetchJob(cached), None)
        if reply.is_err():
            return
        job = reply.ok_value
        source = job.source
        if source == const.ORIGIN:
            content = _from_origin(kernel, cached, job.index, job.origin)
        else:
            content = _from_peer(client, cached, job)
        kernel.send(
            SERVICE_WEIGHTS,
            PieceFetched(
                cached,
                job.index,
                source,
                content,
                may_wait=job.wait_ms > 0,
            ),
        )
        if content.is_err():
            gevent.sleep(const.RETRY_DELAY_S)


def _from_origin(
    kernel: Kernel,
    cached: CachedVersion,
    index: int,
    origin: str,
) -> Result[bytes, Failure]:
    model, version = cached.model, cached.version
    if not origin:
        return Err(
            Failure(
                ErrorKind.ORIGIN_UNAVAILABLE,
                'the desired state names no origin of weights',
            )
        )
    if index != const.MANIFEST_INDEX:
        request = FetchPiece(origin, model, version, index)
        return kernel.call(SERVICE_ORIGIN, request, const.FETCH_TIMEOUT_S)
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
        detail = (
            f'origin sent the manifest of {manifest.model} {manifest.version}, '
            f'expected {model} {version}'
        )
        return Err(Failure(ErrorKind.MANIFEST_CORRUPT, detail))
    document = {
        'layers': manifest.layers,
        'digests': list(manifest.digests),
    }
    return Ok(json.dumps(document).encode())


def _from_peer(
    client: PeerClient,
    cached: CachedVersion,
    job: FetchJob,
) -> Result[bytes, Failure]:
    request = FetchChunk(
        cached.model,
        str(cached.version),
        job.index,
        job.wait_ms,
        doubted_digest=job.doubted_digest,
    )
    return fetch_piece(client, job.source, request, const.FETCH_TIMEOUT_S)
