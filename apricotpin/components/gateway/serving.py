"""Serve one request: resolve it, run it, deliver its answer."""

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
from apricotpin.messages.requests import CallCodec, RequestHead, ResolveRequest
from apricotpin.messages.upstreams import CountRequest


class BrokenAnswer(Exception):
    """Say that an answer that has begun can't be completed."""


def prepare(
    kernel: Kernel,
    codec: CallCodec,
    head: RequestHead,
    body: bytes,
    started_s: float,
) -> Result[Job, Failure]:
    """Find where a request belongs."""
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
        decisions.deadline_of(route, head.deadline_s, started_s),
        head.last_event_id,
    )
    kernel.send(SERVICE_DISPATCH, CountRequest(resolved.ok_value.service))
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
    """Return the attempt whose answer the caller receives."""
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
    """Deliver a stream, going on at another worker where one breaks off."""
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
        raise BrokenAnswer('the stream may not be resumed')
    resumed = obtain(job)
    if resumed.is_err():
        raise BrokenAnswer(resumed.err_value.detail)
    if resumed.ok_value.splitter is None:
        raise BrokenAnswer('the stream was not resumed')
    logger.bind(
        id=job.head.request_id,
        instance=resumed.ok_value.picked.instance_id,
        after_event=job.progress.last_event_id,
        **log_lines.attempt_fields(resumed.ok_value),
    ).info('stream_resumed')
    return resumed.ok_value


def _failure_of(job: Job, cause: Failure) -> Failure:
    return decisions.failure_of(job.progress, cause, time.monotonic())


def left_s(
    job: Job | None, head: RequestHead | None, started_s: float
) -> float:
    """Return how much of a caller's time is left."""
    now_s = time.monotonic()
    if job is not None:
        return job.progress.deadline_s - now_s
    if head is not None and head.deadline_s is not None:
        return started_s + head.deadline_s - now_s
    return const.COME_BACK_EMPTY_S / const.COME_BACK_SHARE


def log_end(
    job: Job | None,
    head: RequestHead | None,
    started_s: float,
    outcome: dict[str, Any],
) -> None:
    """Write the line that ends a request."""
    logger.bind(
        id='' if head is None else head.request_id,
        route='' if job is None else job.resolved.route.name,
        total_ms=int((time.monotonic() - started_s) * 1000),
        **outcome,
    ).info('request_ended')
