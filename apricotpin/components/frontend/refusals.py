"""Error responses to callers, and error kinds for the verdicts on claims."""

import types
from typing import Final

from apricotpin.errors import (
    ErrorResponse,
    ErrorKind,
    Executed,
    Repeat,
    error_response_for,
)
from apricotpin.messages import verdicts

_KEY_ERROR_KINDS: Final = frozenset(
    (
        ErrorKind.KEY_REQUIRED,
        ErrorKind.KEY_INVALID,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.KEY_REUSED,
    ),
)
# Failures of the claims service that concern the key.
CLAIM_FAILURE_KINDS: Final = _KEY_ERROR_KINDS | {ErrorKind.OUTCOME_NOT_FOUND}

# Kinds where the key is closed as not run, or can never have been claimed.
_NOT_RUN_KINDS: Final = frozenset(
    (ErrorKind.NOT_RUN, ErrorKind.KEY_REQUIRED, ErrorKind.KEY_INVALID),
)
_KEY_REPEAT_VALUES: Final = frozenset((Repeat.SAME_KEY, Repeat.NEW_KEY))

_FAILURE_KIND_BY_VERDICT: Final = types.MappingProxyType(
    {
        verdicts.GRANTED: None,
        verdicts.RUNNING: ErrorKind.OUTCOME_UNKNOWN,
        verdicts.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
        verdicts.DONE: ErrorKind.OUTCOME_NOT_STORED,
        verdicts.NOT_RUN: ErrorKind.NOT_RUN,
        verdicts.REUSED: ErrorKind.KEY_REUSED,
        verdicts.EXPIRED: ErrorKind.KEY_EXPIRED,
        verdicts.INVALID: ErrorKind.KEY_INVALID,
        verdicts.ABSENT: ErrorKind.OUTCOME_NOT_FOUND,
    }
)


def make_error_response(kind: ErrorKind, uses_key: bool) -> ErrorResponse:
    """Return the status and the advice that report a failure to a caller.

    A request with the same key may have run at another entry host. So a
    request with a key that is refused here is not reported as not run, unless
    its key is closed or can never have been claimed.
    """
    error_response = error_response_for(kind)
    if not uses_key:
        return _adapt_to_missing_key(kind, error_response)
    if error_response.executed is not Executed.NO or kind in _NOT_RUN_KINDS:
        return error_response
    repeat = error_response.repeat
    if repeat is Repeat.YES:
        repeat = Repeat.SAME_KEY
    return ErrorResponse(error_response.http_status, repeat, Executed.UNKNOWN)


def claim_failure_kind(verdict: str) -> ErrorKind | None:
    """Return why a claim does not allow the request to run, None if it does.

    A verdict that is not known does not allow it either.
    """
    return _FAILURE_KIND_BY_VERDICT.get(verdict, ErrorKind.CLAIMS_UNAVAILABLE)


def _adapt_to_missing_key(
    kind: ErrorKind, error_response: ErrorResponse
) -> ErrorResponse:
    if (
        error_response.repeat in _KEY_REPEAT_VALUES
        and kind not in _KEY_ERROR_KINDS
    ):
        return ErrorResponse(
            error_response.http_status, Repeat.YES, error_response.executed
        )
    return error_response
