"""Service that tracks requests in progress and idle connections."""

import time
from collections import defaultdict

from gevent import sleep, socket

from apricotpin.components.frontend.const import (
    ANNOUNCE_S,
    ANNOUNCE_SHARE,
    IDLE_MAX_S,
    IDLE_PER_ADDRESS,
)
from apricotpin.helpers.exchange import is_quiet
from apricotpin.const import SERVICE_FRONTEND
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.errors import ErrorKind
from apricotpin.messages.admin import GetServiceStatus, ServiceStatus
from apricotpin.messages.routing import (
    AwaitDrained,
    BeginCall,
    CloseIdleConnections,
    DropConnections,
    EndCall,
    KeepConnection,
    RefuseNewCalls,
    TakeConnection,
)


class IdleConnection:
    """Track a connection to an upstream that no request uses."""

    __slots__ = ('connection', 'since_s')

    def __init__(self, connection: socket.socket, since_s: float) -> None:
        self.connection = connection
        self.since_s = since_s

    def is_usable(self, now_s: float) -> bool:
        """Return whether the connection may carry another request."""
        if now_s - self.since_s > IDLE_MAX_S:
            return False
        return is_quiet(self.connection)


class FrontendService:
    """Track requests in progress and the pool of idle connections."""

    __slots__ = (
        '_announce_s',
        '_drained',
        '_idle',
        '_in_progress',
        '_kernel',
        '_refusing',
    )

    def __init__(self, kernel: Kernel, grace_s: float) -> None:
        self._kernel = kernel
        self._announce_s = min(ANNOUNCE_S, grace_s * ANNOUNCE_SHARE)
        self._idle: defaultdict[str, list[IdleConnection]] = defaultdict(list)
        self._in_progress: set[str] = set()
        self._refusing = False
        self._drained: Reply | None = None

    def begin(self, message: BeginCall, reply: Reply) -> None:
        """Allow a request to start, unless new requests are refused."""
        if self._refusing:
            reply.err(ErrorKind.STOPPING, 'this entry host is stopping')
            return
        self._in_progress.add(message.ticket)
        reply.ok()

    def end(self, message: EndCall, reply: Reply) -> None:
        """Record that a request ended."""
        self._in_progress.discard(message.ticket)
        self._answer_if_drained()
        reply.ok()

    def note_stopping(self, _message: Stopping, reply: Reply) -> None:
        """Refuse new requests once load balancers have noticed the stop."""
        self._kernel.spawn(self._announce)
        reply.ok()

    def refuse(self, _message: RefuseNewCalls, reply: Reply) -> None:
        """Refuse new requests from now on."""
        self._refusing = True
        self._answer_if_drained()
        reply.ok()

    def await_drained(self, _message: AwaitDrained, reply: Reply) -> None:
        """Reply once new requests are refused and none is in progress."""
        self._drained = reply
        self._answer_if_drained()

    def take_connection(self, message: TakeConnection, reply: Reply) -> None:
        """Reply with the connection used last, None if none is usable."""
        now_s = time.monotonic()
        idle = self._idle[message.address]
        while idle:
            newest = idle.pop()
            if newest.is_usable(now_s):
                reply.ok(newest.connection)
                return
            newest.connection.close()
        reply.ok(None)

    def keep_connection(self, message: KeepConnection, reply: Reply) -> None:
        """Add a connection to the pool, or close it if the pool is full."""
        idle = self._idle[message.address]
        if len(idle) >= IDLE_PER_ADDRESS:
            message.connection.close()
        else:
            kept = IdleConnection(message.connection, time.monotonic())
            idle.append(kept)
        reply.ok()

    def drop_connections(self, message: DropConnections, reply: Reply) -> None:
        """Close the idle connections to an address."""
        for kept in self._idle.pop(message.address, []):
            kept.connection.close()
        reply.ok()

    def close_idle(self, _message: CloseIdleConnections, reply: Reply) -> None:
        """Close the idle connections that are no longer usable."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            usable = [kept for kept in idle if kept.is_usable(now_s)]
            for kept in idle:
                if kept not in usable:
                    kept.connection.close()
            self._idle[address] = usable
            if not usable:
                self._idle.pop(address)
        reply.ok()

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the requests in progress and the idle connections."""
        fields = {
            'in_progress': len(self._in_progress),
            'refusing': self._refusing,
            'idle_connections': sum(map(len, self._idle.values())),
        }
        reply.ok(ServiceStatus(SERVICE_FRONTEND, fields))

    def _announce(self) -> None:
        sleep(self._announce_s)
        self._kernel.send(SERVICE_FRONTEND, RefuseNewCalls())

    def _answer_if_drained(self) -> None:
        if self._drained is None or not self._refusing:
            return
        if not self._in_progress:
            self._drained.ok()
