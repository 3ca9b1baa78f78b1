"""The worker of a lane: one connection, one fetch at a time."""

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
    GetNextFetch,
    Lane,
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


class PeerReader:
    """Own the connection of a lane to its current peer."""

    __slots__ = ('_address', '_client', '_host_id', '_kernel')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._host_id = settings.host_id
        self._client = PeerClient(settings.peer_listen.ip)
        self._address = ''

    def fetch(self, order: FetchOrder) -> Result[bytes, Failure]:
        """Ask the peer of the order for a chunk or the manifest.

        An open connection can go silent while new ones work, so a failure on
        one that was used before is repeated once on a new one.
        """
        address = order.source.address
        reused = address == self._address
        if not reused:
            self._client.close()
            self._address = address
        answered = self._call(order)
        if answered.is_err() and reused:
            count_retry(self._kernel, 'connection_failed')
            answered = self._call(order)
        if answered.is_err():
            self._address = ''
        return answered.and_then(content_of)

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


def run_lane(kernel: Kernel, settings: Settings, lane: Lane) -> None:
    """Fetch what the weights service orders until it has no more orders."""
    origin = OriginClient(settings.origin_urls, settings.peer_listen.ip)
    peer = PeerReader(kernel, settings)
    with contextlib.closing(origin), contextlib.closing(peer):
        busy = True
        while busy:
            busy = _fetch_next(kernel, lane, origin, peer)


def _fetch_next(
    kernel: Kernel,
    lane: Lane,
    origin: OriginClient,
    peer: PeerReader,
) -> bool:
    asked = kernel.call(
        SERVICE_WEIGHTS, GetNextFetch(lane), const.LANE_TIMEOUT_S
    )
    if asked.is_err():
        gevent.sleep(const.PAUSE_FIRST_S)
        return True
    order = asked.ok_value
    if order is None:
        return False
    from_origin = order.source.kind == const.SOURCE_ORIGIN
    fetched = origin.fetch(order) if from_origin else peer.fetch(order)
    kernel.send(SERVICE_WEIGHTS, FetchDone(lane, order, fetched))
    return True


def content_of(answer: ChunkAnswer) -> Result[bytes, Failure]:
    if answer.status == const.STATUS_OK:
        return Ok(answer.data)
    kind = _STATUS_KINDS.get(answer.status, ErrorKind.PEER_UNAVAILABLE)
    return Err(Failure(kind, f'the peer answered {answer.status}'))
