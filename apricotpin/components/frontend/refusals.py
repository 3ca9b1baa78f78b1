"""What a caller is told of a failure, and what a verdict on a claim means."""

import types
from typing import Final

from apricotpin.errors import (
    ErrorKind,
    ErrorResponse,
    Executed,
    Repeat,
    error_response_for,
)
from apricotpin.messages import verdicts

_KEY_KINDS: Final = frozenset(
    (
        ErrorKind.KEY_REQUIRED,
        ErrorKind.KEY_INVALID,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.KEY_REUSED,
    ),
)
# What the claims service itself says of a key.
CLAIM_KINDS: Final = _KEY_KINDS | {ErrorKind.OUTCOME_NOT_FOUND}

# The key is closed, or can never have been claimed.
_NEVER_RAN: Final = frozenset(
    (ErrorKind.NOT_RUN, ErrorKind.KEY_REQUIRED, ErrorKind.KEY_INVALID),
)
_KEY_REPEATS: Final = frozenset((Repeat.SAME_KEY, Repeat.NEW_KEY))

_CLAIM_FAILURES: Final = types.MappingProxyType(
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


def answer_to_caller(kind: ErrorKind, keyed: bool) -> ErrorResponse:
    """Return what a caller is told of a failure.

    Another attempt with the same key may have run elsewhere, so a keyed
    request that was refused here is not reported as not run, unless its key
    is closed or can never have been claimed.
    """
    answer = error_response_for(kind)
    if not keyed:
        return _without_key(kind, answer)
    if answer.executed is not Executed.NO or kind in _NEVER_RAN:
        return answer
    repeat = answer.repeat
    if repeat is Repeat.YES:
        repeat = Repeat.SAME_KEY
    return ErrorResponse(answer.http_status, repeat, Executed.UNKNOWN)


def failure_of_claim(verdict: str) -> ErrorKind | None:
    """Return why a claim gives no right to run; None if it does.

    A verdict that is not known gives no right either.
    """
    return _CLAIM_FAILURES.get(verdict, ErrorKind.CLAIMS_UNAVAILABLE)


def _without_key(kind: ErrorKind, answer: ErrorResponse) -> ErrorResponse:
    if answer.repeat in _KEY_REPEATS and kind not in _KEY_KINDS:
        return ErrorResponse(answer.http_status, Repeat.YES, answer.executed)
    return answer
