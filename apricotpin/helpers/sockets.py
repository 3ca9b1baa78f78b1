"""Socket options that end a connection whose peer is unreachable."""

from typing import Final

from gevent import socket

# The connection ends if sent bytes are not acknowledged within this time.
USER_TIMEOUT_MS: Final = 1500
# An idle connection is probed after one second and closed after three.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


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
