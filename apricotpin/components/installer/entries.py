"""Entry hosts that greeted, and in which order they are asked for pieces."""

import time

from apricotpin.components.installer import const
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.helpers.stripes import source_order
from apricotpin.messages.fleet import EntryHello


class Known:
    """Hold the last greeting of an entry host, and until when it rests."""

    __slots__ = ('hello', 'suspect_until_s')

    def __init__(self, hello: EntryHello) -> None:
        self.hello = hello
        self.suspect_until_s = float('-inf')


class Entries:
    """Hold the entry hosts that greeted."""

    __slots__ = ('_data_centre', '_known')

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._known: dict[str, Known] = {}

    def hear(self, hello: EntryHello) -> None:
        """Take a greeting."""
        known = self._known.setdefault(hello.host_id, Known(hello))
        known.hello = hello

    def suspect(self, address: str) -> None:
        """Ask an entry host last for some time."""
        until_s = time.monotonic() + const.SUSPECT_S
        for known in self._known.values():
            if known.hello.peer_address == address:
                known.suspect_until_s = until_s

    def order(self, key: str, now_s: float) -> list[str]:
        """Return the addresses to fetch from, best first."""
        return order_entries(self._known, self._data_centre, key, now_s)


def order_entries(
    entries: dict[str, Known],
    own_data_centre: str,
    key: str,
    now_s: float,
) -> list[str]:
    """Return the addresses of entry hosts to fetch from, best first.

    All agents of a data centre prefer the same host for a key, so that each
    piece reaches the data centre once.
    """
    near = [
        name
        for name, known in entries.items()
        if known.hello.data_centre == own_data_centre
    ]
    far = [name for name in entries if name not in near]
    names = [*source_order(key, near), *rendezvous_order(key, far)]
    names.sort(key=lambda name: entries[name].suspect_until_s > now_s)
    return [entries[name].hello.peer_address for name in names]
