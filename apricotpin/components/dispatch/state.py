"""State that the selection of an upstream depends on."""

from collections import deque
from apricotpin.components.dispatch.table import UpstreamTable
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.host_settings import OperatorLimits
from apricotpin.messages.desired import Engine, ServiceSpec


class Bucket:
    """Count the requests, the retries and the selections of one second."""

    __slots__ = ('requests', 'retries', 'second', 'selections')

    def __init__(self, second: int) -> None:
        self.second = second
        self.requests = 0
        self.retries = 0
        self.selections = 0


class RequestWindow:
    """Count the recent requests of a service in buckets of one second."""

    __slots__ = ('buckets',)

    def __init__(self) -> None:
        self.buckets: deque[Bucket] = deque()


class DispatchState:
    """Hold everything that the selection of an upstream depends on."""

    __slots__ = (
        'limits',
        'data_centre',
        'entry_host_count',
        'local_host_count',
        'services',
        'declared_versions',
        'upstreams',
        'path_delays_s',
        'removed',
        '_upstreams_by_ticket',
        '_windows',
    )

    def __init__(self, data_centre: str, limits: OperatorLimits) -> None:
        self.data_centre = data_centre
        self.limits = limits
        self.entry_host_count = 1
        # Entry hosts of this data centre, including this one.
        self.local_host_count = 1
        self.services: dict[str, ServiceSpec] = {}
        # Time of declaration on the boot-time clock, by model and version.
        self.declared_versions: dict[str, dict[int, float]] = {}
        self.upstreams = UpstreamTable()
        # Upstreams that are no longer listed but had stated that they leave or
        # want a pause, by instance, the one removed first at the start.
        self.removed: dict[str, Upstream] = {}
        # How much longer than usual the path there and back takes, by data
        # centre.
        self.path_delays_s: dict[str, float] = {}
        self._windows: dict[str, RequestWindow] = {}
        # Upstreams of the attempts in progress, by ticket.
        self._upstreams_by_ticket: dict[str, Upstream] = {}

    def get_window(self, service: str) -> RequestWindow:
        """Return the request counts of a service, created on first use."""
        return self._windows.setdefault(service, RequestWindow())

    def get_engine(self, service: str) -> Engine | None:
        """Return the engine of a service, None where it runs no model."""
        spec = self.services.get(service)
        return None if spec is None else spec.engine

    def start_attempt(self, ticket: str, upstream: Upstream) -> None:
        """Count an attempt at an upstream as in progress."""
        upstream.own_in_flight += 1
        self._upstreams_by_ticket[ticket] = upstream

    def find_upstream(self, ticket: str) -> Upstream | None:
        """Return the upstream of an attempt in progress, None if unknown."""
        return self._upstreams_by_ticket.get(ticket)

    def end_attempt(self, ticket: str) -> Upstream | None:
        """Stop counting an attempt; return its upstream if it had one."""
        upstream = self._upstreams_by_ticket.pop(ticket, None)
        if upstream is not None:
            upstream.own_in_flight -= 1
        return upstream
