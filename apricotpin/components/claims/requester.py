"""Decisions of the entry host that asks for claims, without I/O."""

import types
from typing import Any, Final

from apricotpin.components.claims.const import CLOSING_TRIES_MAX
from apricotpin.components.claims.internal import Answer
from apricotpin.components.claims.keys import Key
from apricotpin.errors import ErrorKind
from apricotpin.messages import verdicts
from apricotpin.messages.claims import (
    Claim,
    ClaimAnswer,
    FindOutcome,
    Recorded,
    RecordOutcome,
)

Asking = Claim | RecordOutcome | FindOutcome

_METHODS: Final = types.MappingProxyType(
    {
        Claim: 'claim',
        RecordOutcome: 'record_outcome',
        FindOutcome: 'find_outcome',
    }
)
_FAILURES: Final = types.MappingProxyType(
    {
        verdicts.ABSENT: ErrorKind.OUTCOME_NOT_FOUND,
        verdicts.INVALID: ErrorKind.KEY_INVALID,
        verdicts.EXPIRED: ErrorKind.KEY_EXPIRED,
    }
)
_TRANSIENT: Final = frozenset((verdicts.NOT_OWNER, verdicts.UNAVAILABLE))


class Deadlines:
    """Hold until when a request is answered, and until when it is retried."""

    __slots__ = ('answer_s', 'give_up_s')

    def __init__(self, answer_s: float, give_up_s: float) -> None:
        self.answer_s = answer_s
        self.give_up_s = give_up_s


class Request:
    """Hold a request until it is answered and its record is durable."""

    __slots__ = (
        'ask_id',
        'deadlines',
        'from_peer',
        'key',
        'message',
        'reply',
        'tries',
    )

    def __init__(
        self,
        ask_id: int,
        message: Asking,
        key: Key,
        reply: Any,
        deadlines: Deadlines,
        from_peer: bool = False,
    ) -> None:
        self.ask_id = ask_id
        self.message = message
        self.key = key
        # None once answered.
        self.reply = reply
        self.deadlines = deadlines
        self.from_peer = from_peer
        self.tries = 0


def is_final(answer: Answer | None) -> bool:
    """Tell whether asking again cannot change the answer of an owner."""
    if answer is None:
        return False
    if isinstance(answer, Recorded):
        return answer.stored
    return answer.verdict not in _TRANSIENT


def refuses(answer: Answer | None) -> bool:
    """Tell whether the owner could not reach the log in time.

    The request ends at the next tick. If it asked again, its claim could
    arrive after its caller was refused.
    """
    return (
        isinstance(answer, ClaimAnswer)
        and answer.verdict == verdicts.UNAVAILABLE
    )


def refusal_of(message: Asking, verdict: str, detail: str = '') -> Answer:
    """Return the answer to a request that is not decided here."""
    if isinstance(message, RecordOutcome):
        return Recorded(stored=False)
    return ClaimAnswer(verdict, detail=detail)


def method_of(message: Asking) -> str:
    """Return the peer method that asks the owner."""
    return _METHODS[type(message)]


def retry_reason(answer: Answer | None) -> str:
    """Name the reason for asking again, as a label of the retry counter."""
    if answer is None:
        return 'claims_owner_unreachable'
    if isinstance(answer, Recorded):
        return 'claims_not_recorded'
    return f'claims_{answer.verdict}'


def is_hopeless(request: Request) -> bool:
    """Tell whether a closing has been tried often enough.

    Nothing is lost by giving it up: the key is then answered as outcome
    unknown instead of not run.
    """
    message = request.message
    return (
        request.reply is None
        and isinstance(message, RecordOutcome)
        and message.not_run
        and request.tries >= CLOSING_TRIES_MAX
    )


def closing_of(message: Asking) -> RecordOutcome | None:
    """Return the record that closes an attempt whose caller was refused.

    The claim may be in the log although its answer was lost. This process has
    told its caller that the attempt does not run, so a later request with the
    key can be told "not run" instead of waiting for an outcome.
    """
    if not isinstance(message, Claim):
        return None
    return RecordOutcome(
        message.workspace,
        message.service_name,
        message.key,
        not_run=True,
        attempt_id=message.attempt_id,
    )


def failure_kind(answer: Answer) -> ErrorKind | None:
    """Return the error kind of a verdict that refuses the key itself."""
    if isinstance(answer, Recorded):
        return None
    return _FAILURES.get(answer.verdict)


def grants(message: Asking, answer: Answer) -> bool:
    """Tell whether the answer entitles this process to run the action."""
    return (
        isinstance(message, Claim)
        and isinstance(answer, ClaimAnswer)
        and answer.verdict == verdicts.GRANTED
    )
