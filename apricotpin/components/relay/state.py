"""What a relay holds of one version."""

import enum
import time
from collections import deque

from apricotpin.components.relay import const
from apricotpin.core import Reply


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
        'demand',
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
        self.demand = Demand.MANIFEST
        self.wanted: deque[int] = deque([const.MANIFEST_INDEX])
        self.waiting: dict[int, list[Reply]] = {}
        self.idle_workers: list[Reply] = []
        self.bad: dict[int, int] = {}
