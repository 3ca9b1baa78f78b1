"""Assignment of partitions to entry hosts by rendezvous hashing."""

from collections.abc import Sequence

from apricotpin.const import HOST_LEAVING, HOST_LIVE, ROLE_ENTRY
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host


class Ownership:
    """Track the live entry hosts and the partition owners computed from them.

    The host lists of two processes may differ, so that both consider
    themselves the owner. The Open records in the log decide between them.
    """

    __slots__ = ('_address_by_host', '_host_id', '_owner_by_stream')

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._address_by_host: dict[str, str] = {}
        self._owner_by_stream: dict[str, str] = {}

    def update_hosts(self, hosts: Sequence[Host]) -> bool:
        """Apply a host list; return whether the live entry hosts changed."""
        addresses = {
            host.host_id: host.peer_address
            for host in hosts
            if host.role == ROLE_ENTRY and host.state == HOST_LIVE
        }
        if not self._is_leaving(hosts):
            addresses.setdefault(self._host_id, '')
        changed = addresses != self._address_by_host
        if changed:
            self._address_by_host = addresses
            self._owner_by_stream = {}
        return changed

    def owner_of(self, stream: str) -> str:
        """Return the host id of the owner, or '' if no host is live."""
        owner = self._owner_by_stream.get(stream)
        if owner is None:
            owner = min(
                self._address_by_host,
                key=lambda host_id: (rank_of(stream, host_id), host_id),
                default='',
            )
            self._owner_by_stream[stream] = owner
        return owner

    def is_owner(self, stream: str) -> bool:
        """Return whether this process owns the partition."""
        return self.owner_of(stream) == self._host_id

    def address_of(self, host_id: str) -> str:
        """Return the peer address of a live entry host, or ''."""
        return self._address_by_host.get(host_id, '')

    def _is_leaving(self, hosts: Sequence[Host]) -> bool:
        return any(
            host.host_id == self._host_id and host.state == HOST_LEAVING
            for host in hosts
        )
