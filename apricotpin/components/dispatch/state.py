"""What dispatch knows of upstreams, requests and versions."""

from collections import deque
from typing import Any

from apricotpin.host_settings import OperatorLimits
from apricotpin.messages.desired import Engine, ServiceSpec
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.upstreams import UpstreamEntry


class IdleConnection:
    """Hold a connection and until when it may be used again."""

    __slots__ = ('connection', 'until_s')

    def __init__(self, connection: Any, until_s: float) -> None:
        self.connection = connection
        self.until_s = until_s


class Upstream:
    """Hold what is known of one upstream.

    own counts this host's attempts in progress; others estimates those of
    the other hosts, from the report received at reported_s.
    """

    __slots__ = (
        'address',
        'entry',
        'failure_score',
        'failures',
        'idle',
        'others',
        'own',
        'report',
        'reported_s',
        'rest_until_s',
    )

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.address = entry.address
        self.own = 0
        self.others = 0
        self.report: LoadReport | None = None
        self.reported_s = float('-inf')
        self.failures = 0
        self.failure_score: float = 0
        self.rest_until_s = float('-inf')
        self.idle: list[IdleConnection] = []


class Bucket:
    """Count the requests of callers, retries and attempts of a second."""

    __slots__ = ('requests', 'retries', 'second', 'sent')

    def __init__(self, second: int) -> None:
        self.second = second
        self.requests = 0
        self.retries = 0
        self.sent = 0


class Window:
    """Count requests, retries and attempts of a service by second."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: deque[Bucket] = deque()


class DispatchState:
    """Hold all that a choice rests on."""

    __slots__ = (
        'limits',
        'data_centre',
        'entry_hosts',
        'near_hosts',
        'services',
        'targets',
        'upstreams',
        'paths_s',
        '_picked',
        '_windows',
    )

    def __init__(self, data_centre: str, limits: OperatorLimits) -> None:
        self.data_centre = data_centre
        self.limits = limits
        self.entry_hosts = 1
        # Those of the own data centre, this one included.
        self.near_hosts = 1
        self.services: dict[str, ServiceSpec] = {}
        # When each declared version of a model became known.
        self.targets: dict[str, dict[int, float]] = {}
        self.upstreams: dict[str, Upstream] = {}
        # How much longer than usual the path to a data centre and back takes.
        self.paths_s: dict[str, float] = {}
        self._windows: dict[str, Window] = {}
        # Upstreams by the tickets of attempts in progress.
        self._picked: dict[str, Upstream] = {}

    def window(self, service: str) -> Window:
        """Return the counts of a service."""
        return self._windows.setdefault(service, Window())

    def engine_of(self, service: str) -> Engine | None:
        """Return the engine of a service, None where it runs no model."""
        spec = self.services.get(service)
        return None if spec is None else spec.engine

    def take(self, ticket: str, upstream: Upstream) -> None:
        """Count an attempt at an upstream."""
        upstream.own += 1
        self._picked[ticket] = upstream

    def release(self, ticket: str) -> Upstream | None:
        """Take an attempt back; return its upstream if it had one."""
        upstream = self._picked.pop(ticket, None)
        if upstream is not None:
            upstream.own -= 1
        return upstream
