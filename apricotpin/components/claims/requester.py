"""Open requests of an entry host and the decisions on them, without I/O."""

import types
from typing import Any, Final

from apricotpin.components.claims.const import CLOSING_TRIES_MAX
from apricotpin.components.claims.internal_messages import OwnerReply
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

PeerRequest = Claim | RecordOutcome | FindOutcome

_PEER_METHOD_BY_CLASS: Final = types.MappingProxyType(
    {
        Claim: 'claim',
        RecordOutcome: 'record_outcome',
        FindOutcome: 'find_outcome',
    }
)
_ERROR_KIND_BY_VERDICT: Final = types.MappingProxyType(
    {
        verdicts.ABSENT: ErrorKind.OUTCOME_NOT_FOUND,
        verdicts.INVALID: ErrorKind.KEY_INVALID,
        verdicts.EXPIRED: ErrorKind.KEY_EXPIRED,
    }
)
_TRANSIENT_VERDICTS: Final = frozenset(
    (verdicts.NOT_OWNER, verdicts.UNAVAILABLE)
)


class Deadlines:
    """Describe until when a request gets a reply and is retried.

    Both times are in seconds since the epoch.
    """

    __slots__ = ('reply_by_s', 'retry_until_s')

    def __init__(self, reply_by_s: float, retry_until_s: float) -> None:
        self.reply_by_s = reply_by_s
        self.retry_until_s = retry_until_s


class OpenRequest:
    """Track a request until it has its reply and its record is in the log."""

    __slots__ = (
        'deadlines',
        'is_from_peer',
        'key',
        'message',
        'reply',
        'request_id',
        'tries',
    )

    def __init__(
        self,
        request_id: int,
        message: PeerRequest,
        key: Key,
        reply: Any,
        deadlines: Deadlines,
        is_from_peer: bool = False,
    ) -> None:
        self.request_id = request_id
        self.message = message
        self.key = key
        # None once the reply was sent.
        self.reply = reply
        self.deadlines = deadlines
        self.is_from_peer = is_from_peer
        # Tries after which the request had to be sent again.
        self.tries = 0


def is_final(owner_reply: OwnerReply | None) -> bool:
    """Return whether a retry cannot change the reply of the owner."""
    if owner_reply is None:
        return False
    if isinstance(owner_reply, Recorded):
        return owner_reply.stored
    return owner_reply.verdict not in _TRANSIENT_VERDICTS


def is_unavailable(owner_reply: OwnerReply | None) -> bool:
    """Return whether the owner could not use the log in time.

    Such a request is refused at the next tick. A retry could append its claim
    after the caller was refused.
    """
    return (
        isinstance(owner_reply, ClaimAnswer)
        and owner_reply.verdict == verdicts.UNAVAILABLE
    )


def refusal_for(
    message: PeerRequest, verdict: str, detail: str = ''
) -> OwnerReply:
    """Return the reply that refuses a request with a verdict."""
    if isinstance(message, RecordOutcome):
        return Recorded(stored=False)
    return ClaimAnswer(verdict, detail=detail)


def peer_method_of(message: PeerRequest) -> str:
    """Return the peer method that carries the request to the owner."""
    return _PEER_METHOD_BY_CLASS[type(message)]


def retry_reason(owner_reply: OwnerReply | None) -> str:
    """Return the reason for a retry, a label of the retry counter."""
    if owner_reply is None:
        return 'claims_owner_unreachable'
    if isinstance(owner_reply, Recorded):
        return 'claims_not_recorded'
    return f'claims_{owner_reply.verdict}'


def has_no_tries_left(request: OpenRequest) -> bool:
    """Return whether a Closed record was tried CLOSING_TRIES_MAX times.

    It can be dropped then: later requests with the key get the verdict
    "unknown" instead of "not_run", and the action runs in neither case.
    """
    message = request.message
    return (
        request.reply is None
        and isinstance(message, RecordOutcome)
        and message.not_run
        and request.tries >= CLOSING_TRIES_MAX
    )


def closing_record_of(message: PeerRequest) -> RecordOutcome | None:
    """Return the record that closes an attempt whose caller was refused.

    The claim may be in the log although the reply to it was lost. The caller
    has been told that the attempt does not run. With the record, a later
    request with the key gets "not_run" instead of waiting for an outcome.
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


def failure_kind(owner_reply: OwnerReply) -> ErrorKind | None:
    """Return the error kind of a verdict, or None if it is no failure."""
    if isinstance(owner_reply, Recorded):
        return None
    return _ERROR_KIND_BY_VERDICT.get(owner_reply.verdict)


def is_grant(message: PeerRequest, owner_reply: OwnerReply) -> bool:
    """Return whether the reply allows this process to run the action."""
    return (
        isinstance(message, Claim)
        and isinstance(owner_reply, ClaimAnswer)
        and owner_reply.verdict == verdicts.GRANTED
    )
