"""The switch gate: how many hosts of a service switch at a time."""

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
    """Tell whether a host may switch to the model and version it names.

    Hosts of its service are ranked by hash. It may switch when fewer live
    hosts ranked before it lack the version than may switch at a time.
    """
    live = [
        host
        for host in hosts
        if host.service_name == own_host.service_name
        and host.state in _LIVE_STATES
        and host.host_id != own_host.host_id
    ]
    at_a_time = max(1, math.floor(switch_fraction * (len(live) + 1)))
    own_rank = _rank(own_host, own_host.host_id)
    before = [
        host
        for host in live
        if _rank(own_host, host.host_id) < own_rank
        and (host.model, host.version) != (own_host.model, own_host.version)
    ]
    return len(before) < at_a_time


def _rank(target: Host, host_id: str) -> tuple[int, str]:
    return (rank_of(target.model, target.version, host_id), host_id)
