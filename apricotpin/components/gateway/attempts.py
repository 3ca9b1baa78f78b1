"""Attempts: select an upstream, send the request, read the response."""

import time
import uuid
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.components.gateway import (
    bodies,
    decisions,
    heads,
    log_lines,
    prompts,
    responses,
)
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_DISPATCH, SERVICE_METRICS
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Exchange, Verdict, connect
from apricotpin.messages.requests import AttemptContext
from apricotpin.messages.desired import RouteKind
from apricotpin.messages.metrics import Observe
from apricotpin.messages.upstreams import (
    AttemptDone,
    CancelSelection,
    SelectUpstream,
    SelectedUpstream,
)

_NOT_RUN: Final = frozenset((Verdict.BUSY, Verdict.MISDIRECTED))
_DELIVERABLE: Final = frozenset((Verdict.ANSWERED, Verdict.UPSTREAM_ERROR))


def select_upstream(
    context: RequestContext,
) -> Result[SelectedUpstream, Failure]:
    """Ask dispatch for an upstream for the next attempt."""
    now_s = time.monotonic()
    progress = context.progress
    queue_timeout_s = decisions.queue_timeout_s(progress, now_s)
    ticket = uuid.uuid4().hex
    message = SelectUpstream(
        ticket,
        context.resolved.service,
        context.resolved.priority,
        queue_timeout_s,
        progress.tried,
        progress.retry_reason,
        decisions.is_resumed(progress),
    )
    try:
        selected = context.kernel.call(
            SERVICE_DISPATCH, message, queue_timeout_s + 1
        )
    except BaseException:
        # The caller disconnected while the request was waiting.
        context.kernel.send(SERVICE_DISPATCH, CancelSelection(ticket))
        raise
    if selected.is_ok():
        log_lines.log_selection(context, selected.ok_value, now_s)
    elif selected.err_value.kind is ErrorKind.TIMEOUT:
        context.kernel.send(SERVICE_DISPATCH, CancelSelection(ticket))
    return selected


def run_attempt(context: RequestContext, upstream: SelectedUpstream) -> Attempt:
    """Make an attempt up to its first part, and record its verdict."""
    attempt = Attempt(upstream)
    read_first_part(context, attempt)
    decisions.record_attempt(
        context.progress,
        upstream.instance_id,
        attempt.verdict,
        attempt.sent,
    )
    if attempt.splitter is None or attempt.verdict is not Verdict.ANSWERED:
        end_attempt(context, attempt, attempt.verdict)
    return attempt


def read_first_part(context: RequestContext, attempt: Attempt) -> None:
    """Send the request and read the whole body, or a stream's first events."""
    context.open_attempts.current = attempt
    attempt.verdict = _send_and_read(context, attempt)


def read_events(
    context: RequestContext, attempt: Attempt
) -> Result[bytes, Verdict]:
    """Return the next complete events, or empty bytes at the stream's end."""
    splitter = attempt.splitter
    # Only a complete event restarts the silence limit, since an upstream may
    # send parts of one event without end.
    context.open_attempts.silent_since_s = time.monotonic()
    silence_deadline_s = attempt.exchange.silence_deadline_s()
    while True:
        part = attempt.exchange.read_body_part(silence_deadline_s)
        if part.is_err():
            return part
        if not part.ok_value:
            return bodies.check_stream_end(attempt)
        complete = splitter.feed(part.ok_value)
        if not bodies.may_hold_event(context, splitter.pending_bytes):
            return Err(Verdict.TOO_LARGE)
        if complete:
            prompts.report_served(context, attempt)
            context.progress.last_event_id = (
                splitter.last_event_id or context.progress.last_event_id
            )
            return Ok(complete)


def end_attempt(
    context: RequestContext, attempt: Attempt, verdict: Verdict
) -> None:
    """Return the upstream to dispatch, with its connection if reusable."""
    context.open_attempts.current = None
    prompts.report_end(context, attempt, verdict)
    # Without an exchange the connection of the selection was not used.
    connection, idle_s = attempt.upstream.connection, None
    exchange = attempt.exchange
    if exchange is not None:
        connection = None
        if verdict in {Verdict.ANSWERED, Verdict.UPSTREAM_ERROR, Verdict.BUSY}:
            connection = exchange.release()
        if connection is None:
            exchange.close()
    if attempt.head is not None:
        idle_s = attempt.head.keep_alive_s
    context.kernel.send(
        SERVICE_DISPATCH,
        AttemptDone(
            attempt.upstream.ticket,
            attempt.upstream.instance_id,
            verdict.value,
            connection,
            idle_s,
        ),
    )
    if verdict is not Verdict.ANSWERED:
        log_lines.log_failed_attempt(context, attempt, verdict)


def cancel_attempt(context: RequestContext, verdict: Verdict) -> None:
    """Cancel the attempt in progress, if any."""
    if context.open_attempts.current is not None:
        end_attempt(context, context.open_attempts.current, verdict)


def _send_and_read(context: RequestContext, attempt: Attempt) -> Verdict:
    deadline_s = context.progress.deadline_s
    connection: Any = attempt.upstream.connection
    is_reused = connection is not None
    if not is_reused:
        connection = connect(attempt.upstream.address, deadline_s)
    if connection is None:
        return Verdict.CONNECT_FAILED
    now_s = time.monotonic()
    attempt.exchange = Exchange(
        connection,
        context.head.method,
        decisions.silence_timeout_s(context.progress, now_s),
        decisions.first_event_deadline_s(
            context.progress, attempt.time_left_to_start_s(), now_s
        ),
        is_reused,
    )
    context.handle_silence(attempt.exchange)
    if attempt.time_left_to_start_s() <= 0:
        return Verdict.START_OVERDUE
    if context.before_send is not None:
        context.before_send()
    attempt.sent_s = time.monotonic()
    context.open_attempts.silent_since_s = attempt.sent_s
    failed = attempt.exchange.send(_encode(context, attempt.upstream))
    failed = failed or heads.read_own_head(context, attempt)
    verdict = failed or _read_response(context, attempt)
    if verdict is Verdict.SILENT and _is_overdue(context, attempt):
        return Verdict.START_OVERDUE
    return verdict


def _is_overdue(context: RequestContext, attempt: Attempt) -> bool:
    now_s = time.monotonic()
    start_timeout_s = attempt.time_left_to_start_s()
    first_event_deadline_s = decisions.first_event_deadline_s(
        context.progress, start_timeout_s, now_s
    )
    return first_event_deadline_s <= now_s < context.progress.deadline_s


def _encode(context: RequestContext, upstream: SelectedUpstream) -> bytes:
    attempt_context = AttemptContext(
        upstream.instance_id,
        context.resolved.workspace,
        context.progress.deadline_s - time.monotonic(),
        context.progress.last_event_id,
        decisions.is_resumed(context.progress),
    )
    return context.codec.encode_request(
        context.head, attempt_context, context.body
    )


def _read_response(context: RequestContext, attempt: Attempt) -> Verdict:
    verdict = responses.classify_head(
        attempt.head,
        context.head.request_id,
        attempt.upstream.instance_id,
        attempt.exchange.reused,
    )
    heads.report_availability(context, attempt)
    if verdict is Verdict.ANSWERED:
        is_stream = context.resolved.route.kind is RouteKind.STREAM
        if is_stream and responses.is_event_stream(attempt.head):
            return _start_stream(context, attempt)
        if context.progress.has_sent_events:
            return Verdict.NOT_A_STREAM
    return _read_body(context, attempt, verdict)


def _start_stream(context: RequestContext, attempt: Attempt) -> Verdict:
    attempt.splitter = EventSplitter()
    events = read_events(context, attempt)
    if events.is_err():
        return events.err_value
    _record_first_part(context, attempt, events.ok_value)
    attempt.exchange.set_deadline(context.progress.deadline_s)
    attempt.exchange.set_silence_timeout(
        decisions.event_silence_timeout_s(context.progress, time.monotonic())
    )
    return Verdict.ANSWERED


def _read_body(
    context: RequestContext, attempt: Attempt, verdict: Verdict
) -> Verdict:
    if verdict in _NOT_RUN:
        # The head alone says that the request did not run, so the verdict
        # holds even if the body can't be read to its end.
        bodies.discard_refusal_body(attempt.exchange)
        return verdict
    if verdict not in _DELIVERABLE:
        return verdict
    body = bodies.read_response_body(context, attempt.exchange)
    if body.is_err():
        return body.err_value
    _record_first_part(context, attempt, body.ok_value)
    return verdict


def _record_first_part(
    context: RequestContext, attempt: Attempt, part: bytes
) -> None:
    attempt.first_part = part
    attempt.time_to_first_part_s = time.monotonic() - attempt.sent_s
    context.kernel.send(
        SERVICE_METRICS,
        Observe('upstream_first_part_s', attempt.time_to_first_part_s),
    )
