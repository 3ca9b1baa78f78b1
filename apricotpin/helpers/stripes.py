"""Stripes of pieces, each handed out by one host of a data centre."""

from collections.abc import Iterable
from typing import Final

from apricotpin.helpers.hashing import rendezvous_order

# Eight agents with links of 3.8 Mbit/s ask for more than an entry host with a
# link of 20 Mbit/s can send beside requests, so several share the work. Each
# that hands out a stripe also fetches it, and the origin serves few at once.
STRIPE_COUNT: Final = 6
# One of so many hosts of a data centre hands out pieces. A host that starts
# again holds none, so a small data centre has one such host, not several.
HOSTS_PER_SOURCE: Final = 4


def stripe_of(index: int) -> int:
    """Return the stripe of a piece; the manifest, -1, is of the first."""
    return max(0, index) % STRIPE_COUNT


def source_key(model: str, version: int, stripe: int) -> str:
    """Return the key by which hosts agree on who hands out a stripe."""
    return f'{model}/{version}/{stripe}'


def source_order(key: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts of one data centre, best first, for a stripe's key."""
    version_key, _, stripe = key.rpartition('/')
    ordered = rendezvous_order(version_key, host_ids)
    count = max(1, -(-len(ordered) // HOSTS_PER_SOURCE))
    first = int(stripe) % count
    sources = ordered[:count]
    return [*sources[first:], *sources[:first], *ordered[count:]]
