"""Seeded run of a fleet whose workers pause, end calls late and restart.

All figures come from stand-ins and callers, none from the code under test.
"""

from script import patched  # noqa: F401, I001 (must come first)

import contextlib
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import gevent
import typer

from script.platform_fleet import (
    OPERATOR_LIMITS,
    Fleet,
    is_ready,
    make_route,
    wait_for,
)
from script.soak_callers import Traffic
from script.soak_checks import Stop, figures_of
from script.standins.paced_weights import WARM_S
from script.standins.paced_worker import PacedWorker

_ROUTES: Final = (
    ('read', 'idempotent', 2, False),
    ('order', 'non_idempotent', 1, False),
    ('stream', 'streaming', 2, True),
    ('talk', 'streaming', 1, False),
)
# Longer than the callers' deadline, so that the deadline decides.
_ROUTE_TIMEOUT_MS: Final = 8000
_GRACE_S: Final = OPERATOR_LIMITS['grace_s']
_CALLERS_PER_WORKER: Final = 9
# After two checks without 200 an entry host gets no new connections.
_CHECK_S: Final = 1.0
_CHECKS: Final = 2
# Share of the stops with a second SIGTERM.
_TWICE_SHARE: Final = 0.3
_SETTLE_S: Final = 1.0
_EXIT_FAILED: Final = 1
PROFILES: Final = ('pauses', 'late', 'stops', 'all')


class Soak:
    """Own the fleet of one run and the events that disturb it."""

    __slots__ = (
        'ended',
        'fleet',
        'ips',
        'is_over',
        'starts',
        'stopping',
        'stops',
        'traffic',
        'version',
        'versions',
    )

    def __init__(self, fleet: Any, seed: int) -> None:
        self.fleet = fleet
        self.traffic = Traffic(seed)
        self.ips: dict[str, str] = {}
        self.starts: Counter[str] = Counter()
        self.stopping: set[str] = set()
        self.stops: list[Stop] = []
        # Processes that ended without a signal of this run.
        self.ended: list[str] = []
        self.version = 1
        self.versions = 0
        self.is_over = False

    def start(self, name: str) -> None:
        """Start a process, also one that has ended."""
        kind, _, number = name.partition('-')
        self.ips[name] = self.fleet.start(name, kind, int(number))
        self.starts[name] += 1

    def repeat(
        self, rng: Any, action: Callable[[Any], None], span_s: Any
    ) -> None:
        """Call an action again and again until the run is over."""
        while not self.is_over:
            # Short times are the more frequent ones, so that events overlap.
            shortest_s, longest_s = span_s
            spread_s = (longest_s - shortest_s) * rng.random() ** 3
            gevent.sleep(shortest_s + spread_s)
            if not self.is_over:
                action(rng)

    def check_ready(self, name: str) -> None:
        """Give an entry host new connections while it says it is ready."""
        missed = 0
        while not self.is_over:
            ip = self.ips[name]
            missed = 0 if is_ready(ip) else missed + 1
            if not missed:
                self.traffic.entries.add(ip)
            elif missed >= _CHECKS:
                self.traffic.entries.discard(ip)
            gevent.sleep(_CHECK_S)

    def stop_entries(self, rng: Any) -> None:
        """Stop some of the entry hosts, one shortly after the other."""
        running = self._running('edge')
        count = rng.randint(1, max(1, len(self.ips) // 4))
        for name in rng.sample(running, min(count, len(running))):
            self.stopping.add(name)
            delay_s = rng.choice((0, 0, rng.uniform(0, 2)))
            second_s = rng.uniform(0.1, 2) if rng.random() < _TWICE_SHARE else 0
            back_s = rng.uniform(0, 0.5)
            gevent.spawn_later(delay_s, self._stop, name, second_s, back_s)

    def hang_up(self, rng: Any) -> None:
        """Send SIGHUP to a process that has logged its start.

        Until its handler is set, a SIGHUP ends a process (issue 41).
        """
        names = [
            name
            for name in self._running('')
            if self.fleet.output(name).count('event=started ')
            == self.starts[name]
        ]
        if names:
            name = rng.choice(names)
            self.fleet.processes[name].send_signal(signal.SIGHUP)

    def change_state(self, rng: Any) -> None:
        """Write a desired state that adds or removes a route and a tenant."""
        has_route, has_tenant = rng.choices((False, True), k=2)
        put_state(self.fleet, has_route, has_tenant)

    def declare(self, _rng: Any) -> None:
        """Declare the next version of the weights."""
        self.version += 1
        self.versions += 1
        version = {'model': 'm', 'version': self.version}
        self.fleet.store.put('keyed.op', 'version/m', version)

    def disturb_agent(self, rng: Any) -> None:
        """Kill, stop or freeze an agent for a while."""
        running = self._running('side')
        if not running:
            return
        name = rng.choice(running)
        self.stopping.add(name)
        kind = rng.choice(('kill', 'stop', 'freeze'))
        gevent.spawn(self._disturb, name, kind, rng.uniform(0.2, 3))

    def spoil_piece(self, rng: Any) -> None:
        """Turn a staged piece of a worker bad."""
        _choose_worker(self.fleet, rng).weights.spoil(rng)

    def restart_worker(self, rng: Any) -> None:
        """Restart a worker, which then holds no layers."""
        _choose_worker(self.fleet, rng).restart()

    def watch(self) -> None:
        """Note processes that have ended by themselves and start them again."""
        while not self.is_over:
            gevent.sleep(0.5)
            for name in self._running(''):
                code = self.fleet.processes[name].poll()
                if code is not None:
                    self.ended.append(f'{name}:{code}')
                    self.start(name)

    def _running(self, kind: str) -> list[str]:
        return [
            name
            for name in sorted(self.ips)
            if name.startswith(kind) and name not in self.stopping
        ]

    def _stop(self, name: str, second_s: float, back_s: float) -> None:
        stop = Stop(self.ips[name])
        self.stops.append(stop)
        process = self.fleet.processes[name]
        process.terminate()
        if second_s:
            gevent.sleep(second_s)
            process.terminate()
        while process.poll() is None:
            gevent.sleep(0.02)
            if time.monotonic() > stop.sent_s + _GRACE_S:
                process.kill()
        stop.ended_s = time.monotonic()
        self._start_later(name, back_s)

    def _disturb(self, name: str, kind: str, duration_s: float) -> None:
        process = self.fleet.processes[name]
        if kind == 'freeze':
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(duration_s)
            process.send_signal(signal.SIGCONT)
            self.stopping.discard(name)
            return
        process.send_signal(
            signal.SIGKILL if kind == 'kill' else signal.SIGTERM
        )
        with gevent.Timeout(_GRACE_S, False):
            while process.poll() is None:
                gevent.sleep(0.02)
        process.kill()
        process.wait()
        self._start_later(name, duration_s / 3)

    def _start_later(self, name: str, delay_s: float) -> None:
        gevent.sleep(delay_s)
        if not self.is_over:
            self.start(name)
            self.stopping.discard(name)


def _choose_worker(fleet: Any, rng: Any) -> Any:
    return fleet.workers[rng.choice(sorted(fleet.workers))]


def put_state(fleet: Any, has_route: bool, has_tenant: bool) -> None:
    """Write a desired state; the extra route and tenant get no requests."""
    names = [*_ROUTES, ('extra', 'idempotent', 2, False)]
    routes = [
        make_route(
            name,
            kind,
            max_attempts=attempts,
            resumable=resumable,
            timeout_ms=_ROUTE_TIMEOUT_MS,
        )
        for name, kind, attempts, resumable in names[: 4 + has_route]
    ]
    tenants = [
        {'name': 'tenant-1', 'api_keys': ['key-1']},
        {'name': 'tenant-2', 'api_keys': ['key-2']},
    ]
    fleet.put_desired_state(routes=routes, tenants=tenants[: 1 + has_tenant])


def set_plan(plan: Any, profile: str) -> None:
    """Set the shares of pauses and late calls of a profile."""
    if profile in ('pauses', 'all'):
        plan.pause_share = 0.5 if profile == 'pauses' else 0.3
        plan.pause_shortest_s = 1.1
        plan.pause_longest_s = 1.8
    if profile in ('late', 'all'):
        plan.late_order_share = 0.6
        plan.late_copy_share = 0.05
        plan.unanswered_share = 0.3


def events_of_profile(soak: Soak, profile: str) -> list[Any]:
    """Return the events of a profile, each with the times between two."""
    stops = [
        (soak.stop_entries, (1.5, 6)),
        (soak.hang_up, (1, 5)),
        (soak.change_state, (2, 5)),
    ]
    late = [
        (soak.declare, (2, 12)),
        (soak.disturb_agent, (2, 6)),
        (soak.spoil_piece, (1, 4)),
    ]
    return {
        'pauses': stops,
        'stops': [*stops, (soak.restart_worker, (8, 15))],
        'late': late,
        'all': [*stops, *late, (soak.restart_worker, (8, 15))],
    }[profile]


def run(
    fleet: Any, seed: int, duration_s: float, sizes: Any, profile: str
) -> tuple[dict[str, Any], dict[str, list[str]]]:
    """Run a fleet; return its figures and the lines of figures_of.

    sizes are the numbers of entry hosts and of workers.
    """
    soak = Soak(fleet, seed)
    fleet.warm_s = WARM_S
    put_state(fleet, False, False)
    fleet.store.put('keyed.op', 'version/m', {'model': 'm', 'version': 1})
    _start_hosts(soak, sizes, profile)
    count = _CALLERS_PER_WORKER * sizes[1]
    tasks = [gevent.spawn(soak.traffic.call, index) for index in range(count)]
    gevent.sleep(_SETTLE_S)
    for action, span_s in events_of_profile(soak, profile):
        rng = random.Random(f'{seed}/{action.__name__}')
        gevent.spawn(soak.repeat, rng, action, span_s)
    gevent.spawn(soak.watch)
    gevent.sleep(duration_s)
    soak.traffic.is_stopped = True
    gevent.joinall(tasks)
    soak.is_over = True
    # A process whose start has begun is not in the fleet's table until the
    # start returns, and the fleet ends only those in its table.
    gevent.sleep(_SETTLE_S)
    return figures_of(soak)


def _start_hosts(soak: Soak, sizes: Any, profile: str) -> None:
    entries, workers = sizes
    for number in range(1, workers + 1):
        address = soak.fleet.add_worker(number, make_worker=PacedWorker)
        _follow_worker(soak, f'worker-{number}', address, profile)
        soak.start(f'side-{number}')
    names = [f'edge-{index}' for index in range(1, entries + 1)]
    for name in names:
        soak.start(name)
    wait_for(lambda: all(is_ready(soak.ips[one]) for one in names))
    gevent.joinall(
        [gevent.spawn(soak.check_ready, one) for one in names], timeout=0
    )


def _follow_worker(soak: Soak, name: str, address: str, profile: str) -> None:
    worker = soak.fleet.workers[name]
    worker.seed(f'{soak.traffic.seed}/{name}')
    set_plan(worker.plan, profile)
    worker.weights.on_change = lambda: soak.fleet.list_worker(name, address)


def main(
    seed: int = 1,
    duration_s: float = 30,
    entries: int = 3,
    workers: int = 4,
    profile: str = 'all',
    net: str = '127.120',
) -> None:
    """Run one seed and print a line of figures; keep the logs if it failed."""
    if profile not in PROFILES:
        raise typer.BadParameter(f'profile={profile} expected={PROFILES}')
    # The processes of the fleet are ended also if this run is.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _EXIT_FAILED)
    fleet = Fleet(net)
    fleet.keeps_files = True
    with contextlib.closing(fleet):
        figures, lines = run(
            fleet, seed, duration_s, (entries, workers), profile
        )
        fleet.keeps_files = figures['verdict'] != 'ok'
        for table, texts in lines.items():
            (fleet.folder / f'{table}.txt').write_text('\n'.join(texts))
    line = ' '.join(f'{name}={figures[name]}' for name in figures)
    typer.echo(f'profile={profile} seed={seed} {line}')
    if fleet.keeps_files:
        typer.echo(f'logs={fleet.folder}')
        raise typer.Exit(_EXIT_FAILED)


if __name__ == '__main__':
    sys.exit(typer.run(main))
