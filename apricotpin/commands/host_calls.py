"""Calls to the processes of the host list, many at a time."""

from typing import Any, Final

from gevent.pool import Pool
from result import Result

from apricotpin.components.members.host_list import read_host_list
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.hosts import Host

_LIST_TIMEOUT_S: Final = 5.0
_PEER_TIMEOUT_S: Final = 2.0
_CALLS_AT_ONCE_MAX: Final = 64


class HostResult:
    """Hold a host of the list and the result of the call to its process."""

    __slots__ = ('host', 'outcome')

    def __init__(self, host: Host, outcome: Result[Any, Failure]) -> None:
        self.host = host
        self.outcome = outcome


def read_listed_hosts(host_list_url: str) -> Result[list[Host], Failure]:
    """Return the hosts of the platform's list, sorted by host id."""
    return read_host_list(host_list_url, _LIST_TIMEOUT_S).map(
        lambda read: sorted(
            (entry.host for entry in read.entries),
            key=lambda host: host.host_id,
        ),
    )


def call_hosts(
    hosts: list[Host], method: str, request: Any
) -> list[HostResult]:
    """Call a peer method of each host's process, for at most 2 s each."""

    def call_host(host: Host) -> HostResult:
        client = PeerClient()
        outcome = client.call(
            host.peer_address,
            method,
            request,
            _PEER_TIMEOUT_S,
        )
        client.close()
        return HostResult(host, outcome)

    return Pool(_CALLS_AT_ONCE_MAX).map(call_host, hosts)
