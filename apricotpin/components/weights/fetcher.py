"""Greenlet of a fetcher, which fetches one chunk at a time."""

import contextlib
import types
from typing import Final

import gevent
from result import Err, Ok, Result

from apricotpin.components.weights import const
from apricotpin.components.weights.origin_client import OriginClient
from apricotpin.const import SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.metrics import count_retry
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.transfers import (
    FetchDone,
    FetchOrder,
    Fetcher,
    GetNextFetch,
)
from apricotpin.messages.weights import ChunkAnswer, FetchChunk
from apricotpin.settings import Settings

_STATUS_KINDS: Final = types.MappingProxyType(
    {
        const.STATUS_NOT_YET: ErrorKind.CHUNK_NOT_YET,
        const.STATUS_BLOCKED: ErrorKind.ORIGIN_UNAVAILABLE,
        const.STATUS_BUSY: ErrorKind.PEER_BUSY,
        const.STATUS_UNKNOWN: ErrorKind.VERSION_UNKNOWN,
    }
)


class PeerChunkClient:
    """Own the connection of a fetcher to the peer that it fetches from."""

    __slots__ = ('_address', '_client', '_host_id', '_kernel')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._host_id = settings.host_id
        self._client = PeerClient(settings.peer_listen.ip)
        self._address = ''

    def fetch(self, order: FetchOrder) -> Result[bytes, Failure]:
        """Fetch a chunk or the manifest from the peer that the order names.

        An open connection can stop working while new ones work, so a fetch
        that fails on a reused connection is repeated once on a new one.
        """
        address = order.source.address
        is_reused = address == self._address
        if not is_reused:
            self._client.close()
            self._address = address
        outcome = self._call(order)
        if outcome.is_err() and is_reused:
            count_retry(self._kernel, 'connection_failed')
            outcome = self._call(order)
        if outcome.is_err():
            self._address = ''
        return outcome.and_then(chunk_result)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _call(self, order: FetchOrder) -> Result[ChunkAnswer, Failure]:
        request = FetchChunk(
            order.model,
            order.version,
            order.index,
            order.wait_ms,
            self._host_id,
        )
        return self._client.call(
            order.source.address,
            'fetch_chunk',
            request,
            order.timeout_s,
        )


def run_fetcher(kernel: Kernel, settings: Settings, fetcher: Fetcher) -> None:
    """Fetch what the weights service orders until it replies with no order."""
    origin = OriginClient(settings.origin_urls, settings.peer_listen.ip)
    peer = PeerChunkClient(kernel, settings)
    with contextlib.closing(origin), contextlib.closing(peer):
        has_orders = True
        while has_orders:
            has_orders = _fetch_next(kernel, fetcher, origin, peer)


def _fetch_next(
    kernel: Kernel,
    fetcher: Fetcher,
    origin: OriginClient,
    peer: PeerChunkClient,
) -> bool:
    reply = kernel.call(
        SERVICE_WEIGHTS, GetNextFetch(fetcher), const.FETCHER_CALL_TIMEOUT_S
    )
    if reply.is_err():
        gevent.sleep(const.RETRY_BACKOFF_FIRST_S)
        return True
    order = reply.ok_value
    if order is None:
        return False
    is_from_origin = order.source.kind == const.SOURCE_ORIGIN
    fetched = origin.fetch(order) if is_from_origin else peer.fetch(order)
    kernel.send(SERVICE_WEIGHTS, FetchDone(fetcher, order, fetched))
    return True


def chunk_result(answer: ChunkAnswer) -> Result[bytes, Failure]:
    """Return the data of a ChunkAnswer or the failure that its status means."""
    if answer.status == const.STATUS_OK:
        return Ok(answer.data)
    kind = _STATUS_KINDS.get(answer.status, ErrorKind.PEER_UNAVAILABLE)
    return Err(Failure(kind, f'fetch_chunk status is {answer.status}, not ok'))
