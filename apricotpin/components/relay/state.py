"""State of a version that a relay caches."""

import enum
import time
from collections import deque

from apricotpin.components.relay import const
from apricotpin.core import Reply
from apricotpin.helpers.stripes import stripe_of


class FetchScope(enum.IntEnum):
    """Say from which sources a stripe of a version is fetched.

    MANIFEST fetches no pieces. LOCAL_AGENTS fetches pieces from agents of the
    data centre only and skips those that they can't deliver.
    """

    MANIFEST = 0
    LOCAL_AGENTS = 1
    ALL_SOURCES = 2


class CachedManifest:
    """Track the manifest of a cached version.

    digest is the SHA-256 of its bytes, empty before the first one, and digests
    are those of the pieces. is_doubted: it is to be read again, since pieces
    do not match it. read_s is when it was last read, on the monotonic clock.
    unconfirmed_digest is that of a manifest that contradicted the desired
    state.
    """

    __slots__ = (
        'digest',
        'digests',
        'is_doubted',
        'read_s',
        'unconfirmed_digest',
    )

    def __init__(self) -> None:
        self.digest = ''
        self.digests: list[str] = []
        self.is_doubted = False
        self.read_s: float = 0
        self.unconfirmed_digest = ''

    @property
    def doubted_digest(self) -> str:
        """Return the digest if the manifest is doubted, else no text."""
        return self.digest if self.is_doubted else ''


class CachedVersion:
    """Track the cached pieces of one version and the fetches of others.

    waiting_replies are the requests for a piece that has not arrived, and
    idle_fetchers the fetching tasks that wait for a job. corrupt_counts counts
    by index the fetches in a row that did not match their digest.
    """

    __slots__ = (
        'content',
        'corrupt_counts',
        'idle_fetchers',
        'manifest',
        'model',
        'queue',
        'scopes',
        'started_s',
        'version',
        'waiting_replies',
    )

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version
        self.started_s = time.monotonic()
        # Content by index; the manifest has index -1.
        self.content: dict[int, bytes] = {}
        self.manifest = CachedManifest()
        # Scope by stripe; stripes without one have the scope MANIFEST.
        self.scopes: dict[int, FetchScope] = {}
        self.queue: deque[int] = deque([const.MANIFEST_INDEX])
        self.waiting_replies: dict[int, list[Reply]] = {}
        self.idle_fetchers: list[Reply] = []
        self.corrupt_counts: dict[int, int] = {}

    @property
    def digests(self) -> list[str]:
        """Return the digests of the pieces, none before the manifest."""
        return self.manifest.digests

    def scope_of(self, index: int) -> FetchScope:
        """Return the scope of the stripe that a piece belongs to."""
        return self.scopes.get(stripe_of(index), FetchScope.MANIFEST)

    @property
    def missing(self) -> list[int]:
        """Return the indexes of pieces that are in scope but not cached."""
        return [
            index
            for index, _ in enumerate(self.digests)
            if index not in self.content
            and self.scope_of(index) > FetchScope.MANIFEST
        ]
