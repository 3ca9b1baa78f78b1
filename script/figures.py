"""Figures of a rollout under load, from stand-ins and callers only."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

from script import calls
from script.load import LoadReport
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
    """Collect what engines, links and the origin show of one rollout.

    The versions are the old and the new one, in this order.
    """

    __slots__ = (
        '_digests',
        '_links_before',
        '_new',
        '_seen_s',
        '_topology',
        'mixed',
        'started_ms',
    )

    def __init__(self, topology: Topology, versions: Sequence[Weights]) -> None:
        self._topology = topology
        self._new = versions[-1]
        self._digests = {
            weights.version: manifest_of(weights)['digest']
            for weights in versions
        }
        self._links_before: Any = {}
        self._seen_s: dict[str, float] = {}
        self.started_ms = 0
        # Hosts that served anything but a whole version.
        self.mixed: set[str] = set()

    def note_links(self, counters: Any) -> None:
        """Keep the links' counters from before the rollout."""
        self._links_before = counters

    def note_engines(self, statuses: Sequence[Any], now_s: float) -> None:
        """Note what every engine serves at a time."""
        hosts = self._topology.replicas
        for host, status in zip(hosts, statuses, strict=True):
            if self._digests.get(status['version']) != status['digest']:
                self.mixed.add(host.host_id)
            if status['version'] == self._new.version:
                self._seen_s.setdefault(host.host_id, now_s)

    def complete(self) -> bool:
        """Tell whether every engine serves the new version."""
        return len(self._seen_s) == len(self._topology.replicas)

    def progress(self, origin: Any, report: LoadReport) -> str:
        """Return a line for people who watch."""
        verdicts = report.verdicts
        return line_of(
            {
                'replicas': f'{len(self._seen_s)}/{self._replicas}',
                'origin_copies': self._copies_of_origin(origin),
                'requests': sum(verdicts.values()),
                'right': verdicts[calls.RIGHT],
                'refused': verdicts[calls.REFUSED],
                'wrong': verdicts[calls.WRONG],
                'lost': verdicts[calls.LOST],
            }
        )

    def summary(self, origin: Any, links: Any) -> dict[str, Any]:
        """Return the figures of the rollout; links include all traffic."""
        last_s = max(self._seen_s.values(), default=0)
        took_s = last_s - self.started_ms / _MS_PER_S if self.complete() else 0
        rate = self._topology.rates.host_bytes_per_s
        limit_s = pipeline_limit_s(self._new, self._replicas, rate)
        return {
            'replicas': len(self._seen_s),
            'time_to_replicas_s': round(took_s, 2),
            'pipeline_limit_s': round(limit_s, 2),
            'origin_copies': self._copies_of_origin(origin),
            'link_copies_max': self._copies_of_links(links, 'regions'),
            'host_copies_max': self._copies_of_hosts(links),
        }

    @property
    def _replicas(self) -> int:
        return len(self._topology.replicas)

    def _copies_of_origin(self, origin: Any) -> float:
        name = f'{self._new.model}/{self._new.version}'
        sent = origin['bytes_by_version'].get(name, 0)
        return round(sent / self._new.size_bytes, 3)

    def _copies_of_links(self, links: Any, kind: str) -> float:
        carried = [
            after - self._links_before[kind][name][direction]
            for name, counters in links[kind].items()
            for direction, after in counters.items()
        ]
        return round(max(carried) / self._new.size_bytes, 3)

    def _copies_of_hosts(self, links: Any) -> float:
        before = self._links_before['hosts']
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
    """Return the least time in s in which a pipeline reaches N replicas."""
    chunks = weights.chunk_count
    rounds = chunks + math.ceil(math.log2(replicas)) - 1
    return rounds / chunks * weights.size_bytes / bytes_per_s


def summary_of_load(
    report: LoadReport,
    executions: Sequence[Any],
) -> dict[str, Any]:
    """Return the figures of the load, checked against the services' counts."""
    runs: Counter[str] = Counter()
    for counts in executions:
        runs.update(counts['executions'])
    return {
        'requests': sum(report.verdicts.values()),
        'answers_right': report.verdicts[calls.RIGHT],
        'answers_refused': report.verdicts[calls.REFUSED],
        'not_run_but_run': sum(
            bool(runs[key]) for key, told in report.keys.items() if told == 'no'
        ),
        'answers_wrong': report.verdicts[calls.WRONG],
        'answers_lost': report.verdicts[calls.LOST],
        'not_idempotent_run_twice': sum(count > 1 for count in runs.values()),
    }


def describe_load(report: LoadReport) -> str:
    """Return a line with refusals by kind and latencies."""
    refused = sorted(report.refused.items())
    return line_of(
        {
            **{f'refused_{kind}': count for kind, count in refused},
            **report.by_kind,
            'first_token_p95_ms': round(report.first_p95_ms, 1),
            'between_tokens_p95_ms': round(report.gap_p95_ms, 1),
        }
    )


def line_of(pairs: dict[str, Any]) -> str:
    """Return key=value pairs on one line."""
    return ' '.join(f'{name}={shown}' for name, shown in pairs.items())
