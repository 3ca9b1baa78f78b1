"""One attempt: send a request to an upstream and read its answer."""

import time
import uuid
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.components.gateway import bodies, const, decisions, log_lines
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.components.gateway.state import Attempt, Job
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


def pick(job: Job) -> Result[SelectedUpstream, Failure]:
    """Ask for an upstream for the next attempt."""
    now_s = time.monotonic()
    progress = job.progress
    hold_s = decisions.hold_s(progress, now_s)
    ticket = uuid.uuid4().hex
    wanted = SelectUpstream(
        ticket,
        job.resolved.service,
        job.resolved.priority,
        hold_s,
        progress.tried,
        progress.retry_reason,
        decisions.is_resumed(progress),
    )
    try:
        picked = job.kernel.call(SERVICE_DISPATCH, wanted, hold_s + 1)
    except BaseException:
        # The caller has left while the request was waiting.
        job.kernel.send(SERVICE_DISPATCH, CancelSelection(ticket))
        raise
    if picked.is_ok():
        log_lines.log_pick(job, picked.ok_value, now_s)
    elif picked.err_value.kind is ErrorKind.TIMEOUT:
        job.kernel.send(SERVICE_DISPATCH, CancelSelection(ticket))
    return picked


def make_attempt(job: Job, picked: SelectedUpstream) -> Attempt:
    """Send the request and read the answer's body, or its first events."""
    attempt = Attempt(picked)
    job.current = attempt
    attempt.verdict = _run(job, attempt)
    decisions.note_attempt(
        job.progress,
        picked.instance_id,
        attempt.verdict,
        attempt.sent,
    )
    if attempt.splitter is None or attempt.verdict is not Verdict.ANSWERED:
        finish(job, attempt, attempt.verdict)
    return attempt


def read_events(job: Job, attempt: Attempt) -> Result[bytes, Verdict]:
    """Return whole events as they arrive; nothing marks the stream's end."""
    splitter = attempt.splitter
    # Only a whole event ends a silence: parts of one may come without end.
    due_s = attempt.exchange.silence_deadline_s()
    while True:
        part = attempt.exchange.read_body_part(due_s)
        if part.is_err():
            return part
        if not part.ok_value:
            return Ok(splitter.take_rest())
        whole = splitter.take(part.ok_value)
        if splitter.held_bytes > const.EVENT_MAX_BYTES:
            return Err(Verdict.TOO_LARGE)
        if whole:
            job.progress.last_event_id = (
                splitter.last_id or job.progress.last_event_id
            )
            return Ok(whole)


def finish(job: Job, attempt: Attempt, verdict: Verdict) -> None:
    """Give the upstream back, with its connection if that is reusable."""
    job.current = None
    exchange, connection, idle_s = attempt.exchange, None, None
    if exchange is not None:
        if verdict in {Verdict.ANSWERED, Verdict.UPSTREAM_ERROR, Verdict.BUSY}:
            connection = exchange.release()
        if connection is None:
            exchange.close()
    if attempt.head is not None:
        idle_s = attempt.head.keep_alive_s
    job.kernel.send(
        SERVICE_DISPATCH,
        AttemptDone(
            attempt.picked.ticket,
            attempt.picked.instance_id,
            verdict.value,
            connection,
            idle_s,
        ),
    )
    if verdict is not Verdict.ANSWERED:
        log_lines.log_failure(job, attempt, verdict)


def abandon(job: Job) -> None:
    """Cancel the attempt in progress, if there is one."""
    if job.current is not None:
        finish(job, job.current, Verdict.CALLER_LEFT)


def _run(job: Job, attempt: Attempt) -> Verdict:
    deadline_s = job.progress.deadline_s
    connection: Any = attempt.picked.connection
    reused = connection is not None
    if not reused:
        connection = connect(attempt.picked.address, deadline_s)
    if connection is None:
        return Verdict.CONNECT_FAILED
    now_s = time.monotonic()
    attempt.exchange = Exchange(
        connection,
        job.head.method,
        decisions.silent_s(job.progress, now_s),
        decisions.begin_by_s(job.progress, attempt.begin_within_s(), now_s),
        reused,
    )
    if attempt.begin_within_s() <= 0:
        return Verdict.START_OVERDUE
    if job.before_send is not None:
        job.before_send()
    attempt.sent_s = time.monotonic()
    failed = attempt.exchange.send(_encode(job, attempt.picked))
    failed = failed or attempt.exchange.read_head()
    verdict = failed or _read_answer(job, attempt)
    if verdict is Verdict.SILENT and _is_overdue(job, attempt):
        return Verdict.START_OVERDUE
    return verdict


def _is_overdue(job: Job, attempt: Attempt) -> bool:
    now_s = time.monotonic()
    within_s = attempt.begin_within_s()
    begin_by_s = decisions.begin_by_s(job.progress, within_s, now_s)
    return begin_by_s <= now_s < job.progress.deadline_s


def _encode(job: Job, picked: SelectedUpstream) -> bytes:
    handover = AttemptContext(
        picked.instance_id,
        job.resolved.workspace,
        job.progress.deadline_s - time.monotonic(),
        job.progress.last_event_id,
        decisions.is_resumed(job.progress),
    )
    return job.codec.encode_request(job.head, handover, job.body)


def _read_answer(job: Job, attempt: Attempt) -> Verdict:
    parser = attempt.exchange.parser
    attempt.head = job.codec.decode_response(
        parser.get_code(),
        list(parser.items()),
    )
    verdict = decisions.judge_head(
        attempt.head,
        job.head.request_id,
        attempt.picked.instance_id,
    )
    is_stream = job.resolved.route.kind is RouteKind.STREAM
    if is_stream and verdict is Verdict.ANSWERED:
        return _begin_stream(job, attempt)
    return _read_body(job, attempt, verdict)


def _begin_stream(job: Job, attempt: Attempt) -> Verdict:
    attempt.splitter = EventSplitter()
    events = read_events(job, attempt)
    if events.is_err():
        return events.err_value
    _note_first_part(job, attempt, events.ok_value)
    attempt.exchange.set_deadline(job.progress.deadline_s)
    attempt.exchange.set_silence_timeout(const.EVENT_SILENT_S)
    return Verdict.ANSWERED


def _read_body(job: Job, attempt: Attempt, verdict: Verdict) -> Verdict:
    if verdict in _NOT_RUN:
        # What a worker says of a request it did not run holds however its
        # body ends.
        bodies.skip_refusal(attempt.exchange)
        return verdict
    if verdict not in _DELIVERABLE:
        return verdict
    body = bodies.read_answer(job, attempt.exchange)
    if body.is_err():
        return body.err_value
    _note_first_part(job, attempt, body.ok_value)
    return verdict


def _note_first_part(job: Job, attempt: Attempt, part: bytes) -> None:
    attempt.first_part = part
    attempt.waited_s = time.monotonic() - attempt.sent_s
    job.kernel.send(
        SERVICE_METRICS,
        Observe('upstream_first_part_s', attempt.waited_s),
    )
