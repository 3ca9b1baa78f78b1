"""The demo on the platform's interface: a rollout in two zones under traffic.

All figures come from stand-ins and callers, none from the code under test.
"""

from script import patched  # noqa: F401, I001 (must come first)

import contextlib
import itertools
import sys
import time
from collections import Counter
from typing import Any, Final

import gevent
import typer

from script.platform_fleet import Fleet, is_ready, send, wait_for
from script.standins.platform_worker import PIECES

_ZONES: Final = ('zone-a', 'zone-b')
_ENTRIES_PER_ZONE: Final = 2
_WORKERS_PER_ZONE: Final = 3
_CALLERS_PER_ENTRY: Final = 2
_PATHS: Final = (
    ('GET', '/read/1'),
    ('POST', '/order/1'),
    ('POST', '/stream/1'),
)
_EVENTS: Final = 4
_BEFORE_S: Final = 3.0
_AFTER_S: Final = 2.0
# The bound that the operators set for a new version.
_ROLLOUT_S: Final = 8.0
_NEW_VERSION: Final = 2
_FAILED: Final = 1


class Traffic:
    """Count how the requests of all callers ended."""

    __slots__ = ('ended', 'numbers', 'stopped')

    def __init__(self) -> None:
        self.ended: Counter[str] = Counter()
        self.numbers = itertools.count()
        self.stopped = False

    def call(self, ip: str) -> None:
        """Send one request after the other until the traffic stops."""
        for method, path in itertools.cycle(_PATHS):
            if self.stopped:
                return
            name = f'req-{next(self.numbers)}'
            answer = send(ip, path, name, method=method)
            self.ended[outcome_of(answer, path)] += 1


def main() -> None:
    """Declare a new version while callers send requests, and check them."""
    try:
        fleet = Fleet('127.30')
    except OSError as error:
        typer.echo(f'error=address_taken detail="{error}"', err=True)
        raise typer.Exit(_FAILED) from error
    with contextlib.closing(fleet):
        line = _run(fleet)
    typer.echo(line)
    if 'verdict=ok' not in line:
        raise typer.Exit(_FAILED)


def _run(fleet: Any) -> str:
    fleet.put_desired_state()
    entries = _start(fleet)
    traffic = Traffic()
    for ip in entries * _CALLERS_PER_ENTRY:
        gevent.spawn(traffic.call, ip)
    gevent.sleep(_BEFORE_S)
    version = {'model': 'm', 'version': _NEW_VERSION}
    fleet.store.put('keyed.op', 'version/m', version)
    declared_s = time.monotonic()
    wait_for(lambda: _is_rolled_out(fleet), 2 * _ROLLOUT_S)
    took_s = time.monotonic() - declared_s
    gevent.sleep(_AFTER_S)
    traffic.stopped = True
    return figures_of(fleet, traffic, took_s)


def _start(fleet: Any) -> list[str]:
    entries = []
    for place, zone in enumerate(_ZONES):
        for number in range(_WORKERS_PER_ZONE):
            machine = 1 + place * _WORKERS_PER_ZONE + number
            fleet.add_worker(machine, zone=zone)
            fleet.start(f'side-{machine}', 'side', machine, zone)
        for number in range(_ENTRIES_PER_ZONE):
            machine = 1 + place * _ENTRIES_PER_ZONE + number
            name = f'edge-{machine}'
            entries.append(fleet.start(name, 'edge', machine, zone))
    wait_for(lambda: all(is_ready(ip) for ip in entries))
    return entries


def _is_rolled_out(fleet: Any) -> bool:
    versions = {worker.version for worker in fleet.workers.values()}
    return versions == {_NEW_VERSION}


def outcome_of(answer: Any, path: str) -> str:
    """Return what a caller saw."""
    if answer.body is None:
        return 'lost'
    if answer.status != 200:
        return f'status_{answer.status}'
    if path.startswith('/stream') and answer.body.count(b'data:') != _EVENTS:
        return 'wrong'
    return 'ok'


def figures_of(fleet: Any, traffic: Traffic, took_s: float) -> str:
    """Return the line of figures, which ends with the verdict."""
    runs = Counter(
        name
        for worker in fleet.workers.values()
        for name in worker.executed_ids
    )
    mixed = sum(worker.version < 0 for worker in fleet.workers.values())
    repeated = sum(count > 1 for count in runs.values())
    faults = sum(
        count for outcome, count in traffic.ended.items() if outcome != 'ok'
    )
    sound = not (faults or mixed) and took_s <= _ROLLOUT_S
    shown = {
        'workers': len(fleet.workers),
        'rollout_s': f'{took_s:.2f}',
        'limit_s': _ROLLOUT_S,
        'origin_copies': f'{fleet.origin.pieces_sent / PIECES:.2f}',
        'mixed': mixed,
        'run_more_than_once': repeated,
        **dict(sorted(traffic.ended.items())),
        'verdict': 'ok' if sound else 'failed',
    }
    return ' '.join(f'{name}={shown[name]}' for name in shown)


if __name__ == '__main__':
    sys.exit(typer.run(main))
