"""Demo on the platform's interface: a rollout in two zones under traffic.

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
_TRAFFIC_BEFORE_S: Final = 3.0
_TRAFFIC_AFTER_S: Final = 2.0
# Version limit: the time that the operators allow a new version to take.
_ROLLOUT_LIMIT_S: Final = 8.0
_NEW_VERSION: Final = 2
_EXIT_FAILED: Final = 1


class Traffic:
    """Count the outcomes of the requests of all callers."""

    __slots__ = ('is_stopped', 'outcomes', 'request_numbers')

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.request_numbers = itertools.count()
        self.is_stopped = False

    def send_requests(self, ip: str) -> None:
        """Send one request after the other until is_stopped is set."""
        for method, path in itertools.cycle(_PATHS):
            if self.is_stopped:
                return
            name = f'req-{next(self.request_numbers)}'
            response = send(ip, path, name, method=method)
            self.outcomes[outcome_of(response, path)] += 1


def main() -> None:
    """Declare a new version under traffic and print a line with the verdict."""
    try:
        fleet = Fleet('127.30')
    except OSError as error:
        typer.echo(f'error=address_taken detail="{error}"', err=True)
        raise typer.Exit(_EXIT_FAILED) from error
    with contextlib.closing(fleet):
        line = _run(fleet)
    typer.echo(line)
    if 'verdict=ok' not in line:
        raise typer.Exit(_EXIT_FAILED)


def _run(fleet: Any) -> str:
    fleet.put_desired_state()
    entries = _start_hosts(fleet)
    traffic = Traffic()
    for ip in entries * _CALLERS_PER_ENTRY:
        gevent.spawn(traffic.send_requests, ip)
    gevent.sleep(_TRAFFIC_BEFORE_S)
    version = {'model': 'm', 'version': _NEW_VERSION}
    fleet.store.put('keyed.op', 'version/m', version)
    declared_s = time.monotonic()
    wait_for(lambda: _is_rolled_out(fleet), 2 * _ROLLOUT_LIMIT_S)
    duration_s = time.monotonic() - declared_s
    gevent.sleep(_TRAFFIC_AFTER_S)
    traffic.is_stopped = True
    return figures_of(fleet, traffic, duration_s)


def _start_hosts(fleet: Any) -> list[str]:
    entries = []
    for zone_index, zone in enumerate(_ZONES):
        for index in range(_WORKERS_PER_ZONE):
            host_number = 1 + zone_index * _WORKERS_PER_ZONE + index
            fleet.add_worker(host_number, zone=zone)
            fleet.start(f'side-{host_number}', 'side', host_number, zone)
        for index in range(_ENTRIES_PER_ZONE):
            host_number = 1 + zone_index * _ENTRIES_PER_ZONE + index
            name = f'edge-{host_number}'
            entries.append(fleet.start(name, 'edge', host_number, zone))
    wait_for(lambda: all(is_ready(ip) for ip in entries))
    return entries


def _is_rolled_out(fleet: Any) -> bool:
    versions = {worker.version for worker in fleet.workers.values()}
    return versions == {_NEW_VERSION}


def outcome_of(response: Any, path: str) -> str:
    """Return the outcome of a request: ok, lost, wrong or its status."""
    if response.body is None:
        return 'lost'
    if response.status != 200:
        return f'status_{response.status}'
    if path.startswith('/stream') and response.body.count(b'data:') != _EVENTS:
        return 'wrong'
    return 'ok'


def figures_of(fleet: Any, traffic: Traffic, duration_s: float) -> str:
    """Return the line of figures, which ends with the verdict."""
    executions = Counter(
        name
        for worker in fleet.workers.values()
        for name in worker.executed_ids
    )
    mixed = sum(worker.version < 0 for worker in fleet.workers.values())
    repeated = sum(count > 1 for count in executions.values())
    faults = sum(
        count for outcome, count in traffic.outcomes.items() if outcome != 'ok'
    )
    is_passed = not (faults or mixed) and duration_s <= _ROLLOUT_LIMIT_S
    figures = {
        'workers': len(fleet.workers),
        'rollout_s': f'{duration_s:.2f}',
        'limit_s': _ROLLOUT_LIMIT_S,
        'origin_copies': f'{fleet.origin.pieces_sent / PIECES:.2f}',
        'mixed': mixed,
        'run_more_than_once': repeated,
        **dict(sorted(traffic.outcomes.items())),
        'verdict': 'ok' if is_passed else 'failed',
    }
    return ' '.join(f'{name}={figures[name]}' for name in figures)


if __name__ == '__main__':
    sys.exit(typer.run(main))
