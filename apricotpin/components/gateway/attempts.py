"""One attempt: send a request to an upstream and read its answer."""

import time
import uuid
from collections.abc import Callable
from typing import Any, Final

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import const, decisions
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Exchange, Verdict, connect
from apricotpin.messages.calls import (
    AnswerHead,
    CallCodec,
    CallHead,
    Handover,
    Resolved,
)
from apricotpin.messages.desired import RouteKind
from apricotpin.messages.upstreams import (
    AttemptDone,
    CancelPick,
    PickUpstream,
    Picked,
)

# A load that was never reported is shown with this age.
_AGE_SHOWN_S: Final = 99.0


class Job:
    """Own one request on its way through upstreams."""

    __slots__ = (
        'before_send',
        'body',
        'codec',
        'current',
        'head',
        'kernel',
        'progress',
        'resolved',
    )

    def __init__(
        self,
        kernel: Kernel,
        codec: CallCodec,
        head: CallHead,
        resolved: Resolved,
        body: bytes,
        progress: decisions.Progress,
    ) -> None:
        self.kernel = kernel
        self.codec = codec
        self.head = head
        self.resolved = resolved
        self.body = body
        self.progress = progress
        self.current: Attempt | None = None
        # Called each time before the request is sent to an upstream.
        self.before_send: Callable[[], Any] | None = None

    def abandon(self) -> None:
        """Cancel the attempt in progress, if there is one."""
        if self.current is not None:
            finish(self, self.current, Verdict.LEFT)


class Attempt:
    """Own one attempt; first_part is the body, or a stream's first events."""

    __slots__ = (
        'exchange',
        'first_part',
        'head',
        'picked',
        'splitter',
        'verdict',
    )

    def __init__(self, picked: Picked) -> None:
        self.picked = picked
        self.verdict = Verdict.CONNECT_FAILED
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None
        self.first_part = b''
        self.splitter: EventSplitter | None = None

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request was sent."""
        return self.exchange is not None and self.exchange.sent


def pick(job: Job) -> Result[Picked, Failure]:
    """Ask for an upstream for the next attempt."""
    now_s = time.monotonic()
    progress = job.progress
    hold_s = decisions.hold_s(progress, now_s)
    ticket = uuid.uuid4().hex
    wanted = PickUpstream(
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
        job.kernel.send(SERVICE_DISPATCH, CancelPick(ticket))
        raise
    if picked.is_ok():
        _log_pick(job, picked.ok_value, now_s)
    elif picked.err_value.kind is ErrorKind.TIMEOUT:
        job.kernel.send(SERVICE_DISPATCH, CancelPick(ticket))
    return picked


def make_attempt(job: Job, picked: Picked) -> Attempt:
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
    while True:
        part = attempt.exchange.read_part()
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
        idle_s = attempt.head.idle_s
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
        logger.bind(
            id=job.head.request_id,
            instance=attempt.picked.instance_id,
            verdict=verdict.value,
            sent=attempt.sent,
            status=0 if attempt.head is None else attempt.head.status,
            left_ms=_left_ms(job),
        ).info('attempt_failed')


def _run(job: Job, attempt: Attempt) -> Verdict:
    now_s = time.monotonic()
    deadline_s = job.progress.deadline_s
    connection: Any = attempt.picked.connection
    reused = connection is not None
    if not reused:
        connection = connect(attempt.picked.address, deadline_s)
    if connection is None:
        return Verdict.CONNECT_FAILED
    attempt.exchange = Exchange(
        connection,
        job.head.method,
        decisions.silent_s(job.progress, now_s),
        decisions.begin_by_s(job.progress, attempt.picked.begin_by_s),
        reused,
    )
    if job.before_send is not None:
        job.before_send()
    failed = attempt.exchange.send(_encode(job, attempt.picked))
    failed = failed or attempt.exchange.read_head()
    return failed or _read_answer(job, attempt)


def _encode(job: Job, picked: Picked) -> bytes:
    handover = Handover(
        picked.instance_id,
        job.resolved.tenant,
        job.progress.deadline_s - time.monotonic(),
        job.progress.last_event_id,
        decisions.is_resumed(job.progress),
    )
    return job.codec.encode_request(job.head, handover, job.body)


def _read_answer(job: Job, attempt: Attempt) -> Verdict:
    parser = attempt.exchange.parser
    attempt.head = job.codec.decode_answer(
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
    return _read_body(attempt, verdict)


def _begin_stream(job: Job, attempt: Attempt) -> Verdict:
    attempt.splitter = EventSplitter()
    events = read_events(job, attempt)
    if events.is_err():
        return events.err_value
    attempt.first_part = events.ok_value
    attempt.exchange.extend(job.progress.deadline_s)
    attempt.exchange.set_silence(const.EVENT_SILENT_S)
    return Verdict.ANSWERED


def _read_body(attempt: Attempt, verdict: Verdict) -> Verdict:
    body = attempt.exchange.read_all(const.ANSWER_BODY_MAX_BYTES)
    if body.is_err():
        # What a worker says of a request it did not run holds all the same.
        if verdict in {Verdict.BUSY, Verdict.MISDIRECTED}:
            return verdict
        return body.err_value
    attempt.first_part = body.ok_value
    return verdict


def _log_pick(job: Job, picked: Picked, asked_s: float) -> None:
    logger.bind(
        id=job.head.request_id,
        route=job.resolved.route.name,
        service=job.resolved.service,
        config=job.resolved.version,
        instance=picked.instance_id,
        load=picked.load,
        load_age_ms=int(min(_AGE_SHOWN_S, picked.load_age_s) * 1000),
        version=picked.version,
        held_ms=int((time.monotonic() - asked_s) * 1000),
        attempt=job.progress.sent + 1,
        reason=job.progress.retry_reason or 'first',
        left_ms=_left_ms(job),
    ).info('upstream_picked')


def _left_ms(job: Job) -> int:
    return int((job.progress.deadline_s - time.monotonic()) * 1000)
