"""Decide on admission, upstreams, their back-off and the retry budget."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from apricotpin.components.router.const import (
    PROBE_WAIT_S,
    RETRY_BUDGET_RESERVE,
)
from apricotpin.const import HOST_LIVE, HOST_SUSPECTED
from apricotpin.messages.document import LimitsConfig
from apricotpin.messages.hosts import Host

# The agent of a suspected host missed heartbeats, which says little about the
# upstream beside it. Such a host is used only if there is no live one.
_USABLE_STATES: Final = frozenset((HOST_LIVE, HOST_SUSPECTED))

# Returns a random number from 0 up to, but not including, its argument.
Draw = Callable[[int], int]


class Suspicion:
    """Track an upstream's failures in a row and the end of its back-off."""

    __slots__ = ('failures', 'until_s')

    def __init__(self, failures: int, until_s: float) -> None:
        self.failures = failures
        self.until_s = until_s


class Wanted:
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


class Load:
    """Carry this entry host's own counts and back-offs of upstreams."""

    __slots__ = ('in_flight', 'suspicions')

    def __init__(
        self,
        in_flight: Mapping[str, int],
        suspicions: Mapping[str, Suspicion],
    ) -> None:
        self.in_flight = in_flight
        self.suspicions = suspicions


def is_admitted(in_flight: int, priority: int, limits: LimitsConfig) -> bool:
    """Return whether a request of this priority may be admitted."""
    share = 1 - priority * limits.priority_step
    return in_flight < limits.in_flight_max * share


def choose_upstream(
    hosts: Sequence[Host],
    wanted: Wanted,
    load: Load,
    now_s: float,
    draw: Draw,
) -> Host | None:
    """Return the better of two random hosts of the best tier, if any."""
    usable = [host for host in hosts if is_usable(host, wanted, load, now_s)]
    if not usable:
        return None
    tiers = {host.host_id: _tier(host, wanted) for host in usable}
    first = min(tiers.values())
    return better_of_two(
        [host for host in usable if tiers[host.host_id] == first],
        load.in_flight,
        draw,
    )


def better_of_two(
    hosts: Sequence[Host],
    in_flight: Mapping[str, int],
    draw: Draw,
) -> Host:
    """Return the one of two random hosts with fewer requests in flight.

    Comparing two hosts keeps the load even without sending all requests to
    the least loaded one. The hosts' own load reports are late, so they decide
    only between equal counts.
    """
    first = draw(len(hosts))
    if len(hosts) == 1:
        return hosts[first]
    other = draw(len(hosts) - 1)
    second = other + 1 if other >= first else other
    return min(
        hosts[first],
        hosts[second],
        key=lambda host: (in_flight.get(host.host_id, 0), host.in_flight),
    )


def is_usable(host: Host, wanted: Wanted, load: Load, now_s: float) -> bool:
    """Return whether a host meets the requirements and is not in back-off."""
    if host.service_name != wanted.service_name or not host.upstream_address:
        return False
    if host.state not in _USABLE_STATES:
        return False
    if wanted.version and host.version != wanted.version:
        return False
    return not _rests(host.host_id, load, now_s)


def rest_s(
    hosts: Sequence[Host],
    wanted: Wanted,
    load: Load,
    now_s: float,
) -> float | None:
    """Return the seconds until the first host in back-off may be tried.

    Return None if no host would be usable even without a back-off.
    """
    trusting = Load(load.in_flight, {})
    waits_s = [
        max(load.suspicions[host.host_id].until_s - now_s, PROBE_WAIT_S)
        for host in hosts
        if host.host_id in load.suspicions
        and is_usable(host, wanted, trusting, now_s)
    ]
    return min(waits_s, default=None)


def suspect(
    earlier: Suspicion | None,
    now_s: float,
    pause_s: Callable[[int], float],
) -> Suspicion:
    """Return the back-off after one more failure."""
    failures = earlier.failures + 1 if earlier else 1
    return Suspicion(failures, now_s + pause_s(failures))


def earn(tokens: float, ratio: float) -> float:
    """Return the retry budget after one more request was admitted."""
    return min(RETRY_BUDGET_RESERVE, tokens + ratio)


def _rests(host_id: str, load: Load, now_s: float) -> bool:
    suspicion = load.suspicions.get(host_id)
    if suspicion is None:
        return False
    if now_s < suspicion.until_s:
        return True
    # After its back-off a host receives one request at a time until one
    # succeeds: a host that fails fast looks idle and would attract all
    # requests.
    return load.in_flight.get(host_id, 0) > 0


def _tier(host: Host, wanted: Wanted) -> tuple[bool, bool, bool, bool]:
    # An engine that has not confirmed any version is likely to refuse.
    unconfirmed = wanted.is_model and not host.version
    return (
        host.host_id in wanted.tried,
        unconfirmed,
        host.state == HOST_SUSPECTED,
        host.data_centre != wanted.data_centre,
    )
