"""Checks of a soak run: what callers received against what workers ran."""

import time
from collections import Counter, defaultdict
from typing import Any, Final

from script.platform_fleet import OPERATOR_LIMITS
from script.soak_callers import (
    COMPLETE,
    CUT,
    DEADLINE_S,
    ONCE_KINDS,
    Exchange,
    fault_of,
)
from script.standins.paced_worker import BROKE_OFF, Run

_GRACE_S: Final = OPERATOR_LIMITS['grace_s']
# An end this close to the deadline is the deadline's, as the request is on its
# way for a part of that time.
_DEADLINE_SLACK_S: Final = 0.1
# From here to the end of the grace time a stop may end requests at work that
# were sent no later than _SENT_AFTER_STOP_S after the SIGTERM.
_LAST_SIXTH_S: Final = _GRACE_S * 5 / 6
_SENT_AFTER_STOP_S: Final = 3.0
_PROMISES: Final = (408, 421, 429, 503)
# Below this share of served requests a run shows nothing.
_SERVED_MIN: Final = 0.25
_FAULTS: Final = (
    'lost',
    'order',
    'mixed',
    'twice',
    'refused_run',
    'unasked',
    'bad_tokens',
    'ended_alone',
)


class Stop:
    """Describe the SIGTERM of an entry host; ended_s is 0 until its end."""

    __slots__ = ('ended_s', 'entry', 'sent_s')

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.sent_s = time.monotonic()
        self.ended_s: float = 0


def figures_of(soak: Any) -> tuple[dict[str, Any], dict[str, list[str]]]:
    """Return the figures of a run, and its faults and exchanges by line."""
    workers = list(soak.fleet.workers.values())
    runs: dict[str, list[Run]] = defaultdict(list)
    arrivals: set[str] = set()
    lines: dict[str, list[str]] = defaultdict(list)
    lines['faults'].extend(soak.ended)
    for worker in workers:
        lines[worker.instance_id] = worker.weights.log
        arrivals |= worker.arrivals
        for run in worker.runs:
            runs[run.request_id].append(run)
    faults: Counter[str] = Counter()
    for exchange in soak.traffic.exchanges:
        own_runs = runs.pop(exchange.request_id, [])
        kinds = faults_of(exchange, own_runs, arrivals, soak.stops)
        faults.update(kinds)
        description = _describe(exchange, own_runs)
        lines['callers'].append(description)
        lines['faults'].extend(f'{kind} {description}' for kind in kinds)
    faults['unasked'] += len(runs)
    faults['bad_tokens'] = sum(one.bad_tokens for one in workers)
    faults['ended_alone'] = len(soak.ended)
    return _summary(soak, faults), lines


def is_excused(exchange: Exchange, runs: list[Run], stops: list[Stop]) -> bool:
    """Return whether a rule allows that a response was not complete."""
    if exchange.ended_s >= (
        exchange.started_s + DEADLINE_S - _DEADLINE_SLACK_S
    ):
        return True
    if any(one.state == BROKE_OFF for one in runs):
        return True
    return any(
        _excuses(stop, exchange, runs)
        for stop in stops
        if stop.entry == exchange.entry
    )


def _excuses(stop: Stop, exchange: Exchange, runs: list[Run]) -> bool:
    is_own = exchange.started_s <= (stop.ended_s or exchange.ended_s)
    is_late = exchange.ended_s >= stop.sent_s + _LAST_SIXTH_S
    was_at_work = any(
        one.started_s < exchange.ended_s
        and one.ended_s >= min(exchange.ended_s, stop.sent_s + _LAST_SIXTH_S)
        for one in runs
    )
    is_early = exchange.sent_s <= stop.sent_s + _SENT_AFTER_STOP_S
    return is_own and is_late and was_at_work and is_early


def faults_of(
    exchange: Exchange, runs: list[Run], arrivals: set[str], stops: list[Stop]
) -> list[str]:
    """Return the rules that the handling of a request broke."""
    faults = []
    if exchange.end == CUT and exchange.sent_s:
        is_passed_on = exchange.request_id in arrivals
        if is_passed_on and not is_excused(exchange, runs, stops):
            faults.append('lost')
    if exchange.end == COMPLETE and fault_of(exchange):
        faults.append(fault_of(exchange))
    if exchange.kind in ONCE_KINDS:
        if len(runs) > 1:
            faults.append('twice')
        if runs and exchange.response.status in _PROMISES:
            faults.append('refused_run')
    if any(_is_changed(exchange, one) for one in runs):
        faults.append('unasked')
    return faults


def _is_changed(exchange: Exchange, run: Run) -> bool:
    return (run.line, run.body, run.tenant) != (
        exchange.line,
        exchange.body,
        'tenant-1',
    )


def _describe(exchange: Exchange, runs: list[Run]) -> str:
    ran = ','.join(
        f'{one.worker}:{one.state}:'
        f'{one.started_s - exchange.started_s:.2f}-'
        f'{one.ended_s - exchange.started_s:.2f}'
        for one in runs
    )
    return (
        f'id={exchange.request_id} entry={exchange.entry} '
        f'line="{exchange.line}" end={exchange.end} '
        f'status={exchange.response.status} '
        f'started_s={exchange.started_s:.3f} '
        f'took_s={exchange.ended_s - exchange.started_s:.3f} '
        f'bytes={len(exchange.response.body)} runs={ran}'
    )


def _summary(soak: Any, faults: Counter[str]) -> dict[str, Any]:
    exchanges = soak.traffic.exchanges
    outcomes = Counter(
        f'status_{one.response.status}' if one.end == COMPLETE else one.end
        for one in exchanges
    )
    served = outcomes.pop('status_200', 0)
    is_ok = served > _SERVED_MIN * len(exchanges) and not any(
        faults[name] for name in _FAULTS
    )
    workers = soak.fleet.workers.values()
    return {
        'requests': len(exchanges),
        'served': served,
        'stops': len(soak.stops),
        'versions': soak.versions,
        **{name: faults[name] for name in _FAULTS},
        'bad_layers': sum(one.weights.bad_layers for one in workers),
        **dict(sorted(outcomes.items())),
        'verdict': 'ok' if is_ok else 'failed',
    }
