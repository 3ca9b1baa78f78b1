"""Processor time and memory by size of load, for docs/CAPACITY.md.

    script/bench capacity [--net 127.80]

Each line is one measurement of a real process. The cost of one more unit is the
difference between two lines of one kind divided by the difference of their
sizes. Processor time and resident memory are read from the operating system,
not from the code under test.
"""

from script import patched  # noqa: F401, I001 (must come first)

import functools
import json
from collections.abc import Callable, Iterator
from typing import Annotated, Final

import gevent
import psutil
import typer
from gevent.pool import Pool

from apricotpin.helpers.hashing import digest_hex
from script import caller_requests
from script import topology as plans
from script.cluster import STANDINS, Cluster, send_json
from script.figures import line_of
from script.load import send_and_check
from script.processes import ROOT, responds_ok, wait_until
from script.standins.contents import Weights, encode_manifest, manifest_of

_KNOWN_HOSTS: Final = (10, 300, 900, 2190)
_REQUESTS: Final = (200, 400, 800)
_IN_FLIGHT: Final = (0, 50, 100, 200)
_RECORDS: Final = (50, 100, 200)
_CHUNK_COUNTS: Final = (64, 128, 256)
_CHUNK_BYTES: Final = 65536
_IDLE_S: Final = 10.0
_SETTLE_S: Final = 3.0
_WAIT_TIMEOUT_S: Final = 60.0
_TOKENS: Final = 16
_MODEL: Final = 'canoe-advice'
_ENTRY: Final = 'entry-1'
_CONCURRENCY: Final = 20


class Usage:
    """Hold processor time in seconds and resident memory in bytes."""

    __slots__ = ('cpu_s', 'rss_bytes')

    def __init__(self, cpu_s: float, rss_bytes: int) -> None:
        self.cpu_s = cpu_s
        self.rss_bytes = rss_bytes

    @classmethod
    def of_host(cls, cluster: Cluster, host_id: str) -> 'Usage':
        """Return the usage of the process of a host."""
        process = psutil.Process(cluster.process(host_id).pid)
        times = process.cpu_times()
        return cls(times.user + times.system, process.memory_info().rss)


def main(
    net: Annotated[
        str,
        typer.Option(help='First two numbers of all IP addresses.'),
    ] = '127.80',
) -> None:
    """Print one line for each measurement."""
    for measure in (known_hosts, requests, in_flight, records, chunks):
        for figures in measure(net):
            typer.echo(line_of({'bench': measure.__name__, **figures}))


def known_hosts(net: str) -> Iterator[dict[str, object]]:
    """Yield the usage of an idle entry host by number of known hosts."""
    for count in _KNOWN_HOSTS:
        topology = _listed_topology(net, count)
        with Cluster(topology, []) as cluster:
            _start(cluster, topology.entries)
            before = Usage.of_host(cluster, _ENTRY)
            gevent.sleep(_IDLE_S)
            after = Usage.of_host(cluster, _ENTRY)
        used_s = after.cpu_s - before.cpu_s
        yield {
            'known_hosts': count,
            'rss_bytes': after.rss_bytes,
            'core_share': round(used_s / _IDLE_S, 4),
        }


def requests(net: str) -> Iterator[dict[str, object]]:
    """Yield processor time of an entry host by kind and count of requests."""
    factories = {
        'idempotent': caller_requests.read_factory('harbour', '/berths'),
        'not_idempotent': caller_requests.order_factory('orders', '/timber'),
        'streamed': caller_requests.generation_factory(
            _MODEL, _TOKENS, streamed=True
        ),
    }
    with _small_cluster(net) as cluster:
        entry = _frontend(cluster)
        for kind, make_request in factories.items():
            for count in _REQUESTS:
                used = _usage_of(
                    cluster,
                    functools.partial(
                        _send_requests, make_request, entry, count
                    ),
                )
                yield {
                    'kind': kind,
                    'requests': count,
                    'cpu_us_per_request': round(used.cpu_s / count * 1e6),
                }


def in_flight(net: str) -> Iterator[dict[str, object]]:
    """Yield memory of an entry host by number of concurrent streams."""
    make_request = caller_requests.generation_factory(
        _MODEL, 200, streamed=True
    )
    for count in _IN_FLIGHT:
        with _small_cluster(net) as cluster:
            entry = _frontend(cluster)
            callers = [
                gevent.spawn(
                    send_and_check, make_request(f'caller-{number}'), entry
                )
                for number in range(count)
            ]
            gevent.sleep(_SETTLE_S)
            usage = Usage.of_host(cluster, _ENTRY)
            gevent.killall(callers)
        yield {'in_flight': count, 'rss_bytes': usage.rss_bytes}


def records(net: str) -> Iterator[dict[str, object]]:
    """Yield processor time of an entry host by number of config records."""
    with _small_cluster(net) as cluster:
        for count in _RECORDS:
            used = _usage_of(
                cluster,
                functools.partial(_append_records, cluster, count),
            )
            yield {
                'records': count,
                'cpu_us_per_record': round(used.cpu_s / count * 1e6),
            }


def chunks(net: str) -> Iterator[dict[str, object]]:
    """Yield processor time and memory of an agent by number of chunks."""
    for count in _CHUNK_COUNTS:
        old, new = [
            Weights('model', version, count * _CHUNK_BYTES, _CHUNK_BYTES)
            for version in ('v1', 'v2')
        ]
        topology = plans.bench_topology(4, 1, net)
        topology.rates.host_bytes_per_s = 16_000_000
        topology.rates.origin_bytes_per_s = 16_000_000
        with Cluster(topology, [old, new]) as cluster:
            cluster.start_platform(serving=old)
            _publish_model(cluster, new)
            agent = topology.agents[0].host_id
            cluster.start_hosts()
            before = _usage_after_start(cluster, agent)
            wait_until(
                functools.partial(_all_serve, cluster, new.version),
                _WAIT_TIMEOUT_S,
                'every engine serves the version',
            )
            gevent.sleep(_SETTLE_S)
            after = Usage.of_host(cluster, agent)
        yield {
            'chunks': count,
            'chunk_bytes': _CHUNK_BYTES,
            'cpu_s': round(after.cpu_s - before.cpu_s, 3),
            'rss_bytes': after.rss_bytes,
        }


def _listed_topology(net: str, count: int) -> plans.Topology:
    """Return one entry host and many agents, which are only listed."""
    entry = plans.Host(_ENTRY, f'{net}.1.1', 'genkai', 'genkai')
    agents = [
        plans.Host(
            f'{_MODEL}-{index}',
            f'{net}.{2 + index // 200}.{index % 200 + 1}',
            'genkai',
            'genkai',
            _MODEL,
            _MODEL,
        )
        for index in range(count - 1)
    ]
    hosts = [entry, *agents]
    return plans.Topology('karatsu', net, hosts, plans.LinkRates())


def _start(cluster: Cluster, hosts: list[plans.Host]) -> None:
    """Start the log, the host list and the given hosts, no upstreams."""
    platform = cluster.topology.platform_address
    for kind, port in (
        ('log', plans.LOG_PORT),
        ('host-list', plans.HOST_LIST_PORT),
    ):
        options = [f'--listen={platform(port)}']
        if kind == 'host-list':
            path = cluster.directory / 'hosts.json'
            path.write_text(json.dumps(plans.host_list_of(cluster.topology)))
            options.append(f'--hosts={path}')
        cluster.group.start(kind, [STANDINS, kind, *options])
    list_url = cluster.topology.platform_url(plans.HOST_LIST_PORT)
    wait_until(
        lambda: responds_ok(f'{list_url}/faults'),
        _WAIT_TIMEOUT_S,
        'the stand-ins respond',
    )
    cluster.append_config(_example_record())
    cluster.start_hosts(hosts)
    admin = hosts[0].address(plans.ADMIN_PORT)
    wait_until(
        lambda: responds_ok(f'http://{admin}/healthz'),
        _WAIT_TIMEOUT_S,
        'the entry host is ready',
    )
    gevent.sleep(_SETTLE_S)


def _small_cluster(net: str) -> '_SmallCluster':
    return _SmallCluster(plans.site_topology('karatsu', net, entries=1))


class _SmallCluster:
    """Start a cluster of one site with one entry host and stop it on exit."""

    __slots__ = ('_cluster',)

    def __init__(self, topology: plans.Topology) -> None:
        old = Weights(_MODEL, 'v1', 8 * _CHUNK_BYTES, _CHUNK_BYTES)
        self._cluster = Cluster(topology, [old])

    def __enter__(self) -> Cluster:
        cluster = self._cluster.__enter__()
        cluster.start_platform(serving=cluster.versions[0])
        cluster.append_config(_example_record(cluster.versions[0]))
        cluster.start_hosts()
        cluster.wait_ready()
        gevent.sleep(_SETTLE_S)
        return cluster

    def __exit__(self, *error: object) -> None:
        self._cluster.__exit__(*error)


def _example_record(serving: Weights | None = None) -> dict[str, object]:
    overlay = json.loads((ROOT / 'docs/examples/karatsu.json').read_text())
    if serving is not None:
        digest = _manifest_digest(serving)
        overlay['models'][_MODEL]['manifest_digest'] = digest
    return {
        'kind': 'publish',
        'based_on': -1,
        'base': json.loads((ROOT / 'docs/examples/base.json').read_text()),
        'overlays': {'karatsu': overlay},
        'author': 'bench',
    }


def _publish_model(cluster: Cluster, new: Weights) -> None:
    model = {'version': new.version, 'manifest_digest': _manifest_digest(new)}
    base = {
        'fleet': 'bench',
        'services': {'model': {'kind': 'model', 'model': 'model'}},
        'models': {'model': model},
    }
    cluster.append_config(
        {
            'kind': 'publish',
            'based_on': -1,
            'base': base,
            'overlays': {'bench': {}},
            'author': 'bench',
        }
    )


def _manifest_digest(weights: Weights) -> str:
    return digest_hex(encode_manifest(manifest_of(weights)))


def _append_records(cluster: Cluster, count: int) -> None:
    record = _example_record()
    for _ in range(count):
        # All records have the same based_on, so they conflict with the first
        # one; entry hosts fold them like records that are accepted.
        cluster.append_config(record)
    gevent.sleep(_SETTLE_S)


def _frontend(cluster: Cluster) -> str:
    return cluster.topology.entries[0].address(plans.FRONTEND_PORT)


def _send_requests(
    make_request: caller_requests.RequestFactory, entry: str, count: int
) -> None:
    pool = Pool(_CONCURRENCY)
    for number in range(count):
        pool.spawn(send_and_check, make_request(f'caller-{number}'), entry)
    pool.join()


def _usage_of(cluster: Cluster, work: Callable[[], None]) -> Usage:
    before = Usage.of_host(cluster, _ENTRY)
    work()
    after = Usage.of_host(cluster, _ENTRY)
    return Usage(after.cpu_s - before.cpu_s, after.rss_bytes)


def _usage_after_start(cluster: Cluster, agent: str) -> Usage:
    admin = next(
        host for host in cluster.topology.agents if host.host_id == agent
    ).address(plans.ADMIN_PORT)

    def responds() -> bool:
        try:
            send_json('GET', f'http://{admin}/status')
        except (RuntimeError, ValueError):
            return False
        return True

    wait_until(responds, _WAIT_TIMEOUT_S, f'{agent} responds')
    return Usage.of_host(cluster, agent)


def _all_serve(cluster: Cluster, version: str) -> bool:
    return all(
        status and status['version'] == version
        for status in cluster.engine_statuses()
    )


if __name__ == '__main__':
    typer.run(main)
