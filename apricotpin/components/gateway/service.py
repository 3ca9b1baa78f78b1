"""Count the requests in progress and end connections when stopping."""

from collections.abc import Callable
from typing import Any

import gevent
from loguru import logger

from apricotpin.components.gateway import const
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.errors import ErrorKind
from apricotpin.messages.desired import CallerLimits, DesiredStateChanged


class RegisterRequest:
    """Ask whether a new request may start; the answer is Begun."""

    __slots__ = ()


class Begun:
    """Allow a request; while stopping its connection ends with it."""

    __slots__ = ('stopping',)

    def __init__(self, stopping: bool) -> None:
        self.stopping = stopping


class UnregisterRequest:
    """Tell that a request ended, whether or not it began.

    ticket is empty for one that asked no upstream.
    """

    __slots__ = ('ticket',)

    def __init__(self, ticket: str = '') -> None:
        self.ticket = ticket


class HoldAnswer:
    """Ask for room for all of a large answer until its request ends."""

    __slots__ = ('size_bytes', 'ticket')

    def __init__(self, ticket: str, size_bytes: int) -> None:
        self.ticket = ticket
        self.size_bytes = size_bytes


class ConnectionIdle:
    """Tell that a connection's greenlet waits for a request."""

    __slots__ = ('greenlet',)

    def __init__(self, greenlet: Any) -> None:
        self.greenlet = greenlet


class ConnectionBusy:
    """Tell that a connection's greenlet has read from its caller."""

    __slots__ = ('greenlet',)

    def __init__(self, greenlet: Any) -> None:
        self.greenlet = greenlet


class GetLimits:
    """Ask for the limits on what callers may send."""

    __slots__ = ()


class GetReady:
    """Ask whether callers may be sent to this host."""

    __slots__ = ()


class AwaitDrained:
    """Ask for an answer once no request is in progress."""

    __slots__ = ()


class RefuseCalls:
    """Stop taking requests: the balancer sends no more."""

    __slots__ = ()


class GatewayService:
    """Own the count of requests and the idle connections."""

    __slots__ = (
        '_close_listener',
        '_drained',
        '_held_bytes',
        '_idle',
        '_in_progress',
        '_kernel',
        '_limits',
        '_refusing',
        '_stopping',
    )

    def __init__(
        self,
        kernel: Kernel,
        close_listener: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._close_listener = close_listener
        self._in_progress = 0
        self._held_bytes: dict[str, int] = {}
        self._idle: set[Any] = set()
        self._limits: CallerLimits | None = None
        self._stopping = False
        self._refusing = False
        self._drained: Reply | None = None

    def begin(self, _message: RegisterRequest, reply: Reply) -> None:
        """Count a request, or refuse it when the process is about to end."""
        self._in_progress += 1
        if self._refusing:
            reply.err(ErrorKind.STOPPING, 'the process is stopping')
        else:
            reply.ok(Begun(self._stopping))

    def hold(self, message: HoldAnswer, reply: Reply) -> None:
        """Grant room for an answer, unless others hold too much of it."""
        own_bytes = self._held_bytes.get(message.ticket, 0)
        others_bytes = sum(self._held_bytes.values()) - own_bytes
        if others_bytes + message.size_bytes > const.ANSWERS_MAX_BYTES:
            reply.err(ErrorKind.OVERLOADED, 'large answers fill their room')
            return
        self._held_bytes[message.ticket] = message.size_bytes
        reply.ok()

    def end(self, message: UnregisterRequest, reply: Reply) -> None:
        """Take a request back."""
        self._in_progress -= 1
        self._held_bytes.pop(message.ticket, None)
        self._answer_if_drained()
        reply.ok()

    def note_idle(self, message: ConnectionIdle, reply: Reply) -> None:
        """Remember a connection that waits for a request."""
        self._idle.add(message.greenlet)
        if self._refusing:
            self._close_idle()
        reply.ok()

    def note_busy(self, message: ConnectionBusy, reply: Reply) -> None:
        """Forget a connection that waits no longer."""
        self._idle.discard(message.greenlet)
        reply.ok()

    def take_limits(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Take the limits of a desired state."""
        if self._limits is None:
            logger.bind(version=message.state.version).info('ready')
        self._limits = message.state.limits
        reply.ok()

    def limits(self, _message: GetLimits, reply: Reply) -> None:
        """Answer with the limits in force, None before there are any."""
        reply.ok(self._limits)

    def ready(self, _message: GetReady, reply: Reply) -> None:
        """Answer whether requests can be resolved and the process stays."""
        reply.ok(self._limits is not None and not self._stopping)

    def note_stopping(self, _message: Stopping, reply: Reply) -> None:
        """Announce the stop, and refuse once callers have had time."""
        self._stopping = True
        gevent.spawn_later(
            const.STOP_ACCEPT_S,
            self._kernel.send,
            SERVICE_GATEWAY,
            RefuseCalls(),
        )
        reply.ok()

    def refuse(self, _message: RefuseCalls, reply: Reply) -> None:
        """Close the listener and idle connections, refuse what was read.

        A request that is read later than this could not be ended in time.
        """
        self._refusing = True
        self._close_listener()
        logger.bind(
            idle=len(self._idle),
            in_progress=self._in_progress,
        ).info('refusing_calls')
        self._close_idle()
        self._answer_if_drained()
        reply.ok()

    def await_drained(self, _message: AwaitDrained, reply: Reply) -> None:
        """Answer once no request is in progress."""
        self._drained = reply
        self._answer_if_drained()

    def _close_idle(self) -> None:
        for greenlet in self._idle:
            greenlet.kill(block=False)
        self._idle.clear()

    def _answer_if_drained(self) -> None:
        if self._drained is None or not self._refusing:
            return
        if self._in_progress <= 0:
            self._drained.ok()
