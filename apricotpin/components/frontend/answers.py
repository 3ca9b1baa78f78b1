"""Conversion of upstreams' responses to callers' responses and outcomes."""

from http import HTTPStatus
from typing import Final

from apricotpin.components.frontend.attempt_state import Attempt
from apricotpin.components.frontend.callers import CallerResponse, Headers
from apricotpin.components.frontend.const import (
    CONTENT_TYPE_JSON,
    HEADER_REQUEST_ID,
)
from apricotpin.components.frontend.refusals import make_error_response
from apricotpin.components.frontend.request_context import (
    RequestContext,
    remove_hop_headers,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.claims import ClaimAnswer, Outcome
from apricotpin.messages.verdicts import DONE

_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def make_headers(context: RequestContext, attempt: Attempt) -> Headers:
    """Return the headers that are passed on to the caller."""
    headers = list(attempt.exchange.parser.items())
    request_id = (HEADER_REQUEST_ID, context.caller.request_id)
    return [request_id, *remove_hop_headers(headers)]


def make_complete_response(
    context: RequestContext, attempt: Attempt
) -> CallerResponse:
    """Return an upstream's complete response for the caller."""
    status = attempt.exchange.parser.status_code
    headers = make_headers(context, attempt)
    if status in _BODILESS:
        return CallerResponse(status, headers, [])
    if context.caller.method != 'HEAD':
        return CallerResponse.with_body(status, headers, attempt.body)
    length = attempt.exchange.parser.header('Content-Length') or '0'
    return CallerResponse(status, [*headers, ('Content-Length', length)], [])


def make_outcome(attempt: Attempt) -> Outcome:
    """Return an upstream's response as the outcome to record."""
    parser = attempt.exchange.parser
    content_type = parser.header('Content-Type')
    return Outcome(parser.status_code, content_type, attempt.body)


def make_stored_response(claimed: ClaimAnswer) -> CallerResponse | None:
    """Return the stored response of an earlier run, None if not complete."""
    outcome = claimed.outcome
    if claimed.verdict != DONE or outcome is None or claimed.detail:
        return None
    content_type = outcome.content_type or CONTENT_TYPE_JSON
    headers = [('Content-Type', content_type), ('X-Outcome', 'stored')]
    return CallerResponse.with_body(outcome.http_status, headers, outcome.body)


def make_too_large_outcome(failure: Failure) -> Outcome:
    """Return the outcome to record when the response was too large."""
    error_response = make_error_response(
        ErrorKind.ANSWER_TOO_LARGE, uses_key=True
    )
    response = CallerResponse.with_failure(failure, error_response)
    body = b''.join(response.parts)
    return Outcome(response.status, CONTENT_TYPE_JSON, body)
