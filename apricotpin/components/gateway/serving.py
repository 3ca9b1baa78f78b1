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
    log_lines,
)
from apricotpin.components.gateway.state import Attempt, Job
from apricotpin.const import SERVICE_DISPATCH, SERVICE_ROUTES
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.calls import CallCodec, CallHead, ResolveCall
from apricotpin.messages.upstreams import NoteRequest


class BrokenAnswer(Exception):
    """Report that a response can't be completed after it has started."""


def prepare(
    kernel: Kernel,
    codec: CallCodec,
    head: CallHead,
    body: bytes,
    started_s: float,
) -> Result[Job, Failure]:
    """Resolve a request to a route and return its context."""
    resolved = kernel.call(
        SERVICE_ROUTES,
        ResolveCall(
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
        decisions.deadline_of(route, head.deadline_s, started_s),
        head.last_event_id,
    )
    kernel.send(SERVICE_DISPATCH, NoteRequest(resolved.ok_value.service))
    return Ok(
        Job(
            kernel,
            codec,
            head,
            resolved.ok_value,
            body,
            progress,
        ),
    )


def obtain(job: Job) -> Result[Attempt, Failure]:
    """Make attempts until one has a response to deliver, and return it."""
    while True:
        picked = attempts.pick(job)
        if picked.is_err():
            return Err(_failure_of(job, picked.err_value))
        attempt = attempts.make_attempt(job, picked.ok_value)
        action = decisions.next_action(
            job.progress,
            attempt.verdict,
            time.monotonic(),
        )
        if action is decisions.Action.ANSWER:
            return Ok(attempt)
        if action is decisions.Action.FAIL:
            cause = Failure(ErrorKind.NOT_RUN, attempt.verdict.value)
            return Err(_failure_of(job, cause))


def relay_events(job: Job, attempt: Attempt) -> Iterator[bytes]:
    """Yield a stream's events; resume at another worker if one fails."""
    yield attempt.first_part
    while True:
        events = attempts.read_events(job, attempt)
        if events.is_err():
            attempts.finish(job, attempt, events.err_value)
            attempt = _resume(job)
            yield attempt.first_part
        elif events.ok_value:
            yield events.ok_value
        else:
            attempts.finish(job, attempt, Verdict.ANSWERED)
            return


def _resume(job: Job) -> Attempt:
    if not decisions.may_try_again(job.progress, time.monotonic()):
        raise BrokenAnswer('the stream was cut and may not be resumed')
    resumed = obtain(job)
    if resumed.is_err():
        raise BrokenAnswer(resumed.err_value.detail)
    if resumed.ok_value.splitter is None:
        raise BrokenAnswer('the response to the resumed stream is no stream')
    logger.bind(
        id=job.head.request_id,
        instance=resumed.ok_value.picked.instance_id,
        after_event=job.progress.last_event_id,
        **log_lines.attempt_fields(resumed.ok_value),
    ).info('stream_resumed')
    return resumed.ok_value


def _failure_of(job: Job, cause: Failure) -> Failure:
    return decisions.failure_of(job.progress, cause, time.monotonic())


def left_s(job: Job | None, head: CallHead | None, started_s: float) -> float:
    """Return how much time remains until the request's deadline."""
    now_s = time.monotonic()
    if job is not None:
        return job.progress.deadline_s - now_s
    if head is not None and head.deadline_s is not None:
        return started_s + head.deadline_s - now_s
    return const.COME_BACK_EMPTY_S / const.COME_BACK_SHARE


def log_end(
    job: Job | None,
    head: CallHead | None,
    started_s: float,
    outcome: dict[str, Any],
) -> None:
    """Log the end of a request."""
    logger.bind(
        id='' if head is None else head.request_id,
        route='' if job is None else job.resolved.route.name,
        total_ms=int((time.monotonic() - started_s) * 1000),
        **outcome,
    ).info('request_ended')
