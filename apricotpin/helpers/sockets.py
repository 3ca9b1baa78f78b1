"""Socket options and the ends of connections."""

import contextlib
import time
from typing import Final

from gevent import get_hub, sleep, socket
from gevent.event import Event

# The connection ends if sent bytes are not acknowledged within this time.
USER_TIMEOUT_MS: Final = 1500
# An idle connection is probed after one second and closed after three.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
_DISCARD_BYTES: Final = 65536
# recv yields to other greenlets only if no bytes are waiting.
_YIELD_S: Final = 0.001
# The event of libev's I/O watchers for a descriptor that can be read.
_READABLE: Final = 1


def set_liveness_options(connection: socket.socket) -> None:
    """Make the kernel end a connection that loses packets for seconds."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, setting in options:
        connection.setsockopt(level, name, setting)


def discard_until_closed(
    connection: socket.socket, idle_s: float, total_s: float
) -> None:
    """Send the end of a connection, then read until the peer ends it.

    A connection that is closed with unread bytes, or receives bytes once it is
    closed, is reset, and what was sent but not received is lost. The wait ends
    after idle_s without a byte, or after total_s.
    """
    deadline_s = time.monotonic() + total_s
    connection.settimeout(idle_s)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(_DISCARD_BYTES):
            if time.monotonic() >= deadline_s:
                return
            sleep(_YIELD_S)


def wait_readable(
    connection: socket.socket, event: Event, timeout_s: float
) -> None:
    """Wait until a connection can be read or an event is set.

    Only the task that owns the connection may call this, since the wait must
    end before the connection is closed. The event is set in both cases.
    """
    watcher = get_hub().loop.io(connection.fileno(), _READABLE)
    with contextlib.closing(watcher):
        watcher.start(event.set)
        event.wait(timeout_s)
