"""Choose an upstream, and decide what is remembered of an attempt."""

from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from apricotpin.components.dispatch import const, versions
from apricotpin.components.dispatch.state import (
    DispatchState,
    Upstream,
    Window,
)
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
    free = [
        upstream
        for upstream in serving
        if has_room(upstream, engine is not None, now_s, urgent)
        and may_begin(state, upstream, len(serving), now_s)
    ]
    if not free:
        detail = f'{len(serving)} workers of {service} are full'
        return Err(Failure(ErrorKind.OVERLOADED, detail))
    return Ok(
        min(
            free,
            key=lambda one: cost_of(state, one, now_s, random_unit),
        ),
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
    return load_of(upstream, now_s) < slots + ahead


def may_begin(
    state: DispatchState,
    upstream: Upstream,
    serving: int,
    now_s: float,
) -> bool:
    """Tell whether a request sent now begins before its version's bound.

    What a busy link between data centres holds up reaches the worker after
    it was taken back.
    """
    begin_by_s = versions.begin_by_s(state, upstream, now_s)
    if begin_by_s is None or begin_by_s - now_s > const.NO_QUEUE_S:
        return True
    if upstream.entry.data_centre != state.data_centre:
        return False
    unseen = unseen_load(state, upstream, serving, now_s)
    return load_of(upstream, now_s) + unseen < upstream.entry.slots


def unseen_load(
    state: DispatchState,
    upstream: Upstream,
    serving: int,
    now_s: float,
) -> float:
    """Estimate what other hosts sent to an upstream since its last report.

    The hosts choose alike, so the last workers of a version are chosen by all
    of them at once.
    """
    if not versions.is_fresh(upstream, now_s):
        return 0
    window = state.window(upstream.entry.service)
    rate_per_s = recent_requests(window, now_s) / const.RATE_WINDOW_S
    others = max(0, state.entry_hosts - 1)
    return rate_per_s * others * (now_s - upstream.reported_s) / serving


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
        Verdict.LEFT,
        Verdict.OVERDUE,
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


def note_arrival(window: Window, is_retry: bool, now_s: float) -> None:
    """Count a request or a retry."""
    second = int(now_s)
    if not window.buckets or window.buckets[-1][0] != second:
        window.buckets.append([second, 0, 0])
    window.buckets[-1][1 + is_retry] += 1


def recent_requests(window: Window, now_s: float) -> int:
    """Count the requests of the last seconds before this one."""
    second = int(now_s)
    return sum(
        requests
        for counted, requests, _ in window.buckets
        if second - const.RATE_WINDOW_S <= counted < second
    )


def may_retry(
    state: DispatchState,
    window: Window,
    now_s: float,
) -> bool:
    """Tell whether this host's share of the retry budget allows one more."""
    bounds = state.bounds
    oldest = now_s - bounds.retry_window_s - 1
    while window.buckets and window.buckets[0][0] < oldest:
        window.buckets.popleft()
    requests = sum(bucket[1] for bucket in window.buckets)
    retries = sum(bucket[2] for bucket in window.buckets)
    allowance = bounds.retry_allowance / max(1, state.entry_hosts)
    allowed = requests * bounds.retry_budget_ratio + allowance
    return retries + 1 <= allowed * const.BUDGET_SHARE
