"""Messages of the members service and its workers."""

from typing import Any

from result import Result

from apricotpin.errors import Failure
from apricotpin.messages.hosts import Host


class HostListRead:
    """Carry the entries of the platform's host list."""

    __slots__ = ('entries',)

    def __init__(self, entries: list['ListedHost']) -> None:
        self.entries = entries


class ListedHost:
    """Describe one entry of the platform's host list."""

    __slots__ = ('host', 'leaving')

    def __init__(self, host: Host, leaving: bool) -> None:
        self.host = host
        self.leaving = leaving


class MembersTick:
    """Ask the service to send the heartbeats and table reads that are due."""

    __slots__ = ()


class HostsTick:
    """Ask the service to suspect silent hosts and to announce changes."""

    __slots__ = ()


class PeerCallOrder:
    """Order a peer worker to call a method of a peer."""

    __slots__ = ('address', 'method', 'request')

    def __init__(self, address: str, method: str, request: Any) -> None:
        self.address = address
        self.method = method
        self.request = request


class PeerCallDone:
    """Report the outcome of a call that was ordered."""

    __slots__ = ('order', 'outcome')

    def __init__(
        self,
        order: PeerCallOrder,
        outcome: Result[Any, Failure],
    ) -> None:
        self.order = order
        self.outcome = outcome
