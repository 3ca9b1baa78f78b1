"""Attempts: select an upstream, send the request, check the response."""

import time
from http import HTTPStatus
from typing import Any, Final

import gevent
from result import Err, Ok, Result

from apricotpin.components.frontend import decisions
from apricotpin.components.frontend.attempt_state import (
    Attempt,
    UpstreamConnection,
)
from apricotpin.components.frontend.const import (
    ATTEMPTS_MAX,
    BACKOFF_WAITS_MAX,
    CONTENT_TYPE_EVENTS,
    HEADER_MODEL_VERSION,
    HEADER_REQUEST_ID,
    RESPONSE_BODY_MAX_BYTES,
)
from apricotpin.components.frontend.decision_types import (
    AttemptSummary,
    Freshness,
    Verdict,
)
from apricotpin.components.frontend.request_context import RequestContext
from apricotpin.components.frontend.streams import EventStream
from apricotpin.const import SERVICE_FRONTEND, SERVICE_ROUTER
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Exchange, connect
from apricotpin.messages.routing import (
    HEALTH_UNKNOWN,
    AttemptEnded,
    SelectUpstreamHost,
    Selected,
    CloseConnections,
    ReleaseConnection,
    AcquireConnection,
)

_BUSY_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_COMPLETE: Final = frozenset((Verdict.ANSWERED, Verdict.BUSY))
_DONE_LINE: Final = b'data: [DONE]'


def select_upstream(
    context: RequestContext, retry_reason: str = ''
) -> Result[Selected, Failure]:
    """Ask the router for an upstream; wait while all are in back-off."""
    for _ in range(BACKOFF_WAITS_MAX):
        message = SelectUpstreamHost(
            context.ticket,
            context.version,
            tuple(context.tried),
            retry_reason,
        )
        reply = context.kernel.call(SERVICE_ROUTER, message)
        if reply.is_err():
            refusal = reply.err_value
            return Err(decisions.selection_failure(context.progress, refusal))
        if isinstance(reply.ok_value, Selected):
            return reply
        wait_s = reply.ok_value.wait_s
        if time.monotonic() + wait_s >= context.progress.deadline_s:
            break
        gevent.sleep(wait_s)
    refusal = Failure(ErrorKind.NO_UPSTREAM, 'all upstreams are in back-off')
    return Err(decisions.selection_failure(context.progress, refusal))


def run_attempt(
    context: RequestContext,
    upstream: Selected,
    may_reuse: bool,
) -> Result[Attempt, Failure]:
    """Make one attempt; return a failure if the request was not sent at all.

    The failure is that of the selection. An attempt that failed is returned
    as an attempt.
    """
    opened = _open(context, upstream, may_reuse)
    if opened.is_err():
        return opened
    upstream, exchange = opened.ok_value.upstream, opened.ok_value.exchange
    context.tried.append(upstream.host_id)
    if exchange is None:
        attempt = Attempt(AttemptSummary(Verdict.CONNECT_FAILED, sent=False))
    else:
        attempt = _send_and_read(context, upstream, exchange)
    decisions.record_attempt(context.progress, attempt.summary)
    if attempt.stream is None:
        end_attempt(context, upstream, attempt)
    return Ok(attempt)


def end_attempt(
    context: RequestContext, upstream: Selected, attempt: Attempt
) -> None:
    """Report an attempt's end to the router; keep or close its connection."""
    report_end(context, attempt.summary)
    if attempt.exchange is None:
        return
    if attempt.summary.verdict in _COMPLETE:
        _keep_connection(context, upstream.address, attempt.exchange)
        return
    close_attempt(context, upstream, attempt.exchange)


def report_end(context: RequestContext, summary: AttemptSummary) -> None:
    """Report an attempt's end to the router."""
    health = decisions.derive_health(summary)
    context.kernel.call(SERVICE_ROUTER, AttemptEnded(context.ticket, health))


def close_attempt(
    context: RequestContext, upstream: Selected, exchange: Exchange
) -> None:
    """Close the connection of an attempt, and idle ones to its upstream."""
    exchange.close()
    context.kernel.send(SERVICE_FRONTEND, CloseConnections(upstream.address))


def _keep_connection(
    context: RequestContext, address: str, exchange: Exchange
) -> None:
    # Without an echoed request id, a late response to an earlier request
    # could not be distinguished from the response to the next one.
    echoes_id = context.admitted.service.echoes_request_id
    connection = exchange.release() if echoes_id else None
    if connection is None:
        exchange.close()
        return
    message = ReleaseConnection(address, connection)
    if context.kernel.send(SERVICE_FRONTEND, message).is_err():
        connection.close()


def _open(
    context: RequestContext,
    upstream: Selected,
    may_reuse: bool,
) -> Result[UpstreamConnection, Failure]:
    for _ in range(ATTEMPTS_MAX):
        exchange = _connect(context, upstream.address, may_reuse)
        freshness = decisions.check_freshness(
            upstream.checked_s,
            context.progress.deadline_s,
            time.monotonic(),
        )
        if exchange is None or freshness is Freshness.SEND:
            return Ok(UpstreamConnection(upstream, exchange))
        exchange.close()
        if freshness is Freshness.TOO_LATE:
            break
        selected = select_upstream(context)
        if selected.is_err():
            return selected
        upstream = selected.ok_value
    _release_host(context)
    refusal = Failure(
        ErrorKind.NOT_RUN, 'the request could not be sent in time'
    )
    return Err(decisions.selection_failure(context.progress, refusal))


def _connect(
    context: RequestContext, address: str, may_reuse: bool
) -> Exchange | None:
    connection: Any = None
    if may_reuse:
        acquired = context.kernel.call(
            SERVICE_FRONTEND, AcquireConnection(address)
        )
        connection = acquired.unwrap_or(None)
    is_reused = connection is not None
    if connection is None:
        connection = connect(address, context.progress.deadline_s)
    if connection is None:
        return None
    return Exchange(
        connection,
        context.caller.method,
        context.admitted.service.silent_s,
        context.progress.deadline_s,
        is_reused,
    )


def _release_host(context: RequestContext) -> None:
    message = AttemptEnded(context.ticket, HEALTH_UNKNOWN)
    context.kernel.call(SERVICE_ROUTER, message)


def _send_and_read(
    context: RequestContext, upstream: Selected, exchange: Exchange
) -> Attempt:
    attempt_id = context.next_attempt_id()
    failed = (
        exchange.send(context.encode(upstream.address, attempt_id))
        or exchange.read_head()
    )
    if not failed:
        failed = _check_head(context, exchange, attempt_id)
    if failed:
        return _make_failed(exchange, failed)
    if _is_stream(context, exchange):
        return _start_stream(context, upstream, exchange)
    return _read_complete_body(context, exchange)


def _make_failed(exchange: Exchange, verdict: Verdict) -> Attempt:
    return Attempt(
        AttemptSummary(verdict, exchange.sent, exchange.reused), exchange
    )


def _check_head(
    context: RequestContext, exchange: Exchange, attempt_id: str
) -> Verdict | None:
    echoed_id = exchange.parser.header(HEADER_REQUEST_ID)
    echoes_id = context.admitted.service.echoes_request_id
    if not decisions.is_own_response(attempt_id, echoed_id, echoes_id):
        return Verdict.MISMATCHED
    if (
        not context.is_model
        or exchange.parser.status_code >= HTTPStatus.BAD_REQUEST
    ):
        return None
    version = exchange.parser.header(HEADER_MODEL_VERSION)
    if version and decisions.is_required_version(context.version, version):
        return None
    return Verdict.WRONG_VERSION


def _is_stream(context: RequestContext, exchange: Exchange) -> bool:
    return context.progress.is_idempotent and _carries_events(exchange)


def _carries_events(exchange: Exchange) -> bool:
    if exchange.parser.status_code != HTTPStatus.OK:
        return False
    return exchange.parser.header('Content-Type').startswith(
        CONTENT_TYPE_EVENTS
    )


def _start_stream(
    context: RequestContext, upstream: Selected, exchange: Exchange
) -> Attempt:
    stream = EventStream(exchange, upstream, context.position)
    failed = stream.wait_for_event()
    if failed:
        return _make_failed(exchange, failed)
    summary = AttemptSummary(Verdict.ANSWERED, exchange.sent, exchange.reused)
    return Attempt(summary, exchange, stream=stream)


def _read_complete_body(context: RequestContext, exchange: Exchange) -> Attempt:
    status = exchange.parser.status_code
    is_refused = (
        context.rule is not None and status in context.rule.not_run_statuses
    )
    body = exchange.read_delimited_body(RESPONSE_BODY_MAX_BYTES)
    verdict = body.err_value if body.is_err() else Verdict.ANSWERED
    if _carries_events(exchange) and _DONE_LINE not in body.unwrap_or(b''):
        verdict = Verdict.TRUNCATED
    is_busy = context.progress.is_idempotent and status in _BUSY_STATUSES
    if is_refused or (is_busy and body.is_ok()):
        verdict = Verdict.BUSY
    summary = AttemptSummary(
        verdict, exchange.sent, exchange.reused, is_refused
    )
    return Attempt(summary, exchange, body.unwrap_or(b''))
