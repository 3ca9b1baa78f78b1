"""Requests that wait a short time for an upstream to come free."""

from apricotpin.core import Reply
from apricotpin.messages.upstreams import SelectUpstream


class Waiter:
    """Hold a request, where its answer goes and until when it waits."""

    __slots__ = ('message', 'reply', 'until_s')

    def __init__(
        self,
        message: SelectUpstream,
        reply: Reply,
        until_s: float,
    ) -> None:
        self.message = message
        self.reply = reply
        self.until_s = until_s


class ExpireWaiters:
    """Refuse the requests that have waited long enough."""

    __slots__ = ()


def by_urgency(waiters: list[Waiter]) -> list[Waiter]:
    """Return waiters by rank, those that came first before later ones."""
    return sorted(waiters, key=lambda waiter: waiter.message.priority)


def split_expired(
    waiters: list[Waiter],
    now_s: float,
) -> tuple[list[Waiter], list[Waiter]]:
    """Return those that go on waiting, and those that do not."""
    waiting = [one for one in waiters if one.until_s > now_s]
    expired = [one for one in waiters if one.until_s <= now_s]
    return waiting, expired
