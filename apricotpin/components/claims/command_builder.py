"""Translation of open requests into commands for a partition."""

from apricotpin.components.claims import events
from apricotpin.components.claims.claim_index import KeyQuery
from apricotpin.components.claims.const import DIGEST_CHARS
from apricotpin.components.claims.keys import Key
from apricotpin.components.claims.limits import ClaimLimits
from apricotpin.components.claims.records import Claimed, Closed, Ended
from apricotpin.components.claims.requester import OpenRequest
from apricotpin.messages.claims import Claim, Outcome, RecordOutcome

# HTTP status of a record that was reported without an outcome.
_NO_OUTCOME_STATUS = 0


def command_of(
    request: OpenRequest,
    limits: ClaimLimits,
    deadline_s: float,
) -> events.Command:
    """Return the command for the partition of the key."""
    message = request.message
    holder_timeout_s = limits.holder_timeout_s(message.service_name)
    if isinstance(message, Claim):
        record = _claimed(message, request.key)
        query = KeyQuery(
            record.key,
            record.digest,
            record.attempt_id,
            holder_timeout_s,
        )
        return events.ClaimCommand(
            request.request_id, query, record, deadline_s
        )
    if isinstance(message, RecordOutcome):
        final = _final(message, request.key)
        query = KeyQuery(final.key, '', final.attempt_id, holder_timeout_s)
        return events.RecordCommand(
            request.request_id, query, final, deadline_s
        )
    query = KeyQuery(request.key.name, '', '', holder_timeout_s)
    return events.LookupCommand(request.request_id, query, deadline_s)


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
