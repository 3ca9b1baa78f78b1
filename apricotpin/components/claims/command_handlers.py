"""Handlers of commands, of their deadlines and of the loss of ownership."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.answers import (
    age_refusal,
    has_final_record,
    is_recorded,
    lookup_reply,
    refusal_reply,
    unavailable_reply,
    verdict_effect,
)
from apricotpin.components.claims.claim_index import verdict_in_memory
from apricotpin.components.claims.const import WAITING_MAX
from apricotpin.components.claims.state import Partition, PartitionLimits
from apricotpin.messages import verdicts


def on_claim(
    partition: Partition,
    command: events.ClaimCommand,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effects:
    """Reply from memory if that needs no grant; queue the rest."""
    refusal = age_refusal(partition, command, now_s, limits)
    if refusal:
        return [effects.ReplyVerdict(command.request_id, refusal)]
    verdict = verdict_in_memory(partition.claim_index, command.query, now_s)
    # Other verdicts never become "granted" later, so memory may be behind the
    # log for them. A grant needs an append that shows that no other attempt
    # claimed the key first.
    if verdict not in {verdicts.ABSENT, verdicts.GRANTED}:
        return [verdict_effect(partition, command, verdict)]
    return _enqueue(partition, command)


def on_record(
    partition: Partition,
    command: events.RecordCommand,
    now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Queue an outcome, unless one is recorded or nothing was claimed."""
    if has_final_record(partition, command):
        return [
            effects.ReplyStored(
                command.request_id, is_recorded(partition, command)
            )
        ]
    claim_index = partition.claim_index
    up_to_date = (
        claim_index.owner == partition.owner_token and not partition.is_stale
    )
    if up_to_date and command.query.key not in claim_index.entries:
        return [effects.ReplyStored(command.request_id, stored=False)]
    return _enqueue(partition, command)


def _enqueue(
    partition: Partition,
    command: events.ClaimCommand | events.RecordCommand,
) -> effects.Effects:
    if len(partition.waiting) >= WAITING_MAX:
        return [unavailable_reply(command)]
    partition.waiting.append(command)
    return []


def on_lookup(
    partition: Partition,
    command: events.LookupCommand,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effects:
    """Answer final outcomes from memory; read the log for the rest."""
    refusal = age_refusal(partition, command, now_s, limits)
    if refusal:
        return [effects.ReplyVerdict(command.request_id, refusal)]
    entry = partition.claim_index.entries.get(command.query.key)
    if entry is not None and (entry.is_closed or entry.is_ended):
        return [lookup_reply(partition, command, now_s)]
    if len(partition.lookups) >= WAITING_MAX:
        return [unavailable_reply(command)]
    partition.lookups.append(command)
    partition.is_stale = True
    return []


def on_tick(
    partition: Partition,
    _event: events.Ticked,
    now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Reply "unavailable" to commands whose deadline has passed."""
    late = [
        command
        for command in _pending_commands(partition)
        if command.deadline_s <= now_s
    ]
    if late:
        _keep_only(partition, lambda command: command.deadline_s > now_s)
    return [unavailable_reply(command) for command in late]


def on_ownership_lost(
    partition: Partition,
    _event: events.OwnershipLost,
    _now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Refuse all commands, since another host owns the partition now."""
    commands = _pending_commands(partition)
    _keep_only(partition, lambda _command: False)
    return [refusal_reply(command, verdicts.NOT_OWNER) for command in commands]


def _pending_commands(partition: Partition) -> list[Any]:
    return [*partition.batch, *partition.waiting, *partition.lookups]


def _keep_only(partition: Partition, keep: Callable[[Any], bool]) -> None:
    partition.batch = list(filter(keep, partition.batch))
    partition.waiting = list(filter(keep, partition.waiting))
    partition.lookups = list(filter(keep, partition.lookups))
