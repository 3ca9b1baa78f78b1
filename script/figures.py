"""Figures of a rollout under load, measured by stand-ins and callers."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

from script import caller_requests
from script.load import LoadResults
from script.standins.contents import Weights, manifest_of
from script.topology import Topology

MUST_BE_ZERO: Final = (
    'not_run_but_run',
    'answers_wrong',
    'answers_lost',
    'not_idempotent_run_twice',
    'mixed_hosts',
)
_MS_PER_S: Final = 1000


class Rollout:
    """Track one rollout by the counters of engines, links and the origin.

    The versions passed are the old and the new one, in this order.
    """

    __slots__ = (
        '_digests',
        '_initial_links',
        '_new',
        '_topology',
        '_updated_s',
        'mixed_hosts',
        'started_ms',
    )

    def __init__(self, topology: Topology, versions: Sequence[Weights]) -> None:
        self._topology = topology
        self._new = versions[-1]
        self._digests = {
            weights.version: manifest_of(weights)['digest']
            for weights in versions
        }
        self._initial_links: Any = {}
        self._updated_s: dict[str, float] = {}
        self.started_ms = 0
        # Hosts whose engine served a digest that is not that of its version.
        self.mixed_hosts: set[str] = set()

    def record_initial_links(self, counters: Any) -> None:
        """Keep the counters of the links at the start of the rollout."""
        self._initial_links = counters

    def record_engines(self, statuses: Sequence[Any], now_s: float) -> None:
        """Record which version every engine serves at the time now_s."""
        hosts = self._topology.replicas
        for host, status in zip(hosts, statuses, strict=True):
            if self._digests.get(status['version']) != status['digest']:
                self.mixed_hosts.add(host.host_id)
            if status['version'] == self._new.version:
                self._updated_s.setdefault(host.host_id, now_s)

    def is_complete(self) -> bool:
        """Return whether every engine has served the new version."""
        return len(self._updated_s) == len(self._topology.replicas)

    def progress(self, origin: Any, results: LoadResults) -> str:
        """Return the line that is printed while the rollout runs."""
        verdicts = results.verdicts
        return line_of(
            {
                'replicas': f'{len(self._updated_s)}/{self._replica_count}',
                'origin_copies': self._origin_copies(origin),
                'requests': sum(verdicts.values()),
                'right': verdicts[caller_requests.RIGHT],
                'refused': verdicts[caller_requests.REFUSED],
                'wrong': verdicts[caller_requests.WRONG],
                'lost': verdicts[caller_requests.LOST],
            }
        )

    def summary(self, origin: Any, links: Any) -> dict[str, Any]:
        """Return the figures of the rollout.

        Copies carried by links include all other traffic on them.
        """
        last_s = max(self._updated_s.values(), default=0)
        took_s = (
            last_s - self.started_ms / _MS_PER_S if self.is_complete() else 0
        )
        rate = self._topology.rates.host_bytes_per_s
        limit_s = pipeline_limit_s(self._new, self._replica_count, rate)
        return {
            'replicas': len(self._updated_s),
            'time_to_replicas_s': round(took_s, 2),
            'pipeline_limit_s': round(limit_s, 2),
            'origin_copies': self._origin_copies(origin),
            'link_copies_max': self._link_copies_max(links, 'regions'),
            'host_copies_max': self._host_copies_max(links),
        }

    @property
    def _replica_count(self) -> int:
        return len(self._topology.replicas)

    def _origin_copies(self, origin: Any) -> float:
        name = f'{self._new.model}/{self._new.version}'
        sent = origin['bytes_by_version'].get(name, 0)
        return round(sent / self._new.size_bytes, 3)

    def _link_copies_max(self, links: Any, kind: str) -> float:
        carried = [
            after - self._initial_links[kind][name][direction]
            for name, counters in links[kind].items()
            for direction, after in counters.items()
        ]
        return round(max(carried) / self._new.size_bytes, 3)

    def _host_copies_max(self, links: Any) -> float:
        before = self._initial_links['hosts']
        carried = [
            sum(counters.values()) - sum(before[name].values())
            for name, counters in links['hosts'].items()
            if name != 'origin'
        ]
        return round(max(carried) / self._new.size_bytes, 3)


def pipeline_limit_s(
    weights: Weights,
    replicas: int,
    bytes_per_s: float,
) -> float:
    """Return the least time in s in which a pipeline serves all replicas."""
    chunks = weights.chunk_count
    rounds = chunks + math.ceil(math.log2(replicas)) - 1
    return rounds / chunks * weights.size_bytes / bytes_per_s


def summary_of_load(
    results: LoadResults,
    executions: Sequence[Any],
) -> dict[str, Any]:
    """Return the figures of the load, with the executions that services saw."""
    runs: Counter[str] = Counter()
    for counts in executions:
        runs.update(counts['executions'])
    return {
        'requests': sum(results.verdicts.values()),
        'answers_right': results.verdicts[caller_requests.RIGHT],
        'answers_refused': results.verdicts[caller_requests.REFUSED],
        'not_run_but_run': sum(
            bool(runs[key])
            for key, outcome in results.outcome_by_key.items()
            if outcome == 'no'
        ),
        'answers_wrong': results.verdicts[caller_requests.WRONG],
        'answers_lost': results.verdicts[caller_requests.LOST],
        'not_idempotent_run_twice': sum(count > 1 for count in runs.values()),
    }


def describe_load(results: LoadResults) -> str:
    """Return a line with verdicts, refusals by error kind and latencies."""
    refusals = sorted(results.refused_by_kind.items())
    return line_of(
        {
            **{f'refused_{kind}': count for kind, count in refusals},
            **results.by_kind,
            'first_token_p95_ms': round(results.first_token_p95_ms, 1),
            'between_tokens_p95_ms': round(results.token_gap_p95_ms, 1),
        }
    )


def line_of(pairs: dict[str, Any]) -> str:
    """Return key=value pairs on one line."""
    return ' '.join(f'{name}={shown}' for name, shown in pairs.items())
