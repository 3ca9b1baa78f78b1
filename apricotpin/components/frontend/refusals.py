"""Error responses to callers, and error kinds for the verdicts on claims."""

import types
from typing import Final

from apricotpin.errors import Answer, ErrorKind, Executed, Repeat, answer_for
from apricotpin.messages import verdicts

_KEY_KINDS: Final = frozenset(
    (
        ErrorKind.KEY_REQUIRED,
        ErrorKind.KEY_INVALID,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.KEY_REUSED,
    ),
)
# Failures of the claims service that concern the key.
CLAIM_KINDS: Final = _KEY_KINDS | {ErrorKind.OUTCOME_NOT_FOUND}

# Kinds where the key is closed as not run, or can never have been claimed.
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


def answer_to_caller(kind: ErrorKind, keyed: bool) -> Answer:
    """Return the status and the advice that report a failure to a caller.

    A request with the same key may have run at another entry host. So a
    request with a key that is refused here is not reported as not run, unless
    its key is closed or can never have been claimed.
    """
    answer = answer_for(kind)
    if not keyed:
        return _without_key(kind, answer)
    if answer.executed is not Executed.NO or kind in _NEVER_RAN:
        return answer
    repeat = answer.repeat
    if repeat is Repeat.YES:
        repeat = Repeat.SAME_KEY
    return Answer(answer.http_status, repeat, Executed.UNKNOWN)


def failure_of_claim(verdict: str) -> ErrorKind | None:
    """Return why a claim does not allow the request to run, None if it does.

    A verdict that is not known does not allow it either.
    """
    return _CLAIM_FAILURES.get(verdict, ErrorKind.CLAIMS_UNAVAILABLE)


def _without_key(kind: ErrorKind, answer: Answer) -> Answer:
    if answer.repeat in _KEY_REPEATS and kind not in _KEY_KINDS:
        return Answer(answer.http_status, Repeat.YES, answer.executed)
    return answer
