"""Translate requests into asks of a partition."""

from apricotpin.components.claims import events
from apricotpin.components.claims.const import DIGEST_CHARS
from apricotpin.components.claims.keys import Key
from apricotpin.components.claims.ledger import Asked
from apricotpin.components.claims.limits import Limits
from apricotpin.components.claims.records import Claimed, Closed, Ended
from apricotpin.components.claims.requester import Request
from apricotpin.messages.claims import Claim, Outcome, RecordOutcome

_NO_OUTCOME_STATUS = 0


def ask_of(
    request: Request,
    limits: Limits,
    deadline_s: float,
) -> events.Ask:
    """Return the ask of a request to the partition of its key."""
    message = request.message
    bound_s = limits.holder_bound_s(message.service_name)
    if isinstance(message, Claim):
        record = _claimed(message, request.key)
        asked = Asked(
            record.key,
            record.digest,
            record.attempt_id,
            bound_s,
        )
        return events.AskClaim(request.ask_id, asked, record, deadline_s)
    if isinstance(message, RecordOutcome):
        final = _final(message, request.key)
        asked = Asked(final.key, '', final.attempt_id, bound_s)
        return events.AskFinal(request.ask_id, asked, final, deadline_s)
    asked = Asked(request.key.name, '', '', bound_s)
    return events.AskFind(request.ask_id, asked, deadline_s)


def _claimed(message: Claim, key: Key) -> Claimed:
    return Claimed(
        key.name,
        message.request_digest[:DIGEST_CHARS],
        message.attempt_id,
        message.host_id,
    )


def _final(message: RecordOutcome, key: Key) -> Closed | Ended:
    if message.not_run:
        return Closed(key.name, message.attempt_id)
    outcome = message.outcome or Outcome(_NO_OUTCOME_STATUS, '', b'')
    return Ended.from_outcome(key.name, message.attempt_id, outcome)
