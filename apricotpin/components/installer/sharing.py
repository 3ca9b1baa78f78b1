"""Hand out the pieces that are staged at the worker."""

import gevent

from apricotpin.components.installer import const
from apricotpin.components.installer.events import IsShared
from apricotpin.const import SERVICE_ENGINE, SERVICE_INSTALLER
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.pieces import STATUS_OK
from apricotpin.messages.pieces import ReadStagedPiece
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class SharingService:
    """Hand out staged pieces one at a time, at a part of the link's rate.

    The worker's answers leave on the same link, and its mailbox keeps those
    who ask for pieces waiting instead.
    """

    __slots__ = ('_kernel',)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def fetch_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Answer with a staged piece; its digest is checked by the asker."""
        content = self._read(message)
        if not content:
            reply.ok(ChunkAnswer(const.STATUS_NOT_YET))
            return
        reply.ok(ChunkAnswer(STATUS_OK, content))
        gevent.sleep(const.SHARING_PAUSE_S)

    def _read(self, message: FetchChunk) -> bytes | None:
        if not message.version.isdigit() or message.index < 0:
            return None
        shared = self._kernel.call(
            SERVICE_INSTALLER,
            IsShared(message.model, int(message.version)),
        )
        if not shared.unwrap_or(False):
            return None
        staged = self._kernel.call(
            SERVICE_ENGINE,
            ReadStagedPiece(message.model, message.index),
            const.CALL_TIMEOUT_S,
        )
        return staged.unwrap_or(None)
