"""Track whether upstreams can be used, by reports, responses and attempts."""

from collections.abc import Callable

from apricotpin.components.dispatch import const, versions
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.upstreams import UpstreamEntry, WorkerState

_CONNECTION_FAILURES = frozenset((Verdict.CONNECT_FAILED, Verdict.RESET))


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


def find_worker_state(
    upstream: Upstream | None, started_ms: int, since_s: float
) -> WorkerState:
    """Return whether a start of a worker has crashed, by what came since.

    A worker that leaves ends its connections without a crash, and one that is
    no longer listed may have left.
    """
    if upstream is None:
        return WorkerState.UNKNOWN
    if upstream.entry.draining or upstream.availability.is_leaving:
        return WorkerState.RUNNING
    if upstream.entry.started_ms != started_ms:
        return WorkerState.CRASHED
    report = upstream.report
    if report is None or upstream.report_received_s <= since_s:
        return WorkerState.UNKNOWN
    is_same_start = started_ms in {0, report.started_ms}
    if report.reachable and is_same_start:
        return WorkerState.RUNNING
    return WorkerState.CRASHED


def record_report(upstream: Upstream, report: LoadReport, now_s: float) -> None:
    """Record a load report on an upstream.

    The reported requests beyond this host's own are those of other hosts.
    """
    started_ms = upstream.entry.started_ms
    if report.leaving and started_ms in {0, report.started_ms}:
        upstream.availability.is_leaving = True
    upstream.report = report
    upstream.report_received_s = now_s
    upstream.others_in_flight = max(
        0, report.active + report.queued - upstream.own_in_flight
    )


def record_availability(
    upstream: Upstream, is_leaving: bool, pause_s: float, now_s: float
) -> None:
    """Record that an upstream is leaving, or for how long it wants a pause.

    A shorter pause stated by a response that took longer to arrive does not
    end a longer one.
    """
    stated = upstream.availability
    stated.is_leaving = stated.is_leaving or is_leaving
    if pause_s > 0:
        stated.pause_until_s = max(
            stated.pause_until_s, now_s + min(pause_s, const.PAUSE_MAX_S)
        )


def is_same_worker(known: UpstreamEntry, listed: UpstreamEntry) -> bool:
    """Return whether two entries are of one start of a worker."""
    return (
        known.started_ms == listed.started_ms
        and known.address == listed.address
    )


def remember_removed(
    state: DispatchState, upstream: Upstream, now_s: float
) -> None:
    """Keep an upstream whose statement still holds if it is listed again."""
    stated = upstream.availability
    if stated.is_leaving or stated.pause_until_s > now_s:
        stated.forgotten_s = now_s + const.REMOVED_KEEP_S
        state.removed[upstream.entry.instance_id] = upstream


def forget_removed(state: DispatchState, now_s: float) -> None:
    """Forget the upstreams that were removed too long ago."""
    for instance_id, upstream in list(state.removed.items()):
        if upstream.availability.forgotten_s > now_s:
            return
        state.removed.pop(instance_id)


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
        Verdict.SUPERSEDED,
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
