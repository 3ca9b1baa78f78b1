"""Stripes of pieces, each handed out by one host of a data centre."""

from typing import Final

# Eight agents with links of 3.8 Mbit/s ask for more than an entry host with a
# link of 20 Mbit/s can send beside requests, so several share the work. Each
# that hands out a stripe also fetches it, and the origin serves few at once.
STRIPES: Final = 6


def stripe_of(index: int) -> int:
    """Return the stripe of a piece; the manifest, -1, is of the first."""
    return max(0, index) % STRIPES


def source_key(model: str, version: int, stripe: int) -> str:
    """Return the key by which hosts agree on who hands out a stripe."""
    return f'{model}/{version}/{stripe}'
