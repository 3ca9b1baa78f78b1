"""Service that tracks requests in flight, upstreams and the retry budget."""

import time
from collections import Counter
from collections.abc import Callable

from loguru import logger

from apricotpin.components.router import decisions
from apricotpin.components.router.const import (
    DEFAULT_PRIORITY,
    RETRY_BUDGET_MAX,
)
from apricotpin.const import KIND_MODEL, SERVICE_ADMIN, SERVICE_ROUTER
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_retry, set_gauge
from apricotpin.messages import routing
from apricotpin.messages.admin import GetServiceStatus, Health, ServiceStatus
from apricotpin.messages.document import ConfigChanged, Document, ServiceConfig
from apricotpin.messages.hosts import Host, HostsChanged


class AdmittedRequest:
    """Track the service of an admitted request and the host it occupies."""

    __slots__ = ('host_id', 'service')

    def __init__(self, service: ServiceConfig, host_id: str = '') -> None:
        self.service = service
        self.host_id = host_id


class RouterService:
    """Admit requests and select upstreams for this entry host."""

    __slots__ = (
        '_backoff_s',
        '_backoffs',
        '_data_centre',
        '_document',
        '_hosts',
        '_in_flight',
        '_kernel',
        '_random_below',
        '_requests',
        '_retry_budget',
    )

    def __init__(
        self,
        kernel: Kernel,
        data_centre: str,
        random_below: decisions.RandomBelow,
        backoff_s: Callable[[int], float],
    ) -> None:
        self._kernel = kernel
        self._data_centre = data_centre
        self._random_below = random_below
        self._backoff_s = backoff_s
        self._document: Document | None = None
        self._hosts: list[Host] = []
        self._requests: dict[str, AdmittedRequest] = {}
        self._in_flight: Counter[str] = Counter()
        self._backoffs: dict[str, decisions.Backoff] = {}
        self._retry_budget = RETRY_BUDGET_MAX

    def update_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Apply a new configuration; report ready with the first one."""
        if self._document is None:
            self._kernel.send(SERVICE_ADMIN, Health(SERVICE_ROUTER, True))
        self._document = message.document
        reply.ok()

    def update_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Replace the known hosts and drop the back-offs of unknown ones."""
        self._hosts = message.hosts
        known = {host.host_id for host in message.hosts}
        self._backoffs = {
            host_id: backoff
            for host_id, backoff in self._backoffs.items()
            if host_id in known
        }
        reply.ok()

    def admit(self, message: routing.Admit, reply: Reply) -> None:
        """Admit a request by its priority, or refuse it at once."""
        document = self._document
        if document is None:
            reply.err(ErrorKind.NOT_READY, 'no configuration is known yet')
            return
        service = document.services.get(message.service_name)
        if service is None:
            detail = f'service {message.service_name!r} is not configured'
            reply.err(ErrorKind.UNKNOWN_SERVICE, detail)
            return
        priority = message.priority
        if priority is None:
            priority = document.priorities.get(
                message.workspace,
                DEFAULT_PRIORITY,
            )
        in_flight = len(self._requests)
        if not decisions.is_admitted(in_flight, priority, document.limits):
            detail = (
                f'{in_flight} of {document.limits.in_flight_max} requests in '
                f'flight, too many for priority {priority}'
            )
            reply.err(ErrorKind.OVERLOADED, detail)
            return
        self._add_request(message.ticket, service)
        claim_timeout_s = document.claims.claim_timeout_s
        reply.ok(routing.Admitted(service, priority, claim_timeout_s))

    def select_upstream(
        self, message: routing.SelectUpstreamHost, reply: Reply
    ) -> None:
        """Reply with an upstream, a waiting time or the reason for neither."""
        request = self._requests.get(message.ticket)
        if request is None:
            reply.err(ErrorKind.INTERNAL, f'unknown ticket {message.ticket}')
            return
        self._release_host(request)
        if message.retry_reason and self._retry_budget < 1:
            detail = (
                f'no retry after {message.retry_reason}: the retry budget '
                f'{self._retry_budget} is below 1'
            )
            reply.err(ErrorKind.RETRY_BUDGET_EMPTY, detail)
            return
        now_s = time.monotonic()
        requirements = self._make_requirements(request.service, message)
        local = decisions.LocalState(self._in_flight, self._backoffs)
        host = decisions.select_upstream(
            self._hosts,
            requirements,
            local,
            now_s,
            self._random_below,
        )
        if host is None:
            wait_s = decisions.shortest_backoff_s(
                self._hosts, requirements, local, now_s
            )
            _reply_without_upstream(requirements, wait_s, reply)
            return
        if message.retry_reason:
            self._retry_budget -= 1
            count_retry(self._kernel, message.retry_reason)
        request.host_id = host.host_id
        self._in_flight[host.host_id] += 1
        reply.ok(routing.Selected(host.host_id, host.upstream_address, now_s))

    def end_attempt(self, message: routing.AttemptEnded, reply: Reply) -> None:
        """Record the health of an attempt's upstream and release it."""
        request = self._requests.get(message.ticket)
        if request is not None and request.host_id:
            self._record_health(request.host_id, message.health)
            self._release_host(request)
        reply.ok()

    def release_ticket(
        self, message: routing.ReleaseTicket, reply: Reply
    ) -> None:
        """Remove a request and release its upstream."""
        request = self._requests.pop(message.ticket, None)
        if request is not None:
            self._release_host(request)
            self._report_in_flight()
        reply.ok()

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the requests in flight and the hosts in back-off."""
        fields = {
            'requests_in_flight': len(self._requests),
            'in_flight_by_host': dict(self._in_flight),
            'suspected': sorted(self._backoffs),
            'retry_budget': self._retry_budget,
        }
        reply.ok(ServiceStatus(SERVICE_ROUTER, fields))

    def _add_request(self, name: str, service: ServiceConfig) -> None:
        self._requests[name] = AdmittedRequest(service)
        ratio = self._document.limits.retry_budget_ratio
        self._retry_budget = decisions.refill_retry_budget(
            self._retry_budget, ratio
        )
        count(self._kernel, 'requests_total')
        self._report_in_flight()

    def _make_requirements(
        self,
        service: ServiceConfig,
        message: routing.SelectUpstreamHost,
    ) -> decisions.Requirements:
        return decisions.Requirements(
            service.name,
            self._data_centre,
            service.kind == KIND_MODEL,
            message.version,
            message.tried,
        )

    def _record_health(self, host_id: str, health: str) -> None:
        if health == routing.HEALTH_WORKS:
            self._backoffs.pop(host_id, None)
        if health != routing.HEALTH_FAILED:
            return
        backoff = decisions.extend_backoff(
            self._backoffs.get(host_id),
            time.monotonic(),
            self._backoff_s,
        )
        self._backoffs[host_id] = backoff
        count(self._kernel, 'suspicions_total')
        logger.bind(
            upstream=host_id,
            failures=backoff.failures,
        ).warning('upstream_suspected')

    def _release_host(self, request: AdmittedRequest) -> None:
        if not request.host_id:
            return
        self._in_flight[request.host_id] -= 1
        if self._in_flight[request.host_id] <= 0:
            self._in_flight.pop(request.host_id)
        request.host_id = ''

    def _report_in_flight(self) -> None:
        set_gauge(self._kernel, 'requests_in_flight', len(self._requests))


def _reply_without_upstream(
    requirements: decisions.Requirements,
    wait_s: float | None,
    reply: Reply,
) -> None:
    if wait_s is not None:
        reply.ok(routing.InBackoff(wait_s))
        return
    detail = f'no usable upstream of {requirements.service_name}'
    if requirements.version:
        detail = f'{detail} with version {requirements.version}'
    reply.err(ErrorKind.NO_UPSTREAM, detail)
