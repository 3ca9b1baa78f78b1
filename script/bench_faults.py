"""Faults of the weights benchmark, each when it affects most hosts."""

from collections.abc import Callable
from typing import Any, Final

import gevent

from apricotpin.components.weights.topology import rank_hosts, stripe_orders
from script import topology as plans
from script.cluster import Cluster, send_json

_REGION_CUT_S: Final = 10.0


class Fault:
    """Describe a fault that occurs once the origin has sent a share of a copy.

    The action causes the fault and returns the ids of the hosts that cannot
    complete the rollout. The version is the one that the others have to serve.
    """

    __slots__ = ('action', 'origin_share', 'version')

    def __init__(
        self,
        origin_share: float,
        action: Callable[[Any, Cluster], list[str]],
        version: str = 'v1',
    ) -> None:
        self.origin_share = origin_share
        self.action = action
        self.version = version


def interior_hosts(rollout: Any, count: int) -> list[str]:
    """Return the hosts on which the most other hosts depend.

    These are the first hosts of the stripe orders in the region of the origin,
    then the other hosts of that region by rank.
    """
    origin_region = rollout.topology.origin_region
    names = [
        host.host_id
        for host in rollout.topology.replicas
        if host.region == origin_region
    ]
    ranked = rank_hosts(rollout.version_key, names)
    firsts = [order[0] for order in stripe_orders(ranked, rollout.stripes)]
    return list(dict.fromkeys(firsts + ranked))[:count]


def _no_fault(_rollout: Any, _cluster: Cluster) -> list[str]:
    return []


def _kill_tenth(rollout: Any, cluster: Cluster) -> list[str]:
    count = max(1, len(rollout.topology.replicas) // 10)
    affected = interior_hosts(rollout, count)
    for host_id in affected:
        cluster.process(host_id).kill()
    return affected


def _stall_source(rollout: Any, cluster: Cluster) -> list[str]:
    affected = interior_hosts(rollout, 1)
    _set_faults(cluster, plans.LINKS_PORT, {'stall': affected})
    return affected


def _corrupt_chunks(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'corrupt_chunks': 5})
    return []


def _slow_origin(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'delay_s': 1.0})
    return []


def _stop_origin(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'down': True})
    return []


def _publish_newer_version(rollout: Any, cluster: Cluster) -> list[str]:
    rollout.publish_version(cluster, rollout.versions[1])
    return []


def _cut_region(rollout: Any, cluster: Cluster) -> list[str]:
    region = rollout.topology.regions[-1]
    _set_faults(cluster, plans.LINKS_PORT, {'cut': [region]})
    gevent.spawn_later(
        _REGION_CUT_S,
        _set_faults,
        cluster,
        plans.LINKS_PORT,
        {'cut': []},
    )
    return []


def _set_faults(cluster: Cluster, port: int, faults: dict[str, Any]) -> None:
    url = f'{cluster.topology.platform_url(port)}/faults'
    send_json('POST', url, faults)


FAULTS: Final = {
    'none': Fault(0, _no_fault),
    'kill-tenth': Fault(0.4, _kill_tenth),
    'stalled-source': Fault(0.4, _stall_source),
    'corrupt-chunks': Fault(0.4, _corrupt_chunks),
    'slow-origin': Fault(0.4, _slow_origin),
    'origin-gone': Fault(1, _stop_origin),
    'newer-version': Fault(0.4, _publish_newer_version, 'v2'),
    'region-cut': Fault(0.4, _cut_region),
}
