"""Estimate the load of upstreams from reports and this host's attempts."""

from apricotpin.components.dispatch import budget, const, versions
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.upstream import Upstream


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
