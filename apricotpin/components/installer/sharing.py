"""Serve the pieces that are staged at the worker to entry hosts."""

import gevent

from apricotpin.components.installer import const
from apricotpin.components.installer.events import CanShareVersion
from apricotpin.const import SERVICE_ENGINE, SERVICE_INSTALLER
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.pieces import STATUS_OK
from apricotpin.messages.pieces import ReadStagedPiece
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class SharingService:
    """Send staged pieces one at a time, at a fraction of the link's rate.

    The worker's responses use the same link. Requests for pieces wait in the
    mailbox of this service meanwhile.
    """

    __slots__ = ('_kernel', '_link_bytes_per_s')

    def __init__(self, kernel: Kernel, link_bytes_per_s: float) -> None:
        self._kernel = kernel
        self._link_bytes_per_s = link_bytes_per_s

    def fetch_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Reply with a staged piece; the requester checks its digest."""
        content = self._read_staged(message)
        if not content:
            reply.ok(ChunkAnswer(const.STATUS_NOT_YET))
            return
        reply.ok(ChunkAnswer(STATUS_OK, content))
        gevent.sleep(sharing_pause_s(len(content), self._link_bytes_per_s))

    def _read_staged(self, message: FetchChunk) -> bytes | None:
        if not message.version.isdigit() or message.index < 0:
            return None
        can_share = self._kernel.call(
            SERVICE_INSTALLER,
            CanShareVersion(message.model, int(message.version)),
        )
        if not can_share.unwrap_or(False):
            return None
        staged = self._kernel.call(
            SERVICE_ENGINE,
            ReadStagedPiece(message.model, message.index),
            const.CALL_TIMEOUT_S,
        )
        return staged.unwrap_or(None)


def sharing_pause_s(size_bytes: int, link_bytes_per_s: float) -> float:
    """Return the pause after a piece was handed to the link."""
    if not link_bytes_per_s:
        return const.SHARING_PAUSE_DEFAULT_S
    return const.SHARING_PAUSE_FACTOR * size_bytes / link_bytes_per_s
