"""Ask the processes of the host list, many at a time."""

from typing import Any, Final

from gevent.pool import Pool
from result import Result

from apricotpin.components.members.host_list import read_host_list
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.hosts import Host

_LIST_TIMEOUT_S: Final = 5.0
_PEER_TIMEOUT_S: Final = 2.0
_ASKED_AT_ONCE: Final = 64


class HostAnswer:
    """Hold a host of the list and what its process answered."""

    __slots__ = ('host', 'outcome')

    def __init__(self, host: Host, outcome: Result[Any, Failure]) -> None:
        self.host = host
        self.outcome = outcome


def listed_hosts(host_list_url: str) -> Result[list[Host], Failure]:
    """Return the hosts of the platform's list, sorted by host id."""
    return read_host_list(host_list_url, _LIST_TIMEOUT_S).map(
        lambda read: sorted(
            (entry.host for entry in read.entries),
            key=lambda host: host.host_id,
        ),
    )


def ask_hosts(hosts: list[Host], method: str, request: Any) -> list[HostAnswer]:
    """Call a method of each host's process, at most two seconds each."""

    def ask(host: Host) -> HostAnswer:
        client = PeerClient()
        outcome = client.call(
            host.peer_address,
            method,
            request,
            _PEER_TIMEOUT_S,
        )
        client.close()
        return HostAnswer(host, outcome)

    return Pool(_ASKED_AT_ONCE).map(ask, hosts)
