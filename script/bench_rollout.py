"""One rollout of the weights bench and its figures."""

import math
import time
from collections.abc import Sequence
from typing import Any, Final

import gevent
from geventhttpclient.httplib import HTTPConnection

from apricotpin.helpers.addresses import Address
from apricotpin.helpers.hashing import digest_hex
from script import topology as plans
from script.bench_faults import Fault
from script.cluster import CONFIG_STREAM, Cluster, send_json
from script.figures import pipeline_limit_s
from script.processes import answers_ok, wait_until
from script.standins.contents import Weights, encode_manifest, manifest_of

_READY_S: Final = 60.0
_POLL_S: Final = 0.25
# A run ends unfinished after this multiple of the limit and the slack.
_LIMIT_FACTOR: Final = 6
_SLACK_S: Final = 60.0
_SETTLE_S: Final = 4.0
_NAIVE_TIMEOUT_S: Final = 120.0
_MS_PER_S: Final = 1000
_HTTP_OK: Final = 200
# Bounds of the design page.
_RATIO_SMALL: Final = 1.3
_RATIO_LARGE: Final = 1.5
_SMALL_HOSTS: Final = 9
_HOST_COPIES: Final = 2.2
_ORIGIN_BOUNDS: Final = {1: 1.1, 4: 4.0}
# Requests and control traffic on top of one copy over a shared link.
_SHARED_COPIES: Final = 1.1


class Rollout:
    """Hold what one rollout distributes and what the stand-ins show."""

    __slots__ = (
        '_links_before',
        '_lost',
        '_offset',
        '_seen_s',
        '_started_s',
        'origin_copies',
        'stripes',
        'topology',
        'versions',
    )

    def __init__(
        self,
        topology: plans.Topology,
        versions: Sequence[Weights],
        origin_copies: int,
    ) -> None:
        self.topology = topology
        self.versions = list(versions)
        self.origin_copies = origin_copies
        self.stripes = 4
        self._offset = -1
        self._started_s: float = 0
        self._seen_s: dict[str, float] = {}
        self._lost: list[str] = []
        self._links_before: Any = {}

    @property
    def version_key(self) -> str:
        """Return the key by which hosts are ranked."""
        return f'{self.versions[0].model}/{self.versions[0].version}'

    def start(self, cluster: Cluster) -> None:
        """Start all processes, with engines that serve nothing yet."""
        cluster.start_platform()
        self.order(cluster, None)
        cluster.start_hosts()
        pages = [
            f'http://{host.address(plans.ADMIN_PORT)}/metrics'
            for host in self.topology.hosts
        ]
        wait_until(
            lambda: all(map(answers_ok, pages)),
            _READY_S,
            'every host answers',
        )
        # Heartbeats and the host list have to reach everybody once.
        gevent.sleep(_SETTLE_S)

    def order(self, cluster: Cluster, weights: Weights | None) -> None:
        """Publish a configuration that orders a version."""
        record = {
            'kind': 'publish',
            'based_on': self._offset,
            'base': self._document(weights),
            'overlays': {},
            'author': 'bench',
        }
        self._offset = cluster.append_config(record)

    def run(self, cluster: Cluster, fault: Fault) -> None:
        """Roll out, cause the fault and wait for the last replica."""
        self._links_before = _links(cluster)
        self.order(cluster, self.versions[0])
        self._started_s = self._appended_s(cluster)
        pending = fault.origin_share > 0
        deadline_s = time.time() + _SLACK_S + _LIMIT_FACTOR * self.limit_s()
        while time.time() < deadline_s and not self._finished():
            gevent.sleep(_POLL_S)
            if pending and self._origin_share(cluster) >= fault.origin_share:
                pending = False
                self._lost = fault.action(self, cluster)
                if fault.version != self.versions[0].version:
                    self._started_s = self._appended_s(cluster)
            self._note_engines(cluster, fault.version)

    def limit_s(self) -> float:
        """Return the least time over the slowest link of every copy."""
        rates = self.topology.rates
        rate = rates.host_bytes_per_s
        if len(self.topology.regions) > 1:
            rate = min(rate, rates.shared_bytes_per_s)
        replicas = len(self.topology.replicas)
        return pipeline_limit_s(self.versions[0], replicas, rate)

    def figures(self, cluster: Cluster, fault: Fault) -> dict[str, Any]:
        """Return the figures of the rollout and whether it met the bounds."""
        weights = self.versions[0]
        took_s = max(self._seen_s.values(), default=0) - self._started_s
        finished = self._finished()
        found = {
            'hosts': len(self.topology.replicas),
            'regions': len(self.topology.regions),
            'origin_copies': self.origin_copies,
            'size_bytes': weights.size_bytes,
            'chunks': weights.chunk_count,
            'replicas': len(self._seen_s),
            'lost_hosts': len(self._lost),
            'time_s': round(took_s, 2) if finished else -1,
            'limit_s': round(self.limit_s(), 2),
            'ratio': round(took_s / self.limit_s(), 3) if finished else -1,
            'origin_sent_copies': self._origin_copies(cluster, fault.version),
            **self._link_figures(cluster),
        }
        met = finished
        if fault.origin_share == 0:
            met = finished and self._meets(found)
        return {**found, 'met': met}

    def _document(self, weights: Weights | None) -> dict[str, Any]:
        models = {}
        services = {}
        if weights is not None:
            name = weights.model
            manifest = encode_manifest(manifest_of(weights))
            services[name] = {'kind': 'model', 'model': name}
            models[name] = {
                'version': weights.version,
                'manifest_digest': digest_hex(manifest),
            }
        return {
            'fleet': 'bench',
            'services': services,
            'models': models,
            'weights': {
                'origin_copies': self.origin_copies,
                'origin_region': self.topology.origin_region,
                'region_order': self.topology.regions,
                'stripes': self.stripes,
            },
        }

    def _appended_s(self, cluster: Cluster) -> float:
        log_url = cluster.topology.platform_url(plans.LOG_PORT)
        path = f'/streams/{CONFIG_STREAM}/records?from={self._offset}&limit=1'
        page = send_json('GET', log_url + path)
        return page['records'][0]['appended_ms'] / _MS_PER_S

    def _finished(self) -> bool:
        wanted = {host.host_id for host in self.topology.replicas}
        return wanted - set(self._lost) <= set(self._seen_s)

    def _note_engines(self, cluster: Cluster, version: str) -> None:
        statuses = cluster.engine_statuses()
        now_s = time.time()
        for host, status in zip(self.topology.replicas, statuses, strict=True):
            if status['version'] == version:
                self._seen_s.setdefault(host.host_id, now_s)

    def _origin_copies(self, cluster: Cluster, version: str) -> float:
        url = cluster.topology.platform_url(plans.ORIGIN_PORT)
        counters = send_json('GET', f'{url}/counters')
        name = f'{self.versions[0].model}/{version}'
        sent = counters['bytes_by_version'].get(name, 0)
        return round(sent / self.versions[0].size_bytes, 3)

    def _origin_share(self, cluster: Cluster) -> float:
        return self._origin_copies(cluster, self.versions[0].version)

    def _link_figures(self, cluster: Cluster) -> dict[str, Any]:
        links = _links(cluster)
        size_bytes = self.versions[0].size_bytes
        hosts = [host.host_id for host in self.topology.replicas]
        up = self._carried(links, 'hosts', 'up_bytes')
        down = self._carried(links, 'hosts', 'down_bytes')
        inward = self._carried(links, 'regions', 'in_bytes')
        outward = self._carried(links, 'regions', 'out_bytes')
        both = [up[name] + down[name] for name in hosts]
        shared = {
            f'shared_{name}_bytes': f'{inward[name]}/{outward[name]}'
            for name in self.topology.regions
        }
        if len(shared) == 1:
            shared = {}
        return {
            'up_copies_max': _copies(max(map(up.get, hosts)), size_bytes),
            'down_copies_max': _copies(max(map(down.get, hosts)), size_bytes),
            'host_copies_max': _copies(max(both), size_bytes),
            'shared_in_copies_max': _copies(max(inward.values()), size_bytes),
            **shared,
        }

    def _carried(self, links: Any, kind: str, direction: str) -> dict[str, int]:
        before = self._links_before[kind]
        return {
            name: counters[direction] - before[name][direction]
            for name, counters in links[kind].items()
        }

    def _meets(self, found: dict[str, Any]) -> bool:
        ratio = _RATIO_SMALL if found['hosts'] <= _SMALL_HOSTS else _RATIO_LARGE
        origin = _ORIGIN_BOUNDS.get(self.origin_copies, self.origin_copies)
        return (
            found['ratio'] <= ratio
            and found['origin_sent_copies'] <= origin
            and found['host_copies_max'] <= _HOST_COPIES
            and found['shared_in_copies_max'] <= _SHARED_COPIES
        )


def naive_figures(cluster: Cluster, weights: Weights) -> dict[str, Any]:
    """Let every host fetch everything from the origin; return its figures."""
    replicas = cluster.topology.replicas
    started_s = time.time()
    workers = [
        gevent.spawn(_fetch_all, cluster.topology.origin_relay(host), weights)
        for host in replicas
    ]
    gevent.joinall(workers, timeout=_NAIVE_TIMEOUT_S)
    finished = all(worker.successful() for worker in workers)
    gevent.killall(workers)
    took_s = time.time() - started_s
    rates = cluster.topology.rates
    rate = rates.host_bytes_per_s
    if len(cluster.topology.regions) > 1:
        rate = min(rate, rates.shared_bytes_per_s)
    limit_s = pipeline_limit_s(weights, len(replicas), rate)
    url = cluster.topology.platform_url(plans.ORIGIN_PORT)
    counters = send_json('GET', f'{url}/counters')
    name = f'{weights.model}/{weights.version}'
    sent = counters['bytes_by_version'].get(name, 0)
    return {
        'naive_finished': finished,
        'naive_ratio': round(took_s / limit_s, 2),
        'naive_origin_copies': round(sent / weights.size_bytes, 2),
    }


def _fetch_all(relay: str, weights: Weights) -> None:
    address = Address.from_text(relay)
    connection = HTTPConnection(
        address.ip,
        address.port,
        timeout=_NAIVE_TIMEOUT_S,
    )
    path = f'/weights/{weights.model}/{weights.version}/chunks'
    for index in range(weights.chunk_count):
        connection.request('GET', f'{path}/{index}')
        response = connection.getresponse()
        if response.status != _HTTP_OK:
            raise RuntimeError(f'the origin answered {response.status}')
        response.read()
    connection.close()


def _links(cluster: Cluster) -> Any:
    url = cluster.topology.platform_url(plans.LINKS_PORT)
    return send_json('GET', f'{url}/counters')


def _copies(carried_bytes: float, size_bytes: int) -> float:
    return math.ceil(carried_bytes / size_bytes * _MS_PER_S) / _MS_PER_S
