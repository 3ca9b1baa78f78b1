"""Stripes: the pieces of a version, divided among hosts as their sources."""

from collections.abc import Iterable
from typing import Final

from apricotpin.helpers.hashing import rendezvous_order

# Eight agents with links of 3.8 Mbit/s request more than an entry host with a
# link of 20 Mbit/s can send besides serving requests, so several entry hosts
# share the work. Each host that sends a stripe also fetches it from the origin,
# which serves only few hosts at the same time.
STRIPE_COUNT: Final = 6
# One of this many hosts of a data centre is a source of pieces. A host that
# restarts has no pieces, so a small data centre has one source, not several.
HOSTS_PER_SOURCE: Final = 4


def stripe_of(index: int) -> int:
    """Return the stripe of a piece; the manifest, -1, is in the first."""
    return max(0, index) % STRIPE_COUNT


def source_key(model: str, version: int, stripe: int) -> str:
    """Return the key by which all hosts determine the source of a stripe."""
    return f'{model}/{version}/{stripe}'


def source_order(key: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts of a data centre, preferred sources of a stripe first.

    key is the result of source_key().
    """
    version_key, _, stripe = key.rpartition('/')
    ordered = rendezvous_order(version_key, host_ids)
    count = max(1, -(-len(ordered) // HOSTS_PER_SOURCE))
    first = int(stripe) % count
    sources = ordered[:count]
    return [*sources[first:], *sources[:first], *ordered[count:]]
