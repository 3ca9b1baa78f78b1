"""Bench of the choice of an upstream against round robin and random choice.

    script/bench routing --requests 20000 --load 0.8

Upstreams are in-process fakes over a deterministic event queue: time is
simulated, and a run with the same seed gives the same figures. Requests have
uneven sizes, one host of three is slower, and load reports lag. One key=value
line is printed for each rule. Times are those of requests that ran, so a rule
that refuses many looks faster than it is.
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
_PLACE: Final = 'near'
# One request of ten is a long one.
_SHORT_S: Final = 0.2
_LONG_S: Final = 4.0
_LONG_SHARE: Final = 0.1
# Time from the start of a request to its first token.
_FIRST_TOKEN_S: Final = 0.1
_SLOW_EVERY: Final = 3
_SLOW_FACTOR: Final = 2.0
_MEDIAN: Final = 0.5
_TAIL: Final = 0.95
_MS_PER_S: Final = 1000

Choose = Callable[[Sequence[Host], Counter[str], int], Host]


class Load:
    """Describe the load of a run; times are in seconds."""

    __slots__ = ('lag_s', 'places', 'queue_max', 'requests', 'seed', 'share')

    def __init__(
        self,
        requests: int,
        share: float,
        places: int,
        queue_max: int,
        lag_s: float,
        seed: int,
    ) -> None:
        self.requests = requests
        self.share = share
        self.places = places
        self.queue_max = queue_max
        self.lag_s = lag_s
        self.seed = seed


class Worker:
    """Own the requests that run and wait on one upstream."""

    __slots__ = ('factor', 'host', 'running', 'waiting')

    def __init__(self, host: Host, factor: float) -> None:
        self.host = host
        self.factor = factor
        self.running = 0
        self.waiting: deque[tuple[float, float]] = deque()


class Run:
    """Own the event queue and the figures of one rule."""

    __slots__ = (
        'choose',
        'events',
        'first_tokens_s',
        'in_flight',
        'load',
        'refused',
        'workers',
    )

    def __init__(self, load: Load, hosts: int, choose: Choose) -> None:
        self.load = load
        self.choose = choose
        self.workers = {
            f'host-{number}': Worker(_host(number), _factor(number))
            for number in range(hosts)
        }
        self.in_flight: Counter[str] = Counter()
        self.first_tokens_s: list[float] = []
        self.refused = 0
        self.events = _arrivals(load, self.workers)

    def simulate(self) -> None:
        """Handle all events in the order of their times."""
        hosts = [worker.host for worker in self.workers.values()]
        turn = 0
        while self.events:
            now_s, _, host_id, length_s = heapq.heappop(self.events)
            if host_id == _REPORT:
                self._report(now_s)
            elif host_id:
                self._finish(self.workers[host_id], now_s)
            else:
                chosen = self.choose(hosts, self.in_flight, turn)
                turn += 1
                self._arrive(self.workers[chosen.host_id], now_s, length_s)

    def _arrive(self, worker: Worker, now_s: float, length_s: float) -> None:
        if len(worker.waiting) >= self.load.queue_max:
            self.refused += 1
            return
        self.in_flight[worker.host.host_id] += 1
        worker.waiting.append((now_s, length_s))
        self._start(worker, now_s)

    def _start(self, worker: Worker, now_s: float) -> None:
        if worker.running >= self.load.places or not worker.waiting:
            return
        arrived_s, length_s = worker.waiting.popleft()
        worker.running += 1
        first_s = _FIRST_TOKEN_S * worker.factor
        self.first_tokens_s.append(now_s - arrived_s + first_s)
        end_s = now_s + length_s * worker.factor
        heapq.heappush(self.events, _event(end_s, worker.host.host_id))

    def _finish(self, worker: Worker, now_s: float) -> None:
        worker.running -= 1
        self.in_flight[worker.host.host_id] -= 1
        self._start(worker, now_s)

    def _report(self, now_s: float) -> None:
        for worker in self.workers.values():
            worker.host.in_flight = worker.running + len(worker.waiting)
        if self.events:
            next_s = now_s + self.load.lag_s
            heapq.heappush(self.events, _event(next_s, _REPORT))


_REPORT: Final = 'report'


def main(
    requests: Annotated[int, typer.Option(help='Requests of a run.')] = 20000,
    hosts: Annotated[int, typer.Option(help='Upstreams.')] = 6,
    load: Annotated[float, typer.Option(help='Share of all places.')] = 0.8,
    lag_s: Annotated[float, typer.Option(help='Age of load reports.')] = 1.0,
    seed: Annotated[int, typer.Option(help='Seed of all randomness.')] = 1,
) -> None:
    """Print one line for each rule of choice."""
    described = Load(requests, load, 8, 16, lag_s, seed)
    for name, choose in _rules(seed).items():
        run = Run(described, hosts, choose)
        run.simulate()
        typer.echo(_line_of(name, run))


def _rules(seed: int) -> dict[str, Choose]:
    generator = random.Random(seed)  # noqa: S311
    wanted = decisions.Requirements(_SERVICE, _PLACE)

    def two_choices(
        hosts: Sequence[Host],
        in_flight: Counter[str],
        _turn: int,
    ) -> Host:
        known = decisions.LocalState(in_flight, {})
        draw = generator.randrange
        return decisions.select_upstream(hosts, wanted, known, 0, draw)

    return {
        'two_choices': two_choices,
        'round_robin': lambda hosts, _own, turn: hosts[turn % len(hosts)],
        'random': lambda hosts, _own, _turn: generator.choice(hosts),
        # The report alone sends everything to one host until the next report.
        'report_only': lambda hosts, _own, _turn: min(hosts, key=_reported),
    }


def _reported(host: Host) -> int:
    return host.in_flight


def _host(number: int) -> Host:
    return Host(
        f'host-{number}',
        data_centre=_PLACE,
        upstream_address='127.0.0.1:1',
        service_name=_SERVICE,
        state=HOST_LIVE,
    )


def _factor(number: int) -> float:
    return _SLOW_FACTOR if number % _SLOW_EVERY == 0 else 1


def _arrivals(
    load: Load,
    workers: dict[str, Worker],
) -> list[tuple[float, int, str, float]]:
    generator = random.Random(load.seed)  # noqa: S311
    mean_s = _LONG_SHARE * _LONG_S + (1 - _LONG_SHARE) * _SHORT_S
    speed = sum(1 / worker.factor for worker in workers.values())
    rate_per_s = load.share * load.places * speed / mean_s
    now_s = float()
    events = [_event(load.lag_s, _REPORT)]
    for number in range(load.requests):
        now_s += generator.expovariate(rate_per_s)
        long_one = generator.random() < _LONG_SHARE
        length_s = _LONG_S if long_one else _SHORT_S
        events.append((now_s, number, '', length_s))
    heapq.heapify(events)
    return events


def _event(at_s: float, host_id: str) -> tuple[float, int, str, float]:
    return (at_s, -1, host_id, 0)


def _line_of(name: str, run: Run) -> str:
    ordered = sorted(run.first_tokens_s)
    p50_ms = ordered[int(len(ordered) * _MEDIAN)] * _MS_PER_S
    p95_ms = ordered[int(len(ordered) * _TAIL)] * _MS_PER_S
    refused = run.refused / run.load.requests
    return (
        f'rule={name} load={run.load.share} requests={run.load.requests} '
        f'lag_s={run.load.lag_s} seed={run.load.seed} '
        f'first_token_p50_ms={p50_ms:.0f} first_token_p95_ms={p95_ms:.0f} '
        f'refused_share={refused:.4f}'
    )


if __name__ == '__main__':
    typer.run(main)
