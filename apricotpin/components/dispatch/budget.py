"""Count requests by second, and apply the retry budget to them."""

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.state import (
    Bucket,
    DispatchState,
    RequestWindow,
)


def record_request(window: RequestWindow, is_retry: bool, now_s: float) -> None:
    """Count a request of a caller, or a retry of one."""
    bucket = _get_current_bucket(window, now_s)
    if is_retry:
        bucket.retries += 1
    else:
        bucket.requests += 1


def record_selection(window: RequestWindow, now_s: float) -> None:
    """Count the selection of an upstream for an attempt."""
    _get_current_bucket(window, now_s).selections += 1


def _get_current_bucket(window: RequestWindow, now_s: float) -> Bucket:
    second = int(now_s)
    if not window.buckets or window.buckets[-1].second != second:
        window.buckets.append(Bucket(second))
    return window.buckets[-1]


def count_recent_selections(window: RequestWindow, now_s: float) -> int:
    """Return the selections of the last RATE_WINDOW_S whole seconds."""
    second = int(now_s)
    return sum(
        bucket.selections
        for bucket in window.buckets
        if second - const.RATE_WINDOW_S <= bucket.second < second
    )


def may_retry(
    state: DispatchState,
    window: RequestWindow,
    now_s: float,
) -> bool:
    """Return whether this host's share of the retry budget allows a retry.

    Buckets older than the retry window are dropped from the counts.
    """
    limits = state.limits
    oldest = now_s - limits.retry_window_s - 1
    while window.buckets and window.buckets[0].second < oldest:
        window.buckets.popleft()
    requests = sum(bucket.requests for bucket in window.buckets)
    retries = sum(bucket.retries for bucket in window.buckets)
    allowance = limits.retry_allowance / max(1, state.entry_host_count)
    allowed = requests * limits.retry_budget_ratio + allowance
    return retries + 1 <= allowed * const.RETRY_SHARE_MAX
