"""Handlers of the results of appends, reads and pauses."""

from typing import Final

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.answers import (
    lookup_reply,
    reply_after_append,
)
from apricotpin.components.claims.claim_index import ClaimIndex, apply_record
from apricotpin.components.claims.records import decode
from apricotpin.components.claims.state import Partition, PartitionLimits

_MS_PER_S: Final = 1000


def on_appended(
    partition: Partition,
    event: events.Appended,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effects:
    """Apply the appended batch and reply to its commands.

    If the batch does not directly follow the records known so far, the stream
    is read first.
    """
    if event.first_offset != partition.claim_index.next_offset:
        # Another owner appended records before the batch, or the offset in the
        # reply is wrong. Reading the stream shows which claims are valid.
        partition.has_pending_effect = False
        partition.is_stale = True
        return []
    partition.has_pending_effect = False
    for index, record in enumerate(partition.sent_records):
        apply_record(
            partition.claim_index, event.first_offset + index, record, now_s
        )
    return _reply_to_batch(partition, now_s, limits)


def on_append_unconfirmed(
    partition: Partition,
    _event: events.AppendUnconfirmed,
    _now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Back off, then read whether the batch is in the log."""
    return _back_off(partition)


def on_page(
    partition: Partition,
    event: events.PageRead,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effects:
    """Apply a page; reply to the batch once the end is reached."""
    claim_index = partition.claim_index
    page = event.page
    if page.earliest_offset > claim_index.next_offset:
        # Records expired in the log before they were read. Claims among them
        # belong to expired keys, since the log keeps records for longer than
        # the lifetime of a key. The owner of the partition is unknown until
        # the next Open record.
        claim_index = ClaimIndex(
            page.earliest_offset, claim_index.min_created_s
        )
        partition.claim_index = claim_index
    if page.next_offset < claim_index.next_offset:
        # The log lost records that it had acknowledged, so no claim is granted.
        return _back_off(partition)
    old_next_offset = claim_index.next_offset
    for entry in page.records:
        if entry.offset == claim_index.next_offset:
            appended_s = entry.appended_ms / _MS_PER_S
            apply_record(
                claim_index, entry.offset, decode(entry.value), appended_s
            )
    if claim_index.next_offset == page.next_offset:
        return _finish_read(partition, now_s, limits)
    if claim_index.next_offset == old_next_offset:
        return _back_off(partition)
    partition.has_pending_effect = False
    return []


def _finish_read(
    partition: Partition, now_s: float, limits: PartitionLimits
) -> effects.Effects:
    partition.has_pending_effect = False
    partition.is_stale = False
    partition.failures = 0
    lookups = partition.lookups
    partition.lookups = []
    replies = _reply_to_batch(partition, now_s, limits)
    return replies + [
        lookup_reply(partition, command, now_s) for command in lookups
    ]


def on_read_failed(
    partition: Partition,
    _event: events.ReadFailed,
    _now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Back off and read again."""
    return _back_off(partition)


def _back_off(partition: Partition) -> effects.Effects:
    """Pause, then read the stream.

    Only the log shows whether an append without a reply took effect.
    """
    partition.has_pending_effect = True
    partition.is_stale = True
    partition.failures += 1
    return [effects.BackOff(partition.failures)]


def on_pause_ended(
    partition: Partition,
    _event: events.PauseEnded,
    _now_s: float,
    _limits: PartitionLimits,
) -> effects.Effects:
    """Allow the next append or read."""
    partition.has_pending_effect = False
    return []


def _reply_to_batch(
    partition: Partition, now_s: float, limits: PartitionLimits
) -> effects.Effects:
    """Reply to the commands of the last append.

    The claim index has to contain the stream up to its end. Commands whose
    records had no effect or did not reach the log go into the next append,
    before all others.
    """
    batch = partition.batch
    partition.batch = []
    partition.sent_records = []
    replies: effects.Effects = []
    requeued = []
    for command in batch:
        reply = reply_after_append(partition, command, now_s, limits)
        if reply is None:
            requeued.append(command)
        else:
            replies.append(reply)
    partition.waiting = requeued + partition.waiting
    return replies
