"""Faults of the weights bench, each at the moment when it hurts most."""

from collections.abc import Callable
from typing import Any, Final

import gevent

from apricotpin.components.weights.topology import rank_hosts, stripe_orders
from script import topology as plans
from script.cluster import Cluster, send_json

_OUTAGE_S: Final = 10.0


class Fault:
    """Hold what happens once the origin has sent a share of a copy.

    The action returns the hosts that cannot be expected to finish.
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
    """Return the hosts that the most others depend on."""
    home = rollout.topology.origin_region
    names = [
        host.host_id
        for host in rollout.topology.replicas
        if host.region == home
    ]
    ranked = rank_hosts(rollout.version_key, names)
    firsts = [order[0] for order in stripe_orders(ranked, rollout.stripes)]
    return list(dict.fromkeys(firsts + ranked))[:count]


def _nothing(_rollout: Any, _cluster: Cluster) -> list[str]:
    return []


def _kill_tenth(rollout: Any, cluster: Cluster) -> list[str]:
    count = max(1, len(rollout.topology.replicas) // 10)
    victims = interior_hosts(rollout, count)
    for victim in victims:
        cluster.process(victim).kill()
    return victims


def _stall_source(rollout: Any, cluster: Cluster) -> list[str]:
    victims = interior_hosts(rollout, 1)
    _set_faults(cluster, plans.LINKS_PORT, {'stall': victims})
    return victims


def _corrupt_chunks(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'corrupt_chunks': 5})
    return []


def _slow_origin(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'delay_s': 1.0})
    return []


def _origin_gone(_rollout: Any, cluster: Cluster) -> list[str]:
    _set_faults(cluster, plans.ORIGIN_PORT, {'down': True})
    return []


def _newer_version(rollout: Any, cluster: Cluster) -> list[str]:
    rollout.order(cluster, rollout.versions[1])
    return []


def _cut_region(rollout: Any, cluster: Cluster) -> list[str]:
    region = rollout.topology.regions[-1]
    _set_faults(cluster, plans.LINKS_PORT, {'cut': [region]})
    gevent.spawn_later(
        _OUTAGE_S,
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
    'none': Fault(0, _nothing),
    'kill-tenth': Fault(0.4, _kill_tenth),
    'stalled-source': Fault(0.4, _stall_source),
    'corrupt-chunks': Fault(0.4, _corrupt_chunks),
    'slow-origin': Fault(0.4, _slow_origin),
    'origin-gone': Fault(1, _origin_gone),
    'newer-version': Fault(0.4, _newer_version, 'v2'),
    'region-cut': Fault(0.4, _cut_region),
}
