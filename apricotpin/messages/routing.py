"""Messages about callers' requests and the selection of an upstream."""

from typing import Any, Final

from apricotpin.messages.document import ServiceConfig


class RegisterRequest:
    """Ask the frontend whether a new request may start."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class UnregisterRequest:
    """Report that a request ended, whether or not it began."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class AwaitDrained:
    """Ask the frontend to reply once no request is in progress."""

    __slots__ = ()


class RefuseNewRequests:
    """Ask the frontend to refuse new requests from now on.

    It is sent after the other hosts had time to receive the new state.
    """

    __slots__ = ()


class AcquireConnection:
    """Ask for an idle connection to an address.

    The sender owns the connection that it receives.
    """

    __slots__ = ('address',)

    def __init__(self, address: str) -> None:
        self.address = address


class ReleaseConnection:
    """Give back an idle connection for a later request."""

    __slots__ = ('address', 'connection')

    def __init__(self, address: str, connection: Any) -> None:
        self.address = address
        self.connection = connection


class CloseConnections:
    """Close the idle connections to an address, after one of them failed."""

    __slots__ = ('address',)

    def __init__(self, address: str) -> None:
        self.address = address


class CloseIdleConnections:
    """Close the connections that have been idle for too long."""

    __slots__ = ()


class Admit:
    """Ask the router to admit a request to a service.

    The ticket identifies the request in all later messages. With a priority
    of None the priority of the workspace applies.
    """

    __slots__ = ('priority', 'service_name', 'ticket', 'workspace')

    def __init__(
        self,
        ticket: str,
        service_name: str,
        workspace: str,
        priority: int | None,
    ) -> None:
        self.ticket = ticket
        self.service_name = service_name
        self.workspace = workspace
        self.priority = priority


class Admitted:
    """Return what the frontend needs to know to run a request."""

    __slots__ = ('claim_timeout_s', 'priority', 'service')

    def __init__(
        self,
        service: ServiceConfig,
        priority: int,
        claim_timeout_s: float,
    ) -> None:
        self.service = service
        self.priority = priority
        self.claim_timeout_s = claim_timeout_s


class SelectUpstreamHost:
    """Ask for an upstream of the ticket's service.

    The version is empty if any version is allowed. The retry reason is empty
    for the first attempt; an attempt with a reason counts against the retry
    budget. Hosts in tried are selected last. The reply is Selected or
    Suspected.
    """

    __slots__ = ('retry_reason', 'ticket', 'tried', 'version')

    def __init__(
        self,
        ticket: str,
        version: str = '',
        tried: tuple[str, ...] = (),
        retry_reason: str = '',
    ) -> None:
        self.ticket = ticket
        self.version = version
        self.tried = tried
        self.retry_reason = retry_reason


class Selected:
    """Name the upstream selected for an attempt.

    checked_s is the monotonic time in seconds at which its state was checked.
    """

    __slots__ = ('address', 'checked_s', 'host_id')

    def __init__(self, host_id: str, address: str, checked_s: float) -> None:
        self.host_id = host_id
        self.address = address
        self.checked_s = checked_s


class Suspected:
    """Report that every upstream is suspected.

    wait_s is the time until the first back-off ends.
    """

    __slots__ = ('wait_s',)

    def __init__(self, wait_s: float) -> None:
        self.wait_s = wait_s


class AttemptEnded:
    """Report how an attempt ended; health is one of the HEALTH_ values."""

    __slots__ = ('health', 'ticket')

    def __init__(self, ticket: str, health: str) -> None:
        self.ticket = ticket
        self.health = health


class ReleaseTicket:
    """Release the admission and the counts that a ticket holds."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


# What the outcome of an attempt shows about its upstream.
HEALTH_WORKS: Final = 'works'
HEALTH_FAILED: Final = 'failed'
HEALTH_UNJUDGED: Final = 'unjudged'
