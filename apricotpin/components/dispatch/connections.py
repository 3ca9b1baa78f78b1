"""Pool of idle connections to one upstream, last in, first out."""

from typing import Any

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.upstream import IdleConnection
from apricotpin.helpers.exchange import is_open_and_idle
from apricotpin.messages.upstreams import AttemptDone


def acquire(pool: list[IdleConnection], now_s: float) -> Any:
    """Remove and return a usable connection, None if there is none.

    Connections that expired, broke or hold unread bytes are closed.
    """
    while pool:
        newest = pool.pop()
        if newest.expires_s > now_s and is_open_and_idle(newest.connection):
            return newest.connection
        close(newest.connection)
    return None


def release(
    pool: list[IdleConnection],
    message: AttemptDone,
    now_s: float,
) -> None:
    """Keep the connection of an attempt for part of its keep-alive time."""
    if message.connection is None:
        return
    if len(pool) >= const.IDLE_CONNECTIONS_MAX:
        close(message.connection)
        return
    idle_s = const.IDLE_DEFAULT_S
    if message.keep_alive_s is not None:
        idle_s = message.keep_alive_s * const.IDLE_TIME_FRACTION
    pool.append(IdleConnection(message.connection, now_s + idle_s))


def close_expired(pool: list[IdleConnection], now_s: float) -> None:
    """Close and remove the connections that may no longer be reused."""
    expired = [pooled for pooled in pool if pooled.expires_s <= now_s]
    for pooled in expired:
        pool.remove(pooled)
        close(pooled.connection)


def close(connection: Any) -> None:
    """Close a connection, if there is one."""
    if connection is not None:
        connection.close()
