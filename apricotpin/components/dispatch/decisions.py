"""Select upstreams, and update their state by reports and attempts."""

from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from apricotpin.components.dispatch import budget, const, versions
from apricotpin.components.dispatch.state import DispatchState, Upstream
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.desired import Engine
from apricotpin.messages.fleet import LoadReport

RandomUnit = Callable[[], float]

_CONNECTION_FAILURES = frozenset((Verdict.CONNECT_FAILED, Verdict.RESET))


def select_upstream(
    state: DispatchState,
    service: str,
    tried: tuple[str, ...],
    now_s: float,
    random_unit: RandomUnit,
    is_resumed: bool = False,
) -> Result[Upstream, Failure]:
    """Return the upstream of a service with the lowest cost.

    tried holds the instances that the request was already sent to. A resumed
    request may use a longer queue and a slow path.
    """
    engine = state.get_engine(service)
    eligible = [
        upstream
        for upstream in state.upstreams.values()
        if upstream.entry.service == service
        and upstream.entry.instance_id not in tried
        and is_eligible(state, upstream, engine, now_s)
    ]
    if not eligible:
        detail = describe_no_upstream(state, service, now_s)
        return Err(Failure(ErrorKind.NO_UPSTREAM, detail))
    is_model = engine is not None
    rate_to_eligible_per_s = estimate_rate_from_others(
        state, service, eligible, now_s
    )
    outdated = [
        worker
        for worker in eligible
        if versions.is_outdated(state, worker, now_s)
    ]
    rate_to_outdated_per_s = estimate_rate_from_others(
        state, service, outdated, now_s
    )
    available = [
        upstream
        for upstream in eligible
        if (is_resumed or is_path_usable(state, upstream))
        and has_capacity(
            upstream,
            is_model,
            now_s,
            is_resumed,
            estimate_unreported_load(
                state, upstream, rate_to_eligible_per_s, now_s
            ),
        )
        and can_start_in_time(state, upstream, rate_to_outdated_per_s, now_s)
    ]
    if not available:
        detail = describe_overload(state, service, eligible)
        return Err(Failure(ErrorKind.OVERLOADED, detail))
    return Ok(
        min(
            available,
            key=lambda upstream: compute_cost(
                state, upstream, now_s, random_unit
            ),
        ),
    )


def describe_overload(
    state: DispatchState,
    service: str,
    eligible: list[Upstream],
) -> str:
    """Return why no request can be sent to any of the eligible upstreams."""
    slow = sum(not is_path_usable(state, upstream) for upstream in eligible)
    return (
        f'no upstream of {service} has capacity: {len(eligible) - slow} are '
        f'full, in back-off or too close to a version deadline, {slow} '
        f'have a path delay above {const.PATH_DELAY_MAX_S} s'
    )


def describe_no_upstream(
    state: DispatchState,
    service: str,
    now_s: float,
) -> str:
    """Return why no upstream of a service is eligible, with counts."""
    engine = state.get_engine(service)
    reasons = Counter(
        find_ineligible_reason(state, upstream, engine, now_s)
        or 'already tried'
        for upstream in state.upstreams.values()
        if upstream.entry.service == service
    )
    counts = ', '.join(
        f'{number} {reason}' for reason, number in reasons.items()
    )
    return f'no upstream of {service} is eligible: {counts or "none is listed"}'


def is_eligible(
    state: DispatchState,
    upstream: Upstream,
    engine: Engine | None,
    now_s: float,
) -> bool:
    """Return whether an upstream accepts work and has an allowed version."""
    return not find_ineligible_reason(state, upstream, engine, now_s)


def find_ineligible_reason(
    state: DispatchState,
    upstream: Upstream,
    engine: Engine | None,
    now_s: float,
) -> str:
    """Return why no request may be sent to an upstream, empty if it may."""
    if upstream.entry.draining:
        return 'draining'
    if is_unreachable_or_restarted(upstream, now_s):
        return 'unreachable or restarted'
    if engine is None:
        return ''
    version = versions.get_loaded_version(upstream, engine, now_s)
    if not version:
        return 'without complete weights'
    if not versions.is_allowed(state, engine.model, version, now_s):
        return f'on version {version} (no longer allowed)'
    return ''


def has_capacity(
    upstream: Upstream,
    is_model: bool,
    now_s: float,
    is_resumed: bool = False,
    unreported_load: float = 0,
) -> bool:
    """Return whether an upstream is below its queue limit and not in back-off.

    unreported_load estimates the requests that it received from other hosts
    since its last load report.
    """
    if upstream.backoff_until_s > now_s:
        return False
    slots = upstream.entry.slots
    queue_limit = (
        const.MODEL_QUEUE_MAX
        if is_model
        else slots * const.PLAIN_QUEUE_PER_SLOT_MAX
    )
    if is_resumed:
        queue_limit += const.RESUMED_QUEUE_EXTRA
    return (
        estimate_load(upstream, now_s) + unreported_load < slots + queue_limit
    )


def is_path_usable(state: DispatchState, upstream: Upstream) -> bool:
    """Return whether the path to an upstream is not much slower than usual."""
    delay_s = state.path_delays_s.get(upstream.entry.data_centre, 0)
    return delay_s <= const.PATH_DELAY_MAX_S


def can_start_in_time(
    state: DispatchState,
    upstream: Upstream,
    rate_from_others_per_s: float,
    now_s: float,
) -> bool:
    """Return whether a request sent now starts before the version deadline.

    Close to the deadline, a worker in another data centre is not used: a
    request that a busy link delays would arrive after it was cancelled. Nor
    is a worker without a recent load report, as it may have no free slot.
    """
    start_deadline_s = versions.get_start_deadline_s(state, upstream, now_s)
    if (
        start_deadline_s is None
        or start_deadline_s - now_s > const.NO_QUEUE_BEFORE_DEADLINE_S
    ):
        return True
    if upstream.entry.data_centre != state.data_centre:
        return False
    if not versions.has_recent_report(upstream, now_s):
        return False
    unreported_load = estimate_unreported_load(
        state, upstream, rate_from_others_per_s, now_s
    )
    return (
        estimate_load(upstream, now_s) + unreported_load < upstream.entry.slots
    )


def estimate_rate_from_others(
    state: DispatchState,
    service: str,
    candidates: list[Upstream],
    now_s: float,
) -> float:
    """Estimate what the other hosts send to each local candidate per second.

    The hosts of a data centre select alike among its workers. When few are
    left, all hosts select the same ones before a load report shows it.
    """
    local_count = sum(
        upstream.entry.data_centre == state.data_centre
        for upstream in candidates
    )
    own_count = budget.count_recent_selections(state.get_window(service), now_s)
    other_hosts = max(0, state.local_host_count - 1)
    return own_count / const.RATE_WINDOW_S * other_hosts / max(1, local_count)


def estimate_unreported_load(
    state: DispatchState,
    upstream: Upstream,
    rate_from_others_per_s: float,
    now_s: float,
) -> float:
    """Estimate what other hosts sent to an upstream since its last report."""
    is_local = upstream.entry.data_centre == state.data_centre
    if not is_local or not versions.has_recent_report(upstream, now_s):
        return 0
    return rate_from_others_per_s * (now_s - upstream.report_received_s)


def compute_cost(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
    random_unit: RandomUnit,
) -> float:
    """Return the cost of an upstream; 1 is the load with all slots in use."""
    cost = estimate_load(upstream, now_s) / max(1, upstream.entry.slots)
    if upstream.entry.data_centre != state.data_centre:
        cost += const.REMOTE_COST
    if (
        versions.has_recent_report(upstream, now_s)
        and upstream.report.switching
    ):
        cost += const.SWITCHING_COST
    if versions.is_outdated(state, upstream, now_s):
        cost += const.OUTDATED_COST
    cost += upstream.failure_score * const.FAILURE_COST
    return cost + random_unit() * const.TIE_BREAK_COST_MAX


def estimate_load(upstream: Upstream, now_s: float) -> int:
    """Return the number of requests that run or wait at an upstream.

    Those of other hosts are known from a recent load report only.
    """
    others_in_flight = (
        upstream.others_in_flight
        if versions.has_recent_report(upstream, now_s)
        else 0
    )
    return upstream.own_in_flight + others_in_flight


def is_unreachable_or_restarted(upstream: Upstream, now_s: float) -> bool:
    """Return whether a recent report contradicts an upstream's entry.

    The worker at its address is unreachable, or has another start time.
    """
    if not versions.has_recent_report(upstream, now_s):
        return False
    report = upstream.report
    if not report.reachable:
        return True
    started_ms = upstream.entry.started_ms
    return bool(started_ms) and started_ms != report.started_ms


def record_report(upstream: Upstream, report: LoadReport, now_s: float) -> None:
    """Record a load report on an upstream.

    The reported requests beyond this host's own are those of other hosts.
    """
    upstream.report = report
    upstream.report_received_s = now_s
    upstream.others_in_flight = max(
        0, report.active + report.queued - upstream.own_in_flight
    )


def record_verdict(
    upstream: Upstream,
    verdict: Verdict,
    now_s: float,
    backoff_s: Callable[[int], float],
) -> None:
    """Update the health of an upstream by the end of an attempt.

    A failure while the worker switches weights keeps its failure score.
    backoff_s maps the number of failed connections to a back-off.
    """
    not_failures = {
        Verdict.ANSWERED,
        Verdict.BUSY,
        Verdict.CALLER_LEFT,
        Verdict.START_OVERDUE,
    }
    is_switching = upstream.report is not None and upstream.report.switching
    failed = verdict not in not_failures and not is_switching
    weight = const.FAILURE_SCORE_WEIGHT
    if verdict is Verdict.BUSY:
        upstream.backoff_until_s = now_s + const.BUSY_BACKOFF_S
    elif failed or verdict is Verdict.ANSWERED:
        upstream.failure_score += (failed - upstream.failure_score) * weight
    if verdict in _CONNECTION_FAILURES:
        upstream.connection_failures += 1
        upstream.backoff_until_s = now_s + backoff_s(
            upstream.connection_failures
        )
    elif verdict is Verdict.ANSWERED:
        upstream.connection_failures = 0
