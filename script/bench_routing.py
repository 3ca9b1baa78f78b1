"""Benchmark of upstream selection against round robin and random selection.

    script/bench routing --requests 20000 --load 0.8

Upstreams are simulated by a discrete event queue, so that a run with the same
seed gives the same figures. Request durations vary, one host of three is
slower, and load reports are delayed. One key=value line is printed for each
selection rule. Times include only requests that ran, so a rule with many
refusals looks faster than it is.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Annotated, Final

import typer

from apricotpin.components.router import decisions
from apricotpin.const import HOST_LIVE
from apricotpin.messages.hosts import Host

_SERVICE: Final = 'drafting'
_DATA_CENTRE: Final = 'near'
# Durations of requests; one request of ten is long.
_SHORT_S: Final = 0.2
_LONG_S: Final = 4.0
_LONG_RATIO: Final = 0.1
# Time from the start of a request to its first token.
_FIRST_TOKEN_S: Final = 0.1
_SLOW_EVERY: Final = 3
_SLOW_FACTOR: Final = 2.0
_P50: Final = 0.5
_P95: Final = 0.95
_MS_PER_S: Final = 1000

Select = Callable[[Sequence[Host], Counter[str], int], Host]


class LoadOptions:
    """Describe the load of a run."""

    __slots__ = (
        'lag_s',
        'queue_max',
        'requests',
        'seed',
        'share',
        'slot_count',
    )

    def __init__(
        self,
        requests: int,
        share: float,
        slot_count: int,
        queue_max: int,
        lag_s: float,
        seed: int,
    ) -> None:
        self.requests = requests
        self.share = share
        self.slot_count = slot_count
        self.queue_max = queue_max
        self.lag_s = lag_s
        self.seed = seed


class Upstream:
    """Track the running and the queued requests of one upstream."""

    __slots__ = ('host', 'queued', 'running', 'slowdown')

    def __init__(self, host: Host, slowdown: float) -> None:
        self.host = host
        self.slowdown = slowdown
        self.running = 0
        self.queued: deque[tuple[float, float]] = deque()


class Run:
    """Simulate one selection rule and collect its figures."""

    __slots__ = (
        'events',
        'first_tokens_s',
        'in_flight',
        'load',
        'refused',
        'select',
        'upstreams',
    )

    def __init__(self, load: LoadOptions, hosts: int, select: Select) -> None:
        self.load = load
        self.select = select
        self.upstreams = {
            f'host-{number}': Upstream(_host(number), _slowdown(number))
            for number in range(hosts)
        }
        self.in_flight: Counter[str] = Counter()
        self.first_tokens_s: list[float] = []
        self.refused = 0
        self.events = _arrivals(load, self.upstreams)

    def simulate(self) -> None:
        """Handle all events in order of time."""
        hosts = [upstream.host for upstream in self.upstreams.values()]
        turn = 0
        while self.events:
            now_s, _, host_id, duration_s = heapq.heappop(self.events)
            if host_id == _REPORT:
                self._report(now_s)
            elif host_id:
                self._finish(self.upstreams[host_id], now_s)
            else:
                selected = self.select(hosts, self.in_flight, turn)
                turn += 1
                self._enqueue(
                    self.upstreams[selected.host_id], now_s, duration_s
                )

    def _enqueue(
        self, upstream: Upstream, now_s: float, duration_s: float
    ) -> None:
        if len(upstream.queued) >= self.load.queue_max:
            self.refused += 1
            return
        self.in_flight[upstream.host.host_id] += 1
        upstream.queued.append((now_s, duration_s))
        self._start(upstream, now_s)

    def _start(self, upstream: Upstream, now_s: float) -> None:
        if upstream.running >= self.load.slot_count or not upstream.queued:
            return
        arrived_s, duration_s = upstream.queued.popleft()
        upstream.running += 1
        first_s = _FIRST_TOKEN_S * upstream.slowdown
        self.first_tokens_s.append(now_s - arrived_s + first_s)
        end_s = now_s + duration_s * upstream.slowdown
        heapq.heappush(self.events, _event(end_s, upstream.host.host_id))

    def _finish(self, upstream: Upstream, now_s: float) -> None:
        upstream.running -= 1
        self.in_flight[upstream.host.host_id] -= 1
        self._start(upstream, now_s)

    def _report(self, now_s: float) -> None:
        for upstream in self.upstreams.values():
            upstream.host.in_flight = upstream.running + len(upstream.queued)
        if self.events:
            next_s = now_s + self.load.lag_s
            heapq.heappush(self.events, _event(next_s, _REPORT))


_REPORT: Final = 'report'


def main(
    requests: Annotated[
        int, typer.Option(help='Number of requests in a run.')
    ] = 20000,
    hosts: Annotated[int, typer.Option(help='Number of upstreams.')] = 6,
    load: Annotated[
        float, typer.Option(help='Load as a share of all slots.')
    ] = 0.8,
    lag_s: Annotated[
        float, typer.Option(help='Period of load reports in s.')
    ] = 1.0,
    seed: Annotated[
        int, typer.Option(help='Seed of the random generators.')
    ] = 1,
) -> None:
    """Print one line for each selection rule."""
    options = LoadOptions(requests, load, 8, 16, lag_s, seed)
    for name, select in _rules(seed).items():
        run = Run(options, hosts, select)
        run.simulate()
        typer.echo(_line_of(name, run))


def _rules(seed: int) -> dict[str, Select]:
    generator = random.Random(seed)  # noqa: S311
    requirements = decisions.Requirements(_SERVICE, _DATA_CENTRE)

    def two_choices(
        hosts: Sequence[Host],
        in_flight: Counter[str],
        _turn: int,
    ) -> Host:
        local_state = decisions.LocalState(in_flight, {})
        randrange = generator.randrange
        return decisions.select_upstream(
            hosts, requirements, local_state, 0, randrange
        )

    return {
        'two_choices': two_choices,
        'round_robin': lambda hosts, _in_flight, turn: hosts[turn % len(hosts)],
        'random': lambda hosts, _in_flight, _turn: generator.choice(hosts),
        # With reports alone, all requests go to one host until the next report.
        'report_only': lambda hosts, _in_flight, _turn: min(
            hosts, key=_reported
        ),
    }


def _reported(host: Host) -> int:
    return host.in_flight


def _host(number: int) -> Host:
    return Host(
        f'host-{number}',
        data_centre=_DATA_CENTRE,
        upstream_address='127.0.0.1:1',
        service_name=_SERVICE,
        state=HOST_LIVE,
    )


def _slowdown(number: int) -> float:
    return _SLOW_FACTOR if number % _SLOW_EVERY == 0 else 1


def _arrivals(
    load: LoadOptions,
    upstreams: dict[str, Upstream],
) -> list[tuple[float, int, str, float]]:
    generator = random.Random(load.seed)  # noqa: S311
    mean_s = _LONG_RATIO * _LONG_S + (1 - _LONG_RATIO) * _SHORT_S
    speed = sum(1 / upstream.slowdown for upstream in upstreams.values())
    rate_per_s = load.share * load.slot_count * speed / mean_s
    now_s = float()
    events = [_event(load.lag_s, _REPORT)]
    for number in range(load.requests):
        now_s += generator.expovariate(rate_per_s)
        is_long = generator.random() < _LONG_RATIO
        duration_s = _LONG_S if is_long else _SHORT_S
        events.append((now_s, number, '', duration_s))
    heapq.heapify(events)
    return events


def _event(at_s: float, host_id: str) -> tuple[float, int, str, float]:
    return (at_s, -1, host_id, 0)


def _line_of(name: str, run: Run) -> str:
    ordered = sorted(run.first_tokens_s)
    p50_ms = ordered[int(len(ordered) * _P50)] * _MS_PER_S
    p95_ms = ordered[int(len(ordered) * _P95)] * _MS_PER_S
    refused = run.refused / run.load.requests
    return (
        f'rule={name} load={run.load.share} requests={run.load.requests} '
        f'lag_s={run.load.lag_s} seed={run.load.seed} '
        f'first_token_p50_ms={p50_ms:.0f} first_token_p95_ms={p95_ms:.0f} '
        f'refused_share={refused:.4f}'
    )


if __name__ == '__main__':
    typer.run(main)
