"""Count requests by second, and share the retry budget with other hosts."""

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.state import (
    Bucket,
    DispatchState,
    Window,
)


def note_arrival(window: Window, is_retry: bool, now_s: float) -> None:
    """Count a request or a retry."""
    bucket = _bucket_of(window, now_s)
    if is_retry:
        bucket.retries += 1
    else:
        bucket.requests += 1


def note_sent(window: Window, now_s: float) -> None:
    """Count a request that an upstream was chosen for."""
    _bucket_of(window, now_s).sent += 1


def _bucket_of(window: Window, now_s: float) -> Bucket:
    second = int(now_s)
    if not window.buckets or window.buckets[-1].second != second:
        window.buckets.append(Bucket(second))
    return window.buckets[-1]


def recently_sent(window: Window, now_s: float) -> int:
    """Count what was sent in the last whole seconds."""
    second = int(now_s)
    return sum(
        bucket.sent
        for bucket in window.buckets
        if second - const.RATE_WINDOW_S <= bucket.second < second
    )


def may_retry(
    state: DispatchState,
    window: Window,
    now_s: float,
) -> bool:
    """Tell whether this host's share of the retry budget allows one more."""
    limits = state.limits
    oldest = now_s - limits.retry_window_s - 1
    while window.buckets and window.buckets[0].second < oldest:
        window.buckets.popleft()
    requests = sum(bucket.requests for bucket in window.buckets)
    retries = sum(bucket.retries for bucket in window.buckets)
    allowance = limits.retry_allowance / max(1, state.entry_hosts)
    allowed = requests * limits.retry_budget_ratio + allowance
    return retries + 1 <= allowed * const.BUDGET_SHARE
