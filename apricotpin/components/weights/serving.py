"""Serve chunks to other hosts within the upload slots."""

from apricotpin.components.weights import const
from apricotpin.components.weights.status import TransferTotals
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.transfer import Transfer
from apricotpin.components.weights.uploads import HeldRequest, Uploads
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_refusal
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class ChunkServer:
    """Own the upload slots and the requests held until a chunk arrives."""

    __slots__ = ('_kernel', '_store', '_totals', '_uploads', 'stripes')

    def __init__(
        self,
        kernel: Kernel,
        store: VersionStore,
        totals: TransferTotals,
    ) -> None:
        self.stripes = 1
        self._kernel = kernel
        self._store = store
        self._totals = totals
        self._uploads = Uploads()

    def set_stripes(self, stripes: int) -> None:
        """Set the number of stripes, on which the upload slots depend."""
        self.stripes = stripes
        self._uploads.slots_max = const.UPLOAD_SLOTS_PER_STRIPE * stripes

    def serve(self, message: FetchChunk, reply: Reply, now_s: float) -> None:
        """Reply with a verified chunk, now or when it arrives."""
        child = (message.host_id, message.index % self.stripes)
        is_manifest = message.index == const.MANIFEST_INDEX
        if not is_manifest and not self._uploads.admit(child, now_s):
            count_refusal(self._kernel, ErrorKind.PEER_BUSY)
            reply.ok(ChunkAnswer(const.STATUS_BUSY))
            return
        transfer = self._store.find(message.model, message.version)
        content = transfer.content(message.index) if transfer else None
        if content is None:
            self._uploads.hold(message, reply, now_s)
        else:
            self._send_chunk(content, reply)

    def send_to_waiting(self, target: Transfer, index: int) -> None:
        """Send a chunk that arrived to the hosts whose requests are held."""
        model_target = target.target
        for held in self._uploads.pop_for_chunk(
            model_target.name, model_target.version, index
        ):
            self._send_chunk(target.content(index), held.reply)

    def reply_to_overdue(self, now_s: float) -> None:
        """Reply to overdue requests with the reason why there is no chunk."""
        for held in self._uploads.pop_overdue(now_s):
            status = self._unavailable_status(held)
            held.reply.ok(ChunkAnswer(status))

    def _unavailable_status(self, held: HeldRequest) -> str:
        message = held.message
        transfer = self._store.find(message.model, message.version)
        if transfer is None or not transfer.is_expected(message.index):
            count_refusal(self._kernel, ErrorKind.VERSION_UNKNOWN)
            return const.STATUS_UNKNOWN
        if transfer.progress_of(message.index).is_blocked:
            return const.STATUS_BLOCKED
        return const.STATUS_NOT_YET

    def _send_chunk(self, content: bytes, reply: Reply) -> None:
        self._totals.bytes_sent += len(content)
        count(self._kernel, 'chunk_bytes_sent_total', amount=len(content))
        reply.ok(ChunkAnswer(const.STATUS_OK, content))
