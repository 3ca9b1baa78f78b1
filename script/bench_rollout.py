"""One rollout of the weights benchmark and its figures."""

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
from script.processes import responds_ok, wait_until
from script.standins.contents import Weights, encode_manifest, manifest_of

_READY_TIMEOUT_S: Final = 60.0
_POLL_S: Final = 0.25
# A run is stopped as unfinished after this multiple of the time limit of a
# pipeline, plus the slack.
_LIMIT_FACTOR: Final = 6
_SLACK_S: Final = 60.0
_SETTLE_S: Final = 4.0
_NAIVE_TIMEOUT_S: Final = 120.0
_MS_PER_S: Final = 1000
_HTTP_OK: Final = 200
# Upper limits from the design page: time as a ratio to that of a pipeline, for
# small and for larger fleets, and copies of the model sent.
_RATIO_MAX_SMALL: Final = 1.3
_RATIO_MAX_LARGE: Final = 1.5
_SMALL_HOSTS_MAX: Final = 9
_HOST_COPIES_MAX: Final = 2.2
_ORIGIN_COPIES_MAX: Final = {1: 1.1, 4: 4.0}
# One copy over a shared link, with requests and control traffic.
_SHARED_COPIES_MAX: Final = 1.1


class Rollout:
    """Run one rollout and track it by the counters of the stand-ins."""

    __slots__ = (
        '_failed_hosts',
        '_initial_links',
        '_offset',
        '_started_s',
        '_updated_s',
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
        self._updated_s: dict[str, float] = {}
        self._failed_hosts: list[str] = []
        self._initial_links: Any = {}

    @property
    def version_key(self) -> str:
        """Return the key of the version by which hosts are ranked."""
        return f'{self.versions[0].model}/{self.versions[0].version}'

    def start(self, cluster: Cluster) -> None:
        """Start all processes, with engines that serve no version yet."""
        cluster.start_platform()
        self.publish_version(cluster, None)
        cluster.start_hosts()
        pages = [
            f'http://{host.address(plans.ADMIN_PORT)}/metrics'
            for host in self.topology.hosts
        ]
        wait_until(
            lambda: all(map(responds_ok, pages)),
            _READY_TIMEOUT_S,
            'every host responds',
        )
        # Every host has to receive heartbeats and the host list once.
        gevent.sleep(_SETTLE_S)

    def publish_version(
        self, cluster: Cluster, weights: Weights | None
    ) -> None:
        """Publish a configuration that declares a version, or none."""
        record = {
            'kind': 'publish',
            'based_on': self._offset,
            'base': self._document(weights),
            'overlays': {},
            'author': 'bench',
        }
        self._offset = cluster.append_config(record)

    def run(self, cluster: Cluster, fault: Fault) -> None:
        """Roll out, cause the fault and wait until all replicas are updated."""
        self._initial_links = _get_link_counters(cluster)
        self.publish_version(cluster, self.versions[0])
        self._started_s = self._appended_s(cluster)
        is_fault_pending = fault.origin_share > 0
        deadline_s = time.time() + _SLACK_S + _LIMIT_FACTOR * self.limit_s()
        while time.time() < deadline_s and not self._finished():
            gevent.sleep(_POLL_S)
            if (
                is_fault_pending
                and self._origin_share(cluster) >= fault.origin_share
            ):
                is_fault_pending = False
                self._failed_hosts = fault.action(self, cluster)
                if fault.version != self.versions[0].version:
                    self._started_s = self._appended_s(cluster)
            self._record_engines(cluster, fault.version)

    def limit_s(self) -> float:
        """Return the least time in s of a pipeline over the slowest links."""
        rates = self.topology.rates
        rate = rates.host_bytes_per_s
        if len(self.topology.regions) > 1:
            rate = min(rate, rates.shared_bytes_per_s)
        replicas = len(self.topology.replicas)
        return pipeline_limit_s(self.versions[0], replicas, rate)

    def figures(self, cluster: Cluster, fault: Fault) -> dict[str, Any]:
        """Return the figures, and whether they are within the limits."""
        weights = self.versions[0]
        took_s = max(self._updated_s.values(), default=0) - self._started_s
        finished = self._finished()
        found = {
            'hosts': len(self.topology.replicas),
            'regions': len(self.topology.regions),
            'origin_copies': self.origin_copies,
            'size_bytes': weights.size_bytes,
            'chunks': weights.chunk_count,
            'replicas': len(self._updated_s),
            'lost_hosts': len(self._failed_hosts),
            'time_s': round(took_s, 2) if finished else -1,
            'limit_s': round(self.limit_s(), 2),
            'ratio': round(took_s / self.limit_s(), 3) if finished else -1,
            'origin_sent_copies': self._origin_copies(cluster, fault.version),
            **self._link_figures(cluster),
        }
        met = finished
        if fault.origin_share == 0:
            met = finished and self._meets_limits(found)
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
        expected = {host.host_id for host in self.topology.replicas}
        return expected - set(self._failed_hosts) <= set(self._updated_s)

    def _record_engines(self, cluster: Cluster, version: str) -> None:
        statuses = cluster.engine_statuses()
        now_s = time.time()
        for host, status in zip(self.topology.replicas, statuses, strict=True):
            if status['version'] == version:
                self._updated_s.setdefault(host.host_id, now_s)

    def _origin_copies(self, cluster: Cluster, version: str) -> float:
        url = cluster.topology.platform_url(plans.ORIGIN_PORT)
        counters = send_json('GET', f'{url}/counters')
        name = f'{self.versions[0].model}/{version}'
        sent = counters['bytes_by_version'].get(name, 0)
        return round(sent / self.versions[0].size_bytes, 3)

    def _origin_share(self, cluster: Cluster) -> float:
        return self._origin_copies(cluster, self.versions[0].version)

    def _link_figures(self, cluster: Cluster) -> dict[str, Any]:
        links = _get_link_counters(cluster)
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
            'up_copies_max': _round_up_copies(
                max(map(up.get, hosts)), size_bytes
            ),
            'down_copies_max': _round_up_copies(
                max(map(down.get, hosts)), size_bytes
            ),
            'host_copies_max': _round_up_copies(max(both), size_bytes),
            'shared_in_copies_max': _round_up_copies(
                max(inward.values()), size_bytes
            ),
            **shared,
        }

    def _carried(self, links: Any, kind: str, direction: str) -> dict[str, int]:
        before = self._initial_links[kind]
        return {
            name: counters[direction] - before[name][direction]
            for name, counters in links[kind].items()
        }

    def _meets_limits(self, found: dict[str, Any]) -> bool:
        ratio = (
            _RATIO_MAX_SMALL
            if found['hosts'] <= _SMALL_HOSTS_MAX
            else _RATIO_MAX_LARGE
        )
        origin = _ORIGIN_COPIES_MAX.get(self.origin_copies, self.origin_copies)
        return (
            found['ratio'] <= ratio
            and found['origin_sent_copies'] <= origin
            and found['host_copies_max'] <= _HOST_COPIES_MAX
            and found['shared_in_copies_max'] <= _SHARED_COPIES_MAX
        )


def naive_figures(cluster: Cluster, weights: Weights) -> dict[str, Any]:
    """Let every host fetch all chunks from the origin; return the figures."""
    replicas = cluster.topology.replicas
    started_s = time.time()
    greenlets = [
        gevent.spawn(_fetch_all, cluster.topology.origin_relay(host), weights)
        for host in replicas
    ]
    gevent.joinall(greenlets, timeout=_NAIVE_TIMEOUT_S)
    finished = all(greenlet.successful() for greenlet in greenlets)
    gevent.killall(greenlets)
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
            raise RuntimeError(
                f'chunk {index}: the origin responded with {response.status}',
            )
        response.read()
    connection.close()


def _get_link_counters(cluster: Cluster) -> Any:
    url = cluster.topology.platform_url(plans.LINKS_PORT)
    return send_json('GET', f'{url}/counters')


def _round_up_copies(carried_bytes: float, size_bytes: int) -> float:
    return math.ceil(carried_bytes / size_bytes * _MS_PER_S) / _MS_PER_S
