"""Conversion of upstreams' responses to callers' responses and outcomes."""

from http import HTTPStatus
from typing import Final

from apricotpin.components.frontend.callers import CallerAnswer, Headers
from apricotpin.components.frontend.const import (
    CONTENT_TYPE_JSON,
    HEADER_REQUEST_ID,
)
from apricotpin.components.frontend.job import Job, without_hop_headers
from apricotpin.components.frontend.refusals import answer_to_caller
from apricotpin.components.frontend.trials import Trial
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.claims import ClaimAnswer, Outcome
from apricotpin.messages.verdicts import DONE

_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def head_of(job: Job, trial: Trial) -> Headers:
    """Return the headers that are passed on to the caller."""
    headers = list(trial.exchange.parser.items())
    identity = (HEADER_REQUEST_ID, job.caller.request_id)
    return [identity, *without_hop_headers(headers)]


def plain_answer(job: Job, trial: Trial) -> CallerAnswer:
    """Return an upstream's complete response for the caller."""
    status = trial.exchange.parser.status_code
    headers = head_of(job, trial)
    if status in _BODILESS:
        return CallerAnswer(status, headers, [])
    if job.caller.method != 'HEAD':
        return CallerAnswer.with_body(status, headers, trial.body)
    length = trial.exchange.parser.header('Content-Length') or '0'
    return CallerAnswer(status, [*headers, ('Content-Length', length)], [])


def outcome_of(trial: Trial) -> Outcome:
    """Return an upstream's response as the outcome to record."""
    parser = trial.exchange.parser
    content_type = parser.header('Content-Type')
    return Outcome(parser.status_code, content_type, trial.body)


def stored_answer(claimed: ClaimAnswer) -> CallerAnswer | None:
    """Return the stored response of an earlier run, None if not complete."""
    outcome = claimed.outcome
    if claimed.verdict != DONE or outcome is None or claimed.detail:
        return None
    content_type = outcome.content_type or CONTENT_TYPE_JSON
    headers = [('Content-Type', content_type), ('X-Outcome', 'stored')]
    return CallerAnswer.with_body(outcome.http_status, headers, outcome.body)


def too_large_outcome(failure: Failure) -> Outcome:
    """Return the outcome to record when the response was too large."""
    told = answer_to_caller(ErrorKind.ANSWER_TOO_LARGE, keyed=True)
    answer = CallerAnswer.with_failure(failure, told)
    body = b''.join(answer.parts)
    return Outcome(answer.status, CONTENT_TYPE_JSON, body)
