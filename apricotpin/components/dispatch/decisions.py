"""Select upstreams by their health, version, load and distance."""

from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from apricotpin.components.dispatch import const, health, load, versions
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.desired import Engine

RandomUnit = Callable[[], float]


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
        for upstream in state.upstreams.of_service(service)
        if upstream.entry.instance_id not in tried
        and is_eligible(state, upstream, engine, now_s)
    ]
    if not eligible:
        detail = describe_no_upstream(state, service, now_s)
        return Err(Failure(ErrorKind.NO_UPSTREAM, detail))
    is_model = engine is not None
    rate_to_eligible_per_s = load.estimate_rate_from_others(
        state, service, eligible, now_s
    )
    outdated = [
        worker
        for worker in eligible
        if versions.is_outdated(state, worker, now_s)
    ]
    rate_to_outdated_per_s = load.estimate_rate_from_others(
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
            load.estimate_unreported_load(
                state, upstream, rate_to_eligible_per_s, now_s
            ),
        )
        and can_start_in_time(state, upstream, rate_to_outdated_per_s, now_s)
    ]
    if not available:
        return Err(describe_overload(state, service, eligible, now_s))
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
    now_s: float,
) -> Failure:
    """Return why no request can be sent to any of the eligible upstreams.

    If all of them asked for a pause, the failure says when the first ends.
    """
    pause_s = (
        min(upstream.availability.pause_until_s for upstream in eligible)
        - now_s
    )
    if pause_s > 0:
        detail = (
            f'all {len(eligible)} upstreams of {service} asked for a pause; '
            f'the first ends in {pause_s:.2f} s'
        )
        return Failure(ErrorKind.OVERLOADED, detail, pause_s)
    slow = sum(not is_path_usable(state, upstream) for upstream in eligible)
    detail = (
        f'no upstream of {service} has capacity: {len(eligible) - slow} are '
        f'full, in back-off or too close to a version deadline, {slow} '
        f'have a path delay above {const.PATH_DELAY_MAX_S} s'
    )
    return Failure(ErrorKind.OVERLOADED, detail)


def may_wait(failure: Failure, queue_timeout_s: float) -> bool:
    """Return whether a request that can't be sent now may be sent in time."""
    if failure.kind is not ErrorKind.OVERLOADED:
        return False
    return (failure.retry_after_s or 0) < queue_timeout_s


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
        for upstream in state.upstreams.of_service(service)
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
    if upstream.availability.is_leaving:
        return 'leaving'
    if health.is_unreachable_or_restarted(upstream, now_s):
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
    if upstream.availability.pause_until_s > now_s:
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
        load.estimate_load(upstream, now_s) + unreported_load
        < slots + queue_limit
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
    unreported_load = load.estimate_unreported_load(
        state, upstream, rate_from_others_per_s, now_s
    )
    return (
        load.estimate_load(upstream, now_s) + unreported_load
        < upstream.entry.slots
    )


def compute_cost(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
    random_unit: RandomUnit,
) -> float:
    """Return the cost of an upstream; 1 is the load with all slots in use."""
    cost = load.estimate_load(upstream, now_s) / max(1, upstream.entry.slots)
    if upstream.entry.data_centre != state.data_centre:
        cost += const.REMOTE_COST
    if (
        versions.has_recent_report(upstream, now_s)
        and upstream.report.switching
    ):
        cost += const.SWITCHING_COST
    if versions.is_outdated(state, upstream, now_s):
        cost += const.OUTDATED_COST
    if not upstream.idle_connections:
        cost += const.CONNECT_COST
    cost += upstream.failure_score * const.FAILURE_COST
    return cost + random_unit() * const.TIE_BREAK_COST_MAX
