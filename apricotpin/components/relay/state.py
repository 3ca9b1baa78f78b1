"""What a relay holds of one version."""

import enum
import time
from collections import deque

from apricotpin.components.relay import const
from apricotpin.core import Reply
from apricotpin.helpers.stripes import stripe_of


class Demand(enum.IntEnum):
    """Say how much of a version is fetched, and at what price.

    NEAR takes pieces from agents of the data centre, and leaves out what
    these can't give.
    """

    MANIFEST = 0
    NEAR = 1
    ALL = 2


class Holding:
    """Hold what is known of one version of a model's weights."""

    __slots__ = (
        'bad',
        'content',
        'demands',
        'digests',
        'idle_workers',
        'model',
        'started_s',
        'version',
        'waiting',
        'wanted',
    )

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version
        self.started_s = time.monotonic()
        # Content by index; the manifest has the index -1.
        self.content: dict[int, bytes] = {}
        self.digests: list[str] = []
        # What is fetched of each stripe; only the manifest of the others.
        self.demands: dict[int, Demand] = {}
        self.wanted: deque[int] = deque([const.MANIFEST_INDEX])
        self.waiting: dict[int, list[Reply]] = {}
        self.idle_workers: list[Reply] = []
        self.bad: dict[int, int] = {}

    def demand_of(self, index: int) -> Demand:
        """Return the demand for a piece."""
        return self.demands.get(stripe_of(index), Demand.MANIFEST)

    @property
    def missing(self) -> list[int]:
        """Return the pieces that are fetched and not here yet."""
        return [
            index
            for index, _ in enumerate(self.digests)
            if index not in self.content
            and self.demand_of(index) > Demand.MANIFEST
        ]
