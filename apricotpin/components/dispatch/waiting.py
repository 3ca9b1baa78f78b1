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

    @property
    def may_use_any_upstream(self) -> bool:
        """Return whether nothing but capacity limits the selection.

        A retry excludes the upstreams that it has tried and needs a share of
        the retry budget.
        """
        return not self.message.tried and not self.message.retry_reason


class ExpireWaiters:
    """Ask dispatch to refuse the requests whose wait has expired."""

    __slots__ = ()


class WaitingRequests:
    """Hold the requests that wait, by service."""

    __slots__ = ('_by_service',)

    def __init__(self) -> None:
        self._by_service: dict[str, list[Waiter]] = {}

    def __len__(self) -> int:
        return sum(len(waiters) for waiters in self._by_service.values())

    def add(self, waiter: Waiter) -> None:
        """Add a request behind those of its service."""
        self._by_service.setdefault(waiter.message.service, []).append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that waits."""
        service = waiter.message.service
        self._by_service[service].remove(waiter)
        if not self._by_service[service]:
            self._by_service.pop(service)

    def cancel(self, ticket: str) -> None:
        """Remove the request with a ticket, if it waits."""
        for waiter in self._all():
            if waiter.message.ticket == ticket:
                self.remove(waiter)

    def by_priority(self, service: str) -> list[Waiter]:
        """Return a service's requests by priority, then by arrival."""
        return sorted(
            self._by_service.get(service, ()),
            key=lambda waiter: waiter.message.priority,
        )

    def pop_expired(self, now_s: float) -> list[Waiter]:
        """Remove and return the requests whose wait has expired."""
        expired = [one for one in self._all() if one.expires_s <= now_s]
        for waiter in expired:
            self.remove(waiter)
        return expired

    def _all(self) -> list[Waiter]:
        return [
            waiter
            for waiters in self._by_service.values()
            for waiter in waiters
        ]
