"""Service that counts requests in progress and closes connections on a stop."""

from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from apricotpin.components.gateway import const
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.errors import ErrorKind
from apricotpin.messages.desired import CallerLimits, DesiredStateChanged


class RegisterRequest:
    """Ask whether a new request may start; the reply is RequestAllowed.

    The gateway service sets interrupted if the process ends before the
    request does.
    """

    __slots__ = ('interrupted',)

    def __init__(self, interrupted: Event) -> None:
        self.interrupted = interrupted


class RequestAllowed:
    """Allow a request; while stopping, its connection closes after it."""

    __slots__ = ('stopping',)

    def __init__(self, stopping: bool) -> None:
        self.stopping = stopping


class UnregisterRequest:
    """Report the end of a registered request, also of one that was refused.

    ticket is empty for a request that was not resolved to a route.
    """

    __slots__ = ('interrupted', 'ticket')

    def __init__(self, interrupted: Event, ticket: str = '') -> None:
        self.interrupted = interrupted
        self.ticket = ticket


class ReserveResponseMemory:
    """Reserve memory for a large response until its request ends.

    size_bytes is the total for the request and replaces what it reserved
    before.
    """

    __slots__ = ('size_bytes', 'ticket')

    def __init__(self, ticket: str, size_bytes: int) -> None:
        self.ticket = ticket
        self.size_bytes = size_bytes


class ConnectionIdle:
    """Report that a connection waits for a request.

    The gateway service sets closing to ask that the connection is closed. The
    connection's greenlet decides, since a request may have arrived meanwhile.
    """

    __slots__ = ('closing',)

    def __init__(self, closing: Event) -> None:
        self.closing = closing


class ConnectionBusy:
    """Report that a connection no longer waits for a request."""

    __slots__ = ('closing',)

    def __init__(self, closing: Event) -> None:
        self.closing = closing


class GetLimits:
    """Ask for the limits on callers' requests."""

    __slots__ = ()


class CheckReadiness:
    """Ask whether the load balancer may send requests to this host."""

    __slots__ = ()


class AwaitDrained:
    """Ask for a reply once no request is in progress."""

    __slots__ = ()


class InterruptRequests:
    """Ask the requests in progress to respond, since the process ends."""

    __slots__ = ()


class RefuseNewRequests:
    """Refuse new requests, once the load balancer has removed this host."""

    __slots__ = ()


class GatewayService:
    """Track the requests in progress, their memory and idle connections."""

    __slots__ = (
        '_close_listener',
        '_drain_reply',
        '_idle',
        '_in_progress',
        '_kernel',
        '_limits',
        '_refusing',
        '_reserved_bytes',
        '_stopping',
    )

    def __init__(
        self,
        kernel: Kernel,
        close_listener: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._close_listener = close_listener
        self._in_progress: set[Event] = set()
        self._reserved_bytes: dict[str, int] = {}
        self._idle: set[Event] = set()
        self._limits: CallerLimits | None = None
        self._stopping = False
        self._refusing = False
        self._drain_reply: Reply | None = None

    def register_request(self, message: RegisterRequest, reply: Reply) -> None:
        """Track a request and allow it, unless new requests are refused."""
        self._in_progress.add(message.interrupted)
        if self._refusing:
            reply.err(ErrorKind.STOPPING, 'this entry host is stopping')
        else:
            reply.ok(RequestAllowed(self._stopping))

    def reserve_memory(
        self, message: ReserveResponseMemory, reply: Reply
    ) -> None:
        """Reserve memory for a response, unless the shared limit is reached."""
        own_bytes = self._reserved_bytes.get(message.ticket, 0)
        others_bytes = sum(self._reserved_bytes.values()) - own_bytes
        if others_bytes + message.size_bytes > const.RESPONSE_MEMORY_MAX_BYTES:
            reply.err(
                ErrorKind.OVERLOADED,
                f'{message.size_bytes} bytes requested for a large response, '
                f'{others_bytes} of {const.RESPONSE_MEMORY_MAX_BYTES} reserved',
            )
            return
        self._reserved_bytes[message.ticket] = message.size_bytes
        reply.ok()

    def unregister_request(
        self, message: UnregisterRequest, reply: Reply
    ) -> None:
        """Stop tracking a request and free its reserved memory."""
        self._in_progress.discard(message.interrupted)
        self._reserved_bytes.pop(message.ticket, None)
        self._reply_if_drained()
        reply.ok()

    def add_idle(self, message: ConnectionIdle, reply: Reply) -> None:
        """Add a connection that waits for a request."""
        self._idle.add(message.closing)
        if self._refusing:
            self._close_idle()
        reply.ok()

    def remove_idle(self, message: ConnectionBusy, reply: Reply) -> None:
        """Remove a connection that no longer waits for a request."""
        self._idle.discard(message.closing)
        reply.ok()

    def update_limits(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Apply a desired state's limits; the first make the host ready."""
        if self._limits is None:
            logger.bind(version=message.state.version).info('ready')
        self._limits = message.state.limits
        reply.ok()

    def report_limits(self, _message: GetLimits, reply: Reply) -> None:
        """Reply with the limits in force, None before the first ones."""
        reply.ok(self._limits)

    def report_readiness(self, _message: CheckReadiness, reply: Reply) -> None:
        """Reply whether limits are known and the process is not stopping."""
        reply.ok(self._limits is not None and not self._stopping)

    def begin_stop(self, _message: Stopping, reply: Reply) -> None:
        """Fail the readiness check now and refuse requests later.

        The delay gives the load balancer time to remove this host.
        """
        self._stopping = True
        gevent.spawn_later(
            const.STOP_ACCEPT_S,
            self._kernel.send,
            SERVICE_GATEWAY,
            RefuseNewRequests(),
        )
        reply.ok()

    def refuse_requests(
        self, _message: RefuseNewRequests, reply: Reply
    ) -> None:
        """Close the listener and idle connections and refuse new requests.

        A request read after this could not end within the grace period.
        """
        self._refusing = True
        self._close_listener()
        logger.bind(
            idle=len(self._idle),
            in_progress=len(self._in_progress),
        ).info('refusing_calls')
        self._close_idle()
        self._reply_if_drained()
        reply.ok()

    def await_drained(self, _message: AwaitDrained, reply: Reply) -> None:
        """Reply once new requests are refused and none is in progress."""
        self._drain_reply = reply
        self._reply_if_drained()

    def interrupt_requests(
        self, _message: InterruptRequests, reply: Reply
    ) -> None:
        """Ask the requests in progress to respond before the process ends."""
        logger.bind(in_progress=len(self._in_progress)).warning(
            'requests_interrupted'
        )
        for interrupted in self._in_progress:
            interrupted.set()
        reply.ok()

    def _close_idle(self) -> None:
        for closing in self._idle:
            closing.set()
        self._idle.clear()

    def _reply_if_drained(self) -> None:
        if self._drain_reply is None or not self._refusing:
            return
        if not self._in_progress:
            self._drain_reply.ok()
