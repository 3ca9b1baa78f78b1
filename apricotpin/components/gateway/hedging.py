"""Hedge a silent attempt: keep it open while another one runs beside it."""

import time

from gevent import socket
from result import Result

from apricotpin.components.gateway import (
    attempts,
    decisions,
    hedge_decisions,
    hedge_tasks,
    log_lines,
    prompts,
)
from apricotpin.components.gateway.state import (
    Attempt,
    Hedge,
    RequestContext,
)
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.errors import Failure
from apricotpin.helpers.exchange import Verdict, is_open_and_idle
from apricotpin.helpers.sockets import wait_readable
from apricotpin.messages.upstreams import AttemptSilent, SelectedUpstream


def wait_in_silence(
    context: RequestContext, connection: socket.socket, deadline_s: float
) -> Verdict | None:
    """Wait until a silent upstream sends bytes, and hedge its attempt.

    Return SILENT if another attempt can be delivered, or at the deadline. Only
    what can be delivered ends a silence: bytes may be parts without end.
    """
    open_attempts = context.open_attempts
    while not _has_winner(context):
        if time.monotonic() >= deadline_s:
            break
        if not is_open_and_idle(connection) and not open_attempts.ask_at_s:
            # The bytes may have waited while this process did not run.
            open_attempts.ask_at_s = time.monotonic()
            return None
        _ask_or_wait(context, connection, deadline_s)
        if not is_open_and_idle(connection):
            return None
    return Verdict.SILENT


def settle(context: RequestContext, attempt: Attempt) -> Attempt:
    """Return the attempt to go on with once the one in progress has ended.

    If that one has failed, it is the first hedge that can be delivered.
    """
    if attempt.verdict is Verdict.ANSWERED:
        end_silence(context, attempt)
        return attempt
    return wait_for_hedges(context) or attempt


def wait_for_hedges(context: RequestContext) -> Attempt | None:
    """Return the first hedge that can be delivered, None if all have failed.

    The attempt that they were started for has ended.
    """
    open_attempts = context.open_attempts
    while open_attempts.hedges:
        open_attempts.activity.clear()
        winner = _find_winner(context)
        if winner is not None:
            return _adopt(context, winner)
        if open_attempts.hedges:
            _wait_for_activity(context)
    open_attempts.forget_silence()
    return None


def end_silence(context: RequestContext, attempt: Attempt) -> None:
    """End the hedges of an attempt that has delivered something itself."""
    if not context.open_attempts.ask_at_s:
        return
    context.open_attempts.forget_silence()
    context.handle_silence(attempt.exchange)
    _end_and_record(context, Verdict.SUPERSEDED)


def end_all(context: RequestContext) -> None:
    """End all hedges of a request that has ended."""
    while context.open_attempts.hedges:
        hedge_tasks.end_hedge(
            context.open_attempts.hedges.pop(), Verdict.CALLER_LEFT
        )


def _wait_for_activity(context: RequestContext) -> None:
    open_attempts, now_s = context.open_attempts, time.monotonic()
    if now_s >= context.progress.deadline_s:
        _end_and_record(context, Verdict.SILENT)
    elif now_s >= open_attempts.ask_at_s:
        _ask_for_hedge(context)
    else:
        wait_until_s = min(context.progress.deadline_s, open_attempts.ask_at_s)
        open_attempts.activity.wait(wait_until_s - now_s)


def _ask_for_hedge(context: RequestContext) -> None:
    """Start an attempt at another upstream, if one is found.

    The silent one may have sent bytes meanwhile. If they can be delivered, the
    hedge ends before its task has begun; if not, the silence goes on.
    """
    attempt, now_s = context.open_attempts.current, time.monotonic()
    if attempt is None:
        attempt = context.open_attempts.hedges[-1].attempt
    branch = hedge_tasks.branch_context(context)
    _report_silence(context, attempt)
    context.open_attempts.ask_at_s = now_s + hedge_decisions.ask_again_s(
        context.progress, now_s
    )
    if not decisions.may_retry(branch.progress, now_s):
        context.open_attempts.ask_at_s = context.progress.deadline_s
        log_lines.log_silence(context, attempt, 'no attempt may follow')
        return
    selected = _select(branch)
    if selected.is_err():
        kind = selected.err_value.kind.value
        log_lines.log_silence(context, attempt, kind)
    else:
        instance_id = selected.ok_value.instance_id
        log_lines.log_silence(context, attempt, instance_id)
        hedge_tasks.start_hedge(context, branch, selected.ok_value)


def _report_silence(context: RequestContext, attempt: Attempt) -> None:
    if context.open_attempts.is_silence_reported:
        return
    context.open_attempts.is_silence_reported = True
    context.kernel.send(
        SERVICE_DISPATCH, AttemptSilent(attempt.upstream.ticket)
    )


def _select(branch: RequestContext) -> Result[SelectedUpstream, Failure]:
    checked = prompts.check_prompt(branch)
    if checked.is_err():
        return checked
    return attempts.select_upstream(branch)


def _ask_or_wait(
    context: RequestContext, connection: socket.socket, deadline_s: float
) -> None:
    open_attempts, now_s = context.open_attempts, time.monotonic()
    if now_s >= open_attempts.ask_at_s:
        _ask_for_hedge(context)
        return
    wait_s = min(deadline_s, open_attempts.ask_at_s) - now_s
    wait_readable(connection, open_attempts.activity, wait_s)


def _has_winner(context: RequestContext) -> bool:
    # A hedge that ends after this sets the event again.
    context.open_attempts.activity.clear()
    return _find_winner(context) is not None


def _find_winner(context: RequestContext) -> Hedge | None:
    """Return a hedge that can be delivered, and remove those that failed."""
    for hedge in list(context.open_attempts.hedges):
        if not hedge.greenlet.ready():
            continue
        if hedge.attempt.verdict is Verdict.ANSWERED:
            return hedge
        context.open_attempts.hedges.remove(hedge)
        context.open_attempts.ask_at_s = time.monotonic()
        _record(context, hedge, hedge.attempt.verdict, hedge.attempt.sent)
    return None


def _adopt(context: RequestContext, hedge: Hedge) -> Attempt:
    """Go on with a hedge in place of the attempt that was silent."""
    branch, attempt = hedge.context, hedge.attempt
    context.open_attempts.hedges.remove(hedge)
    _end_and_record(context, Verdict.SUPERSEDED)
    _record(context, hedge, attempt.verdict, attempt.sent)
    hedge_tasks.release_memory(context)
    context.memory = branch.memory
    context.progress.last_event_id = branch.progress.last_event_id
    context.open_attempts.forget_silence()
    context.open_attempts.current = attempt
    if attempt.splitter is None:
        attempts.end_attempt(context, attempt, attempt.verdict)
    else:
        context.handle_silence(attempt.exchange)
    return attempt


def _end_and_record(context: RequestContext, verdict: Verdict) -> None:
    while context.open_attempts.hedges:
        hedge = context.open_attempts.hedges.pop()
        hedge_tasks.end_hedge(hedge, verdict)
        # Its task may be sending at this moment.
        _record(context, hedge, verdict, hedge.attempt.exchange is not None)


def _record(
    context: RequestContext, hedge: Hedge, verdict: Verdict, sent: bool
) -> None:
    instance_id = hedge.attempt.upstream.instance_id
    decisions.record_attempt(context.progress, instance_id, verdict, sent)
