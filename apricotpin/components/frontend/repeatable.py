"""Repeatable (idempotent) requests: retries and resumed streams."""

import contextlib
import errno
import time
from collections.abc import Iterator

from result import Err, Ok, Result

from apricotpin.components.frontend import answers, decisions, refusals
from apricotpin.components.frontend.attempt_state import Attempt
from apricotpin.components.frontend.attempts import (
    close_attempt,
    end_attempt,
    report_end,
    run_attempt,
    select_upstream,
)
from apricotpin.components.frontend.callers import CallerResponse
from apricotpin.components.frontend.const import (
    HEADER_MODEL_VERSION,
    STREAM_DURATION_MAX_S,
)
from apricotpin.components.frontend.decision_types import (
    Action,
    AttemptSummary,
    Verdict,
)
from apricotpin.components.frontend.events import (
    describe_failure,
    encode_error,
)
from apricotpin.components.frontend.request_context import RequestContext
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.metrics import count_refusal


def run_repeatable(context: RequestContext) -> Result[CallerResponse, Failure]:
    """Make attempts until one has a response or no retry is allowed."""
    attempted = _run_attempts(context, '')
    if attempted.is_err():
        return attempted
    attempt = attempted.ok_value
    if attempt.stream is None:
        return Ok(answers.make_complete_response(context, attempt))
    context.progress.has_delivered = True
    context.version = attempt.exchange.parser.header(HEADER_MODEL_VERSION)
    headers = answers.make_headers(context, attempt)
    status = attempt.exchange.parser.status_code
    return Ok(CallerResponse(status, headers, _relay_events(context, attempt)))


def _run_attempts(
    context: RequestContext, reason: str
) -> Result[Attempt, Failure]:
    while True:
        selected = select_upstream(context, reason)
        if selected.is_err():
            return selected
        # Only the first attempt may use an idle connection, so that a retry
        # does not fail on a second one that the upstream has dropped.
        attempted = run_attempt(
            context, selected.ok_value, may_reuse=not reason
        )
        if attempted.is_err():
            return attempted
        attempt = attempted.ok_value
        now_s = time.monotonic()
        step = decisions.next_step(context.progress, attempt.summary, now_s)
        if step.action is Action.DELIVER:
            return Ok(attempt)
        if step.action is Action.FAIL:
            return Err(step.failure)
        reason = attempt.summary.verdict.value


def _relay_events(context: RequestContext, attempt: Attempt) -> Iterator[bytes]:
    """Yield a stream's events; resume at another worker if it is cut.

    The server closes this generator when the caller disconnects. That closes
    the connection to the upstream, which cancels the request there.
    """
    context.progress.deadline_s = time.monotonic() + STREAM_DURATION_MAX_S
    with contextlib.ExitStack() as opened:
        while True:
            # An attempt may be taken up again; closing it twice has no effect.
            opened.callback(attempt.exchange.close)
            attempt.exchange.set_deadline(context.progress.deadline_s)
            verdict = yield from _relay_until_end(context, attempt)
            if verdict is Verdict.ANSWERED:
                return
            resumed = _continue_stream(context, attempt, verdict)
            if resumed.is_err():
                yield _make_error_event(context, resumed.err_value)
                # On this error the server closes the connection without the
                # final chunk and logs nothing.
                raise ConnectionResetError(errno.ECONNRESET, 'stream failed')
            attempt = resumed.ok_value


def _relay_until_end(
    context: RequestContext, attempt: Attempt
) -> Iterator[bytes]:
    stream = attempt.stream
    while True:
        event = stream.next_event()
        if event.is_err():
            return event.err_value
        context.position = stream.position
        yield event.ok_value.raw
        if event.ok_value.is_end:
            stream.read_end()
            end_attempt(context, stream.upstream, attempt)
            return Verdict.ANSWERED


def _continue_stream(
    context: RequestContext,
    attempt: Attempt,
    verdict: Verdict,
) -> Result[Attempt, Failure]:
    """Return the attempt that continues a stream.

    A silent worker may still go on, so its attempt is kept until another worker
    has continued the stream. If none does, it may be silent for timeout_s.
    """
    summary = AttemptSummary(verdict, sent=True, reused=attempt.summary.reused)
    context.progress.last_verdict = verdict
    if verdict is not Verdict.SILENT:
        cut_attempt = Attempt(summary, attempt.exchange)
        end_attempt(context, attempt.stream.upstream, cut_attempt)
        return _resume_stream(context, summary)
    report_end(context, summary)
    resumed = _resume_stream(context, summary)
    if resumed.is_ok() or attempt.may_be_silent:
        close_attempt(context, attempt.stream.upstream, attempt.exchange)
        return resumed
    attempt.may_be_silent = True
    attempt.exchange.set_silence_timeout(context.admitted.service.timeout_s)
    return Ok(attempt)


def _resume_stream(
    context: RequestContext, summary: AttemptSummary
) -> Result[Attempt, Failure]:
    step = decisions.next_step(context.progress, summary, time.monotonic())
    if step.action is Action.FAIL:
        return Err(step.failure)
    reason = summary.verdict.value
    return _run_attempts(context, reason).and_then(_require_stream)


def _require_stream(attempt: Attempt) -> Result[Attempt, Failure]:
    """Return a failure for a response that can't be the rest of a stream."""
    if attempt.stream is not None:
        return Ok(attempt)
    detail = 'the response to the resumed stream is not a stream'
    return Err(Failure(ErrorKind.UPSTREAM_FAILED, detail))


def _make_error_event(context: RequestContext, failure: Failure) -> bytes:
    count_refusal(context.kernel, failure.kind)
    error_response = refusals.make_error_response(failure.kind, uses_key=False)
    repeat, executed = (
        error_response.repeat.value,
        error_response.executed.value,
    )
    return encode_error(describe_failure(failure, repeat, executed))
