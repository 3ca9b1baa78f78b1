"""Bench of the distribution of weights over paced links.

    script/bench weights --hosts 9 --regions 1 --origin-copies 1
    script/bench weights --hosts 27 --fault kill-tenth

One key=value line for each run. All figures come from the stand-ins: times
from the log and the engines, bytes from the origin and the links.
"""

from script import patched  # noqa: F401, I001 (must come first)

import sys
from typing import Annotated, Final

import typer

from script import topology as plans
from script.bench_faults import FAULTS, Fault
from script.bench_rollout import Rollout, naive_figures
from script.cluster import Cluster
from script.figures import line_of
from script.standins.contents import Weights

_MODEL: Final = 'model'
_SIZE_BYTES: Final = 4194304
_CHUNK_BYTES: Final = 32768
# The naive version moves a smaller model, or 81 hosts would take minutes; its
# ratio to its own limit is what is compared.
_NAIVE_DIVISOR: Final = 8
_SHARED_SHARE: Final = 0.5
_ORIGIN_FACTOR: Final = 4

Hosts = Annotated[str, typer.Option(help='Numbers of hosts, as 9,27,81.')]
Regions = Annotated[str, typer.Option(help='Numbers of regions, as 1,3.')]
Copies = Annotated[str, typer.Option(help='Settings of origin_copies.')]
FaultName = Annotated[str, typer.Option(help='none, all or one of the faults.')]
Rate = Annotated[float, typer.Option(help='Rate of a host link in bytes/s.')]
Net = Annotated[str, typer.Option(help='First two numbers of all IPs.')]


def main(
    hosts: Hosts = '9',
    regions: Regions = '1',
    origin_copies: Copies = '1',
    fault: FaultName = 'none',
    rate: Rate = 250000,
    net: Net = '127.30',
) -> None:
    """Measure rollouts for every combination of the options."""
    faults = list(FAULTS) if fault == 'all' else [fault]
    met = True
    for count in _numbers(hosts):
        for region_count in _numbers(regions):
            for copies in _numbers(origin_copies):
                for name in faults:
                    topology = plan_topology(count, region_count, rate, net)
                    versions = plan_versions()
                    rollout = Rollout(topology, versions, copies)
                    figures = measure(rollout, FAULTS[name])
                    typer.echo(line_of({'fault': name, **figures}))
                    met = met and figures['met']
    sys.exit(0 if met else 1)


def plan_topology(
    hosts: int,
    regions: int,
    host_bytes_per_s: float,
    net: str,
) -> plans.Topology:
    """Plan hosts whose shared links, if any, are slower than their own."""
    topology = plans.bench_topology(hosts, regions, net, model=_MODEL)
    topology.rates.host_bytes_per_s = host_bytes_per_s
    topology.rates.origin_bytes_per_s = host_bytes_per_s * _ORIGIN_FACTOR
    topology.rates.shared_bytes_per_s = host_bytes_per_s * _SHARED_SHARE
    return topology


def plan_versions() -> list[Weights]:
    """Return the version to roll out, a newer one and one to fetch naively."""
    naive_bytes = _SIZE_BYTES // _NAIVE_DIVISOR
    return [
        Weights(_MODEL, 'v1', _SIZE_BYTES, _CHUNK_BYTES),
        Weights(_MODEL, 'v2', _SIZE_BYTES, _CHUNK_BYTES),
        Weights(_MODEL, 'naive', naive_bytes, _CHUNK_BYTES),
    ]


def measure(
    rollout: Rollout,
    fault: Fault,
) -> dict[str, object]:
    """Run one rollout in a fresh cluster and return its figures."""
    with Cluster(rollout.topology, rollout.versions) as cluster:
        rollout.start(cluster)
        rollout.run(cluster, fault)
        figures = rollout.figures(cluster, fault)
        if fault.origin_share == 0:
            figures.update(naive_figures(cluster, rollout.versions[-1]))
        return figures


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(',')]


if __name__ == '__main__':
    typer.run(main)
