"""Idle connections to one upstream, the one used last taken first."""

from typing import Any

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.state import IdleConnection
from apricotpin.helpers.exchange import is_open_and_idle
from apricotpin.messages.upstreams import AttemptDone


def take(idle: list[IdleConnection], now_s: float) -> Any:
    """Remove and return a usable connection, None if there is none."""
    while idle:
        newest = idle.pop()
        if newest.until_s > now_s and is_open_and_idle(newest.connection):
            return newest.connection
        close(newest.connection)
    return None


def keep(
    idle: list[IdleConnection],
    message: AttemptDone,
    now_s: float,
) -> None:
    """Keep a connection for as long as its upstream does."""
    if message.connection is None:
        return
    if len(idle) >= const.IDLE_PER_UPSTREAM:
        close(message.connection)
        return
    idle_s = const.IDLE_UNNAMED_S
    if message.keep_alive_s is not None:
        idle_s = message.keep_alive_s * const.IDLE_USE
    idle.append(IdleConnection(message.connection, now_s + idle_s))


def close_overdue(idle: list[IdleConnection], now_s: float) -> None:
    """Close and remove the connections that may not be used again."""
    overdue = [one for one in idle if one.until_s <= now_s]
    for one in overdue:
        idle.remove(one)
        close(one.connection)


def close(connection: Any) -> None:
    """Close a connection, if there is one."""
    if connection is not None:
        connection.close()
