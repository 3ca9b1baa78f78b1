"""Replies to commands, derived from the claim index of a partition."""

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.claim_index import verdict_in_memory
from apricotpin.components.claims.keys import created_s_of, refusal_by_age
from apricotpin.components.claims.records import Ended
from apricotpin.components.claims.state import Partition, PartitionLimits
from apricotpin.messages import verdicts


def reply_after_append(
    partition: Partition,
    command: events.ClaimCommand | events.RecordCommand,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effect | None:
    """Return the reply to a command of the last append.

    None means that the command has to be appended again.
    """
    if isinstance(command, events.RecordCommand):
        return _record_reply_after_append(partition, command)
    if command.deadline_s <= now_s:
        # The host that sent the claim has given up by now. A process that was
        # suspended meanwhile must not grant it.
        return unavailable_reply(command)
    refusal = age_refusal(partition, command, now_s, limits)
    if refusal:
        return effects.ReplyVerdict(command.request_id, refusal)
    verdict = verdict_in_memory(partition.claim_index, command.query, now_s)
    if verdict == verdicts.ABSENT:
        return None
    return verdict_effect(partition, command, verdict)


def _record_reply_after_append(
    partition: Partition,
    command: events.RecordCommand,
) -> effects.Effect | None:
    entry = partition.claim_index.entries.get(command.query.key)
    held = entry is not None and entry.attempt_id == command.query.attempt_id
    if held and not has_final_record(partition, command):
        return None
    return effects.ReplyStored(
        command.request_id, is_recorded(partition, command)
    )


def lookup_reply(
    partition: Partition,
    command: events.LookupCommand,
    now_s: float,
) -> effects.Effect:
    """Return the reply to a lookup after the stream was read to its end."""
    verdict = verdict_in_memory(partition.claim_index, command.query, now_s)
    return verdict_effect(partition, command, verdict)


def verdict_effect(
    partition: Partition,
    command: events.Command,
    verdict: str,
) -> effects.Effect:
    """Return the effect that replies with a verdict or a stored outcome."""
    if verdict == verdicts.DONE:
        entry = partition.claim_index.entries[command.query.key]
        return effects.ReplyOutcomeAt(command.request_id, entry.final_offset)
    return effects.ReplyVerdict(command.request_id, verdict)


def has_final_record(
    partition: Partition, command: events.RecordCommand
) -> bool:
    """Return whether the key has a final record (Ended or Closed)."""
    entry = partition.claim_index.entries.get(command.query.key)
    return entry is not None and (entry.is_closed or entry.is_ended)


def is_recorded(partition: Partition, command: events.RecordCommand) -> bool:
    """Return whether the log holds the reported kind of final record.

    It has to belong to the attempt, or to a claim whose attempt is unknown.
    """
    entry = partition.claim_index.entries.get(command.query.key)
    if entry is None or entry.attempt_id not in {'', command.query.attempt_id}:
        return False
    return (
        entry.is_ended if isinstance(command.record, Ended) else entry.is_closed
    )


def age_refusal(
    partition: Partition,
    command: events.ClaimCommand | events.LookupCommand,
    now_s: float,
    limits: PartitionLimits,
) -> str:
    """Return the verdict that refuses the key because of its age, or ''."""
    min_created_s = partition.claim_index.min_created_s_at(
        now_s, limits.key_lifetime_s
    )
    return refusal_by_age(created_s_of(command.query.key), now_s, min_created_s)


def unavailable_reply(
    command: events.Command,
) -> effects.Effect:
    """Return the reply if the log could not be used in time."""
    return refusal_reply(command, verdicts.UNAVAILABLE)


def refusal_reply(command: events.Command, verdict: str) -> effects.Effect:
    """Return a refusal that says nothing about the state of the key."""
    if isinstance(command, events.RecordCommand):
        return effects.ReplyStored(command.request_id, stored=False)
    return effects.ReplyVerdict(command.request_id, verdict)
