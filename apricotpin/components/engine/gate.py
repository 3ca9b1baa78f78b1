"""Switch gate: limits how many hosts of a service switch at the same time."""

import math
from collections.abc import Iterable
from typing import Final

from apricotpin.const import HOST_LIVE, HOST_SWITCHING
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host

_LIVE_STATES: Final = (HOST_LIVE, HOST_SWITCHING)


def may_switch(
    hosts: Iterable[Host],
    own_host: Host,
    switch_fraction: float,
) -> bool:
    """Return whether own_host may switch to the version that it carries.

    All hosts of the service are ranked by a hash of the version and the host.
    A host may switch when the number of live hosts that rank before it and do
    not serve the version yet is below the limit. The limit is switch_fraction
    of the live hosts, rounded down, and at least 1.
    """
    live = [
        host
        for host in hosts
        if host.service_name == own_host.service_name
        and host.state in _LIVE_STATES
        and host.host_id != own_host.host_id
    ]
    switching_max = max(1, math.floor(switch_fraction * (len(live) + 1)))
    own_rank = _rank(own_host, own_host.host_id)
    outdated_before = [
        host
        for host in live
        if _rank(own_host, host.host_id) < own_rank
        and (host.model, host.version) != (own_host.model, own_host.version)
    ]
    return len(outdated_before) < switching_max


def _rank(target: Host, host_id: str) -> tuple[int, str]:
    return (rank_of(target.model, target.version, host_id), host_id)
