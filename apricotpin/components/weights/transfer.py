"""Progress of one version: chunks that are held, being fetched or missing."""

import json
from typing import Final

from apricotpin.components.weights import const
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.document import ModelTarget
from apricotpin.messages.transfers import FetchOrder, Fetcher, Source
from apricotpin.messages.weights import Manifest

_MANIFEST_STRIPE: Final = 0


class StripeProgress:
    """Track the back-off of a stripe and the time of its last progress.

    A stripe is blocked while its root waits for the origin or for a host of
    another region. Times are on the monotonic clock.
    """

    __slots__ = (
        'backoff_count',
        'backoff_until_s',
        'is_blocked',
        'last_progress_s',
        'probe_count',
    )

    def __init__(self, now_s: float) -> None:
        self.is_blocked = False
        self.last_progress_s = now_s
        self.backoff_until_s: float = 0
        self.backoff_count = 0
        self.probe_count = 0


class ActiveFetch:
    """Describe a fetch in progress and its start on the monotonic clock."""

    __slots__ = ('order', 'started_s')

    def __init__(self, order: FetchOrder, started_s: float) -> None:
        self.order = order
        self.started_s = started_s


class Transfer:
    """Hold the verified bytes of a version and its fetches in progress."""

    __slots__ = (
        'active_fetches',
        'chunks',
        'held_count',
        'is_pulling',
        'is_refused',
        'manifest',
        'manifest_bytes',
        'stripe_progress',
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
        self.held_count = 0
        # Until the engine service requests the chunks, only the manifest is
        # fetched.
        self.is_pulling = False
        self.is_refused = False
        self.active_fetches: dict[tuple[int, int], ActiveFetch] = {}
        self.stripe_progress = [StripeProgress(now_s) for _ in range(stripes)]

    @property
    def is_complete(self) -> bool:
        """Return whether all chunks are held."""
        return self.manifest is not None and self.held_count == len(self.chunks)

    @property
    def version_key(self) -> str:
        """Return the key of model and version, NAME/VERSION."""
        return f'{self.target.name}/{self.target.version}'

    def matches(self, model: str, version: str) -> bool:
        """Return whether this is the transfer of a version."""
        return self.target.name == model and self.target.version == version

    def size_bytes(self) -> int:
        """Return the size of the version, 0 before the manifest is held."""
        return self.manifest.size_bytes if self.manifest else 0

    def content(self, index: int) -> bytes | None:
        """Return a verified chunk or the manifest, None if it is not held."""
        if index == const.MANIFEST_INDEX:
            return self.manifest_bytes or None
        if not 0 <= index < len(self.chunks):
            return None
        return self.chunks[index]

    def is_expected(self, index: int) -> bool:
        """Return whether the chunk is being fetched or may be later."""
        return index == const.MANIFEST_INDEX or (
            self.manifest is None or self.is_pulling
        )

    def progress_of(self, index: int) -> StripeProgress:
        """Return the progress of a chunk's stripe.

        The manifest belongs to the first stripe.
        """
        return self.stripe_progress[max(index, 0) % len(self.stripe_progress)]

    def next_missing_index(self, stripe: int) -> int | None:
        """Return a stripe's lowest missing index that is not being fetched."""
        requested = {
            fetch.order.index for fetch in self.active_fetches.values()
        }
        for index in self._missing_indexes(stripe):
            if index not in requested:
                return index
        return None

    def begin_fetch(
        self, fetcher: Fetcher, order: FetchOrder, now_s: float
    ) -> None:
        """Record that a fetcher has begun a fetch."""
        fetch = ActiveFetch(order, now_s)
        self.active_fetches[fetcher.stripe, fetcher.index] = fetch

    def end_fetch(self, fetcher: Fetcher) -> None:
        """Record that a fetcher's fetch has ended."""
        self.active_fetches.pop((fetcher.stripe, fetcher.index), None)

    def begin_pull(self, now_s: float) -> None:
        """Allow the fetch of chunks; the stall limits count from now on."""
        self.is_pulling = True
        for progress in self.stripe_progress:
            progress.last_progress_s = now_s

    def _missing_indexes(self, stripe: int) -> list[int]:
        if self.manifest is None:
            is_first = stripe == _MANIFEST_STRIPE
            return [const.MANIFEST_INDEX] if is_first else []
        if not self.is_pulling:
            return []
        indexes = range(stripe, len(self.chunks), len(self.stripe_progress))
        return [index for index in indexes if self.chunks[index] is None]


def accept_manifest(transfer: Transfer, received: bytes) -> bool:
    """Store the manifest if it has the digest of the configuration."""
    if digest_hex(received) != transfer.target.manifest_digest:
        return False
    manifest = Manifest(json.loads(received))
    transfer.manifest = manifest
    transfer.manifest_bytes = received
    transfer.chunks = [None for _ in manifest.chunk_digests]
    return True


def accept_chunk(transfer: Transfer, index: int, received: bytes) -> bool:
    """Store a chunk if its digest is the one in the manifest."""
    manifest = transfer.manifest
    if manifest is None or index >= len(transfer.chunks):
        return False
    if digest_hex(received) != manifest.chunk_digests[index]:
        return False
    if transfer.chunks[index] is None:
        transfer.chunks[index] = received
        transfer.held_count += 1
    return True


def accept_received(
    transfer: Transfer,
    index: int,
    received: bytes,
    now_s: float,
) -> bool:
    """Verify and store received bytes; record progress of their stripe.

    Return whether the digest is right.
    """
    if index == const.MANIFEST_INDEX:
        accepted = accept_manifest(transfer, received)
    else:
        accepted = accept_chunk(transfer, index, received)
    if accepted:
        progress = transfer.progress_of(index)
        progress.last_progress_s = now_s
        progress.backoff_count = 0
        progress.backoff_until_s = 0
    return accepted


def is_stalled(
    progress: StripeProgress,
    source: Source,
    stall_s: float,
    now_s: float,
) -> bool:
    """Return whether a stripe had no progress for longer than its limit.

    The limit grows with the depth in the tree, so hosts near the root replace
    a failed source first. Otherwise a fault near the root would send all hosts
    below it to the origin at once.
    """
    stall_factor = const.BLOCKED_STALL_FACTOR if progress.is_blocked else 1
    limit_s = stall_s * (1 + source.depth) * stall_factor
    return now_s - progress.last_progress_s > limit_s
