"""Service that tracks requests in flight, upstreams and the retry budget."""

import time
from collections import Counter
from collections.abc import Callable

from loguru import logger

from apricotpin.components.router import decisions
from apricotpin.components.router.const import (
    DEFAULT_PRIORITY,
    RETRY_BUDGET_RESERVE,
)
from apricotpin.const import KIND_MODEL, SERVICE_ADMIN, SERVICE_ROUTER
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_retry, set_gauge
from apricotpin.messages import routing
from apricotpin.messages.admin import GetServiceStatus, Health, ServiceStatus
from apricotpin.messages.document import ConfigChanged, Document, ServiceConfig
from apricotpin.messages.hosts import Host, HostsChanged


class Ticket:
    """Track the service of an admitted request and the host it occupies."""

    __slots__ = ('host_id', 'service')

    def __init__(self, service: ServiceConfig, host_id: str = '') -> None:
        self.service = service
        self.host_id = host_id


class RouterService:
    """Admit requests and select upstreams for this entry host."""

    __slots__ = (
        '_budget',
        '_data_centre',
        '_document',
        '_draw',
        '_hosts',
        '_in_flight',
        '_kernel',
        '_pause_s',
        '_suspicions',
        '_tickets',
    )

    def __init__(
        self,
        kernel: Kernel,
        data_centre: str,
        draw: decisions.Draw,
        pause_s: Callable[[int], float],
    ) -> None:
        self._kernel = kernel
        self._data_centre = data_centre
        self._draw = draw
        self._pause_s = pause_s
        self._document: Document | None = None
        self._hosts: list[Host] = []
        self._tickets: dict[str, Ticket] = {}
        self._in_flight: Counter[str] = Counter()
        self._suspicions: dict[str, decisions.Suspicion] = {}
        self._budget = RETRY_BUDGET_RESERVE

    def note_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Apply a new configuration; report ready with the first one."""
        if self._document is None:
            self._kernel.send(SERVICE_ADMIN, Health(SERVICE_ROUTER, True))
        self._document = message.document
        reply.ok()

    def note_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Replace the known hosts and drop the back-offs of unknown ones."""
        self._hosts = message.hosts
        known = {host.host_id for host in message.hosts}
        self._suspicions = {
            host_id: suspicion
            for host_id, suspicion in self._suspicions.items()
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
        in_flight = len(self._tickets)
        if not decisions.is_admitted(in_flight, priority, document.limits):
            detail = (
                f'{in_flight} of {document.limits.in_flight_max} requests in '
                f'flight, too many for priority {priority}'
            )
            reply.err(ErrorKind.OVERLOADED, detail)
            return
        self._open_ticket(message.ticket, service)
        claim_timeout_s = document.claims.claim_timeout_s
        reply.ok(routing.Admitted(service, priority, claim_timeout_s))

    def choose(self, message: routing.ChooseUpstream, reply: Reply) -> None:
        """Reply with an upstream, a waiting time or the reason for neither."""
        ticket = self._tickets.get(message.ticket)
        if ticket is None:
            reply.err(ErrorKind.INTERNAL, f'unknown ticket {message.ticket}')
            return
        self._leave_host(ticket)
        if message.retry_reason and self._budget < 1:
            detail = (
                f'retry budget {self._budget:.1f} is below 1, no retry after '
                f'{message.retry_reason}'
            )
            reply.err(ErrorKind.RETRY_BUDGET_EMPTY, detail)
            return
        now_s = time.monotonic()
        wanted = self._wanted(ticket.service, message)
        load = decisions.Load(self._in_flight, self._suspicions)
        host = decisions.choose_upstream(
            self._hosts,
            wanted,
            load,
            now_s,
            self._draw,
        )
        if host is None:
            rest_s = decisions.rest_s(self._hosts, wanted, load, now_s)
            _answer_lack(wanted, rest_s, reply)
            return
        if message.retry_reason:
            self._budget -= 1
            count_retry(self._kernel, message.retry_reason)
        ticket.host_id = host.host_id
        self._in_flight[host.host_id] += 1
        reply.ok(routing.Chosen(host.host_id, host.upstream_address, now_s))

    def end_attempt(self, message: routing.AttemptEnded, reply: Reply) -> None:
        """Record the health of an attempt's upstream and release it."""
        ticket = self._tickets.get(message.ticket)
        if ticket is not None and ticket.host_id:
            self._judge(ticket.host_id, message.health)
            self._leave_host(ticket)
        reply.ok()

    def end_request(self, message: routing.EndRequest, reply: Reply) -> None:
        """Remove a request and release its upstream."""
        ticket = self._tickets.pop(message.ticket, None)
        if ticket is not None:
            self._leave_host(ticket)
            self._report_in_flight()
        reply.ok()

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the requests in flight and the hosts in back-off."""
        fields = {
            'requests_in_flight': len(self._tickets),
            'in_flight_by_host': dict(self._in_flight),
            'suspected': sorted(self._suspicions),
            'retry_budget': self._budget,
        }
        reply.ok(ServiceStatus(SERVICE_ROUTER, fields))

    def _open_ticket(self, name: str, service: ServiceConfig) -> None:
        self._tickets[name] = Ticket(service)
        ratio = self._document.limits.retry_budget_ratio
        self._budget = decisions.earn(self._budget, ratio)
        count(self._kernel, 'requests_total')
        self._report_in_flight()

    def _wanted(
        self,
        service: ServiceConfig,
        message: routing.ChooseUpstream,
    ) -> decisions.Wanted:
        return decisions.Wanted(
            service.name,
            self._data_centre,
            service.kind == KIND_MODEL,
            message.version,
            message.tried,
        )

    def _judge(self, host_id: str, health: str) -> None:
        if health == routing.HEALTH_WORKS:
            self._suspicions.pop(host_id, None)
        if health != routing.HEALTH_FAILED:
            return
        suspicion = decisions.suspect(
            self._suspicions.get(host_id),
            time.monotonic(),
            self._pause_s,
        )
        self._suspicions[host_id] = suspicion
        count(self._kernel, 'suspicions_total')
        logger.bind(
            upstream=host_id,
            failures=suspicion.failures,
        ).warning('upstream_suspected')

    def _leave_host(self, ticket: Ticket) -> None:
        if not ticket.host_id:
            return
        self._in_flight[ticket.host_id] -= 1
        if self._in_flight[ticket.host_id] <= 0:
            self._in_flight.pop(ticket.host_id)
        ticket.host_id = ''

    def _report_in_flight(self) -> None:
        set_gauge(self._kernel, 'requests_in_flight', len(self._tickets))


def _answer_lack(
    wanted: decisions.Wanted,
    rest_s: float | None,
    reply: Reply,
) -> None:
    if rest_s is not None:
        reply.ok(routing.Resting(rest_s))
        return
    detail = f'no usable upstream of {wanted.service_name}'
    if wanted.version:
        detail = f'{detail} with version {wanted.version}'
    reply.err(ErrorKind.NO_UPSTREAM, detail)
