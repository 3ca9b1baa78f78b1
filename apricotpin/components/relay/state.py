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


class CachedVersion:
    """Track the cached pieces of one version and the fetches of others.

    waiting_replies are the requests for a piece that has not arrived, and
    idle_fetchers the fetching tasks that wait for a job. corrupt_counts counts
    by index the fetches that did not match their digest.
    """

    __slots__ = (
        'content',
        'corrupt_counts',
        'digests',
        'idle_fetchers',
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
        self.digests: list[str] = []
        # Scope by stripe; stripes without one have the scope MANIFEST.
        self.scopes: dict[int, FetchScope] = {}
        self.queue: deque[int] = deque([const.MANIFEST_INDEX])
        self.waiting_replies: dict[int, list[Reply]] = {}
        self.idle_fetchers: list[Reply] = []
        self.corrupt_counts: dict[int, int] = {}

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
