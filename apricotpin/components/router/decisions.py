"""Decide on admission, upstreams, their back-off and the retry budget."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from apricotpin.components.router.const import (
    PROBE_WAIT_S,
    RETRY_BUDGET_MAX,
)
from apricotpin.const import HOST_LIVE, HOST_SUSPECTED
from apricotpin.messages.document import LimitsConfig
from apricotpin.messages.hosts import Host

# The agent of a suspected host missed heartbeats, which says little about the
# upstream beside it. Such a host stays usable, but live hosts are preferred.
_USABLE_STATES: Final = frozenset((HOST_LIVE, HOST_SUSPECTED))

# Returns a random number from 0 up to, but not including, its argument.
RandomBelow = Callable[[int], int]


class Backoff:
    """Track an upstream's failures in a row and the end of its back-off."""

    __slots__ = ('failures', 'until_s')

    def __init__(self, failures: int, until_s: float) -> None:
        self.failures = failures
        self.until_s = until_s


class Requirements:
    """Describe the upstream that an attempt needs."""

    __slots__ = ('data_centre', 'is_model', 'service_name', 'tried', 'version')

    def __init__(
        self,
        service_name: str,
        data_centre: str,
        is_model: bool = False,
        version: str = '',
        tried: Sequence[str] = (),
    ) -> None:
        self.service_name = service_name
        self.data_centre = data_centre
        self.is_model = is_model
        self.version = version
        self.tried = tried


class LocalState:
    """Carry this entry host's own counts and back-offs of upstreams."""

    __slots__ = ('backoffs', 'in_flight')

    def __init__(
        self,
        in_flight: Mapping[str, int],
        backoffs: Mapping[str, Backoff],
    ) -> None:
        self.in_flight = in_flight
        self.backoffs = backoffs


def is_admitted(in_flight: int, priority: int, limits: LimitsConfig) -> bool:
    """Return whether a request of this priority may be admitted."""
    share = 1 - priority * limits.priority_step
    return in_flight < limits.in_flight_max * share


def select_upstream(
    hosts: Sequence[Host],
    requirements: Requirements,
    local: LocalState,
    now_s: float,
    random_below: RandomBelow,
) -> Host | None:
    """Return the better of two random hosts of the best tier, if any."""
    usable = [
        host for host in hosts if is_usable(host, requirements, local, now_s)
    ]
    if not usable:
        return None
    tiers = {host.host_id: _tier(host, requirements) for host in usable}
    first = min(tiers.values())
    return better_of_two(
        [host for host in usable if tiers[host.host_id] == first],
        local.in_flight,
        random_below,
    )


def better_of_two(
    hosts: Sequence[Host],
    in_flight: Mapping[str, int],
    random_below: RandomBelow,
) -> Host:
    """Return the one of two random hosts with fewer requests in flight.

    Comparing two hosts keeps the load even without sending all requests to
    the least loaded one. The hosts' own load reports are late, so they decide
    only between equal counts.
    """
    first = random_below(len(hosts))
    if len(hosts) == 1:
        return hosts[first]
    other = random_below(len(hosts) - 1)
    second = other + 1 if other >= first else other
    return min(
        hosts[first],
        hosts[second],
        key=lambda host: (in_flight.get(host.host_id, 0), host.in_flight),
    )


def is_usable(
    host: Host, requirements: Requirements, local: LocalState, now_s: float
) -> bool:
    """Return whether a host meets the requirements and is not in back-off."""
    if (
        host.service_name != requirements.service_name
        or not host.upstream_address
    ):
        return False
    if host.state not in _USABLE_STATES:
        return False
    if requirements.version and host.version != requirements.version:
        return False
    return not _is_in_backoff(host.host_id, local, now_s)


def shortest_backoff_s(
    hosts: Sequence[Host],
    requirements: Requirements,
    local: LocalState,
    now_s: float,
) -> float | None:
    """Return the seconds until the first host in back-off may be tried.

    Return None if no host would be usable even without a back-off.
    """
    without_backoffs = LocalState(local.in_flight, {})
    waits_s = [
        max(local.backoffs[host.host_id].until_s - now_s, PROBE_WAIT_S)
        for host in hosts
        if host.host_id in local.backoffs
        and is_usable(host, requirements, without_backoffs, now_s)
    ]
    return min(waits_s, default=None)


def extend_backoff(
    earlier: Backoff | None,
    now_s: float,
    backoff_s: Callable[[int], float],
) -> Backoff:
    """Return the back-off after one more failure."""
    failures = earlier.failures + 1 if earlier else 1
    return Backoff(failures, now_s + backoff_s(failures))


def refill_retry_budget(budget: float, ratio: float) -> float:
    """Return the retry budget after one more request was admitted."""
    return min(RETRY_BUDGET_MAX, budget + ratio)


def _is_in_backoff(host_id: str, local: LocalState, now_s: float) -> bool:
    backoff = local.backoffs.get(host_id)
    if backoff is None:
        return False
    if now_s < backoff.until_s:
        return True
    # After its back-off a host receives one request at a time until one
    # succeeds: a host that fails fast looks idle and would attract all
    # requests.
    return local.in_flight.get(host_id, 0) > 0


def _tier(
    host: Host, requirements: Requirements
) -> tuple[bool, bool, bool, bool]:
    # An engine that has not confirmed any version is likely to refuse.
    unconfirmed = requirements.is_model and not host.version
    return (
        host.host_id in requirements.tried,
        unconfirmed,
        host.state == HOST_SUSPECTED,
        host.data_centre != requirements.data_centre,
    )
