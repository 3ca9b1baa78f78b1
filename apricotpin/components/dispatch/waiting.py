"""Requests that wait a short time until an upstream has capacity."""

from apricotpin.core import Reply
from apricotpin.messages.upstreams import SelectUpstream


class Waiter:
    """Hold a request for an upstream until it is replied to or expires."""

    __slots__ = ('expires_s', 'message', 'reply')

    def __init__(
        self,
        message: SelectUpstream,
        reply: Reply,
        expires_s: float,
    ) -> None:
        self.message = message
        self.reply = reply
        self.expires_s = expires_s


class ExpireWaiters:
    """Ask dispatch to refuse the requests whose wait has expired."""

    __slots__ = ()


def sort_by_priority(waiters: list[Waiter]) -> list[Waiter]:
    """Return the waiters by priority, then in order of arrival."""
    return sorted(waiters, key=lambda waiter: waiter.message.priority)


def split_expired(
    waiters: list[Waiter],
    now_s: float,
) -> tuple[list[Waiter], list[Waiter]]:
    """Return the waiters that continue to wait, and those that expired."""
    waiting = [waiter for waiter in waiters if waiter.expires_s > now_s]
    expired = [waiter for waiter in waiters if waiter.expires_s <= now_s]
    return waiting, expired
