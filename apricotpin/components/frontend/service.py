"""Service that tracks requests in progress and idle connections."""

import time
from collections import defaultdict

from gevent import sleep, socket

from apricotpin.components.frontend.const import (
    IDLE_MAX_S,
    IDLE_PER_ADDRESS_MAX,
    STOP_ACCEPT_MAX_S,
    STOP_ACCEPT_SHARE,
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
    """Track a connection to an upstream that no request uses."""

    __slots__ = ('connection', 'since_s')

    def __init__(self, connection: socket.socket, since_s: float) -> None:
        self.connection = connection
        self.since_s = since_s

    def is_usable(self, now_s: float) -> bool:
        """Return whether the connection may carry another request."""
        if now_s - self.since_s > IDLE_MAX_S:
            return False
        return is_open_and_idle(self.connection)


class FrontendService:
    """Track requests in progress and the pool of idle connections."""

    __slots__ = (
        '_drain_reply',
        '_idle',
        '_in_progress',
        '_kernel',
        '_refusing',
        '_stop_accept_s',
    )

    def __init__(self, kernel: Kernel, grace_s: float) -> None:
        self._kernel = kernel
        self._stop_accept_s = min(
            STOP_ACCEPT_MAX_S, grace_s * STOP_ACCEPT_SHARE
        )
        self._idle: defaultdict[str, list[IdleConnection]] = defaultdict(list)
        self._in_progress: set[str] = set()
        self._refusing = False
        self._drain_reply: Reply | None = None

    def register_request(self, message: RegisterRequest, reply: Reply) -> None:
        """Allow a request to start, unless new requests are refused."""
        if self._refusing:
            reply.err(ErrorKind.STOPPING, 'this entry host is stopping')
            return
        self._in_progress.add(message.ticket)
        reply.ok()

    def unregister_request(
        self, message: UnregisterRequest, reply: Reply
    ) -> None:
        """Record that a request ended."""
        self._in_progress.discard(message.ticket)
        self._reply_if_drained()
        reply.ok()

    def begin_stop(self, _message: Stopping, reply: Reply) -> None:
        """Refuse new requests after load balancers had time to detect this."""
        self._kernel.spawn(self._refuse_after_delay)
        reply.ok()

    def refuse_requests(
        self, _message: RefuseNewRequests, reply: Reply
    ) -> None:
        """Refuse new requests from now on."""
        self._refusing = True
        self._reply_if_drained()
        reply.ok()

    def await_drained(self, _message: AwaitDrained, reply: Reply) -> None:
        """Reply once new requests are refused and none is in progress."""
        self._drain_reply = reply
        self._reply_if_drained()

    def acquire_connection(
        self, message: AcquireConnection, reply: Reply
    ) -> None:
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

    def release_connection(
        self, message: ReleaseConnection, reply: Reply
    ) -> None:
        """Add a connection to the pool, or close it if the pool is full."""
        idle = self._idle[message.address]
        if len(idle) >= IDLE_PER_ADDRESS_MAX:
            message.connection.close()
        else:
            added = IdleConnection(message.connection, time.monotonic())
            idle.append(added)
        reply.ok()

    def close_connections(
        self, message: CloseConnections, reply: Reply
    ) -> None:
        """Close the idle connections to an address."""
        for idle_connection in self._idle.pop(message.address, []):
            idle_connection.connection.close()
        reply.ok()

    def close_idle(self, _message: CloseIdleConnections, reply: Reply) -> None:
        """Close the idle connections that are no longer usable."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            usable = [
                idle_connection
                for idle_connection in idle
                if idle_connection.is_usable(now_s)
            ]
            for idle_connection in idle:
                if idle_connection not in usable:
                    idle_connection.connection.close()
            self._idle[address] = usable
            if not usable:
                self._idle.pop(address)
        reply.ok()

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the requests in progress and the idle connections."""
        fields = {
            'in_progress': len(self._in_progress),
            'refusing': self._refusing,
            'idle_connections': sum(map(len, self._idle.values())),
        }
        reply.ok(ServiceStatus(SERVICE_FRONTEND, fields))

    def _refuse_after_delay(self) -> None:
        sleep(self._stop_accept_s)
        self._kernel.send(SERVICE_FRONTEND, RefuseNewRequests())

    def _reply_if_drained(self) -> None:
        if self._drain_reply is None or not self._refusing:
            return
        if not self._in_progress:
            self._drain_reply.ok()
