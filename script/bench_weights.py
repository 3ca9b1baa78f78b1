"""Benchmark of the distribution of weights over links of limited rate.

    script/bench weights --hosts 9 --regions 1 --origin-copies 1
    script/bench weights --hosts 27 --fault kill-tenth

Prints one key=value line for each run. All figures are measured by the
stand-ins: times by the log and the engines, bytes by the origin and the links.
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
# For comparison, every host also fetches everything from the origin. That run
# uses a smaller model, since 81 hosts would take minutes otherwise; only its
# ratio to its own limit is compared.
_NAIVE_SIZE_DIVISOR: Final = 8
_SHARED_RATE_FACTOR: Final = 0.5
_ORIGIN_RATE_FACTOR: Final = 4

HostCounts = Annotated[
    str,
    typer.Option(help='Numbers of hosts, such as 9,27,81.'),
]
RegionCounts = Annotated[
    str,
    typer.Option(help='Numbers of regions, such as 1,3.'),
]
OriginCopies = Annotated[
    str,
    typer.Option(help='Values of origin_copies, such as 1,4.'),
]
FaultName = Annotated[str, typer.Option(help='none, all or one of the faults.')]
Rate = Annotated[float, typer.Option(help='Rate of a host link in bytes/s.')]
Net = Annotated[
    str,
    typer.Option(help='First two numbers of all IP addresses.'),
]


def main(
    hosts: HostCounts = '9',
    regions: RegionCounts = '1',
    origin_copies: OriginCopies = '1',
    fault: FaultName = 'none',
    rate: Rate = 250000,
    net: Net = '127.30',
) -> None:
    """Measure one rollout for each combination of the options."""
    faults = list(FAULTS) if fault == 'all' else [fault]
    all_met = True
    for count in _parse_numbers(hosts):
        for region_count in _parse_numbers(regions):
            for copies in _parse_numbers(origin_copies):
                for name in faults:
                    topology = make_topology(count, region_count, rate, net)
                    versions = make_versions()
                    rollout = Rollout(topology, versions, copies)
                    figures = measure(rollout, FAULTS[name])
                    typer.echo(line_of({'fault': name, **figures}))
                    all_met = all_met and figures['met']
    sys.exit(0 if all_met else 1)


def make_topology(
    hosts: int,
    regions: int,
    host_bytes_per_s: float,
    net: str,
) -> plans.Topology:
    """Return a topology whose shared links are slower than host links."""
    topology = plans.bench_topology(hosts, regions, net, model=_MODEL)
    topology.rates.host_bytes_per_s = host_bytes_per_s
    topology.rates.origin_bytes_per_s = host_bytes_per_s * _ORIGIN_RATE_FACTOR
    topology.rates.shared_bytes_per_s = host_bytes_per_s * _SHARED_RATE_FACTOR
    return topology


def make_versions() -> list[Weights]:
    """Return the version to roll out, a newer one and the smaller one."""
    naive_bytes = _SIZE_BYTES // _NAIVE_SIZE_DIVISOR
    return [
        Weights(_MODEL, 'v1', _SIZE_BYTES, _CHUNK_BYTES),
        Weights(_MODEL, 'v2', _SIZE_BYTES, _CHUNK_BYTES),
        Weights(_MODEL, 'naive', naive_bytes, _CHUNK_BYTES),
    ]


def measure(
    rollout: Rollout,
    fault: Fault,
) -> dict[str, object]:
    """Run one rollout in a new cluster and return its figures."""
    with Cluster(rollout.topology, rollout.versions) as cluster:
        rollout.start(cluster)
        rollout.run(cluster, fault)
        figures = rollout.figures(cluster, fault)
        if fault.origin_share == 0:
            figures.update(naive_figures(cluster, rollout.versions[-1]))
        return figures


def _parse_numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(',')]


if __name__ == '__main__':
    typer.run(main)
