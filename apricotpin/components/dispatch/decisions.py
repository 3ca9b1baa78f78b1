"""Choose an upstream, and decide what is remembered of an attempt."""

from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from apricotpin.components.dispatch import budget, const, versions
from apricotpin.components.dispatch.state import DispatchState, Upstream
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.desired import Engine
from apricotpin.messages.fleet import LoadReport

Random = Callable[[], float]

_UNREACHABLE = frozenset((Verdict.CONNECT_FAILED, Verdict.RESET))


def choose(
    state: DispatchState,
    service: str,
    tried: tuple[str, ...],
    now_s: float,
    random_unit: Random,
    urgent: bool = False,
) -> Result[Upstream, Failure]:
    """Return the upstream with the least expected wait."""
    engine = state.engine_of(service)
    serving = [
        upstream
        for upstream in state.upstreams.values()
        if upstream.entry.service == service
        and upstream.entry.instance_id not in tried
        and may_serve(state, upstream, engine, now_s)
    ]
    if not serving:
        detail = why_none(state, service, now_s)
        return Err(Failure(ErrorKind.NO_UPSTREAM, detail))
    is_model = engine is not None
    others_per_s = sent_by_others(state, service, serving, now_s)
    behind = [one for one in serving if versions.is_behind(state, one, now_s)]
    old_per_s = sent_by_others(state, service, behind, now_s)
    free = [
        upstream
        for upstream in serving
        if (urgent or is_path_open(state, upstream))
        and has_room(
            upstream,
            is_model,
            now_s,
            urgent,
            unseen_load(state, upstream, others_per_s, now_s),
        )
        and may_begin(state, upstream, old_per_s, now_s)
    ]
    if not free:
        detail = why_full(state, service, serving)
        return Err(Failure(ErrorKind.OVERLOADED, detail))
    return Ok(
        min(
            free,
            key=lambda one: cost_of(state, one, now_s, random_unit),
        ),
    )


def why_full(
    state: DispatchState,
    service: str,
    serving: list[Upstream],
) -> str:
    """Say why none of the workers that may serve is sent anything."""
    cut = sum(not is_path_open(state, upstream) for upstream in serving)
    return (
        f'{len(serving) - cut} workers of {service} are full, '
        f'{cut} are behind a slow path'
    )


def why_none(state: DispatchState, service: str, now_s: float) -> str:
    """Say why no worker of a service may serve, by how many for what."""
    engine = state.engine_of(service)
    reasons = Counter(
        why_not(state, upstream, engine, now_s) or 'asked before'
        for upstream in state.upstreams.values()
        if upstream.entry.service == service
    )
    counts = ', '.join(f'{number} {why}' for why, number in reasons.items())
    return f'no worker of {service} may serve: {counts or "none is known"}'


def may_serve(
    state: DispatchState,
    upstream: Upstream,
    engine: Engine | None,
    now_s: float,
) -> bool:
    """Tell whether an upstream is there and holds an allowed version."""
    return not why_not(state, upstream, engine, now_s)


def why_not(
    state: DispatchState,
    upstream: Upstream,
    engine: Engine | None,
    now_s: float,
) -> str:
    """Say why an upstream may not serve, nothing if it may."""
    if upstream.entry.draining:
        return 'leaving'
    if is_replaced(upstream, now_s):
        return 'unreachable or replaced'
    if engine is None:
        return ''
    version = versions.version_of(upstream, engine, now_s)
    if not version:
        return 'without whole weights'
    if not versions.is_allowed(state, engine.model, version, now_s):
        return f'on version {version}'
    return ''


def has_room(
    upstream: Upstream,
    is_model: bool,
    now_s: float,
    urgent: bool = False,
    unseen: float = 0,
) -> bool:
    """Tell whether an upstream may be sent one more request now."""
    if upstream.rest_until_s > now_s:
        return False
    slots = upstream.entry.slots
    ahead = (
        const.MODEL_QUEUE_AHEAD if is_model else slots * const.PLAIN_QUEUE_SHARE
    )
    if urgent:
        ahead += const.URGENT_AHEAD
    return load_of(upstream, now_s) + unseen < slots + ahead


def is_path_open(state: DispatchState, upstream: Upstream) -> bool:
    """Tell whether what is sent to an upstream gets there soon."""
    delay_s = state.paths_s.get(upstream.entry.data_centre, 0)
    return delay_s <= const.PATH_DELAY_MAX_S


def may_begin(
    state: DispatchState,
    upstream: Upstream,
    others_per_s: float,
    now_s: float,
) -> bool:
    """Tell whether a request sent now begins before its version's bound.

    What a busy link between data centres holds up reaches the worker after
    it was taken back, and of a worker without a recent report it is not known
    whether a slot is free.
    """
    begin_by_s = versions.begin_by_s(state, upstream, now_s)
    if begin_by_s is None or begin_by_s - now_s > const.NO_QUEUE_S:
        return True
    if upstream.entry.data_centre != state.data_centre:
        return False
    if not versions.is_fresh(upstream, now_s):
        return False
    unseen = unseen_load(state, upstream, others_per_s, now_s)
    return load_of(upstream, now_s) + unseen < upstream.entry.slots


def sent_by_others(
    state: DispatchState,
    service: str,
    serving: list[Upstream],
    now_s: float,
) -> float:
    """Estimate what other hosts send to each worker of the data centre.

    The hosts of a data centre choose alike among its workers, so a few of
    these are chosen by all hosts at once before a report shows it.
    """
    near = sum(one.entry.data_centre == state.data_centre for one in serving)
    sent = budget.recently_sent(state.window(service), now_s)
    others = max(0, state.near_hosts - 1)
    return sent / const.RATE_WINDOW_S * others / max(1, near)


def unseen_load(
    state: DispatchState,
    upstream: Upstream,
    others_per_s: float,
    now_s: float,
) -> float:
    """Estimate what other hosts sent to an upstream since its last report."""
    is_near = upstream.entry.data_centre == state.data_centre
    if not is_near or not versions.is_fresh(upstream, now_s):
        return 0
    return others_per_s * (now_s - upstream.reported_s)


def cost_of(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
    random_unit: Random,
) -> float:
    """Return the expected wait in units of a full worker."""
    cost = load_of(upstream, now_s) / max(1, upstream.entry.slots)
    if upstream.entry.data_centre != state.data_centre:
        cost += const.DISTANCE_COST
    if versions.is_fresh(upstream, now_s) and upstream.report.switching:
        cost += const.SWITCHING_COST
    if versions.is_behind(state, upstream, now_s):
        cost += const.BEHIND_COST
    cost += upstream.failure_score * const.FAILURE_COST
    return cost + random_unit() * const.TIE_SPREAD


def load_of(upstream: Upstream, now_s: float) -> int:
    """Return the requests expected at an upstream, those waiting included."""
    others = upstream.others if versions.is_fresh(upstream, now_s) else 0
    return upstream.own + others


def is_replaced(upstream: Upstream, now_s: float) -> bool:
    """Tell whether another start of a worker is at the address now."""
    if not versions.is_fresh(upstream, now_s):
        return False
    report = upstream.report
    if not report.reachable:
        return True
    started_ms = upstream.entry.started_ms
    return bool(started_ms) and started_ms != report.started_ms


def note_report(upstream: Upstream, report: LoadReport, now_s: float) -> None:
    """Take an agent's report; what exceeds the own attempts is of others."""
    upstream.report = report
    upstream.reported_s = now_s
    upstream.others = max(0, report.active + report.queued - upstream.own)


def note_verdict(
    upstream: Upstream,
    verdict: Verdict,
    now_s: float,
    rest_s: Callable[[int], float],
) -> None:
    """Remember how an attempt ended."""
    blameless = {
        Verdict.ANSWERED,
        Verdict.BUSY,
        Verdict.CALLER_LEFT,
        Verdict.START_OVERDUE,
    }
    switching = upstream.report is not None and upstream.report.switching
    failed = verdict not in blameless and not switching
    weight = const.FAILURE_WEIGHT
    if verdict is Verdict.BUSY:
        upstream.rest_until_s = now_s + const.BUSY_REST_S
    elif failed or verdict is Verdict.ANSWERED:
        upstream.failure_score += (failed - upstream.failure_score) * weight
    if verdict in _UNREACHABLE:
        upstream.failures += 1
        upstream.rest_until_s = now_s + rest_s(upstream.failures)
    elif verdict is Verdict.ANSWERED:
        upstream.failures = 0
