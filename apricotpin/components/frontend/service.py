"""Own the list of requests in progress and the idle connections."""

import time
from collections import defaultdict

from gevent import sleep, socket

from apricotpin.components.frontend.const import (
    ANNOUNCE_S,
    ANNOUNCE_SHARE,
    IDLE_MAX_S,
    IDLE_PER_ADDRESS,
)
from apricotpin.helpers.exchange import is_open_and_idle
from apricotpin.const import SERVICE_FRONTEND
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.errors import ErrorKind
from apricotpin.messages.admin import GetServiceStatus, ServiceStatus
from apricotpin.messages.routing import (
    AwaitDrained,
    RegisterRequest,
    CloseIdleConnections,
    CloseConnections,
    UnregisterRequest,
    ReleaseConnection,
    RefuseNewRequests,
    AcquireConnection,
)


class IdleConnection:
    """Hold a connection that no request uses, and since when."""

    __slots__ = ('connection', 'since_s')

    def __init__(self, connection: socket.socket, since_s: float) -> None:
        self.connection = connection
        self.since_s = since_s

    def is_usable(self, now_s: float) -> bool:
        """Tell whether the connection may carry another request."""
        if now_s - self.since_s > IDLE_MAX_S:
            return False
        return is_open_and_idle(self.connection)


class FrontendService:
    """Own what the greenlets of callers share."""

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

    def begin(self, message: RegisterRequest, reply: Reply) -> None:
        """Let a request start unless the process stops."""
        if self._refusing:
            reply.err(ErrorKind.STOPPING, 'this entry host is stopping')
            return
        self._in_progress.add(message.ticket)
        reply.ok()

    def end(self, message: UnregisterRequest, reply: Reply) -> None:
        """Note that a request ended."""
        self._in_progress.discard(message.ticket)
        self._answer_if_drained()
        reply.ok()

    def note_stopping(self, _message: Stopping, reply: Reply) -> None:
        """Refuse new requests after the announcement."""
        self._kernel.spawn(self._announce)
        reply.ok()

    def refuse(self, _message: RefuseNewRequests, reply: Reply) -> None:
        """Refuse new requests from now on."""
        self._refusing = True
        self._answer_if_drained()
        reply.ok()

    def await_drained(self, _message: AwaitDrained, reply: Reply) -> None:
        """Answer once new requests are refused and none is in progress."""
        self._drained = reply
        self._answer_if_drained()

    def take_connection(self, message: AcquireConnection, reply: Reply) -> None:
        """Hand over the connection that was used last, if one is usable."""
        now_s = time.monotonic()
        idle = self._idle[message.address]
        while idle:
            newest = idle.pop()
            if newest.is_usable(now_s):
                reply.ok(newest.connection)
                return
            newest.connection.close()
        reply.ok(None)

    def keep_connection(self, message: ReleaseConnection, reply: Reply) -> None:
        """Keep a connection for a later request."""
        idle = self._idle[message.address]
        if len(idle) >= IDLE_PER_ADDRESS:
            message.connection.close()
        else:
            kept = IdleConnection(message.connection, time.monotonic())
            idle.append(kept)
        reply.ok()

    def drop_connections(self, message: CloseConnections, reply: Reply) -> None:
        """Close the idle connections to an address."""
        for kept in self._idle.pop(message.address, []):
            kept.connection.close()
        reply.ok()

    def close_idle(self, _message: CloseIdleConnections, reply: Reply) -> None:
        """Close the connections that may not be used again."""
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
        """Answer with the requests in progress and the idle connections."""
        fields = {
            'in_progress': len(self._in_progress),
            'refusing': self._refusing,
            'idle_connections': sum(map(len, self._idle.values())),
        }
        reply.ok(ServiceStatus(SERVICE_FRONTEND, fields))

    def _announce(self) -> None:
        sleep(self._announce_s)
        self._kernel.send(SERVICE_FRONTEND, RefuseNewRequests())

    def _answer_if_drained(self) -> None:
        if self._drained is None or not self._refusing:
            return
        if not self._in_progress:
            self._drained.ok()
