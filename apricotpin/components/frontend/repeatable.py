"""Idempotent requests: retries, and streams resumed at another worker."""

import contextlib
import errno
import time
from collections.abc import Iterator

from result import Err, Ok, Result

from apricotpin.components.frontend import answers, decisions, refusals
from apricotpin.components.frontend.attempts import (
    choose,
    end_attempt,
    try_upstream,
)
from apricotpin.components.frontend.callers import CallerAnswer
from apricotpin.components.frontend.const import (
    HEADER_MODEL_VERSION,
    STREAM_MAX_S,
)
from apricotpin.components.frontend.events import (
    describe_failure,
    encode_error,
)
from apricotpin.components.frontend.job import Job
from apricotpin.components.frontend.trials import Trial
from apricotpin.components.frontend.verdicts import Action, Attempt, Verdict
from apricotpin.errors import Failure
from apricotpin.helpers.metrics import count_refusal


def run_repeatable(job: Job) -> Result[CallerAnswer, Failure]:
    """Make attempts until one has a response or no retry is allowed."""
    tried = _attempt_until_answered(job, '')
    if tried.is_err():
        return tried
    trial = tried.ok_value
    if trial.stream is None:
        return Ok(answers.plain_answer(job, trial))
    job.progress.delivered = True
    job.version = trial.exchange.parser.header(HEADER_MODEL_VERSION)
    headers = answers.head_of(job, trial)
    status = trial.exchange.parser.status_code
    return Ok(CallerAnswer(status, headers, _relay(job, trial)))


def _attempt_until_answered(job: Job, reason: str) -> Result[Trial, Failure]:
    while True:
        chosen = choose(job, reason)
        if chosen.is_err():
            return chosen
        # Only the first attempt may use an idle connection, so that a retry
        # does not fail on a second one that the upstream has dropped.
        tried = try_upstream(job, chosen.ok_value, may_reuse=not reason)
        if tried.is_err():
            return tried
        trial = tried.ok_value
        now_s = time.monotonic()
        step = decisions.next_step(job.progress, trial.attempt, now_s)
        if step.action is Action.ANSWER:
            return Ok(trial)
        if step.action is Action.FAIL:
            return Err(step.failure)
        reason = trial.attempt.verdict.value


def _relay(job: Job, trial: Trial) -> Iterator[bytes]:
    """Yield a stream's events; resume at another worker if it is cut.

    The server closes this generator when the caller disconnects. That closes
    the connection to the upstream, which cancels the request there.
    """
    job.progress.deadline_s = time.monotonic() + STREAM_MAX_S
    with contextlib.ExitStack() as opened:
        while True:
            opened.callback(trial.exchange.close)
            trial.exchange.extend(job.progress.deadline_s)
            verdict = yield from _pass_on(job, trial)
            if verdict is Verdict.ANSWERED:
                return
            resumed = _resume(job, trial, verdict)
            if resumed.is_err():
                yield _error_event(job, resumed.err_value)
                # On this error the server closes the connection without the
                # final chunk and logs nothing.
                raise ConnectionResetError(errno.ECONNRESET, 'stream failed')
            trial = resumed.ok_value


def _pass_on(job: Job, trial: Trial) -> Iterator[bytes]:
    stream = trial.stream
    while True:
        event = stream.next_event()
        if event.is_err():
            return event.err_value
        job.position = stream.position
        yield event.ok_value.raw
        if event.ok_value.is_end:
            stream.finish()
            end_attempt(job, stream.chosen, trial)
            return Verdict.ANSWERED


def _resume(
    job: Job,
    trial: Trial,
    verdict: Verdict,
) -> Result[Trial, Failure]:
    attempt = Attempt(verdict, sent=True, reused=trial.attempt.reused)
    job.progress.last = verdict
    cut = Trial(attempt, trial.exchange)
    end_attempt(job, trial.stream.chosen, cut)
    step = decisions.next_step(job.progress, attempt, time.monotonic())
    if step.action is Action.FAIL:
        return Err(step.failure)
    return _attempt_until_answered(job, verdict.value)


def _error_event(job: Job, failure: Failure) -> bytes:
    count_refusal(job.kernel, failure.kind)
    told = refusals.answer_to_caller(failure.kind, keyed=False)
    repeat, executed = told.repeat.value, told.executed.value
    return encode_error(describe_failure(failure, repeat, executed))
