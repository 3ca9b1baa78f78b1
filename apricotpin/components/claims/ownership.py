"""Which entry host owns a partition, by the host list of this process."""

from collections.abc import Sequence

from apricotpin.const import HOST_LEAVING, HOST_LIVE, ROLE_ENTRY
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host


class Ownership:
    """Hold the live entry hosts and the owners computed from them.

    Host lists of two processes may differ; the log decides then.
    """

    __slots__ = ('_addresses', '_host_id', '_owners')

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._addresses: dict[str, str] = {}
        self._owners: dict[str, str] = {}

    def update(self, hosts: Sequence[Host]) -> bool:
        """Take a new host list; tell whether the candidates changed."""
        addresses = {
            host.host_id: host.peer_address
            for host in hosts
            if host.role == ROLE_ENTRY and host.state == HOST_LIVE
        }
        if not self._is_leaving(hosts):
            addresses.setdefault(self._host_id, '')
        changed = addresses != self._addresses
        if changed:
            self._addresses = addresses
            self._owners = {}
        return changed

    def owner_of(self, stream: str) -> str:
        """Return the owner's host id, or nothing if no host is live."""
        owner = self._owners.get(stream)
        if owner is None:
            owner = min(
                self._addresses,
                key=lambda host_id: (rank_of(stream, host_id), host_id),
                default='',
            )
            self._owners[stream] = owner
        return owner

    def is_owner(self, stream: str) -> bool:
        """Tell whether this process is to own the partition."""
        return self.owner_of(stream) == self._host_id

    def address_of(self, host_id: str) -> str:
        """Return the peer address of a live entry host, or nothing."""
        return self._addresses.get(host_id, '')

    def _is_leaving(self, hosts: Sequence[Host]) -> bool:
        return any(
            host.host_id == self._host_id and host.state == HOST_LEAVING
            for host in hosts
        )
