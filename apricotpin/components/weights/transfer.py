"""Progress of one version: which chunks are held, asked for and missing."""

import json
from typing import Final

from apricotpin.components.weights import const
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.document import ModelTarget
from apricotpin.messages.transfers import FetchOrder, Lane, Source
from apricotpin.messages.weights import Manifest

_MANIFEST_STRIPE: Final = 0


class StripeProgress:
    """Hold the pause of a stripe and the time of its last chunk.

    A stripe is blocked while its root waits for the origin or a region.
    """

    __slots__ = ('blocked', 'pauses', 'probes', 'progressed_s', 'resume_s')

    def __init__(self, now_s: float) -> None:
        self.blocked = False
        self.progressed_s = now_s
        self.resume_s: float = 0
        self.pauses = 0
        self.probes = 0


class OpenFetch:
    """Hold a fetch in progress and when it started."""

    __slots__ = ('order', 'started_s')

    def __init__(self, order: FetchOrder, started_s: float) -> None:
        self.order = order
        self.started_s = started_s


class Transfer:
    """Hold the checked bytes of a version and what is asked for."""

    __slots__ = (
        'chunks',
        'held',
        'manifest',
        'manifest_bytes',
        'open_fetches',
        'pulling',
        'refused',
        'stripes',
        'target',
        'transfer_id',
    )

    def __init__(
        self,
        transfer_id: int,
        target: ModelTarget,
        stripes: int,
        now_s: float,
    ) -> None:
        self.transfer_id = transfer_id
        self.target = target
        self.manifest: Manifest | None = None
        self.manifest_bytes = b''
        self.chunks: list[bytes | None] = []
        self.held = 0
        # Only the manifest is fetched until the engine asks for the chunks.
        self.pulling = False
        self.refused = False
        self.open_fetches: dict[tuple[int, int], OpenFetch] = {}
        self.stripes = [StripeProgress(now_s) for _ in range(stripes)]

    @property
    def complete(self) -> bool:
        """Tell whether every chunk is held."""
        return self.manifest is not None and self.held == len(self.chunks)

    @property
    def version_key(self) -> str:
        """Return the text that identifies model and version."""
        return f'{self.target.name}/{self.target.version}'

    def matches(self, model: str, version: str) -> bool:
        """Tell whether this is the transfer of a version."""
        return self.target.name == model and self.target.version == version

    def size_bytes(self) -> int:
        """Return the size of the whole version, 0 while it is unknown."""
        return self.manifest.size_bytes if self.manifest else 0

    def content(self, index: int) -> bytes | None:
        """Return a checked chunk or the manifest, None if it is not held."""
        if index == const.MANIFEST_INDEX:
            return self.manifest_bytes or None
        if not 0 <= index < len(self.chunks):
            return None
        return self.chunks[index]

    def expects(self, index: int) -> bool:
        """Tell whether this content is being fetched or will be."""
        return index == const.MANIFEST_INDEX or (
            self.manifest is None or self.pulling
        )

    def stripe_of(self, index: int) -> StripeProgress:
        """Return the stripe of a chunk; the first one has the manifest."""
        return self.stripes[max(index, 0) % len(self.stripes)]

    def next_index(self, stripe: int) -> int | None:
        """Return what a stripe lacks and nobody fetches, lowest first."""
        asked = {fetch.order.index for fetch in self.open_fetches.values()}
        for index in self._missing(stripe):
            if index not in asked:
                return index
        return None

    def open(self, lane: Lane, order: FetchOrder, now_s: float) -> None:
        """Note that a lane fetches."""
        fetch = OpenFetch(order, now_s)
        self.open_fetches[lane.stripe, lane.slot] = fetch

    def close(self, lane: Lane) -> None:
        """Note that a lane does not fetch any more."""
        self.open_fetches.pop((lane.stripe, lane.slot), None)

    def pull(self, now_s: float) -> None:
        """Start to fetch chunks; the time of each stripe starts now."""
        self.pulling = True
        for stripe in self.stripes:
            stripe.progressed_s = now_s

    def _missing(self, stripe: int) -> list[int]:
        if self.manifest is None:
            is_first = stripe == _MANIFEST_STRIPE
            return [const.MANIFEST_INDEX] if is_first else []
        if not self.pulling:
            return []
        indexes = range(stripe, len(self.chunks), len(self.stripes))
        return [index for index in indexes if self.chunks[index] is None]


def accept_manifest(transfer: Transfer, received: bytes) -> bool:
    """Keep the manifest if it is the one that the configuration names."""
    if digest_hex(received) != transfer.target.manifest_digest:
        return False
    manifest = Manifest(json.loads(received))
    transfer.manifest = manifest
    transfer.manifest_bytes = received
    transfer.chunks = [None for _ in manifest.chunk_digests]
    return True


def accept_chunk(transfer: Transfer, index: int, received: bytes) -> bool:
    """Keep a chunk if its digest is the one in the manifest."""
    manifest = transfer.manifest
    if manifest is None or index >= len(transfer.chunks):
        return False
    if digest_hex(received) != manifest.chunk_digests[index]:
        return False
    if transfer.chunks[index] is None:
        transfer.chunks[index] = received
        transfer.held += 1
    return True


def accept_received(
    transfer: Transfer,
    index: int,
    received: bytes,
    now_s: float,
) -> bool:
    """Keep checked bytes and note the progress of their stripe."""
    if index == const.MANIFEST_INDEX:
        accepted = accept_manifest(transfer, received)
    else:
        accepted = accept_chunk(transfer, index, received)
    if accepted:
        progress = transfer.stripe_of(index)
        progress.progressed_s = now_s
        progress.pauses = 0
        progress.resume_s = 0
    return accepted


def is_stalled(
    progress: StripeProgress,
    source: Source,
    stall_s: float,
    now_s: float,
) -> bool:
    """Tell whether a stripe waited longer than its depth allows.

    Hosts near the root act first, so that a fault near the root does not
    bring all hosts below it to the origin at once.
    """
    patience = const.BLOCKED_PATIENCE if progress.blocked else 1
    allowed_s = stall_s * (1 + source.depth) * patience
    return now_s - progress.progressed_s > allowed_s
