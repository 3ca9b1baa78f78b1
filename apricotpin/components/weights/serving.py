"""Answer other hosts that ask for chunks."""

from apricotpin.components.weights import const
from apricotpin.components.weights.report import Totals
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.transfer import Transfer
from apricotpin.components.weights.uploads import HeldRequest, Uploads
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_refusal
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class ChunkServer:
    """Own the upload slots and the requests that wait for a chunk."""

    __slots__ = ('_kernel', '_store', '_totals', '_uploads', 'stripes')

    def __init__(
        self,
        kernel: Kernel,
        store: VersionStore,
        totals: Totals,
    ) -> None:
        self.stripes = 1
        self._kernel = kernel
        self._store = store
        self._totals = totals
        self._uploads = Uploads()

    def resize(self, stripes: int) -> None:
        """Take the number of stripes, on which the upload slots depend."""
        self.stripes = stripes
        self._uploads.slots_max = const.SLOTS_PER_STRIPE * stripes

    def serve(self, message: FetchChunk, reply: Reply, now_s: float) -> None:
        """Answer with a checked chunk, now or when it arrives."""
        child = (message.host_id, message.index % self.stripes)
        is_manifest = message.index == const.MANIFEST_INDEX
        if not is_manifest and not self._uploads.admit(child, now_s):
            count_refusal(self._kernel, ErrorKind.PEER_BUSY)
            reply.ok(ChunkAnswer(const.STATUS_BUSY))
            return
        transfer = self._store.find(message.model, message.version)
        found = transfer.content(message.index) if transfer else None
        if found is None:
            self._uploads.hold(message, reply, now_s)
        else:
            self._send(found, reply)

    def answer_held(self, target: Transfer, index: int) -> None:
        """Send a chunk that arrived to the hosts that wait for it."""
        name = target.target
        for held in self._uploads.take_for(name.name, name.version, index):
            self._send(target.content(index), held.reply)

    def answer_overdue(self, now_s: float) -> None:
        """Tell hosts that waited long enough why there is no chunk."""
        for held in self._uploads.take_overdue(now_s):
            status = self._waiting_status(held)
            held.reply.ok(ChunkAnswer(status))

    def _waiting_status(self, held: HeldRequest) -> str:
        message = held.message
        transfer = self._store.find(message.model, message.version)
        if transfer is None or not transfer.expects(message.index):
            count_refusal(self._kernel, ErrorKind.VERSION_UNKNOWN)
            return const.STATUS_UNKNOWN
        if transfer.stripe_of(message.index).blocked:
            return const.STATUS_BLOCKED
        return const.STATUS_NOT_YET

    def _send(self, found: bytes, reply: Reply) -> None:
        self._totals.bytes_sent += len(found)
        count(self._kernel, 'chunk_bytes_sent_total', amount=len(found))
        reply.ok(ChunkAnswer(const.STATUS_OK, found))
