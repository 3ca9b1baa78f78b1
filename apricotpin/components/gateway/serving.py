"""Steps of serving a request: resolve it, run attempts, relay a stream."""

import random
import time
from collections.abc import Iterator
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import (
    attempts,
    const,
    decisions,
    hedging,
    log_lines,
    prompts,
)
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_DISPATCH, SERVICE_ROUTES
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.requests import CallCodec, RequestHead, ResolveRequest
from apricotpin.messages.upstreams import CountRequest


class IncompleteResponse(Exception):
    """Report that a response can't be completed after it has started."""


class RequestInterrupted(IncompleteResponse):
    """Report that the process ends before the response is complete."""


def resolve_request(
    kernel: Kernel,
    codec: CallCodec,
    head: RequestHead,
    body: bytes,
    started_s: float,
) -> Result[RequestContext, Failure]:
    """Resolve a request to a route and return its context."""
    resolved = kernel.call(
        SERVICE_ROUTES,
        ResolveRequest(
            head.host,
            head.target,
            head.api_key,
            random.random(),
        ),
    )
    if resolved.is_err():
        return resolved
    route = resolved.ok_value.route
    progress = decisions.Progress(
        route,
        started_s,
        decisions.compute_deadline(route, head.deadline_s, started_s),
        head.last_event_id,
    )
    kernel.send(SERVICE_DISPATCH, CountRequest(resolved.ok_value.service))
    context = RequestContext(
        kernel, codec, head, resolved.ok_value, body, progress
    )
    context.open_attempts.on_silence = hedging.wait_in_silence
    return Ok(context)


def run_attempts(context: RequestContext) -> Result[Attempt, Failure]:
    """Make attempts until one has a response to deliver, and return it."""
    while True:
        checked = prompts.check_prompt(context)
        if checked.is_err():
            return Err(_classify_failure(context, checked.err_value))
        selected = attempts.select_upstream(context)
        if selected.is_err():
            return Err(_classify_failure(context, selected.err_value))
        attempt = hedging.settle(
            context, attempts.run_attempt(context, selected.ok_value)
        )
        action = decisions.next_action(
            context.progress,
            attempt.verdict,
            time.monotonic(),
        )
        if action is decisions.Action.DELIVER:
            return Ok(attempt)
        if action is decisions.Action.FAIL:
            cause = Failure(ErrorKind.NOT_RUN, attempt.verdict.value)
            return Err(_classify_failure(context, cause))


def relay_events(context: RequestContext, attempt: Attempt) -> Iterator[bytes]:
    """Yield a stream's events; resume at another worker if one fails."""
    context.progress.has_sent_events = True
    yield attempt.first_part
    while True:
        events = attempts.read_events(context, attempt)
        if events.is_err():
            attempt = _resume_stream(context, attempt, events.err_value)
            yield attempt.first_part
            continue
        # The hedges were asked for events that the caller has now.
        hedging.end_silence(context, attempt)
        if events.ok_value:
            yield events.ok_value
        else:
            attempts.end_attempt(context, attempt, Verdict.ANSWERED)
            return


def _resume_stream(
    context: RequestContext, ended: Attempt, ended_by: Verdict
) -> Attempt:
    after_event = context.progress.last_event_id
    attempts.end_attempt(context, ended, ended_by)
    context.progress.retry_reason = ended_by.value
    resumed = hedging.wait_for_hedges(context)
    if resumed is None:
        resumed = _run_next_attempts(context, ended_by)
    if resumed.splitter is None:
        raise IncompleteResponse(
            f'{ended_by.value}, then {Verdict.NOT_A_STREAM.value}'
        )
    log_lines.log_resumption(context, resumed, after_event)
    return resumed


def _run_next_attempts(context: RequestContext, ended_by: Verdict) -> Attempt:
    if not decisions.may_retry(context.progress, time.monotonic()):
        raise IncompleteResponse(f'{ended_by.value}, no attempt may follow')
    resumed = run_attempts(context)
    if resumed.is_err():
        raise IncompleteResponse(
            f'{ended_by.value}, then {resumed.err_value!r}'
        )
    return resumed.ok_value


def classify_interruption(context: RequestContext | None) -> Failure:
    """Return the failure of a request that the end of the process interrupts.

    A request that was sent to a worker may run there.
    """
    cause = Failure(ErrorKind.STOPPING, 'this entry host stops now')
    if context is None:
        return cause
    attempt = context.open_attempts.current
    # An attempt is hedged only once it was sent.
    is_sent = (
        attempt is not None and attempt.sent or context.open_attempts.hedges
    )
    if is_sent or context.progress.may_have_run:
        return Failure(ErrorKind.TIMEOUT, cause.detail)
    return cause


def _classify_failure(context: RequestContext, cause: Failure) -> Failure:
    return decisions.classify_failure(context.progress, cause, time.monotonic())


def remaining_s(
    context: RequestContext | None, head: RequestHead | None, started_s: float
) -> float:
    """Return how much time remains until the request's deadline.

    If the deadline is not known, return the shortest time that does not lower
    the first values of Retry-After.
    """
    now_s = time.monotonic()
    if context is not None:
        return context.progress.deadline_s - now_s
    if head is not None and head.deadline_s is not None:
        return started_s + head.deadline_s - now_s
    return const.RETRY_AFTER_UNAVAILABLE_FIRST_S / const.RETRY_AFTER_SHARE


def log_request_end(
    context: RequestContext | None,
    head: RequestHead | None,
    started_s: float,
    outcome: dict[str, Any],
) -> None:
    """Log the end of a request."""
    logger.bind(
        id='' if head is None else head.request_id,
        route='' if context is None else context.resolved.route.name,
        total_ms=int((time.monotonic() - started_s) * 1000),
        **outcome,
    ).info('request_ended')
