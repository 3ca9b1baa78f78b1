"""The waits that follow one another before a host is up to date again.

Each chain lists what a host may wait for, one after the other, from the moment
at which a fault begins or ends to the moment at which it has what the store
has. Its sum has to stay within a limit that the operators set.
"""

from loguru import logger

from apricotpin.components.follower import const
from apricotpin.const import STORE_OVERDUE_S, STORE_TIMEOUT_S
from apricotpin.host_settings import OperatorLimits


class Wait:
    """Name one wait of a chain and the longest time that it takes."""

    __slots__ = ('longest_s', 'name')

    def __init__(self, name: str, longest_s: float) -> None:
        self.name = name
        self.longest_s = longest_s


class WaitChain:
    """List waits that follow one another, and the limit of their sum."""

    __slots__ = ('limit_s', 'name', 'waits')

    def __init__(
        self, name: str, limit_s: float, waits: tuple[Wait, ...]
    ) -> None:
        self.name = name
        self.limit_s = limit_s
        self.waits = waits

    @property
    def longest_s(self) -> float:
        """Return the longest time of the whole chain."""
        return sum(wait.longest_s for wait in self.waits)


_RESPONSE = Wait('response of the store', const.RESPONSE_ALLOWANCE_S)
_DELIVERY = Wait('copy to hosts that do not read', const.DELIVERY_ALLOWANCE_S)
_OVERDUE = Wait('response overdue', STORE_OVERDUE_S)
_PEER_SILENT = Wait('peer that does not respond', const.PEER_TIMEOUT_S)


def long_poll_s(contact_limit_s: float) -> float:
    """Return how long a read of the desired state may wait for a change.

    A connection, or the peer that reads for this host, may become silent as
    such a read begins, and a host that is only affected by that has to be up to
    date within contact_limit_s.
    """
    after_poll_s = (
        max(STORE_OVERDUE_S, const.PEER_TIMEOUT_S)
        + const.RESPONSE_ALLOWANCE_S
        + const.DELIVERY_ALLOWANCE_S
    )
    longest_s = contact_limit_s - after_poll_s
    return max(const.LONG_POLL_MIN_S, min(const.LONG_POLL_MAX_S, longest_s))


def wait_chains(limits: OperatorLimits) -> tuple[WaitChain, ...]:
    """Return all chains for the limits of a deployment."""
    poll = Wait(
        'read that waits for a change', long_poll_s(limits.contact_limit_s)
    )
    return (
        WaitChain(
            'connection to the store becomes silent',
            limits.contact_limit_s,
            (poll, _OVERDUE, _RESPONSE, _DELIVERY),
        ),
        WaitChain(
            'peer that reads for this host becomes silent',
            limits.contact_limit_s,
            (poll, _PEER_SILENT, _RESPONSE, _DELIVERY),
        ),
        WaitChain(
            'store responds again after the second attempt at a read',
            limits.contact_limit_s,
            (
                Wait('second attempt', STORE_TIMEOUT_S - STORE_OVERDUE_S),
                _PEER_SILENT,
                _RESPONSE,
                _DELIVERY,
            ),
        ),
        WaitChain(
            'list of workers behind a silent connection',
            limits.drain_limit_s,
            (
                Wait('pause between reads', const.UPSTREAMS_PAUSE_S),
                _OVERDUE,
                _RESPONSE,
            ),
        ),
    )


def checked_long_poll_s(limits: OperatorLimits) -> float:
    """Return the time of a long poll; log each chain that exceeds its limit."""
    for chain in wait_chains(limits):
        if round(chain.longest_s, 3) > chain.limit_s:
            logger.bind(
                chain=chain.name,
                longest_ms=int(chain.longest_s * 1000),
                limit_ms=int(chain.limit_s * 1000),
            ).warning('wait_chain_exceeds_limit')
    return long_poll_s(limits.contact_limit_s)
