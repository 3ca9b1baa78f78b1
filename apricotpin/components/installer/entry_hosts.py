"""Entry hosts known by their hellos, and the order to fetch from them."""

import time

from apricotpin.components.installer import const
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.helpers.stripes import source_order
from apricotpin.messages.fleet import EntryHello


class KnownEntryHost:
    """Carry the last hello of an entry host and the end of its back-off.

    backoff_until_s is on the monotonic clock.
    """

    __slots__ = ('backoff_until_s', 'hello')

    def __init__(self, hello: EntryHello) -> None:
        self.hello = hello
        self.backoff_until_s = float('-inf')


class EntryHosts:
    """Track the entry hosts that have sent a hello."""

    __slots__ = ('_by_host_id', '_data_centre')

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._by_host_id: dict[str, KnownEntryHost] = {}

    def record_hello(self, hello: EntryHello) -> None:
        known = self._by_host_id.setdefault(
            hello.host_id, KnownEntryHost(hello)
        )
        known.hello = hello

    def back_off(self, address: str) -> None:
        """Ask an entry host last until its back-off ends."""
        until_s = time.monotonic() + const.SOURCE_BACKOFF_S
        for known in self._by_host_id.values():
            if known.hello.peer_address == address:
                known.backoff_until_s = until_s

    def ordered_addresses(self, key: str, now_s: float) -> list[str]:
        """Return the addresses to fetch from, best first."""
        return order_addresses(self._by_host_id, self._data_centre, key, now_s)


def order_addresses(
    entry_hosts: dict[str, KnownEntryHost],
    own_data_centre: str,
    key: str,
    now_s: float,
) -> list[str]:
    """Return the addresses of entry hosts to fetch from, best first.

    All agents of a data centre prefer the same host for a key, so that each
    piece is transferred to the data centre only once.
    """
    local_ids = [
        host_id
        for host_id, known in entry_hosts.items()
        if known.hello.data_centre == own_data_centre
    ]
    remote_ids = [
        host_id for host_id in entry_hosts if host_id not in local_ids
    ]
    host_ids = [
        *source_order(key, local_ids),
        *rendezvous_order(key, remote_ids),
    ]
    host_ids.sort(
        key=lambda host_id: entry_hosts[host_id].backoff_until_s > now_s
    )
    return [entry_hosts[host_id].hello.peer_address for host_id in host_ids]
